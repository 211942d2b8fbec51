package stages

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// Report is what an engine says of itself.
type Report struct {
	// Born is the start of the run that reports, as in state.InstanceID; 0 if it isn't said.
	Born int64
	Role state.Role
	// Busy is set while an order is carried out.
	Busy bool
	// Accepted is the number of orders accepted since the engine's start.
	Accepted uint64
	// Active requests run, Queued ones wait.
	Active, Queued int
	// KVUsed of KVTotal tokens of memory are in use by requests.
	KVUsed, KVTotal int
}

// anotherRunError says that an engine has restarted since it was listed.
type anotherRunError struct {
	Instance state.InstanceID
	Born     int64
}

// Error implements error.
func (e *anotherRunError) Error() string {
	return fmt.Sprintf("engine %s has restarted as of %d; wait until the list shows the new run", e.Instance, e.Born)
}

// Order asks an engine to change its role.
type Order struct {
	Role state.Role
	// Holder and Fence name the host that orders and the term of its lease.
	Holder string
	Fence  uint64
	// Accepted is the number of orders that the engine must have accepted before.
	Accepted uint64
}

// Result is an engine's answer to an order.
type Result string

// The results of an order.
const (
	// ResultAccepted orders are being carried out or held already.
	ResultAccepted Result = "accepted"
	// ResultConflict says that another order came before.
	ResultConflict Result = "conflict"
	// ResultFenced says that a holder with a higher fence has ordered.
	ResultFenced Result = "fenced"
	// ResultRefused orders are not possible or for another instance.
	ResultRefused Result = "refused"
)

// Engines reaches the engines. An error of Order leaves it open whether and when
// the order is carried out.
type Engines interface {
	Report(ctx context.Context, i *state.Instance) (Report, error)
	// Order asks permit last before the order leaves, and gives none if that fails.
	Order(ctx context.Context, i *state.Instance, o Order, permit func() error) (Result, error)
}

// Options configure a Manager. All fields are required.
type Options struct {
	Engines Engines
	Lease   *lease.Lease
	Shares  Shares
	Clock   state.Clock
	Log     *slog.Logger
	Host    string
	// Services lists the services with engines, and Instances the engines of one
	// that aren't draining.
	Services  func() []string
	Instances func(service string) []state.Instance
	// Share is the share of a service's engines that read prompts at first.
	Share float64
	// Resizing reports that many of a service's engines are about to leave.
	Resizing func(service string) bool
	// Announce tells all hosts which engines are about to change, before they are
	// ordered to.
	Announce func(ctx context.Context, changes []Change)
}

const (
	// pollInterval is how often the holder compares roles with the plan; it costs
	// no call.
	pollInterval = 250 * time.Millisecond
	// settle is how long a difference must last before it is acted on, so that a
	// crash of a few seconds or a restart in a release moves no role.
	settle = 3 * time.Second
	// listing is how long the number of engines must stand before the first plan: when
	// a deployment starts, its runners list themselves within a heartbeat (1.2 s).
	listing = 1200 * time.Millisecond
	// callTimeout bounds an order or report.
	callTimeout = time.Second
	// lateBound is how long an order without an answer may still be carried out,
	// by the platform's list of faults (2 to 12 s).
	lateBound = 13 * time.Second
	// AnnounceLead is the time between the announcement of a change and its order, in
	// which what was chosen before reaches the engine; SettleWithin is how long hosts
	// avoid it at most.
	AnnounceLead = 100 * time.Millisecond
	SettleWithin = lateBound
	// tolerance is the difference in engines that is left alone once the first
	// split stands: a change takes an engine away for seconds.
	tolerance = 1
	// guessMost bounds the orders of a first split by the settings' share alone, before
	// any load is seen: each costs an engine seconds, and a large fleet may have hardly
	// any work. Fleets of a hundred engines are split whole before their first request:
	// half of such a split under a burst cost a tenth of the first seconds' credit.
	guessMost = 40
)

