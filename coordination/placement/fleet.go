// Package placement chooses the runner of each sending from one immutable view
// of the list of instances, from what this host has in flight at each and from
// how its own requests fared there.
package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/state"
)

// Runner is an instance with what this host knows of it.
type Runner struct {
	Instance *state.Instance
	*Load
}

// view is one version of the list. It is never changed.
type view struct {
	byService map[string]*serviceRunners
	byID      map[state.InstanceID]*Runner
}

// serviceRunners are the instances of a service that take work.
type serviceRunners struct {
	all []*Runner
	// prefill and decode are the engines of either role; those of both are in
	// both. apart is set if some only read prompts.
	prefill, decode []*Runner
	separatePrefill bool
}

func (s *serviceRunners) add(r *Runner) {
	s.all = append(s.all, r)
	switch r.Instance.Role {
	case state.RolePrefill:
		s.separatePrefill = true
		s.prefill = append(s.prefill, r)
	case state.RoleDecode:
		s.decode = append(s.decode, r)
	default:
		s.prefill = append(s.prefill, r)
		s.decode = append(s.decode, r)
	}
}

// Advice is what runners ask of this host.
type Advice interface {
	// OpensAt is when a runner takes a request again; zero if it does now.
	OpensAt(id state.InstanceID) time.Time
}

// Options configure a Fleet.
type Options struct {
	Clock state.Clock
	// FailureDomain is the host's own, preferred among equals.
	FailureDomain string
	// Advice closes runners for a while, which are then never chosen; nil closes none.
	Advice Advice
}

// Fleet is the list of instances. It is safe for concurrent use; Update has one
// caller at a time.
type Fleet struct {
	o    Options
	view atomic.Pointer[view]

	mu    sync.Mutex
	loads map[state.InstanceID]*Load
}

// NewFleet returns an empty fleet.
func NewFleet(o Options) *Fleet {
	f := &Fleet{o: o, loads: map[state.InstanceID]*Load{}}
	f.view.Store(&view{byService: map[string]*serviceRunners{}, byID: map[state.InstanceID]*Runner{}})
	return f
}

// Update replaces the list. Draining instances stay known but are never chosen.
func (f *Fleet) Update(instances []state.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &view{byService: map[string]*serviceRunners{}, byID: make(map[state.InstanceID]*Runner, len(instances))}
	for i := range instances {
		inst := &instances[i]
		load := f.loads[inst.ID]
		if load == nil {
			load = newLoad(f.o.Clock)
			f.loads[inst.ID] = load
		}
		load.confirmRole(inst.Role)
		r := &Runner{inst, load}
		v.byID[inst.ID] = r
		if !inst.Draining {
			v.add(r)
		}
	}
	for id, load := range f.loads {
		if v.byID[id] == nil && load.InFlight() == 0 {
			delete(f.loads, id)
		}
	}
	f.view.Store(v)
}

func (v *view) add(r *Runner) {
	s := v.byService[r.Instance.Service]
	if s == nil {
		s = &serviceRunners{}
		v.byService[r.Instance.Service] = s
	}
	s.add(r)
}

// Instances returns all instances of a service, also those that are draining.
func (f *Fleet) Instances(service string) []state.Instance {
	var out []state.Instance
	for _, r := range f.view.Load().byID {
		if r.Instance.Service == service {
			out = append(out, *r.Instance)
		}
	}
	return out
}

// service returns the runners of a service; none if it isn't known.
func (f *Fleet) service(name string) serviceRunners {
	if s := f.view.Load().byService[name]; s != nil {
		return *s
	}
	return serviceRunners{}
}

// Runners returns the instances of a service that take work.
func (f *Fleet) Runners(service string) []*Runner { return f.service(service).all }

// ReadsApart reports whether some of the service's engines only read prompts.
func (f *Fleet) SeparatesPrefill(service string) bool { return f.service(service).separatePrefill }

