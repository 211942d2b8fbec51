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
	// AcceptedOrders is the number of orders accepted since the engine's start.
	AcceptedOrders uint64
	// Active requests run, Queued ones wait.
	Active, Queued int
	// KVUsed of KVTotal tokens of memory are in use by requests.
	KVUsed, KVTotal int
}

// anotherRunError says that an engine has restarted since it was listed.
type instanceRestartedError struct {
	Instance state.InstanceID
	Born     int64
}

// Error implements error.
func (e *instanceRestartedError) Error() string {
	return fmt.Sprintf("engine %s has restarted as of %d; wait until the list shows the new run", e.Instance, e.Born)
}

// Order asks an engine to change its role.
type Order struct {
	Role state.Role
	// Holder and Fence name the host that orders and the term of its lease.
	Holder string
	Fence  uint64
	// ExpectedAcceptedOrders is the number of orders that the engine must have accepted before.
	ExpectedAcceptedOrders uint64
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
	Lease   *lease.Lessor
	Shares  PrefillShares
	Clock   state.Clock
	Log     *slog.Logger
	Host    string
	// Services lists the services with engines, and Instances the engines of one
	// that aren't draining.
	Services  func() []string
	Instances func(service string) []state.Instance
	// InitialPrefillShare is the share of a service's engines that read prompts at first.
	InitialPrefillShare float64
	// Resizing reports that many of a service's engines are about to leave.
	Resizing func(service string) bool
	// Announce tells all hosts which engines are about to change, before they are
	// ordered to.
	Announce func(ctx context.Context, changes []RoleChange)
}

const (
	// pollInterval is how often the holder compares roles with the plan; it costs
	// no call.
	pollInterval = 250 * time.Millisecond
	// settle is how long a difference must last before it is acted on, so that a
	// crash of a few seconds or a restart in a release moves no role.
	minDeviationTime = 3 * time.Second
	// listing is how long the number of engines must stand before the first plan: when
	// a deployment starts, its runners list themselves within a heartbeat (1.2 s).
	settleTime = 1200 * time.Millisecond
	// callTimeout bounds an order or report.
	callTimeout = time.Second
	// lateBound is how long an order without an answer may still be carried out,
	// by the platform's list of faults (2 to 12 s).
	maxOrderDelay = 13 * time.Second
	// AnnounceLead is the time between the announcement of a change and its order, in
	// which what was chosen before reaches the engine; SettleWithin is how long hosts
	// avoid it at most.
	AnnounceLead    = 100 * time.Millisecond
	AnnouncementTTL = maxOrderDelay
	// tolerance is the difference in engines that is left alone once the first
	// split stands: a change takes an engine away for seconds.
	tolerance = 1
	// guessMost bounds the orders of a first split by the settings' share alone, before
	// any load is seen: each costs an engine seconds, and a large fleet may have hardly
	// any work. Fleets of a hundred engines are split whole before their first request:
	// half of such a split under a burst cost a tenth of the first seconds' credit.
	maxSpeculativeOrders = 40
)

// Manager gives orders while it holds the lease.
type Manager struct {
	o Options
	// ordered holds the orders given, by instance, and pausing until when an engine
	// that took none is left alone.
	pendingOrders map[state.InstanceID]pendingOrder
	pausedUntil   map[state.InstanceID]time.Time
	// since is when a service's split began to differ from the plan.
	deviatesSince map[string]time.Time
	// stood is set for services whose split has stood as planned since the plan
	// last changed; in a term that follows another's it is so from the start.
	planReached map[string]bool
	// followed is set in such a term.
	hasPredecessor bool
	// counted is how many engines of a service are listed, until the term's first plan.
	listedCounts map[string]listedCount
	// demand follows the load of both roles, by service.
	estimators map[string]*shareEstimator
	// guessed counts the orders of the term's first split before any load was seen.
	speculativeOrders map[string]int
	// kept are the saved shares by service; they outlive a term.
	cachedShares map[string]cachedShare
}

// listedCount is a number of engines and since when it has been listed.
type listedCount struct {
	n     int
	since time.Time
}