// Manager gives orders while it holds the lease.
type Manager struct {
	o Options
	// ordered holds the orders given, by instance, and pausing until when an engine
	// that took none is left alone.
	ordered map[state.InstanceID]given
	pausing map[state.InstanceID]time.Time
	// since is when a service's split began to differ from the plan.
	since map[string]time.Time
	// stood is set for services whose split has stood as planned since the plan
	// last changed; in a term that follows another's it is so from the start.
	stood map[string]bool
	// followed is set in such a term.
	followed bool
	// counted is how many engines of a service are listed, until the term's first plan.
	counted map[string]listedCount
	// demand follows the load of both roles, by service.
	demand map[string]*demand
	// guessed counts the orders of the term's first split before any load was seen.
	guessed map[string]int
	// kept are the saved shares by service; they outlive a term.
	kept map[string]kept
}

// listedCount is a number of engines and since when it has been listed.
type listedCount struct {
	n     int
	since time.Time
}

// given is an order on its way.
type given struct {
	role state.Role
	// until is when the order counts as lost.
	until time.Time
}

// New validates the options.
func New(o Options) (*Manager, error) {
	if o.Engines == nil || o.Lease == nil || o.Shares.Store == nil || o.Clock == nil || o.Log == nil || o.Services == nil || o.Instances == nil || o.Resizing == nil || o.Announce == nil || o.Share <= 0 {
		return nil, errors.New("stages: a field of Options is nil; set all of them")
	}
	return &Manager{o: o, kept: map[string]kept{}}, nil
}

