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

// Advice holds the limits and backoffs that runners requested from this host.
type Advice interface {
	// OpensAt returns when a runner accepts a request again; zero if it does now.
	OpensAt(id state.InstanceID) time.Time
}

// Links holds the states of this host's links to runners.
type Links interface {
	// NextAttempt returns when the next attempt to connect to a runner without a path is made; zero if
	// there may be a path.
	NextAttempt(id state.InstanceID) time.Time
}

// Options configure a Fleet.
type Options struct {
	Clock state.Clock
	// FailureDomain is that of this host. Runners in it are preferred over equal ones elsewhere.
	FailureDomain string
	// Advice excludes runners that don't accept requests at the moment; nil excludes none.
	Advice Advice
	// Links puts runners without a path after all others; nil means that all have one.
	Links Links
}

// Fleet holds the listed instances and chooses among them. It is safe for concurrent use, except
// that calls of Update and Apply must not overlap.
type Fleet struct {
	o    Options
	view atomic.Pointer[view]
	// local is nil before the first call of SetLocalPrefixes.
	local atomic.Pointer[localPrefixes]

	mu sync.Mutex
	// loads are the loads of the listed instances and of those in unlisted, which still have requests
	// in flight.
	loads    map[state.InstanceID]*Load
	unlisted map[state.InstanceID]bool
	// speeds are those last set by SetSpeeds.
	speeds map[state.InstanceID]float64
}

// NewFleet returns an empty fleet.
func NewFleet(o Options) *Fleet {
	f := &Fleet{o: o, loads: map[state.InstanceID]*Load{}, unlisted: map[state.InstanceID]bool{}}
	f.view.Store(newView())
	return f
}

// Update replaces the list of instances.
func (f *Fleet) Update(instances []state.Instance) {
	listed := make(map[state.InstanceID]bool, len(instances))
	for _, i := range instances {
		listed[i.ID] = true
	}
	c := state.InstanceChanges{Set: instances}
	for id := range f.view.Load().byID.all() {
		if !listed[id] {
			c.Removed = append(c.Removed, id)
		}
	}
	f.Apply(c)
}

// Apply applies changes of the list. Draining instances stay listed but are never chosen. The load of
// an instance that is no longer listed is kept until nothing is in flight there.
func (f *Fleet) Apply(c state.InstanceChanges) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	var removed, added []*Runner
	for _, id := range c.Removed {
		if r := v.byID.get(id); r != nil && !f.unlisted[id] {
			removed = append(removed, r)
			f.unlisted[id] = true
		}
	}
	for _, i := range c.Set {
		if r := v.byID.get(i.ID); r != nil && !f.unlisted[i.ID] {
			removed = append(removed, r)
		}
		delete(f.unlisted, i.ID)
		load := f.load(i.ID)
		load.confirmRole(i.Role)
		added = append(added, &Runner{&i, load})
	}
	f.forgetIdle()
	f.view.Store(v.with(removed, added))
}

// load returns the load of an instance, and creates it if there is none; f.mu is held.
func (f *Fleet) load(id state.InstanceID) *Load {
	load := f.loads[id]
	if load == nil {
		load = newLoad(f.o.Clock)
		f.loads[id] = load
		if speed, known := f.speeds[id]; known {
			load.setWeight(speed)
		}
	}
	return load
}

// forgetIdle drops the loads of unlisted instances without requests in flight; f.mu is held.
func (f *Fleet) forgetIdle() {
	for id := range f.unlisted {
		if f.loads[id].InFlight() == 0 {
			delete(f.loads, id)
			delete(f.unlisted, id)
		}
	}
}

// Instances returns all listed instances of a service, draining ones included.
func (f *Fleet) Instances(service string) []state.Instance {
	var out []state.Instance
	for _, r := range f.view.Load().byID.all() {
		if r.Instance.Service == service {
			out = append(out, *r.Instance)
		}
	}
	return out
}

// pool returns the runners of a pool; there are none if the service or the version isn't known.
func (f *Fleet) pool(p Pool) *poolRunners {
	if r := f.view.Load().byPool[p]; r != nil {
		return r
	}
	return newPoolRunners()
}

// service returns the runners of a service, of all versions.
func (f *Fleet) service(name string) *poolRunners { return f.pool(Pool{Service: name}) }

// Versions returns the number of instances that accept work, by service and version.
func (f *Fleet) Versions() map[Pool]int {
	out := map[Pool]int{}
	for p, r := range f.view.Load().byPool {
		if p.Version != "" {
			out[p] = r.all.size
		}
	}
	return out
}

// SetNoted sets the versions of a service that the store has noted. Runners of other versions aren't in the service's pool
// of noted ones.
func (f *Fleet) SetNoted(service string, versions []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Store(f.view.Load().withNoted(service, versions))
}

