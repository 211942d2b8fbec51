// Package placement chooses the runner of each attempt. The choice depends on an immutable
// snapshot of the listed instances, on this host's requests in flight at each of them, and on
// the outcomes and latencies of its recent requests there.
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

// Runner is a listed instance with this host's load and failure statistics for it.
type Runner struct {
	Instance *state.Instance
	*Load
}

// view is an immutable snapshot of the listed instances.
type view struct {
	byService map[string]*serviceRunners
	byID      map[state.InstanceID]*Runner
}

// serviceRunners holds the instances of a service that accept work.
type serviceRunners struct {
	all []*Runner
	// prefill and decode hold the engines that have the role; an engine of both roles is in
	// both. separatePrefill is set if some engines only compute prompts.
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

// Advice holds the limits and backoffs that runners requested from this host.
type Advice interface {
	// OpensAt returns when a runner accepts a request again; zero if it does now.
	OpensAt(id state.InstanceID) time.Time
}

// Options configure a Fleet.
type Options struct {
	Clock state.Clock
	// FailureDomain is that of this host. Runners in it are preferred over equal ones elsewhere.
	FailureDomain string
	// Advice excludes runners that don't accept requests at the moment; nil excludes none.
	Advice Advice
}

// Fleet holds the listed instances and chooses among them. It is safe for concurrent use, except
// that calls of Update must not overlap.
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

// Update replaces the list of instances. Draining instances stay listed but are never chosen.
// The load of an instance that is no longer listed is kept until nothing is in flight there.
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

// Instances returns all listed instances of a service, draining ones included.
func (f *Fleet) Instances(service string) []state.Instance {
	var out []state.Instance
	for _, r := range f.view.Load().byID {
		if r.Instance.Service == service {
			out = append(out, *r.Instance)
		}
	}
	return out
}

// service returns the runners of a service; it is empty if the service isn't known.
func (f *Fleet) service(name string) serviceRunners {
	if s := f.view.Load().byService[name]; s != nil {
		return *s
	}
	return serviceRunners{}
}

// Runners returns the instances of a service that accept work.
func (f *Fleet) Runners(service string) []*Runner { return f.service(service).all }

// SeparatesPrefill reports whether some of the service's engines only compute prompts.
func (f *Fleet) SeparatesPrefill(service string) bool { return f.service(service).separatePrefill }

// ExpectRole avoids engines that are about to change to the role, since an engine refuses work
// during the change. It ends for an engine when the list shows the role, or after the timeout.
func (f *Fleet) ExpectRole(engines []state.InstanceID, role state.Role, timeout time.Duration) {
	v := f.view.Load()
	for _, id := range engines {
		if r := v.byID[id]; r != nil && r.Instance.Role != role {
			r.expectRole(role, timeout)
		}
	}
}

// Runner returns an instance with its load, or nil if it isn't listed.
func (f *Fleet) Runner(id state.InstanceID) *Runner { return f.view.Load().byID[id] }

// ApplyReport applies other hosts' report on a runner: that it is to be avoided as unresponsive
// for the duration, or, if that is 0, that it responds again.
func (f *Fleet) ApplyReport(id state.InstanceID, unresponsiveFor time.Duration) {
	if r := f.Runner(id); r != nil {
		r.applyReport(unresponsiveFor)
	}
}

// ServiceSize returns the number of runners of the instance's service, the instance included; 0
// if the instance isn't listed.
func (f *Fleet) ServiceSize(id state.InstanceID) int {
	r := f.Runner(id)
	if r == nil {
		return 0
	}
	return len(f.Runners(r.Instance.Service))
}

// Accepts reports whether the instance is listed and not draining.
func (f *Fleet) Accepts(id state.InstanceID) bool {
	r := f.view.Load().byID[id]
	return r != nil && !r.Instance.Draining
}

// Replaced reports whether the instance is no longer listed while another one, or a later run of
// the same one, is listed at its address.
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

// ChooseForCall chooses a runner for a call of a plain service: the one with the lowest product
// of requests in flight and latency. tried lists instances that must not be chosen again. It
// returns nil if there is none.
func (f *Fleet) ChooseForCall(service string, tried []state.InstanceID) *Runner {
	return f.leastCost(f.Runners(service), tried, func(r *Runner) float64 {
		cost := float64(r.InFlight()+1) * r.Latency().Seconds()
		if r.Instance.FailureDomain != f.o.FailureDomain {
			cost *= crossDomainCostFactor
		}
		return cost
	})
}

// crossDomainCostFactor multiplies the cost of a runner in another failure domain. A round trip
// between domains takes 2.8 ms, about 0.15 of the 17 ms that a request takes.
const crossDomainCostFactor = 1.15

// crossDomainPenalty is how many more requests may be in flight at an engine of the preferred
// failure domain than at another before the other is chosen, since traffic between domains is
// costly.
const crossDomainPenalty = 3

// ChooseForDecode chooses an engine that decodes: the one with the fewest requests in flight
// from this host. It prefers the failure domain near, or the host's own if near is "". Requests
// of a session go to the same engine of that domain, where its prefixes are cached, unless the
// engine has more than the load limit and crossDomainPenalty in flight.
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

// ChooseForBackup chooses an engine that decodes for the backup of a run at another engine. It
// prefers the same failure domain, except between spot engines, since all spot engines of a
// failure domain are lost together.
func (f *Fleet) ChooseForBackup(service string, engine *state.Instance, tried []state.InstanceID) *Runner {
	return f.leastCost(f.service(service).decode, tried, func(r *Runner) float64 {
		sameDomain := r.Instance.FailureDomain == engine.FailureDomain
		return float64(r.InFlight()+1) + crossDomainPenalty*indicator(!sameDomain) + sharedFailurePenalty*indicator(sameDomain && engine.Spot && r.Instance.Spot)
	})
}

// sharedFailurePenalty makes an engine the last choice, except for suspects, for the backup of an
// engine that is lost together with it.
const sharedFailurePenalty = 1e3

// sessionScore orders the engines of a session from 0 to 1, equally at all hosts. It depends on
// the name only, so an engine that restarts under its name keeps its sessions.
func sessionScore(session string, r *Runner) float64 {
	return float64(xxhash.Sum64String(session+r.Instance.ID.Name)) / (1 << 64)
}

// indicator returns 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// ChooseForPrefill chooses the engine that computes a session's prompts. All hosts choose the
// same engine and the same order of fallbacks without coordination, so the session's prefixes
// stay cached there. An engine with more than the load limit in flight from this host comes
// after the others.
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

// The load limit of an engine is loadFactor times the mean of this host's requests in flight per
// engine, plus loadSlack requests. A host has only one or two prompts in flight per engine, so the
// slack has the larger effect.
const (
	loadFactor = 1
	loadSlack  = 1
)

// loadLimit returns how many requests of this host may be in flight at one of the engines before
// it is avoided.
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

// Phase is the part of a request that a runner is chosen for.
type Phase int

// The phases.
const (
	// PhaseCall is a whole call of a plain service.
	PhaseCall Phase = iota
	// PhasePrefill is a separate computation of a prompt.
	PhasePrefill
	// PhaseDecode is the rest of a model request.
	PhaseDecode
)

// EarliestAvailable returns the runner that accepts a request of the phase first, and when; the
// time is zero if it accepts one now. It returns nil if there is no runner that isn't in tried.
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

// forPhase returns the runners that can do the phase.
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

// opensAt returns when a runner accepts a request again; zero if it does now.
func (f *Fleet) opensAt(r *Runner) time.Time {
	if f.o.Advice == nil {
		return time.Time{}
	}
	return f.o.Advice.OpensAt(r.Instance.ID)
}

// leastCost returns the runner of the least cost among those that accept work. Recent failures
// raise the cost, and suspects are chosen only if there is nothing else. Ties are broken at
// random, so that hosts don't all choose the same runner.
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
	// failureWeight makes a runner that fails half of its requests cost three times as much.
	failureWeight = 4
	// suspectPenalty exceeds every cost of a runner that isn't a suspect.
	suspectPenalty = 1e6
)