// Hold gives orders for one term of the lease, until ctx ends with it.
func (m *Manager) Hold(ctx context.Context) {
	if m.demand == nil || !m.o.Lease.Reacquired() {
		m.forgetTerm()
	}
	m.followed = !m.o.Lease.FirstTerm()
	for {
		for _, service := range m.o.Services() {
			m.service(ctx, service)
		}
		if m.o.Clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// forgetTerm begins a term that doesn't go on with this run's last one.
func (m *Manager) forgetTerm() {
	m.ordered, m.since, m.stood = map[state.InstanceID]given{}, map[string]time.Time{}, map[string]bool{}
	m.pausing, m.demand, m.counted = map[state.InstanceID]time.Time{}, map[string]*demand{}, map[string]listedCount{}
	m.guessed = map[string]int{}
}

// service compares one service's roles with the plan. While this host keeps silence it
// only looks at the engines' load.
func (m *Manager) service(ctx context.Context, service string) {
	engines := m.o.Instances(service)
	now := m.o.Clock.Now()
	if len(engines) == 0 || !m.listed(service, len(engines), now) {
		return
	}
	m.forget(engines, now)
	if _, known := m.stood[service]; !known {
		m.stood[service] = m.followed
	}
	want := Target(len(engines), m.share(ctx, service, engines, now))
	m.demand[service].noteSize(len(engines), now)
	inUse := m.demand[service].inUse(len(engines))
	want = min(want, len(engines)-inUse)
	if m.o.Lease.HoldingOff() || (!m.stood[service] && m.o.Resizing(service)) {
		return
	}
	changes := Plan(m.asOrdered(engines), want)
	if m.guesses(service) && len(changes) > 0 {
		changes = changes[:min(len(changes), m.guessLeft(service))]
		m.guessed[service] += len(changes)
		m.change(ctx, changes, now)
		return
	}
	if len(changes) == 0 {
		m.stood[service] = true
	}
	short := m.starved(engines) || len(engines)-prefilling(m.asOrdered(engines)) < inUse
	if len(changes) == 0 || (m.stood[service] && len(changes) <= tolerance && !short) {
		delete(m.since, service)
		return
	}
	if m.stood[service] && !short && !m.settled(service, now) {
		return
	}
	m.change(ctx, changes, now)
}

// guesses reports whether the service's split rests on the settings alone: no load was
// seen for which it matters, in this term or in one whose holder has saved a share.
func (m *Manager) guesses(service string) bool {
	k := m.kept[service]
	return !m.demand[service].loaded && k.version == store.Absent && !k.unsaved
}

// guessLeft is how many orders may still be given by a guess: a holder that follows another
// finds that one's.
func (m *Manager) guessLeft(service string) int {
	if m.followed {
		return 0
	}
	return guessMost - m.guessed[service]
}

// change announces changes and orders them.
func (m *Manager) change(ctx context.Context, changes []Change, now time.Time) {
	changes = slices.DeleteFunc(changes, func(c Change) bool { return now.Before(m.pausing[c.Instance.ID]) })
	if len(changes) == 0 {
		return
	}
	m.o.Announce(ctx, changes)
	if m.o.Clock.Sleep(ctx, AnnounceLead) != nil {
		return
	}
	for _, c := range changes {
		if _, err := m.o.Lease.Permit(); err != nil || ctx.Err() != nil {
			return
		}
		m.order(ctx, c)
	}
}

// listed reports whether the service's engines are listed as far as can be known: a
// first split of those that were listed first would differ from that of all.
func (m *Manager) listed(service string, n int, now time.Time) bool {
	if _, begun := m.stood[service]; begun {
		return true
	}
	c := m.counted[service]
	if c.n != n {
		m.counted[service] = listedCount{n, now}
		return false
	}
	return now.Sub(c.since) >= listing
}

// starved reports whether a role has fewer engines than it may. The last engine of a
// service generates: it reads prompts as well, while one that reads does nothing else.
func (m *Manager) starved(engines []state.Instance) bool {
	prefill := prefilling(engines)
	least := min(minEach, len(engines)/2)
	return prefill < least || len(engines)-prefill < max(1, least)
}

func (m *Manager) settled(service string, now time.Time) bool {
	since, ok := m.since[service]
	if !ok {
		m.since[service] = now
		return false
	}
	return now.Sub(since) >= settle
}

// asOrdered is the list with the roles that orders on their way will bring.
func (m *Manager) asOrdered(engines []state.Instance) []state.Instance {
	out := make([]state.Instance, len(engines))
	copy(out, engines)
	for i := range out {
		if g, ok := m.ordered[out[i].ID]; ok {
			out[i].Role = g.role
		}
	}
	return out
}

// forget drops orders that have been carried out or count as lost.
func (m *Manager) forget(engines []state.Instance, now time.Time) {
	listed := map[state.InstanceID]state.Role{}
	for _, e := range engines {
		listed[e.ID] = e.Role
	}
	for id, until := range m.pausing {
		if now.After(until) {
			delete(m.pausing, id)
		}
	}
	for id, g := range m.ordered {
		if role, ok := listed[id]; !ok || role == g.role || now.After(g.until) {
			delete(m.ordered, id)
		}
	}
}

// order has one engine change its role. The number of orders that the engine has
// accepted is read first: an order that another holder gave in between makes the
// engine refuse this one.
func (m *Manager) order(ctx context.Context, c Change) {
	i := &c.Instance
	now := m.o.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := m.report(ctx, i)
	if err != nil || report.Busy {
		m.o.Log.Info("engine not ordered", "instance", i.ID, "busy", report.Busy, "cause", fmt.Sprint(err))
		m.pausing[i.ID] = now.Add(retryOrder)
		return
	}
	if report.Role == c.Role {
		m.ordered[i.ID] = given{c.Role, now.Add(lateBound)}
		return
	}
	fence, err := m.o.Lease.Permit()
	if err != nil {
		return
	}
	o := Order{Role: c.Role, Holder: m.o.Host, Fence: fence, Accepted: report.Accepted}
	result, err := m.o.Engines.Order(ctx, i, o, m.o.Lease.PermitInTerm(fence))
	m.o.Log.Info("engine ordered", "instance", i.ID, "role", string(c.Role), "fence", o.Fence, "accepted", o.Accepted, "result", string(result), "cause", fmt.Sprint(err))
	if err == nil && result != ResultAccepted {
		m.pausing[i.ID] = now.Add(retryOrder)
		return
	}
	m.ordered[i.ID] = given{c.Role, now.Add(lateBound)}
}

// report asks an engine for its report. That of another run is an error: the number of
// orders that it has accepted says nothing of this one.
func (m *Manager) report(ctx context.Context, i *state.Instance) (Report, error) {
	report, err := m.o.Engines.Report(ctx, i)
	if err == nil && !i.ID.SameRun(report.Born) {
		err = &anotherRunError{Instance: i.ID, Born: report.Born}
	}
	return report, err
}

// retryOrder is how long an engine that took no order is left alone.
const retryOrder = 2 * time.Second
