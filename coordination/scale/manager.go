package scale

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/state"
)

const (
	// pollEvery is how often the holder compares numbers with the plan; it costs no call.
	pollInterval = 250 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = time.Second
	// settle is how long the number of runners must stand before the first plan: when a
	// deployment starts, its runners list themselves within a heartbeat (1.2 s).
	settleTime = 1200 * time.Millisecond
	// unknownFor is how long what hangs on the number of runners waits for a need that can't
	// be read from the store.
	initialCountTimeout = 10 * time.Second
	// askAgain is the pause after an order that failed, and dryFor how long a failure domain
	// counts as without spot runners after the platform had none.
	retryInterval     = time.Second
	spotRetryInterval = 2 * time.Second
	// drainsFor is how long a runner that was ordered to go may still be listed: it drains for some
	// seconds, at times for many.
	drainTimeout = 15 * time.Second
	// spotSlack is how many spot runners of a failure domain may be missing or too many for
	// nothing to be ordered: single ones crash and are back by themselves.
	spotTolerance = 2
	// lateBoots is how many times the time of a boot ordered runners may take to be listed
	// before others are ordered in their place.
	bootTimeoutFactor = 2
)

// ErrUnavailable says that there are no runners of the kind to be had at present.
var ErrUnavailable = errors.New("no runners of that kind are to be had there now; order others, or again later")

// Platform takes orders. An order may have been taken although Order returns an error other than
// ErrUnavailable.
type Platform interface {
	// SetDesired asks for a number of runners under the term of that number; permit is asked last
	// before the bytes leave.
	SetDesired(ctx context.Context, term uint64, service string, p Pool, desired int, permit func() error) error
}

// Options configure a Manager. All fields are required.
type Options struct {
	Platform      Platform
	Lease         *lease.Lessor
	InitialCounts InitialCounts
	Clock         state.Clock
	Log           *slog.Logger
	// Services lists the services whose numbers may be ordered.
	Services func() []state.ServiceSpec
	// Instances lists all of a service's runners, also those that leave.
	Instances func(service string) []state.Instance
	// RequiredShare is the number of runners that carry the load, as a share of those that a
	// deployment starts with.
	RequiredShare float64
	// NoTrafficUntil is before when no caller comes, as at the first start of a deployment; zero if
	// that isn't known.
	NoTrafficUntil time.Time
}

// Manager orders numbers of runners while it holds the lease. Hold alone uses it, but for
// Resizing.
type Manager struct {
	o        Options
	services map[string]*serviceState
	// resizing is set for services whose number of runners is about to change, for those who
	// ask from elsewhere.
	resizing sync.Map
}

// service is what is known of one service in a term.
type serviceState struct {
	startedAt time.Time
	// need is the number of runners that carry the load; 0 until it is known. base is what it was
	// worked out from, and keptIn the store's epoch in which that was last known to be kept.
	required      int
	initial       int
	storedInEpoch uint64
	// counted is how many runners were listed when last they were counted, since when.
	lastCount      int
	lastCountSince time.Time
	// ordered are the numbers ordered in this term, and when.
	requested   Counts
	requestedAt map[Pool]time.Time
	acceptedAt  map[Pool]time.Time
	// drained are the runners that were ordered to drain and may still be listed.
	drainRequests map[Pool]drainRequest
	// reclaimed are the places whose runners are being taken back, and were ordered again.
	reclaimed map[Pool]bool
	// dryUntil is until when a failure domain counts as without spot runners, and pauseUntil
	// when a place may be ordered for again.
	noSpotUntil   map[string]time.Time
	nextRequestAt map[Pool]time.Time
}

func newServiceState(now time.Time) *serviceState {
	return &serviceState{
		startedAt: now, requested: Counts{}, requestedAt: map[Pool]time.Time{}, acceptedAt: map[Pool]time.Time{},
		drainRequests: map[Pool]drainRequest{}, reclaimed: map[Pool]bool{}, noSpotUntil: map[string]time.Time{}, nextRequestAt: map[Pool]time.Time{},
	}
}

// drainOrder is a number of runners that were ordered to drain; after until they are gone.
type drainRequest struct {
	n     int
	until time.Time
}