// ExpectRole avoids engines that are about to take a role until the list shows it, for so
// long at most: an engine refuses work while it changes.
func (f *Fleet) ExpectRole(engines []state.InstanceID, role state.Role, timeout time.Duration) {
	v := f.view.Load()
	for _, id := range engines {
		if r := v.byID[id]; r != nil && r.Instance.Role != role {
			r.expectRole(role, timeout)
		}
	}
}

// Runner returns an instance with what is known of it, or nil.
func (f *Fleet) Runner(id state.InstanceID) *Runner { return f.view.Load().byID[id] }

// ApplyReport takes other hosts' word of a runner: that it is silent, for so long, or, with 0,
// that it answers again.
func (f *Fleet) ApplyReport(id state.InstanceID, unresponsiveFor time.Duration) {
	if r := f.Runner(id); r != nil {
		r.applyReport(unresponsiveFor)
	}
}

// ServiceSize is the number of runners of the instance's service; 0 if it isn't listed.
func (f *Fleet) ServiceSize(id state.InstanceID) int {
	r := f.Runner(id)
	if r == nil {
		return 0
	}
	return len(f.Runners(r.Instance.Service))
}

// Has reports whether work may be sent to the instance.
func (f *Fleet) Accepts(id state.InstanceID) bool {
	r := f.view.Load().byID[id]
	return r != nil && !r.Instance.Draining
}

// Replaced reports whether another instance, or a later run of the same, is listed at the
// instance's address.
func (f *Fleet) Replaced(former *state.Instance) bool {
	v := f.view.Load()
	if v.byID[former.ID] != nil {
		return false
	}
	for id, r := range v.byID {
		if r.Instance.Addr == former.Addr && id != former.ID {
			return true
		}
	}
	return false
}

// Call chooses a runner for a call of a plain service: the one with the shortest
// expected wait. tried names instances that are not to be chosen again. It
// returns nil when there is none.
func (f *Fleet) ChooseForCall(service string, tried []state.InstanceID) *Runner {
	return f.leastCost(f.Runners(service), tried, func(r *Runner) float64 {
		cost := float64(r.InFlight()+1) * r.Latency().Seconds()
		if r.Instance.FailureDomain != f.o.FailureDomain {
			cost *= crossDomainCostFactor
		}
		return cost
	})
}

// crossDomainCostFactor makes a runner of another failure domain look slower by the time that
// a request and its answer take between domains (2.8 ms on about 17 ms on the sites of today).
const crossDomainCostFactor = 1.15

// crossDomainPenalty is how many more requests an engine of the own failure domain may have
// in flight than another before the other is chosen: bytes between domains cost.
const crossDomainPenalty = 3

// Decode chooses an engine that generates: the one with the least in flight from
// this host, near the failure domain that is named or else near the host itself. A
// session's requests go to the same one of that domain while it isn't far busier than
// the others, so that its parts stay there.
func (f *Fleet) ChooseForDecode(service, session, near string, tried []state.InstanceID) *Runner {
	if near == "" {
		near = f.o.FailureDomain
	}
	runners := f.service(service).decode
	limit := f.loadLimit(runners) + crossDomainPenalty
	return f.leastCost(runners, tried, func(r *Runner) float64 {
		otherDomain := r.Instance.FailureDomain != near
		if session == "" {
			return float64(r.InFlight()+1) + crossDomainPenalty*indicator(otherDomain)
		}
		return sessionScore(session, r) + indicator(otherDomain) + 2*indicator(float64(r.InFlight()) > limit)
	})
}

// Standby chooses an engine that generates for the copy of a run at an engine: near it, but for
// spot engines, which are lost with all spot engines of their failure domain.
func (f *Fleet) ChooseForBackup(service string, engine *state.Instance, tried []state.InstanceID) *Runner {
	return f.leastCost(f.service(service).decode, tried, func(r *Runner) float64 {
		sameDomain := r.Instance.FailureDomain == engine.FailureDomain
		return float64(r.InFlight()+1) + crossDomainPenalty*indicator(!sameDomain) + sharedFailurePenalty*indicator(sameDomain && engine.Spot && r.Instance.Spot)
	})
}

