package rebalance

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// OrderIssuer starts changes of engines' targets and carries them out.
type OrderIssuer interface {
	// StartChange starts the change of an engine to the target t. It returns nil
	// once the change is stored in the engine's order object, or the error that
	// prevented this; it doesn't wait for the end of the change.
	StartChange(ctx context.Context, engine string, t state.Target, reason string) error
}

// ManagerOptions configures a Manager. Zero values select the defaults.
type ManagerOptions struct {
	// All of these are required. Leads reports whether this host decides for the
	// service, Demand returns the demand of the service at all hosts, and Speeds
	// returns the speeds of an engine in its present role.
	Clock  state.Clock
	View   func() *snapshot.View
	Leads  func(service string) bool
	Demand func(service string) Demand
	Speeds func(engine string) Speeds
	Orders OrderIssuer
	Record func(state.Decision)
	// QueuedWork returns the work of the service that is queued at the hosts;
	// optional.
	QueuedWork func(service string) snapshot.Work
	// Host is the name of this host in the decision records.
	Host string
	// Interval is the time between decisions; default 2 s.
	Interval time.Duration
	// SettleTime is the time after the start of a change in which the service
	// starts no other. Until the view shows the first change, a second one would
	// start beside it; default 3 s.
	SettleTime time.Duration
	// Tuning holds the parameters of the decisions.
	Tuning Tuning
}

// queueClearTime is the time within which queued work is planned to be served.
const queueClearTime = 30 * time.Second

// Manager makes decisions at a fixed interval for the services that this host
// leads. Its methods must not be called concurrently.
type Manager struct {
	options ManagerOptions
	started time.Time
	// lastChange is when this manager last started a change, by service.
	lastChange  map[string]time.Time
	corrections map[string]*prefillCorrection
}

// NewManager returns a manager, or an error that names the required options if
// one of them is missing.
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
	return &Manager{options: o, started: o.Clock.Now(), lastChange: map[string]time.Time{}, corrections: map[string]*prefillCorrection{}}, nil
}

// Run calls Step every ManagerOptions.Interval until ctx ends, and returns the
// error of the clock's Sleep.
func (m *Manager) Run(ctx context.Context) error {
	for {
		if err := m.options.Clock.Sleep(ctx, m.options.Interval); err != nil {
			return err
		}
		m.Step(ctx)
	}
}

// Step makes one decision for every engine service that this host leads. Callers
// with their own loop call it instead of Run.
func (m *Manager) Step(ctx context.Context) {
	v := m.options.View()
	if v.Config == nil {
		return
	}
	for i := range v.Config.Services {
		s := &v.Config.Services[i]
		if s.Kind == state.KindEngine && m.options.Leads(s.Name) {
			m.decide(ctx, v, s)
		}
	}
}

// decide makes one decision for the service s, starts the proposed change, if
// any, and records the outcome.
func (m *Manager) decide(ctx context.Context, v *snapshot.View, s *state.Service) {
	now := m.options.Clock.Now()
	demand := m.correctedDemand(v, s, now)
	if now.Sub(m.started) < ShortWindow {
		return // the demand of the short window isn't known yet
	}
	if changed, ok := m.lastChange[s.Name]; ok && now.Sub(changed) < m.options.SettleTime {
		return
	}
	in := m.buildInputs(v, s, now)
	in.Demand = demand
	p := Decide(in, m.options.Tuning)
	if p.Change == nil {
		m.record(v, s.Name, "stay", p.Why, p.Candidates)
		return
	}
	r := v.Runner(p.Change.Engine)
	target := state.Target{Role: p.Change.To, Model: r.Target.Model, Adapters: r.Target.Adapters}
	m.lastChange[s.Name] = now
	if err := m.options.Orders.StartChange(ctx, r.Name, target, p.Why); err != nil {
		m.record(v, r.Name, "failed", fmt.Sprintf("%s; the change wasn't begun: %v", p.Why, err), p.Candidates)
		return
	}
	m.record(v, r.Name, string(p.Change.To), p.Why, p.Candidates)
}

// correctedDemand returns the demand of the service, with its prefill work
// corrected by what the engines report to have computed.
func (m *Manager) correctedDemand(v *snapshot.View, s *state.Service, now time.Time) Demand {
	correction := m.corrections[s.Name]
	if correction == nil {
		correction = &prefillCorrection{}
		m.corrections[s.Name] = correction
	}
	d := m.options.Demand(s.Name)
	correction.update(now, v.RunnersOf(s.Name), d.Admitted)
	return Demand{Short: correction.correct(d.Short), Long: correction.correct(d.Long), Admitted: d.Admitted}
}

// buildInputs returns the inputs of a decision except for the demand.
func (m *Manager) buildInputs(v *snapshot.View, s *state.Service, now time.Time) Inputs {
	in := Inputs{Now: now, Service: *s}
	if m.options.QueuedWork != nil {
		w := m.options.QueuedWork(s.Name)
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

// buildEngine describes the runner r as input of a decision. An engine without a
// valid role counts as mixed.
func (m *Manager) buildEngine(r *snapshot.Runner) Engine {
	e := Engine{
		Name: r.Name, FailureDomain: r.FailureDomain, Role: r.Target.Role, TakesWork: r.TakesWork(),
		InFlight: r.InFlight.Load().Requests + r.PeerWork.Requests, Speeds: m.options.Speeds(r.Name),
	}
	if !e.Role.Valid() {
		e.Role = state.RoleMixed
	}
	if r.Order.State == state.OrderSettled {
		e.RoleSince = r.Order.ChangedAt
	}
	return e
}

// record writes a decision record with the figures of all candidates.
func (m *Manager) record(v *snapshot.View, subject, chosen, why string, candidates []Candidate) {
	d := state.Decision{
		At: m.options.Clock.Now(), Host: m.options.Host, Kind: state.DecisionRole, Subject: subject,
		Chosen: chosen, Why: why, ConfigVersion: v.Config.Version,
	}
	for _, c := range candidates {
		name := fmt.Sprintf("%s %s to %s: gain %.1f, lost %.1f, net %.1f", c.Engine, c.From, c.To, c.Gain, c.Loss, finite(c.Net))
		d.Candidates = append(d.Candidates, state.Candidate{Name: name, Rejected: c.Rejected})
	}
	m.options.Record(d)
}

// finite returns f, or 0 for NaN and infinities, which JSON can't represent.
func finite(f float64) float64 {
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}