// NotedSize returns the number of instances of a service that accept work, and of those among them whose version is noted.
func (f *Fleet) NotedSize(service string) (all, noted int) {
	v := f.view.Load()
	if s := v.byPool[Pool{Service: service}]; s != nil {
		all = s.all.size
	}
	if s := v.byPool[Pool{Service: service, Noted: true}]; s != nil {
		noted = s.all.size
	}
	return all, noted
}

// IsNoted reports whether the store has noted the version of an instance, or the instance has none.
func (f *Fleet) IsNoted(i *state.Instance) bool {
	return i.Version == "" || f.view.Load().noted[Pool{Service: i.Service, Version: i.Version}]
}

// Size returns the number of instances of a service that accept work.
func (f *Fleet) Size(service string) int { return f.service(service).all.size }

// Runners returns the instances of a service that accept work.
func (f *Fleet) Runners(service string) []*Runner { return f.service(service).all.all() }

// SeparatesPrefill reports whether some of the service's engines only compute prompts.
func (f *Fleet) SeparatesPrefill(service string) bool { return f.service(service).prefillOnly > 0 }

// ExpectRole avoids engines that are about to change to the role, since an engine refuses work
// during the change. It ends for an engine when the list shows the role, or after the timeout.
func (f *Fleet) ExpectRole(engines []state.InstanceID, role state.Role, timeout time.Duration) {
	v := f.view.Load()
	for _, id := range engines {
		if r := v.byID.get(id); r != nil && r.Instance.Role != role {
			r.expectRole(role, timeout)
		}
	}
}

// Runner returns an instance with its load, or nil if it isn't listed.
func (f *Fleet) Runner(id state.InstanceID) *Runner { return f.view.Load().byID.get(id) }

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
	return f.Size(r.Instance.Service)
}

// Accepts reports whether the instance is listed and not draining.
func (f *Fleet) Accepts(id state.InstanceID) bool {
	r := f.view.Load().byID.get(id)
	return r != nil && !r.Instance.Draining
}

// Replaced reports whether the instance is no longer listed while another one, or a later run of
// the same one, is listed at its address.
func (f *Fleet) Replaced(former *state.Instance) bool {
	v := f.view.Load()
	return v.byID.get(former.ID) == nil && v.byAddr.get(former.Addr) != nil
}

