package scale

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/fleetload"
	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/state"
)

const (
	// pollInterval is the time between comparisons of the runners with the plan. A comparison
	// makes no call.
	pollInterval = 250 * time.Millisecond
	// callTimeout bounds each operation on the platform or the store.
	callTimeout = time.Second
	// settleTime is how long the number of serving runners must stay the same before the first
	// plan: when a deployment starts, its runners are listed within one heartbeat (1.2 s). It is
	// also the margin after the boot of a new runner until it is listed.
	settleTime = 1200 * time.Millisecond
	// initialCountTimeout is how long Resizing stays true at the start of a term if there is no
	// plan yet, as when the initial count can't be read from the store. Work that waits for the
	// resize goes on after it.
	initialCountTimeout = 10 * time.Second
	// retryInterval is the pause after a request that failed. spotRetryInterval is how long a
	// failure domain counts as having no spot capacity after the platform returned
	// ErrUnavailable.
	retryInterval     = time.Second
	spotRetryInterval = 2 * time.Second
	// drainTimeout is how long a runner whose drain was requested may still be listed. A drain
	// usually takes a few seconds, but can take much longer.
	drainTimeout = 15 * time.Second
	// spotTolerance is how many spot runners of a failure domain may be missing or in surplus
	// without a new request: single runners crash and restart by themselves.
	spotTolerance = 2
	// bootTimeoutFactor times the boot time is how long requested spot runners may take to
	// serve before other runners are requested instead.
	bootTimeoutFactor = 2
)

// ErrUnavailable is returned if the platform has no capacity for the requested kind of runner at
// present.
var ErrUnavailable = errors.New("no runners of that kind are available in that failure domain now; request others, or retry later")

// Platform starts and drains runners on request. A request may have taken effect although
// SetDesired returns an error other than ErrUnavailable.
type Platform interface {
	// SetDesired requests the number of runners of a service in a pool, under the lease term
	// with that number. It calls permit right before it sends the request, and sends nothing if
	// permit returns an error.
	SetDesired(ctx context.Context, term uint64, service string, p Pool, desired int, permit func() error) error
}

// Options configure a Manager. All fields except NoTrafficUntil, Load and DivisionFollows are
// required.
type Options struct {
	Platform      Platform
	Lease         *lease.Lease
	InitialCounts InitialCounts
	Clock         state.Clock
	Log           *slog.Logger
	// Services lists the services whose runner counts are managed; Scale is set in each.
	Services func() []state.ServiceSpec
	// Instances lists all runners of a service, including the draining ones.
	Instances func(service string) []state.Instance
	// RequiredShare is the number of runners that carry the load, as a fraction of the number
	// that the deployment starts with.
	RequiredShare float64
	// NoTrafficUntil is the time before which no caller sends requests, as at the first start of
	// a deployment; zero if it isn't known.
	NoTrafficUntil time.Time
	// Load returns the latest summary of the load of all engines, and false if there is none. The
	// required number of runners of services with engines then follows it. If Load is nil, the
	// number stays at RequiredShare of the initial one.
	Load func() (fleetload.Summary, bool)
	// DivisionFollows reports whether the engines are divided into roles by the share that
	// PrefillShare returns. Otherwise the number of runners must be enough at the present division.
	DivisionFollows bool
}

// Manager requests runner counts while this host holds the lease. Only Resizing, Status and
// PrefillShare are safe to call concurrently with Hold.
type Manager struct {
	o        Options
	services map[string]*serviceState
	// resizing has an entry for each service for which Resizing reports true. Resizing reads it
	// from other goroutines.
	resizing sync.Map
	// statuses holds the Status of each service during a term, read from other goroutines.
	statuses sync.Map
}

// serviceState is the state of one service during one term of the lease.
type serviceState struct {
	startedAt time.Time
	// required is the number of runners that carry the load; 0 until it is known. It is computed
	// from stored.AtStart, the number of runners that the service started with, and changed by
	// sizer, which is nil if it doesn't follow the demand. storedInEpoch is the last store epoch
	// in which the initial number is known to be stored.
	required      int
	sizer         *sizer
	stored        StoredCounts
	savedAt       time.Time
	storedInEpoch uint64
	// unusableReason and unusableLoggedAt are the last logged reason why the demand can't be used,
	// and the time of that log line.
	unusableReason   string
	unusableLoggedAt time.Time
	// lastCount is the number of serving runners until required is known, and lastCountSince
	// the time since which it is unchanged.
	lastCount      int
	lastCountSince time.Time
	// requested holds the counts that the platform accepted in this term. requestedAt is when
	// a count was last changed or requested again for missing runners, and acceptedAt when the
	// last request was accepted.
	requested   Counts
	requestedAt map[Pool]time.Time
	acceptedAt  map[Pool]time.Time
	// drainRequests holds the latest drain request of each pool; its runners may still be
	// listed.
	drainRequests map[Pool]drainRequest
	// reclaimed holds the pools whose spot runners are being reclaimed and for which
	// shouldRepeat has already reported that.
	reclaimed map[Pool]bool
	// noSpotUntil is the time until which a failure domain counts as having no spot capacity,
	// and nextRequestAt the earliest time of a pool's next request.
	noSpotUntil   map[string]time.Time
	nextRequestAt map[Pool]time.Time
}

