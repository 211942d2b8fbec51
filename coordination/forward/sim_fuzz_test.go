package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/fuzztest"
)

func TestMain(m *testing.M) { fuzztest.Main(m, fuzztest.Defaults{Seed: 37, Checks: 25}) }

// simEvent is an event in a simFleet that is under load.
type simEvent struct {
	// kind says what happens, and which of runner, host and value it concerns; see apply.
	kind   string
	runner string
	host   int
	value  float64
	// runFor is how long the load runs until the next event.
	runFor time.Duration
}

// drawEvents draws a sequence of events.
func drawEvents(rt *rapid.T, hosts int) []simEvent {
	limits := []float64{0, 0.1, 1, 3, 8.4, 20, 50}
	runners := []string{"d0", "d1", "p4", "s12", "s13"}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) simEvent {
		return simEvent{
			kind:   rapid.SampledFrom([]string{"limit", "limit", "lift", "leave", "rest", "wake", "split", "heal", "lose", "suspend", "restart"}).Draw(rt, "what"),
			runner: rapid.SampledFrom(runners).Draw(rt, "runner"),
			host:   rapid.IntRange(0, hosts-1).Draw(rt, "host"),
			value:  rapid.SampledFrom(limits).Draw(rt, "value"),
			runFor: time.Duration(rapid.IntRange(200, 5000).Draw(rt, "then_ms")) * time.Millisecond,
		}
	}), 2, 8).Draw(rt, "plan")
}

// apply makes the event happen.
func (f *simFleet) apply(e simEvent) {
	switch e.kind {
	case "limit":
		f.changeAdvice(e.runner, func(r *simRunner) { r.limited, r.limit = true, e.value })
	case "lift":
		f.changeAdvice(e.runner, func(r *simRunner) { r.limited = false })
	case "restart":
		f.changeAdvice(e.runner, func(r *simRunner) {
			r.born++
			r.limited, r.leaving, r.rejecting = false, false, false
		})
		time.AfterFunc(time.Second, f.updateRunnerList)
	case "leave":
		f.changeAdvice(e.runner, func(r *simRunner) { r.leaving = true })
	case "rest": // of different lengths, one after the other
		f.changeAdvice(e.runner, func(r *simRunner) { r.rejecting, r.backoff = true, time.Duration(100+50*e.value)*time.Millisecond })
	case "wake":
		f.changeAdvice(e.runner, func(r *simRunner) { r.rejecting = false })
	case "split": // into partitions of different sizes
		f.mu.Lock()
		for n, h := range f.hosts {
			h.partition = n % (1 + int(e.value))
		}
		f.mu.Unlock()
	case "heal":
		f.mu.Lock()
		for _, h := range f.hosts {
			h.partition = 0
		}
		f.mu.Unlock()
	case "lose":
		f.mu.Lock()
		f.hosts[e.host].down = true
		f.mu.Unlock()
		time.AfterFunc(10*time.Second, f.updateHostList)
	case "suspend":
		f.hosts[e.host].clock.Suspend(time.Duration(e.value+1) * time.Second)
	}
}

// changeAdvice changes a runner's advice and records when its limit changed.
func (f *simFleet) changeAdvice(name string, change func(r *simRunner)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runner(name)
	change(r)
	r.limitChanges = append(r.limitChanges, limitChange{from: time.Now(), born: r.born, limited: r.limited, limit: r.limit})
}

// limitGrace is how long after a limit was set, or sent to a host, requests begin to count.
const limitGrace = 500 * time.Millisecond

// checkLimits returns the violations: more requests than allowed in some window of one limit.
// Hosts that are partitioned from others can't know a limit before the runner has sent it to
// them, and their requests count from then on.
func (f *simFleet) checkLimits(partitioned bool) []string {
	var counts func(arrival) bool
	if partitioned {
		counts = func(a arrival) bool { return !a.limitToldAt.IsZero() && a.at.Sub(a.limitToldAt) >= limitGrace }
	}
	var out []string
	for _, r := range f.runners {
		for n, a := range r.limitChanges {
			if !a.limited {
				continue
			}
			to := time.Now()
			if n+1 < len(r.limitChanges) {
				to = r.limitChanges[n+1].from
			}
			got := r.maxInWindow(limitWindow, a.from.Add(limitGrace), to, counts)
			if bound := limitFactor*a.limit*limitWindow.Seconds() + limitSlack; float64(got) > bound {
				out = append(out, fmt.Sprintf("%s has a limit of %.1f requests/s and received %d in %s", r.name, a.limit, got, limitWindow))
			}
		}
	}
	return out
}

// checkLeaving returns the violations: a request from a host that was told, longer ago than
// leavingDeadline, that the run leaves, or, without partitions, one that long after the first
// host was told.
func (f *simFleet) checkLeaving(partitioned bool) []string {
	var out []string
	for _, r := range f.runners {
		first := map[int64]time.Time{}
		for _, a := range r.arrivals {
			if a.leavingToldAt.IsZero() && first[a.born].IsZero() {
				continue
			}
			if first[a.born].IsZero() {
				first[a.born] = a.leavingToldAt
			}
			told := a.leavingToldAt
			if !partitioned {
				told = first[a.born]
			}
			if late := a.at.Sub(told); !told.IsZero() && late > leavingDeadline {
				out = append(out, fmt.Sprintf("%s received a request from %s %s after it announced that it leaves", r.name, a.host, late))
			}
		}
	}
	return out
}

// checkBackoffs returns the violations: requests during a backoff.
func (f *simFleet) checkBackoffs() []string {
	var out []string
	for _, r := range f.runners {
		if n, _ := r.duringBackoff(); n > 0 {
			out = append(out, fmt.Sprintf("%s received %d requests during backoffs", r.name, n))
		}
	}
	return out
}

// Whatever happens to hosts, runners and the network between hosts, no runner receives more
// than its limit allows, nothing after it announced that it leaves and nothing during a
// backoff, and callers are served while other runners have capacity.
func TestHoldsAdviceOfRunners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 2, 3, 7, 20, 83, 300}).Draw(rt, "hosts")
		plan := drawEvents(rt, hosts)
		l := load{longPrompts: 60, shortPrompts: 10, calls: 60, share: rapid.SampledFrom([]func(int) float64{nil, onlyFirstHost, skewedShare}).Draw(rt, "share")}
		seed := rapid.Uint64().Draw(rt, "seed")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(t, hosts)
			rng := rand.New(rand.NewPCG(seed, 1))
			f.runLoad(rng, l, time.Second)
			for _, e := range plan {
				f.apply(e)
				f.runLoad(rng, l, e.runFor)
			}
			f.runLoad(rng, l, 5*time.Second)
			time.Sleep(15 * time.Second)
			partitioned := slices.ContainsFunc(plan, func(e simEvent) bool { return e.kind == "split" || e.kind == "lose" })
			problems = f.checkLimits(partitioned)
			problems = append(problems, f.checkLeaving(partitioned)...)
			problems = append(problems, f.checkBackoffs()...)
			// A request may be sent to two runners; both may begin a backoff, or have
			// restarted, just then.
			if f.unserved > f.unavoidableRejections()/2 {
				problems = append(problems, fmt.Sprintf("%d of %d requests were not served although runners have capacity: %v", f.unserved, f.served+f.unserved, f.refused))
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%v\n%+v", slices.Compact(problems), plan)
		}
	})
}