// ChooseForCall chooses a runner for a call of a plain service: the one with the lowest product
// of requests in flight and latency. tried lists instances that must not be chosen again. It
// returns nil if there is none.
func (f *Fleet) ChooseForCall(p Pool, tried []state.InstanceID) *Runner {
	return f.choose(f.pool(p).all, "", tried, func(_ []*Runner, r *Runner) float64 {
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
func (f *Fleet) ChooseForDecode(p Pool, session, near string, tried []state.InstanceID) *Runner {
	if near == "" {
		near = f.o.FailureDomain
	}
	return f.choose(f.pool(p).decode, session, tried, func(group []*Runner, r *Runner) float64 {
		otherDomain := r.Instance.FailureDomain != near
		if session == "" {
			return inFlightTime(r) + crossDomainPenalty*indicator(otherDomain)
		}
		return sessionScore(session, r) + indicator(otherDomain) + 2*indicator(exceedsLoadLimit(group, r, crossDomainPenalty))
	})
}

// ChooseForBackup chooses an engine that decodes for the backup of a run at another engine. It
// prefers the same failure domain, except between spot engines, since all spot engines of a
// failure domain are lost together.
func (f *Fleet) ChooseForBackup(p Pool, engine *state.Instance, tried []state.InstanceID) *Runner {
	return f.choose(f.pool(p).decode, "", tried, func(_ []*Runner, r *Runner) float64 {
		sameDomain := r.Instance.FailureDomain == engine.FailureDomain
		return float64(r.InFlight()+1) + crossDomainPenalty*indicator(!sameDomain) + sharedFailurePenalty*indicator(sameDomain && engine.Spot && r.Instance.Spot)
	})
}

// sharedFailurePenalty makes an engine the last choice, except for suspects, for the backup of an
// engine that is lost together with it.
const sharedFailurePenalty = 1e3

// sessionScore orders the engines of a session from 0 to 1, equally at all hosts that know the same
// weights. It depends on the name and the weight only, so an engine that restarts under its name keeps
// its sessions, unless it is uneven.
func sessionScore(session string, r *Runner) float64 {
	return r.weight.Load().of(float64(xxhash.Sum64String(session+r.Instance.ID.Name)) / (1 << 64))
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
// after the others. If the service's prefixes are local, the order is that of chooseLocal.
func (f *Fleet) ChooseForPrefill(p Pool, session string, tried []state.InstanceID) *Runner {
	if f.local.Load().applies(p.Service) {
		return f.chooseLocal(p, session, tried)
	}
	return f.choose(f.pool(p).prefill, session, tried, func(group []*Runner, r *Runner) float64 {
		if session == "" {
			return inFlightTime(r)
		}
		return sessionScore(session, r) + indicator(exceedsLoadLimit(group, r, 0))
	})
}

// The load limit of an engine is loadFactor times the mean of this host's requests in flight per
// engine of its group, in proportion to its weight, plus loadSlack requests. A host has only one or two
// prompts in flight per engine, so the slack has the larger effect.
const (
	loadFactor = 1
	loadSlack  = 1
)

// exceedsLoadLimit reports whether more of this host's requests are in flight at an engine than the
// load limit and slack allow.
func exceedsLoadLimit(group []*Runner, r *Runner, slack float64) bool {
	excess := float64(r.InFlight()) - loadSlack - slack
	if excess <= 0 {
		return false
	}
	total, weights := int64(0), 0.0
	for _, other := range group {
		total += other.InFlight()
		weights += other.Weight()
	}
	return excess > loadFactor*float64(total)*r.Weight()/weights
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
func (f *Fleet) EarliestAvailable(p Pool, phase Phase, tried []state.InstanceID) (*Runner, time.Time) {
	var best *Runner
	var bestAt time.Time
	for _, group := range f.pool(p).forPhase(phase).groups {
		for _, r := range group {
			if slices.Contains(tried, r.Instance.ID) {
				continue
			}
			at := f.opensAt(r)
			if at.IsZero() {
				return r, at
			}
			if best == nil || at.Before(bestAt) {
				best, bestAt = r, at
			}
		}
	}
	return best, bestAt
}

// forPhase returns the runners that can do the phase.
func (s *poolRunners) forPhase(phase Phase) index {
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

// NextAttempt returns when the next attempt to connect to a runner that can do the phase is made, if this
// host has no path to any of them; zero if there may be one. It is zero if there is no runner.
func (f *Fleet) NextAttempt(p Pool, phase Phase) time.Time {
	var first time.Time
	for _, group := range f.pool(p).forPhase(phase).groups {
		for _, r := range group {
			at := f.nextAttempt(r)
			if at.IsZero() {
				return at
			}
			if first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	return first
}

// nextAttempt returns when the next attempt to connect to a runner is made; zero if there may be a path.
func (f *Fleet) nextAttempt(r *Runner) time.Time {
	if f.o.Links == nil {
		return time.Time{}
	}
	return f.o.Links.NextAttempt(r.Instance.ID)
}

// costFunc is the cost of a runner of a group.
type costFunc func(group []*Runner, r *Runner) float64

// choose returns the runner of the least cost in the session's group. The next groups are tried in
// turn while a group has only suspects, or none that accepts work.
func (f *Fleet) choose(x index, session string, tried []state.InstanceID, cost costFunc) *Runner {
	return f.chooseGroup(x, session, func(group []*Runner) (*Runner, float64) { return f.leastCost(group, tried, cost) })
}

// chooseGroup is choose with the given choice within a group.
func (f *Fleet) chooseGroup(x index, session string, least func(group []*Runner) (*Runner, float64)) *Runner {
	var best *Runner
	bestCost := 0.0
	first := x.first(session)
	for n := range x.groups {
		r, c := least(x.group(first + n))
		if r != nil && (best == nil || c < bestCost) {
			best, bestCost = r, c
		}
		if best != nil && bestCost < suspectPenalty {
			break
		}
	}
	return best
}

// leastCost returns the runner of the least cost among those that accept work, and its cost. Recent
// failures raise the cost, and suspects are chosen only if there is nothing else. Ties are broken at
// random, so that hosts don't all choose the same runner.
func (f *Fleet) leastCost(group []*Runner, tried []state.InstanceID, cost costFunc) (best *Runner, bestCost float64) {
	now := f.o.Clock.Now()
	ties := 0
	for _, r := range group {
		if slices.Contains(tried, r.Instance.ID) || !f.opensAt(r).IsZero() {
			continue
		}
		c := cost(group, r) * (1 + failureWeight*r.FailureRate(now))
		if r.Suspect(now) {
			c += suspectPenalty
		}
		if !f.nextAttempt(r).IsZero() {
			c += noPathPenalty
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
	return best, bestCost
}

const (
	// failureWeight makes a runner that fails half of its requests cost three times as much.
	failureWeight = 4
	// suspectPenalty exceeds every cost of a runner that isn't a suspect.
	suspectPenalty = 1e6
	// noPathPenalty makes a runner without a path cost more than a suspect, which may answer.
	noPathPenalty = 2 * suspectPenalty
)