func newServiceState(now time.Time) *serviceState {
	return &serviceState{
		startedAt: now, requested: Counts{}, requestedAt: map[Pool]time.Time{}, acceptedAt: map[Pool]time.Time{},
		drainRequests: map[Pool]drainRequest{}, reclaimed: map[Pool]bool{}, noSpotUntil: map[string]time.Time{}, nextRequestAt: map[Pool]time.Time{},
	}
}

// drainRequest is a number of runners whose drain was requested. They count as removed after
// until.
type drainRequest struct {
	n     int
	until time.Time
}

// New returns a Manager, or an error that names the remedy if an option is missing.
func New(o Options) (*Manager, error) {
	if o.Platform == nil || o.Lease == nil || o.InitialCounts.Store == nil || o.Clock == nil || o.Log == nil || o.Services == nil || o.Instances == nil || o.RequiredShare <= 0 {
		return nil, errors.New("scale: a field of Options is missing; set all of them")
	}
	return &Manager{o: o}, nil
}

// Hold keeps the runners of all services at the planned counts during one term of the lease. It
// returns when ctx ends, which happens at the latest with the term.
func (m *Manager) Hold(ctx context.Context) {
	m.services = map[string]*serviceState{}
	defer m.statuses.Clear()
	for {
		for _, spec := range m.o.Services() {
			m.reconcile(ctx, spec)
		}
		if m.o.Clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// Resizing reports whether many of a service's runners are about to drain because of a request
// of this host, or because of the first request of the term, which is still to come.
func (m *Manager) Resizing(service string) bool {
	_, resizing := m.resizing.Load(service)
	return resizing
}

// updateResizing sets the resizing state of a service while serving runners are about to drain,
// and clears it once no pool has more than spotTolerance surplus runners and at least one planned
// pool serves. Planned runners that don't serve yet don't delay that.
func (m *Manager) updateResizing(service string, plan, serving Counts) {
	plannedServing := false
	for p, n := range serving {
		if n > plan[p]+spotTolerance {
			m.resizing.Store(service, true)
			return
		}
		plannedServing = plannedServing || (n > 0 && plan[p] > 0)
	}
	if plannedServing {
		m.resizing.Delete(service)
	}
}

// reconcile compares the runners of one service with the plan and requests the differences.
func (m *Manager) reconcile(ctx context.Context, spec state.ServiceSpec) {
	s := m.services[spec.Name]
	if s == nil {
		s = newServiceState(m.o.Clock.Now())
		m.services[spec.Name] = s
		m.resizing.Store(spec.Name, true)
	}
	now := m.o.Clock.Now()
	instances := m.o.Instances(spec.Name)
	serving, listed := countRunners(instances)
	if !m.resolveRequired(ctx, spec, s, serving, now) {
		if now.Sub(s.startedAt) > initialCountTimeout {
			m.resizing.Delete(spec.Name)
		}
		return
	}
	limits := s.spotLimits(serving, spec, now)
	m.followDemand(spec, s, instances, len(limits) > 0, now)
	if m.o.Lease.HoldingOff() {
		if now.Sub(s.startedAt) > initialCountTimeout {
			m.resizing.Delete(spec.Name)
		}
		return
	}
	m.saveRequired(ctx, spec.Name, s, now)
	obs := observation{spec: spec, plan: s.plan(spec, limits), serving: maps.Clone(serving), listed: listed, now: now}
	if s.isLowered() {
		obs.limits = limits
	}
	for _, p := range pools(spec.Scale) {
		m.adjustPool(ctx, s, obs, p)
	}
	m.updateResizing(spec.Name, obs.plan, serving)
}

// plan returns the planned counts under the present limits on spot runners. Spot runners that
// are unavailable at present stay requested, and the request is repeated once the failure domain
// may have capacity again.
func (s *serviceState) plan(spec state.ServiceSpec, limits map[string]int) Counts {
	plan := Plan(Requirements{Spec: *spec.Scale, Runners: s.required, SpotLimits: limits})
	for d := range limits {
		if p := (Pool{d, Spot}); plan[p] < s.requested[p] {
			plan[p] = s.requested[p]
			s.nextRequestAt[p] = later(s.nextRequestAt[p], s.noSpotUntil[d])
		}
	}
	return plan
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countRunners counts the runners of a service by pool: those that take work, and all that are
// listed.
func countRunners(instances []state.Instance) (serving, listed Counts) {
	serving, listed = Counts{}, Counts{}
	for _, i := range instances {
		p := Pool{i.FailureDomain, OnDemand}
		if i.Spot {
			p.Kind = Spot
		}
		listed[p]++
		if !i.Draining {
			serving[p]++
		}
	}
	return serving, listed
}

// pools returns the pools of a service, those of spot runners first, so that replacements are
// requested before the runners that they replace are drained.
func pools(s *state.ScaleSpec) []Pool {
	domains := domainsByPrice(*s)
	var out []Pool
	for _, kind := range kinds {
		for _, d := range domains {
			out = append(out, Pool{d, kind})
		}
	}
	return out
}

// spotLimits returns the number of serving spot runners of each failure domain that has no spot
// capacity at present, or whose requested spot runners don't boot in time.
func (s *serviceState) spotLimits(serving Counts, spec state.ServiceSpec, now time.Time) map[string]int {
	out := map[string]int{}
	for d := range spec.Scale.DomainPrices {
		p := Pool{d, Spot}
		bootOverdue := s.requested[p] > serving[p] && now.Sub(s.requestedAt[p]) > bootTimeoutFactor*spec.Scale.Boot
		if now.Before(s.noSpotUntil[d]) || bootOverdue {
			out[d] = serving[p]
		}
	}
	return out
}
