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

// Report is the state that an engine reports.
type Report struct {
	// Born is the start time of the reporting run in Unix milliseconds, as in state.InstanceID; 0
	// if the engine doesn't report it.
	Born int64
	Role state.Role
	// Busy reports whether the engine is carrying out an order.
	Busy bool
	// AcceptedOrders is the number of orders accepted since the start of the run.
	AcceptedOrders uint64
	// Active is the number of running requests, Queued that of waiting ones.
	Active, Queued int
	// KVUsed is the part of the KV memory that requests use, KVTotal its size, both in tokens.
	// KVTotal is 0 if the engine doesn't report it.
	KVUsed, KVTotal int
}

// instanceRestartedError is returned if an engine has restarted since it was listed.
type instanceRestartedError struct {
	Instance state.InstanceID
	Born     int64
}

// Error implements error.
func (e *instanceRestartedError) Error() string {
	return fmt.Sprintf("engine %s has restarted (new start time %d); wait until the new run is listed", e.Instance, e.Born)
}

// Order requests an engine to change its role.
type Order struct {
	Role state.Role
	// Holder is the host that sends the order, and Fence the fencing token of its lease term.
	Holder string
	Fence  uint64
	// ExpectedAcceptedOrders is the number of orders that the engine must have accepted before;
	// otherwise it answers ResultConflict.
	ExpectedAcceptedOrders uint64
}

// Result is an engine's answer to an order.
type Result string

// The results of an order.
const (
	// ResultAccepted means that the engine is carrying out the order or already has the role.
	ResultAccepted Result = "accepted"
	// ResultConflict means that the engine has accepted another order before.
	ResultConflict Result = "conflict"
	// ResultFenced means that the engine has received an order with a higher fencing token.
	ResultFenced Result = "fenced"
	// ResultRefused means that the order is invalid or meant for another instance.
	ResultRefused Result = "refused"
)

// Engines fetches reports from engines and sends them orders. After an error of Order the
// order may still be carried out, up to maxOrderDelay later.
type Engines interface {
	Report(ctx context.Context, i *state.Instance) (Report, error)
	// Order calls permit right before it sends the order, and sends nothing if permit returns an
	// error.
	Order(ctx context.Context, i *state.Instance, o Order, permit func() error) (Result, error)
}

// Options configure a Manager. All fields except DemandShare and Speed are required.
type Options struct {
	Engines Engines
	Lease   *lease.Lease
	Shares  PrefillShares
	Clock   state.Clock
	Log     *slog.Logger
	Host    string
	// Services lists the services that have engines. Instances lists the engines of a service
	// that aren't draining.
	Services  func() []string
	Instances func(service string) []state.Instance
	// InitialPrefillShare is the fraction of a service's engines that do prefill until the load
	// was sampled.
	InitialPrefillShare float64
	// Resizing reports whether the number of a service's engines is about to change.
	Resizing func(service string) bool
	// Announce notifies all hosts of the engines that are about to change their roles. It is
	// called before the orders are sent.
	Announce func(ctx context.Context, changes []RoleChange)
	// DemandShare returns the fraction of a service's engines that should do prefill by the measured
	// demand, and false if that isn't known. If it is nil, only engine reports change the share.
	DemandShare func(service string) (share float64, ok bool)
	// Speed returns an engine's measured speed relative to the usual one, which decides what engines
	// of a failure domain change their roles, but not how many. If it is nil, names decide.
	Speed func(engine state.InstanceID) (speed float64, known bool)
}

