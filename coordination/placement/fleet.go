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
	byService map[string]*runners
	byID      map[state.InstanceID]*Runner
}

// runners are the instances of a service that take work.
type runners struct {
	all []*Runner
	// reading and generating are the engines of either role; those of both are in
	// both. apart is set if some only read prompts.
	reading, generating []*Runner
	apart               bool
}

func (s *runners) add(r *Runner) {
	s.all = append(s.all, r)
	switch r.Instance.Role {
	case state.RolePrefill:
		s.apart = true
		s.reading = append(s.reading, r)
	case state.RoleDecode:
		s.generating = append(s.generating, r)
	default:
		s.reading = append(s.reading, r)
		s.generating = append(s.generating, r)
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
	f.view.Store(&view{byService: map[string]*runners{}, byID: map[state.InstanceID]*Runner{}})
	return f
}

// Update replaces the list. Draining instances stay known but are never chosen.
func (f *Fleet) Update(instances []state.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &view{byService: map[string]*runners{}, byID: make(map[state.InstanceID]*Runner, len(instances))}
	for i := range instances {
		inst := &instances[i]
		load := f.loads[inst.ID]
		if load == nil {
			load = newLoad(f.o.Clock)
			f.loads[inst.ID] = load
		}
		load.listed(inst.Role)
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
		s = &runners{}
		v.byService[r.Instance.Service] = s
	}
	s.add(r)
}

// Listed returns all instances of a service, also those that are draining.
func (f *Fleet) Listed(service string) []state.Instance {
	var out []state.Instance
	for _, r := range f.view.Load().byID {
		if r.Instance.Service == service {
			out = append(out, *r.Instance)
		}
	}
	return out
}

// service returns the runners of a service; none if it isn't known.
func (f *Fleet) service(name string) runners {
	if s := f.view.Load().byService[name]; s != nil {
		return *s
	}
	return runners{}
}

// Runners returns the instances of a service that take work.
func (f *Fleet) Runners(service string) []*Runner { return f.service(service).all }

// ReadsApart reports whether some of the service's engines only read prompts.
func (f *Fleet) ReadsApart(service string) bool { return f.service(service).apart }

// Expect avoids engines that are about to take a role until the list shows it, for so
// long at most: an engine refuses work while it changes.
func (f *Fleet) Expect(engines []state.InstanceID, role state.Role, within time.Duration) {
	v := f.view.Load()
	for _, id := range engines {
		if r := v.byID[id]; r != nil && r.Instance.Role != role {
			r.expect(role, within)
		}
	}
}

// Runner returns an instance with what is known of it, or nil.
func (f *Fleet) Runner(id state.InstanceID) *Runner { return f.view.Load().byID[id] }

// Judge takes other hosts' word of a runner: that it is silent, for so long, or, with 0,
// that it answers again.
func (f *Fleet) Judge(id state.InstanceID, silentFor time.Duration) {
	if r := f.Runner(id); r != nil {
		r.judge(silentFor)
	}
}

// Siblings is the number of runners of the instance's service; 0 if it isn't listed.
func (f *Fleet) Siblings(id state.InstanceID) int {
	r := f.Runner(id)
	if r == nil {
		return 0
	}
	return len(f.Runners(r.Instance.Service))
}

// Has reports whether work may be sent to the instance.
func (f *Fleet) Has(id state.InstanceID) bool {
	r := f.view.Load().byID[id]
	return r != nil && !r.Instance.Draining
}

// Replaced reports whether another instance, or a later run of the same, is listed at the
// instance's address.
func (f *Fleet) Replaced(i *state.Instance) bool {
	v := f.view.Load()
	if v.byID[i.ID] != nil {
		return false
	}
	for id, r := range v.byID {
		if r.Instance.Addr == i.Addr && id != i.ID {
			return true
		}
	}
	return false
}

// Call chooses a runner for a call of a plain service: the one with the shortest
// expected wait. tried names instances that are not to be chosen again. It
// returns nil when there is none.
func (f *Fleet) Call(service string, tried []state.InstanceID) *Runner {
	return f.least(f.Runners(service), tried, func(r *Runner) float64 {
		cost := float64(r.InFlight()+1) * r.Latency().Seconds()
		if r.Instance.FailureDomain != f.o.FailureDomain {
			cost *= farCost
		}
		return cost
	})
}

// farCost makes a runner of another failure domain look slower by the time that
// a request and its answer take between domains (2.8 ms on about 17 ms on the sites of today).
const farCost = 1.15

// farLoad is how many more requests an engine of the own failure domain may have
// in flight than another before the other is chosen: bytes between domains cost.
const farLoad = 3

// Decode chooses an engine that generates: the one with the least in flight from
// this host, near the failure domain that is named or else near the host itself. A
// session's requests go to the same one of that domain while it isn't far busier than
// the others, so that its parts stay there.
func (f *Fleet) Decode(service, session, near string, tried []state.InstanceID) *Runner {
	if near == "" {
		near = f.o.FailureDomain
	}
	runners := f.service(service).generating
	bound := f.bound(runners) + farLoad
	return f.least(runners, tried, func(r *Runner) float64 {
		far := r.Instance.FailureDomain != near
		if session == "" {
			return float64(r.InFlight()+1) + farLoad*oneIf(far)
		}
		return score(session, r) + oneIf(far) + 2*oneIf(float64(r.InFlight()) > bound)
	})
}

// Standby chooses an engine that generates for the copy of a run at an engine: near it, but for
// spot engines, which are lost with all spot engines of their failure domain.
func (f *Fleet) Standby(service string, at *state.Instance, tried []state.InstanceID) *Runner {
	return f.least(f.service(service).generating, tried, func(r *Runner) float64 {
		near := r.Instance.FailureDomain == at.FailureDomain
		return float64(r.InFlight()+1) + farLoad*oneIf(!near) + sharedLoss*oneIf(near && at.Spot && r.Instance.Spot)
	})
}

// sharedLoss makes an engine that is lost together with another the last choice among sound
// ones for what must outlive that.
const sharedLoss = 1e3

// score orders the engines of a session, the same way at all hosts, from 0 to 1. An engine
// that restarts under its name keeps its sessions.
func score(session string, r *Runner) float64 {
	return float64(xxhash.Sum64String(session+r.Instance.ID.Name)) / (1 << 64)
}

// oneIf is 1 for true and 0 for false.
func oneIf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// Prefill chooses the engine that reads a session's prompts. All hosts put a
// session at the same engine without talking, so that its shared parts stay
// there, and name the same others after it; an engine with far more from this host
// than the others is passed over.
func (f *Fleet) Prefill(service, session string, tried []state.InstanceID) *Runner {
	runners := f.service(service).reading
	if session == "" {
		return f.least(runners, tried, func(r *Runner) float64 { return float64(r.InFlight() + 1) })
	}
	bound := f.bound(runners)
	return f.least(runners, tried, func(r *Runner) float64 {
		return score(session, r) + oneIf(float64(r.InFlight()) > bound)
	})
}

// The bound of an engine's load from this host: loadFactor times the mean and
// loadSlack requests more. A host has one or two prompts in flight an engine at
// the sizes of today, so that the slack is what counts (docs/MEASUREMENTS.md).
const (
	loadFactor = 1
	loadSlack  = 1
)

func (f *Fleet) bound(runners []*Runner) float64 {
	if len(runners) == 0 {
		return 0
	}
	total := int64(0)
	for _, r := range runners {
		total += r.InFlight()
	}
	return loadFactor*float64(total)/float64(len(runners)) + loadSlack
}

// Part is what a runner is to do.
type Part int

// The parts.
const (
	// PartCall is a call of a plain service.
	PartCall Part = iota
	// PartRead is the reading of a prompt apart.
	PartRead
	// PartGenerate is the rest of a model request.
	PartGenerate
)

// Soonest is the runner that is the first to take such work again, and when; the time is zero
// if one does now. It returns nil if there is none.
func (f *Fleet) Soonest(service string, p Part, tried []state.InstanceID) (*Runner, time.Time) {
	var best *Runner
	var bestAt time.Time
	for _, r := range f.service(service).of(p) {
		if slices.Contains(tried, r.Instance.ID) {
			continue
		}
		if at := f.opensAt(r); best == nil || at.Before(bestAt) {
			best, bestAt = r, at
		}
	}
	return best, bestAt
}

func (s runners) of(p Part) []*Runner {
	switch p {
	case PartRead:
		return s.reading
	case PartGenerate:
		return s.generating
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

// least returns the runner of least cost among those that take work; runners that lately
// failed cost more, and suspects are taken only when nothing else is left. Ties are broken at
// random, so that hosts don't all choose the same one.
func (f *Fleet) least(runners []*Runner, tried []state.InstanceID, cost func(*Runner) float64) *Runner {
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
			c += suspectCost
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
	// suspectCost is above every cost of a sound runner.
	suspectCost = 1e6
)
