package rebalance

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// OrderIssuer begins changes of engines' targets and sees them through.
type OrderIssuer interface {
	// StartChange begins a change. It returns once the engine's order object says
	// so, or the error that kept it from that.
	StartChange(ctx context.Context, engine string, t state.Target, reason string) error
}

// ManagerOptions configure a Manager. Zero values stand for the defaults.
type ManagerOptions struct {
	// All of these are required. Leads tells whether this host decides for the
	// service; Demand is the fleet's; Speeds are what an engine does in its
	// present role, in tokens a second.
	Clock  state.Clock
	View   func() *snapshot.View
	Leads  func(service string) bool
	Demand func(service string) Demand
	Speeds func(engine string) Speeds
	Orders OrderIssuer
	Record func(state.Decision)
	// QueuedWork is the work queued at the hosts; optional.
	QueuedWork func(service string) snapshot.Work
	// Host is told in the records.
	Host string
	// Interval is the time between decisions; default 2 s.
	Interval time.Duration
	// SettleTime is the time after the start of a change in which no other is
	// begun, so that the view shows the first one; default 3 s.
	SettleTime time.Duration
	// Tuning are the constants of the decision.
	Tuning Tuning
}

// queueClearTime is the time in which queued work is to be done.
const queueClearTime = 30 * time.Second

// Manager decides regularly for the services that this host leads.
type Manager struct {
	o       ManagerOptions
	started time.Time
	// lastChange is when each service's last change was lastChange here.
	lastChange  map[string]time.Time
	corrections map[string]*prefillCorrection
}

// NewManager returns a manager, or an error that names the wrong option.
func NewManager(o ManagerOptions) (*Manager, error) {
	if o.Clock == nil || o.View == nil || o.Leads == nil || o.Demand == nil || o.Speeds == nil || o.Orders == nil || o.Record == nil {
		return nil, fmt.Errorf("rebalance: a required option is nil; set Clock, View, Leads, Demand, Speeds, Orders and Record")
	}
	if o.Interval == 0 {
		o.Interval = 2 * time.Second
	}
	if o.SettleTime == 0 {
		o.SettleTime = 3 * time.Second
	}
	return &Manager{o: o, started: o.Clock.Now(), lastChange: map[string]time.Time{}, corrections: map[string]*prefillCorrection{}}, nil
}

// Run decides every Options.Interval until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for {
		if err := m.o.Clock.Sleep(ctx, m.o.Interval); err != nil {
			return err
		}
		m.Step(ctx)
	}
}

// Step decides once for every engine service that this host leads. It is called
// by Run, or by an embedder's own loop instead.
func (m *Manager) Step(ctx context.Context) {
	v := m.o.View()
	if v.Config == nil {
		return
	}
	for i := range v.Config.Services {
		s := &v.Config.Services[i]
		if s.Kind == state.KindEngine && m.o.Leads(s.Name) {
			m.decide(ctx, v, s)
		}
	}
}

func (m *Manager) decide(ctx context.Context, v *snapshot.View, s *state.Service) {
	now := m.o.Clock.Now()
	demand := m.correctedDemand(v, s, now)
	if now.Sub(m.started) < ShortWindow {
		return // too little is known yet
	}
	if begun, ok := m.lastChange[s.Name]; ok && now.Sub(begun) < m.o.SettleTime {
		return
	}
	in := m.buildInputs(v, s, now)
	in.Demand = demand
	p := Decide(in, m.o.Tuning)
	if p.Change == nil {
		m.record(v, s.Name, "stay", p.Why, p.Candidates)
		return
	}
	r := v.Runner(p.Change.Engine)
	target := state.Target{Role: p.Change.To, Model: r.Target.Model, Adapters: r.Target.Adapters}
	m.lastChange[s.Name] = now
	if err := m.o.Orders.StartChange(ctx, r.Name, target, p.Why); err != nil {
		m.record(v, r.Name, "failed", fmt.Sprintf("%s; the change wasn't begun: %v", p.Why, err), p.Candidates)
		return
	}
	m.record(v, r.Name, string(p.Change.To), p.Why, p.Candidates)
}

// correctedDemand returns the demand as the engines' reports show it to be.
func (m *Manager) correctedDemand(v *snapshot.View, s *state.Service, now time.Time) Demand {
	u := m.corrections[s.Name]
	if u == nil {
		u = &prefillCorrection{}
		m.corrections[s.Name] = u
	}
	d := m.o.Demand(s.Name)
	u.update(now, v.RunnersOf(s.Name), d.Admitted)
	return Demand{Short: u.correct(d.Short), Long: u.correct(d.Long), Admitted: d.Admitted}
}

func (m *Manager) buildInputs(v *snapshot.View, s *state.Service, now time.Time) Inputs {
	in := Inputs{Now: now, Service: *s}
	if m.o.QueuedWork != nil {
		w := m.o.QueuedWork(s.Name)
		in.QueuedRates = m.corrections[s.Name].correct(Rates{
			PrefillTokens: float64(w.PrefillTokens), DecodeTokens: float64(w.DecodeTokens),
		}.Times(1 / queueClearTime.Seconds()))
	}
	for _, r := range v.RunnersOf(s.Name) {
		if r.Order.State == state.OrderDraining || r.Order.State == state.OrderIssued || r.Load.Changing {
			in.ChangingEngine = r.Name
		}
		in.Engines = append(in.Engines, m.buildEngine(r))
	}
	return in
}

func (m *Manager) buildEngine(r *snapshot.Runner) Engine {
	e := Engine{
		Name: r.Name, FailureDomain: r.FailureDomain, Role: r.Target.Role, TakesWork: r.TakesWork(),
		InFlight: r.Track.Load().Requests + r.Peers.Requests, Speeds: m.o.Speeds(r.Name),
	}
	if !e.Role.Valid() {
		e.Role = state.RoleMixed
	}
	if r.Order.State == state.OrderSettled {
		e.RoleSince = r.Order.ChangedAt
	}
	return e
}

func (m *Manager) record(v *snapshot.View, subject, chosen, why string, options []Candidate) {
	d := state.Decision{
		At: m.o.Clock.Now(), Host: m.o.Host, Kind: state.DecisionRole, Subject: subject,
		Chosen: chosen, Why: why, ConfigVersion: v.Config.Version,
	}
	for _, o := range options {
		name := fmt.Sprintf("%s %s to %s: gain %.1f, lost %.1f, net %.1f", o.Engine, o.From, o.To, o.Gain, o.Loss, finite(o.Net))
		d.Candidates = append(d.Candidates, state.Candidate{Name: name, Rejected: o.Rejected})
	}
	m.o.Record(d)
}

// finite keeps figures that can't be written as JSON out of records.
func finite(f float64) float64 {
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}