// given is an order on its way.
type pendingOrder struct {
	role state.Role
	// until is when the order counts as lost.
	until time.Time
}

// New validates the options.
func New(o Options) (*Manager, error) {
	if o.Engines == nil || o.Lease == nil || o.Shares.Store == nil || o.Clock == nil || o.Log == nil || o.Services == nil || o.Instances == nil || o.Resizing == nil || o.Announce == nil || o.InitialPrefillShare <= 0 {
		return nil, errors.New("stages: a field of Options is nil; set all of them")
	}
	return &Manager{o: o, cachedShares: map[string]cachedShare{}}, nil
}

// Hold gives orders for one term of the lease, until ctx ends with it.
func (m *Manager) Hold(ctx context.Context) {
	if m.estimators == nil || !m.o.Lease.Own() {
		m.resetTerm()
	}
	m.hasPredecessor = !m.o.Lease.First()
	for {
		for _, service := range m.o.Services() {
			m.reconcile(ctx, service)
		}
		if m.o.Clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// forgetTerm begins a term that doesn't go on with this run's last one.
func (m *Manager) resetTerm() {
	m.pendingOrders, m.deviatesSince, m.planReached = map[state.InstanceID]pendingOrder{}, map[string]time.Time{}, map[string]bool{}
	m.pausedUntil, m.estimators, m.listedCounts = map[state.InstanceID]time.Time{}, map[string]*shareEstimator{}, map[string]listedCount{}
	m.speculativeOrders = map[string]int{}
}

// service compares one service's roles with the plan. While this host keeps silence it
// only looks at the engines' load.
func (m *Manager) reconcile(ctx context.Context, service string) {
	engines := m.o.Instances(service)
	now := m.o.Clock.Now()
	if len(engines) == 0 || !m.listSettled(service, len(engines), now) {
		return
	}
	m.dropFinishedOrders(engines, now)
	if _, known := m.planReached[service]; !known {
		m.planReached[service] = m.hasPredecessor
	}
	wantPrefill := PrefillTarget(len(engines), m.prefillShare(ctx, service, engines, now))
	m.estimators[service].recordEngineCount(len(engines), now)
	decodeInUse := m.estimators[service].decodeEnginesInUse(len(engines))
	wantPrefill = min(wantPrefill, len(engines)-decodeInUse)
	if m.o.Lease.Silent() || (!m.planReached[service] && m.o.Resizing(service)) {
		return
	}
	changes := Plan(m.withPendingRoles(engines), wantPrefill)
	if m.isSpeculative(service) && len(changes) > 0 {
		changes = changes[:min(len(changes), m.speculativeOrdersLeft(service))]
		m.speculativeOrders[service] += len(changes)
		m.applyChanges(ctx, changes, now)
		return
	}
	if len(changes) == 0 {
		m.planReached[service] = true
	}
	urgent := m.belowMinimum(engines) || len(engines)-countPrefill(m.withPendingRoles(engines)) < decodeInUse
	if len(changes) == 0 || (m.planReached[service] && len(changes) <= tolerance && !urgent) {
		delete(m.deviatesSince, service)
		return
	}
	if m.planReached[service] && !urgent && !m.deviationPersists(service, now) {
		return
	}
	m.applyChanges(ctx, changes, now)
}

// guesses reports whether the service's split rests on the settings alone: no load was
// seen for which it matters, in this term or in one whose holder has saved a share.
func (m *Manager) isSpeculative(service string) bool {
	cached := m.cachedShares[service]
	return !m.estimators[service].loadSeen && cached.version == store.Absent && !cached.unsaved
}

// guessLeft is how many orders may still be given by a guess: a holder that follows another
// finds that one's.
func (m *Manager) speculativeOrdersLeft(service string) int {
	if m.hasPredecessor {
		return 0
	}
	return maxSpeculativeOrders - m.speculativeOrders[service]
}

// change announces changes and orders them.
func (m *Manager) applyChanges(ctx context.Context, changes []RoleChange, now time.Time) {
	changes = slices.DeleteFunc(changes, func(c RoleChange) bool { return now.Before(m.pausedUntil[c.Instance.ID]) })
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
		m.orderChange(ctx, c)
	}
}

// listed reports whether the service's engines are listed as far as can be known: a
// first split of those that were listed first would differ from that of all.
func (m *Manager) listSettled(service string, n int, now time.Time) bool {
	if _, started := m.planReached[service]; started {
		return true
	}
	c := m.listedCounts[service]
	if c.n != n {
		m.listedCounts[service] = listedCount{n, now}
		return false
	}
	return now.Sub(c.since) >= settleTime
}

// starved reports whether a role has fewer engines than it may. The last engine of a
// service generates: it reads prompts as well, while one that reads does nothing else.
func (m *Manager) belowMinimum(engines []state.Instance) bool {
	prefill := countPrefill(engines)
	minimum := min(minPerRole, len(engines)/2)
	return prefill < minimum || len(engines)-prefill < max(1, minimum)
}

func (m *Manager) deviationPersists(service string, now time.Time) bool {
	since, ok := m.deviatesSince[service]
	if !ok {
		m.deviatesSince[service] = now
		return false
	}
	return now.Sub(since) >= minDeviationTime
}

// asOrdered is the list with the roles that orders on their way will bring.
func (m *Manager) withPendingRoles(engines []state.Instance) []state.Instance {
	out := make([]state.Instance, len(engines))
	copy(out, engines)
	for i := range out {
		if pending, ok := m.pendingOrders[out[i].ID]; ok {
			out[i].Role = pending.role
		}
	}
	return out
}

// forget drops orders that have been carried out or count as lost.
func (m *Manager) dropFinishedOrders(engines []state.Instance, now time.Time) {
	listed := map[state.InstanceID]state.Role{}
	for _, e := range engines {
		listed[e.ID] = e.Role
	}
	for id, until := range m.pausedUntil {
		if now.After(until) {
			delete(m.pausedUntil, id)
		}
	}
	for id, pending := range m.pendingOrders {
		if role, ok := listed[id]; !ok || role == pending.role || now.After(pending.until) {
			delete(m.pendingOrders, id)
		}
	}
}

// order has one engine change its role. The number of orders that the engine has
// accepted is read first: an order that another holder gave in between makes the
// engine refuse this one.
func (m *Manager) orderChange(ctx context.Context, c RoleChange) {
	i := &c.Instance
	now := m.o.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := m.fetchReport(ctx, i)
	if err != nil || report.Busy {
		m.o.Log.Info("engine not ordered", "instance", i.ID, "busy", report.Busy, "cause", fmt.Sprint(err))
		m.pausedUntil[i.ID] = now.Add(orderRetryInterval)
		return
	}
	if report.Role == c.Role {
		m.pendingOrders[i.ID] = pendingOrder{c.Role, now.Add(maxOrderDelay)}
		return
	}
	fence, err := m.o.Lease.Permit()
	if err != nil {
		return
	}
	o := Order{Role: c.Role, Holder: m.o.Host, Fence: fence, ExpectedAcceptedOrders: report.AcceptedOrders}
	result, err := m.o.Engines.Order(ctx, i, o, m.o.Lease.Still(fence))
	m.o.Log.Info("engine ordered", "instance", i.ID, "role", string(c.Role), "fence", o.Fence, "accepted", o.ExpectedAcceptedOrders, "result", string(result), "cause", fmt.Sprint(err))
	if err == nil && result != ResultAccepted {
		m.pausedUntil[i.ID] = now.Add(orderRetryInterval)
		return
	}
	m.pendingOrders[i.ID] = pendingOrder{c.Role, now.Add(maxOrderDelay)}
}

// report asks an engine for its report. That of another run is an error: the number of
// orders that it has accepted says nothing of this one.
func (m *Manager) fetchReport(ctx context.Context, i *state.Instance) (Report, error) {
	report, err := m.o.Engines.Report(ctx, i)
	if err == nil && !i.ID.SameRun(report.Born) {
		err = &instanceRestartedError{Instance: i.ID, Born: report.Born}
	}
	return report, err
}

// retryOrder is how long an engine that took no order is left alone.
const orderRetryInterval = 2 * time.Second