const (
	// pollInterval is the time between comparisons of the roles with the plan. A comparison
	// makes no call unless a sample or a change is due.
	pollInterval = 250 * time.Millisecond
	// minDeviationTime is how long the roles must deviate from the plan before engines are
	// ordered to change, so that a crash of a few seconds or a restart during a release changes
	// no role.
	minDeviationTime = 3 * time.Second
	// settleTime is how long the number of engines must stay the same before the first plan:
	// when a deployment starts, its engines are listed within one heartbeat (1.2 s).
	settleTime = 1200 * time.Millisecond
	// callTimeout bounds each order, report and store operation.
	callTimeout = time.Second
	// maxOrderDelay is how long after a failed call an order may still be carried out. On the
	// platform that can take 2 to 12 s.
	maxOrderDelay = 13 * time.Second
	// AnnounceLead is the time between the announcement of a change and its order. In this time
	// requests that were routed by the old role reach the engine. AnnouncementTTL is the longest
	// time for which hosts avoid an announced engine.
	AnnounceLead    = 100 * time.Millisecond
	AnnouncementTTL = maxOrderDelay
	// tolerance is the deviation in engines that is ignored once the first split is reached: a
	// change makes an engine unavailable for seconds.
	tolerance = 1
	// maxSpeculativeOrders bounds the orders of a first split that rests on the configured share
	// alone, before any load was sampled. Each order makes an engine unavailable for seconds,
	// and a large fleet may have hardly any work. The bound is high enough to split a fleet of a
	// hundred engines completely before its first request: splitting half of it under a burst
	// lost a tenth of the goodput of the first seconds.
	maxSpeculativeOrders = 40
)

// Manager orders engines to change their roles while this host holds the lease. It is not safe
// for concurrent use.
type Manager struct {
	o Options
	// pendingOrders holds the orders that aren't known to be carried out yet. pausedUntil holds
	// the time before which an engine that took no order isn't ordered again.
	pendingOrders map[state.InstanceID]pendingOrder
	pausedUntil   map[state.InstanceID]time.Time
	// deviatesSince is the time since which the roles of a service deviate from the plan.
	deviatesSince map[string]time.Time
	// planReached has an entry for each service that was compared with a plan in this term. It
	// is true if the roles have matched the plan since the share last changed. In a term that
	// follows another host's it is true from the start.
	planReached map[string]bool
	// hasPredecessor reports whether the lease was held before the present term.
	hasPredecessor bool
	// listedCounts holds the number of listed engines by service, until the first plan of the
	// term.
	listedCounts map[string]listedCount
	// estimators holds the share estimator of each service.
	estimators map[string]*shareEstimator
	// speculativeOrders counts the orders of the first split in this term that were sent before
	// any load was sampled.
	speculativeOrders map[string]int
	// cachedShares holds the stored or unsaved share of each service. It is kept between terms.
	cachedShares map[string]cachedShare
}

// listedCount is a number of listed engines and the time since which it is unchanged.
type listedCount struct {
	n     int
	since time.Time
}

// pendingOrder is an order that may not be carried out yet.
type pendingOrder struct {
	role state.Role
	// until is the time after which the order counts as lost.
	until time.Time
}

// New returns a Manager, or an error that names the remedy if an option is missing.
func New(o Options) (*Manager, error) {
	if o.Engines == nil || o.Lease == nil || o.Shares.Store == nil || o.Clock == nil || o.Log == nil || o.Services == nil || o.Instances == nil || o.Resizing == nil || o.Announce == nil || o.InitialPrefillShare <= 0 {
		return nil, errors.New("stages: a field of Options is missing; set all of them")
	}
	return &Manager{o: o, cachedShares: map[string]cachedShare{}}, nil
}

