package order

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/state"
)

// fuzzRun is one run of random actions.
type fuzzRun struct {
	*simulation
	// leasesObeyed restricts steps to planners whose host believes it holds the lease.
	leasesObeyed bool
	entered      int
}

// start is the initial situation of a run.
type start int

const (
	anyStart    start = iota
	freshStart        // no change has been requested
	pausedStart       // the first planner is paused while it sends an order
	lateStart         // as pausedStart, and an earlier copy of the order is still on its way
)

// profile restricts the runs to an engine and a start; the zero profile allows all.
type profile struct {
	engine string
	start  start
}

// fuzz runs random actions and faults on a new simulation, then ends all faults and
// checks that every change finishes. It returns the simulation with the first
// violation.
func fuzz(t *rapid.T, mut mutation, restriction profile) *simulation {
	checking := &fakeEngine{name: "checks", checksFence: true}
	ignoring := &fakeEngine{name: "ignores"}
	fleets := [][]*fakeEngine{{ignoring}, {checking}, {checking, ignoring}}
	fleets = slices.DeleteFunc(fleets, func(f []*fakeEngine) bool {
		return restriction.engine != "" && (len(f) > 1 || f[0].name != restriction.engine)
	})
	fleet := rapid.SampledFrom(fleets).Draw(t, "engines")
	for _, e := range fleet {
		e.hidesInFlight = rapid.Bool().Draw(t, "hides its work")
	}
	w := newSimulation(rapid.IntRange(2, 4).Draw(t, "hosts"), fleet, mut)
	defer w.close()
	r := &fuzzRun{simulation: w, leasesObeyed: rapid.Bool().Draw(t, "leases obeyed")}
	if restriction.start == anyStart {
		restriction.start = rapid.SampledFrom([]start{freshStart, pausedStart, lateStart}).Draw(t, "start")
	}
	if restriction.start != freshStart {
		r.pauseHolder(t, restriction.start)
	}
	actions := r.actions()
	// Half of the runs prefer some actions and omit others, so that rare actions occur
	// together.
	factors := rapid.SampledFrom([][]int{{1}, {1, 4, 0, 10}}).Draw(t, "preferences")
	weighted := []string{actions[0].name}
	for _, a := range actions {
		for range a.weight * rapid.SampledFrom(factors).Draw(t, "preference") {
			weighted = append(weighted, a.name)
		}
	}
	next := rapid.IntRange(0, len(weighted)-1)
	turn := 0
	t.Repeat(map[string]func(*rapid.T){"act": func(t *rapid.T) {
		// The generator prefers small numbers; the turn spreads them evenly.
		turn += len(weighted)/3 + 1
		name := weighted[(next.Draw(t, "action")+turn)%len(weighted)]
		if w.violation != "" {
			return
		}
		w.stats["action: "+name]++
		i := slices.IndexFunc(actions, func(a action) bool { return a.name == name })
		perform(t, actions[i].do)
		r.replaceDead()
		if w.downFor--; w.downFor == 0 {
			w.down = false
		}
	}})
	if w.violation == "" {
		r.recoverAll()
	}
	return w
}

// notApplicable is the panic value of an action that has nothing to act on.
type notApplicable struct{}

// perform runs an action and ignores it if it isn't applicable.
func perform(t *rapid.T, do func(*rapid.T)) {
	defer func() {
		if p := recover(); p != nil && p != (notApplicable{}) {
			panic(p)
		}
	}()
	do(t)
}

// recoverAll ends all faults and reports a violation if a change doesn't finish.
func (r *fuzzRun) recoverAll() {
	r.down = false
	r.leasesObeyed = false
	r.start("host-last")
	for _, h := range r.hosts {
		if h.alive {
			h.goneSince = time.Time{}
		}
		for len(h.processes) > 1 {
			h.processes[1].runTo("")
		}
	}
	last := r.hosts[len(r.hosts)-1]
	for range 60 {
		r.recoverRound(last)
		if r.unfinished() == "" {
			return
		}
	}
	r.report(unfinishedChange, r.unfinished())
}

// recoverRound ends changes and requests at all engines, runs the planner and lets
// the drain timeout elapse.
func (r *fuzzRun) recoverRound(planner *host) {
	for _, e := range r.engines {
		e.changing, e.hung = false, false
	}
	for _, h := range r.hosts {
		for q := range h.requests {
			q.end()
		}
	}
	r.runPlanner(planner)
	r.advance(testDrainTimeout)
}

// unfinished describes a change that hasn't finished; empty if there is none.
func (r *fuzzRun) unfinished() string {
	for _, e := range r.engines {
		o, err := r.orderOf(e.name)
		if err != nil {
			continue
		}
		if o.State == state.OrderDraining || o.State == state.OrderIssued {
			return fmt.Sprintf("%s is %s", e.name, o.State)
		}
		if o.Desired.Model != "" && !e.target.Equal(o.Desired) {
			return fmt.Sprintf("%s is %s instead of %s", e.name, e.target.Role, o.Desired.Role)
		}
	}
	return ""
}
