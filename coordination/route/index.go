package route

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// indexMaxAge is how long an index is used although newer views exist. A view changes
// with every load report, but the groups of runners change rarely.
const indexMaxAge = 50 * time.Millisecond

// groupKey identifies a group of runners.
type groupKey struct {
	service string
	part    Part
	model   string // a model or adapter, anyModel or unknownModel
}

const (
	// anyModel selects all runners, whatever model they have loaded.
	anyModel = ""
	// unknownModel selects the engines whose model isn't known yet.
	unknownModel = "@"
)

// runnerIndex holds the groups of runners to sample from and the runners' statistics.
// It may be older than the view, so every candidate is filtered again against the
// current view.
type runnerIndex struct {
	viewSeq uint64
	builtAt time.Time
	stats   map[string]*runnerStats
	// statsByService holds the statistics of each service's runners, in the order of
	// View.RunnersOf.
	statsByService map[string][]*runnerStats
	groups         map[groupKey]*group
	// hasSplitRoles holds the services with engines that serve only one part.
	hasSplitRoles map[string]bool
}

// sharedIndex publishes the current index. Readers load it without locking; one of
// them rebuilds it under mu while the others use the previous one.
type sharedIndex struct {
	current atomic.Pointer[runnerIndex]
	mu      sync.Mutex
}

// indexFor returns an index for the view. It may be older than the view if it is
// younger than indexMaxAge or another goroutine is rebuilding it.
func (r *Router) indexFor(v *snapshot.View, now time.Time) *runnerIndex {
	x := r.index.current.Load()
	if x == nil {
		return r.rebuild(v, now)
	}
	if x.viewSeq >= v.Seq || now.Sub(x.builtAt) < indexMaxAge || !r.index.mu.TryLock() {
		return x
	}
	defer r.index.mu.Unlock()
	return r.replaceIndex(v, now)
}

// rebuild returns an index at least as recent as the view; it waits for a concurrent
// rebuild.
func (r *Router) rebuild(v *snapshot.View, now time.Time) *runnerIndex {
	r.index.mu.Lock()
	defer r.index.mu.Unlock()
	if x := r.index.current.Load(); x != nil && x.viewSeq >= v.Seq {
		return x
	}
	return r.replaceIndex(v, now)
}

// replaceIndex builds and publishes the index of v; index.mu must be held.
func (r *Router) replaceIndex(v *snapshot.View, now time.Time) *runnerIndex {
	var previousStats map[string]*runnerStats
	if previous := r.index.current.Load(); previous != nil {
		previousStats = previous.stats
	}
	x := &runnerIndex{
		viewSeq: v.Seq, builtAt: now,
		stats:          make(map[string]*runnerStats, len(v.Runners)),
		statsByService: map[string][]*runnerStats{},
		groups:         map[groupKey]*group{},
		hasSplitRoles:  map[string]bool{},
	}
	for i := range v.Runners {
		runner := &v.Runners[i]
		st := previousStats[runner.Name]
		if st == nil {
			st = newRunnerStats(runner.Name, r.defaultSpeeds)
		}
		st.observe(runner)
		x.stats[runner.Name] = st
		x.statsByService[runner.Service] = append(x.statsByService[runner.Service], st)
		x.addRunner(runner)
	}
	x.updateSlowdowns()
	x.buildRings(r.index.current.Load())
	r.index.current.Store(x)
	return x
}

// addRunner adds the runner to the groups of all parts, models and adapters that it
// serves, if it takes new work.
func (x *runnerIndex) addRunner(r *snapshot.Runner) {
	if !r.TakesWork() {
		return
	}
	if r.Target.Role == state.RolePrefill || r.Target.Role == state.RoleDecode {
		x.hasSplitRoles[r.Service] = true
	}
	model, _, _ := strings.Cut(r.Target.Model, "@")
	if model == "" && r.Kind == state.KindEngine {
		model = unknownModel
	}
	for p := PartWhole; p <= PartDecode; p++ {
		if !roleServes(r.Target.Role, p) {
			continue
		}
		x.addToGroup(groupKey{r.Service, p, anyModel}, r.Name)
		if model != anyModel {
			x.addToGroup(groupKey{r.Service, p, model}, r.Name)
		}
		for _, a := range r.Target.Adapters {
			x.addToGroup(groupKey{r.Service, p, a}, r.Name)
		}
	}
}

// updateSlowdowns relates each runner's first-token bias to the mean of the other
// runners of its service: an error that all predictions share says nothing about a
// single runner.
func (x *runnerIndex) updateSlowdowns() {
	for _, list := range x.statsByService {
		if len(list) < 2 {
			continue // a single runner can't be compared
		}
		sum := 0.0
		for _, st := range list {
			sum += st.firstTokenBias.Load()
		}
		others := float64(len(list) - 1)
		for _, st := range list {
			bias := st.firstTokenBias.Load()
			st.slowdown.Store(slowdownOf(bias * others / (sum - bias)))
		}
	}
}

func (x *runnerIndex) addToGroup(k groupKey, name string) {
	g := x.groups[k]
	if g == nil {
		g = &group{}
		x.groups[k] = g
	}
	g.names = append(g.names, name)
}

// buildRings builds the ring of each group; the ring of a group with the same runners
// as in the previous index is reused.
func (x *runnerIndex) buildRings(previous *runnerIndex) {
	for k, g := range x.groups {
		if previous != nil {
			if old := previous.groups[k]; old != nil && slices.Equal(old.names, g.names) {
				g.ring = old.ring
				continue
			}
		}
		g.ring = newRing(g.names, x.stats)
	}
}