// Hold orders role changes during one term of the lease. It returns when ctx ends, which must
// happen when the term ends. State of the previous term is kept if no other machine has held
// the lease since.
func (m *Manager) Hold(ctx context.Context) {
	if m.estimators == nil || !m.o.Lease.Reacquired() {
		m.resetTerm()
	}
	m.hasPredecessor = !m.o.Lease.FirstTerm()
	for {
		for _, service := range m.o.Services() {
			m.reconcile(ctx, service)
		}
		if m.o.Clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// resetTerm discards the state of the previous term.
func (m *Manager) resetTerm() {
	m.pendingOrders, m.deviatesSince, m.planReached = map[state.InstanceID]pendingOrder{}, map[string]time.Time{}, map[string]bool{}
	m.pausedUntil, m.estimators, m.listedCounts = map[state.InstanceID]time.Time{}, map[string]*shareEstimator{}, map[string]listedCount{}
	m.speculativeOrders = map[string]int{}
}

// reconcile compares the roles of a service's engines with the plan and orders the changes
// that are due. During the silent period of the lease, in which no order may be sent, it only
// samples the load.
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
	if m.o.Lease.HoldingOff() || (!m.planReached[service] && m.o.Resizing(service)) {
		return
	}
	changes := planBySpeed(m.withPendingRoles(engines), wantPrefill, m.o.Speed)
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

// isSpeculative reports whether the service's split rests on the configured share alone: no
// load was sampled for which the split matters, neither in this term nor in an earlier one
// whose holder stored a share.
func (m *Manager) isSpeculative(service string) bool {
	cached := m.cachedShares[service]
	return !m.estimators[service].loadSeen && cached.version == store.Absent && !cached.unsaved
}

// speculativeOrdersLeft returns how many more speculative orders may be sent in this term:
// none if there was a previous holder, which has already sent them.
func (m *Manager) speculativeOrdersLeft(service string) int {
	if m.hasPredecessor {
		return 0
	}
	return maxSpeculativeOrders - m.speculativeOrders[service]
}

// applyChanges announces the changes and, AnnounceLead later, sends the orders. Engines that
// are paused are left out.
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

// listSettled reports whether the number of listed engines is unchanged for settleTime, or the
// service already has a plan in this term. A plan for a part of the engines would give another
// split than one for all.
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

// belowMinimum reports whether a role has fewer engines than its minimum. The last engine of a
// service does decode: a decode engine also computes prompts, while a prefill engine does
// nothing else.
func (m *Manager) belowMinimum(engines []state.Instance) bool {
	prefill := countPrefill(engines)
	minimum := min(minPerRole, len(engines)/2)
	return prefill < minimum || len(engines)-prefill < max(1, minimum)
}

// deviationPersists reports whether the roles of the service deviate from the plan for at
// least minDeviationTime. The first call records the start of the deviation.
func (m *Manager) deviationPersists(service string, now time.Time) bool {
	since, ok := m.deviatesSince[service]
	if !ok {
		m.deviatesSince[service] = now
		return false
	}
	return now.Sub(since) >= minDeviationTime
}

// withPendingRoles returns a copy of the list in which engines with a pending order have the
// ordered role.
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

// dropFinishedOrders removes pending orders that were carried out, count as lost or belong to
// engines that are no longer listed, and pauses that have ended.
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

// orderChange orders one engine to change its role. It first fetches the number of orders that
// the engine has accepted. If another holder's order is accepted in between, the number no
// longer matches and the engine refuses this order.
func (m *Manager) orderChange(ctx context.Context, c RoleChange) {
	i := &c.Instance
	now := m.o.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := m.fetchReport(ctx, i)
	if err != nil || report.Busy {
		m.o.Log.Info("role change not ordered; engine is busy or its report could not be fetched", "instance", i.ID, "busy", report.Busy, "cause", fmt.Sprint(err))
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
	result, err := m.o.Engines.Order(ctx, i, o, m.o.Lease.PermitInTerm(fence))
	m.o.Log.Info("role change ordered", "instance", i.ID, "role", string(c.Role), "fence", o.Fence, "accepted", o.ExpectedAcceptedOrders, "result", string(result), "cause", fmt.Sprint(err))
	if err == nil && result != ResultAccepted {
		m.pausedUntil[i.ID] = now.Add(orderRetryInterval)
		return
	}
	m.pendingOrders[i.ID] = pendingOrder{c.Role, now.Add(maxOrderDelay)}
}

// fetchReport fetches the report of an engine. It returns an instanceRestartedError if another
// run of the engine answers, because that run counts its accepted orders from zero.
func (m *Manager) fetchReport(ctx context.Context, i *state.Instance) (Report, error) {
	report, err := m.o.Engines.Report(ctx, i)
	if err == nil && !i.ID.SameRun(report.Born) {
		err = &instanceRestartedError{Instance: i.ID, Born: report.Born}
	}
	return report, err
}

// orderRetryInterval is how long an engine that took no order isn't ordered again.
const orderRetryInterval = 2 * time.Second