// New validates the options.
func New(o Options) (*Manager, error) {
	if o.Platform == nil || o.Lease == nil || o.InitialCounts.Store == nil || o.Clock == nil || o.Log == nil || o.Services == nil || o.Instances == nil || o.RequiredShare <= 0 {
		return nil, errors.New("scale: a field of Options is missing; set all of them")
	}
	return &Manager{o: o}, nil
}

// Hold orders numbers for one term of the lease, until ctx ends with it.
func (m *Manager) Hold(ctx context.Context) {
	m.services = map[string]*serviceState{}
	for {
		for _, spec := range m.o.Services() {
			m.reconcile(ctx, spec)
		}
		if m.o.Clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// Resizing reports whether many of a service's runners are about to leave by what this host has
// ordered, or is about to order for the first time in a term.
func (m *Manager) Resizing(service string) bool {
	_, resizing := m.resizing.Load(service)
	return resizing
}

// noteResizing notes whether runners that take work are about to leave, or nothing of the plan
// takes work yet. Those that are still to come needn't be waited for.
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

// serve compares one service's numbers with the plan.
func (m *Manager) reconcile(ctx context.Context, spec state.ServiceSpec) {
	s := m.services[spec.Name]
	if s == nil {
		s = newServiceState(m.o.Clock.Now())
		m.services[spec.Name] = s
		m.resizing.Store(spec.Name, true)
	}
	now := m.o.Clock.Now()
	serving, listed := countRunners(m.o.Instances(spec.Name))
	if !m.resolveRequired(ctx, spec.Name, s, serving, now) || m.o.Lease.Silent() {
		if now.Sub(s.startedAt) > initialCountTimeout {
			m.resizing.Delete(spec.Name)
		}
		return
	}
	obs := observation{spec: spec, plan: s.plan(spec, serving, now), serving: maps.Clone(serving), listed: listed, now: now}
	for _, p := range pools(spec.Scale) {
		m.adjustPool(ctx, s, obs, p)
	}
	m.updateResizing(spec.Name, obs.plan, serving)
}

// plan is the plan for what there is. What can't be had now stays ordered, and is asked for
// again once it may be had.
func (s *serviceState) plan(spec state.ServiceSpec, serving Counts, now time.Time) Counts {
	limits := s.spotLimits(serving, spec, now)
	plan := Plan(Requirements{Spec: *spec.Scale, Runners: s.required, SpotLimits: limits})
	for d := range limits {
		if p := (Pool{d, Spot}); plan[p] < s.requested[p] {
			plan[p] = s.requested[p]
			s.nextRequestAt[p] = later(s.nextRequestAt[p], s.noSpotUntil[d])
		}
	}
	return plan
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// count counts a service's runners by place: those that take work, and all that are listed.
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

// places are those of a service, spot runners first: what replaces others is ordered before
// they are drained.
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

// known reports whether the service's need is known. The first holder takes it from what the
// deployment starts with, once that has stood for a moment, and keeps it for the others.
func (m *Manager) resolveRequired(ctx context.Context, name string, s *serviceState, serving Counts, now time.Time) bool {
	if s.required > 0 {
		m.storeInitialAgain(ctx, name, s)
		return true
	}
	if n := serving.total(); n == 0 || n != s.lastCount {
		s.lastCount, s.lastCountSince = n, now
		return false
	}
	if now.Sub(s.lastCountSince) < settleTime {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	initial, err := m.o.InitialCounts.LoadOrStore(ctx, name, s.lastCount)
	if err != nil {
		m.o.Log.Warn("number of runners at the start not read; tried again", "service", name, "cause", err.Error())
		s.lastCountSince = now
		return false
	}
	s.initial, s.storedInEpoch = initial, m.o.Lease.Epoch()
	s.required = max(1, int(m.o.RequiredShare*float64(initial)+0.5))
	m.o.Log.Info("need of a new term", "service", name, "need", s.required, "at_start", initial, "listed", s.lastCount)
	return true
}

// keepAgain keeps the number at the start again once the store was restored from an older copy.
func (m *Manager) storeInitialAgain(ctx context.Context, name string, s *serviceState) {
	epoch := m.o.Lease.Epoch()
	if epoch <= s.storedInEpoch {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := m.o.InitialCounts.LoadOrStore(ctx, name, s.initial); err != nil {
		m.o.Log.Warn("number of runners at the start not kept again; tried again", "service", name, "cause", err.Error())
		return
	}
	s.storedInEpoch = epoch
}

// limited bounds the spot runners of failure domains where no more are to be had.
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
