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

// indexMaxAge is how long an index is used though newer views exist. A view
// changes with every load report; the groups of runners change seldom.
const indexMaxAge = 50 * time.Millisecond

// groupKey names runners that serve the same part with the same model.
type groupKey struct {
	service string
	part    Part
	model   string // a model or adapter, anyModel or unknownModel
}

const (
	// anyModel names all runners, whatever they have loaded.
	anyModel = ""
	// unknownModel names those whose model isn't known yet.
	unknownModel = "@"
)

// runnerIndex lists the runners to sample from and what is learnt of them. It is a
// hint: every candidate is filtered again against the present view.
type runnerIndex struct {
	viewSeq uint64
	builtAt time.Time
	stats   map[string]*runnerStats
	// statsByService is what is learnt of each service's runners, in the view's order.
	statsByService map[string][]*runnerStats
	groups         map[groupKey]*group
	// hasSplitRoles holds the services with engines that serve one part only.
	hasSplitRoles map[string]bool
}

// sharedIndex keeps the present index. Readers load it without waiting; a
// rebuild is done by one of them while the others go on with the old one.
type sharedIndex struct {
	current atomic.Pointer[runnerIndex]
	mu      sync.Mutex
}

// indexFor returns an index that is at most indexMaxAge behind the view.
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

// rebuild returns an index no older than the view; it waits for a rebuild that
// is under way.
func (r *Router) rebuild(v *snapshot.View, now time.Time) *runnerIndex {
	r.index.mu.Lock()
	defer r.index.mu.Unlock()
	if x := r.index.current.Load(); x != nil && x.viewSeq >= v.Seq {
		return x
	}
	return r.replaceIndex(v, now)
}

// replaceIndex builds the index of v; index.mu is held.
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
		n := &v.Runners[i]
		st := previousStats[n.Name]
		if st == nil {
			st = newRunnerStats(n.Name, r.defaultSpeeds)
		}
		st.observe(n)
		x.stats[n.Name] = st
		x.statsByService[n.Service] = append(x.statsByService[n.Service], st)
		x.addRunner(n)
	}
	x.updateSlowdowns()
	x.buildRings(r.index.current.Load())
	r.index.current.Store(x)
	return x
}

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

// updateSlowdowns relates each runner's bias to the mean of the service's others: a
// prediction that is off for all alike says nothing of any of them.
func (x *runnerIndex) updateSlowdowns() {
	for _, list := range x.statsByService {
		if len(list) < 2 {
			continue // there is nothing to compare it with
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

// buildRings orders each group's runners on its ring; the rings of groups that
// stayed the same are taken over.
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