// sharedFailurePenalty makes an engine that is lost together with another the last choice among sound
// ones for what must outlive that.
const sharedFailurePenalty = 1e3

// sessionScore orders the engines of a session, the same way at all hosts, from 0 to 1. An engine
// that restarts under its name keeps its sessions.
func sessionScore(session string, r *Runner) float64 {
	return float64(xxhash.Sum64String(session+r.Instance.ID.Name)) / (1 << 64)
}

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// Prefill chooses the engine that reads a session's prompts. All hosts put a
// session at the same engine without talking, so that its shared parts stay
// there, and name the same others after it; an engine with far more from this host
// than the others is passed over.
func (f *Fleet) ChooseForPrefill(service, session string, tried []state.InstanceID) *Runner {
	runners := f.service(service).prefill
	if session == "" {
		return f.leastCost(runners, tried, func(r *Runner) float64 { return float64(r.InFlight() + 1) })
	}
	limit := f.loadLimit(runners)
	return f.leastCost(runners, tried, func(r *Runner) float64 {
		return sessionScore(session, r) + indicator(float64(r.InFlight()) > limit)
	})
}

// The bound of an engine's load from this host: loadFactor times the mean and
// loadSlack requests more. A host has one or two prompts in flight an engine at
// the sizes of today, so that the slack is what counts (docs/MEASUREMENTS.md).
const (
	loadFactor = 1
	loadSlack  = 1
)

func (f *Fleet) loadLimit(runners []*Runner) float64 {
	if len(runners) == 0 {
		return 0
	}
	total := int64(0)
	for _, r := range runners {
		total += r.InFlight()
	}
	return loadFactor*float64(total)/float64(len(runners)) + loadSlack
}

// Phase is what a runner is to do.
type Phase int

// The parts.
const (
	// PhaseCall is a call of a plain service.
	PhaseCall Phase = iota
	// PhasePrefill is the reading of a prompt apart.
	PhasePrefill
	// PhaseDecode is the rest of a model request.
	PhaseDecode
)

// Soonest is the runner that is the first to take such work again, and when; the time is zero
// if one does now. It returns nil if there is none.
func (f *Fleet) EarliestAvailable(service string, phase Phase, tried []state.InstanceID) (*Runner, time.Time) {
	var best *Runner
	var bestAt time.Time
	for _, r := range f.service(service).forPhase(phase) {
		if slices.Contains(tried, r.Instance.ID) {
			continue
		}
		if at := f.opensAt(r); best == nil || at.Before(bestAt) {
			best, bestAt = r, at
		}
	}
	return best, bestAt
}

func (s serviceRunners) forPhase(phase Phase) []*Runner {
	switch phase {
	case PhasePrefill:
		return s.prefill
	case PhaseDecode:
		return s.decode
	default:
		return s.all
	}
}

func (f *Fleet) opensAt(r *Runner) time.Time {
	if f.o.Advice == nil {
		return time.Time{}
	}
	return f.o.Advice.OpensAt(r.Instance.ID)
}

// leastCost returns the runner of leastCost cost among those that take work; runners that lately
// failed cost more, and suspects are taken only when nothing else is left. Ties are broken at
// random, so that hosts don't all choose the same one.
func (f *Fleet) leastCost(runners []*Runner, tried []state.InstanceID, cost func(*Runner) float64) *Runner {
	now := f.o.Clock.Now()
	var best *Runner
	bestCost := 0.0
	ties := 0
	for _, r := range runners {
		if slices.Contains(tried, r.Instance.ID) || !f.opensAt(r).IsZero() {
			continue
		}
		c := cost(r) * (1 + failureWeight*r.FailureRate(now))
		if r.Suspect(now) {
			c += suspectPenalty
		}
		switch {
		case best == nil || c < bestCost:
			best, bestCost, ties = r, c, 1
		case c == bestCost:
			ties++
			if rand.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best
}

const (
	// failureWeight makes a runner that fails half of its requests look three
	// times as loaded.
	failureWeight = 4
	// suspectPenalty is above every cost of a sound runner.
	suspectPenalty = 1e6
)
