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

// happening is one thing that happens to an advisedFleet while callers ask.
type happening struct {
	what   string
	runner string
	host   int
	value  float64
	// then is how long callers ask until the next one.
	then time.Duration
}

// happenings draws a plan.
func happenings(rt *rapid.T, hosts int) []happening {
	limits := []float64{0, 0.1, 1, 3, 8.4, 20, 50}
	runners := []string{"d0", "d1", "p4", "s12", "s13"}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) happening {
		return happening{
			what:   rapid.SampledFrom([]string{"limit", "limit", "lift", "leave", "rest", "wake", "split", "heal", "lose", "suspend", "restart"}).Draw(rt, "what"),
			runner: rapid.SampledFrom(runners).Draw(rt, "runner"),
			host:   rapid.IntRange(0, hosts-1).Draw(rt, "host"),
			value:  rapid.SampledFrom(limits).Draw(rt, "value"),
			then:   time.Duration(rapid.IntRange(200, 5000).Draw(rt, "then_ms")) * time.Millisecond,
		}
	}), 2, 8).Draw(rt, "plan")
}

// do makes it happen.
func (f *advisedFleet) do(e happening) {
	switch e.what {
	case "limit":
		f.change(e.runner, func(r *advisedRunner) { r.limited, r.limit = true, e.value })
	case "lift":
		f.change(e.runner, func(r *advisedRunner) { r.limited = false })
	case "restart":
		f.change(e.runner, func(r *advisedRunner) {
			r.born++
			r.limited, r.leaving, r.resting = false, false, false
		})
		time.AfterFunc(time.Second, f.list)
	case "leave":
		f.change(e.runner, func(r *advisedRunner) { r.leaving = true })
	case "rest": // of different lengths, one after the other
		f.change(e.runner, func(r *advisedRunner) { r.resting, r.rest = true, time.Duration(100+50*e.value)*time.Millisecond })
	case "wake":
		f.change(e.runner, func(r *advisedRunner) { r.resting = false })
	case "split": // into parts of different sizes
		f.mu.Lock()
		for n, h := range f.hosts {
			h.island = n % (1 + int(e.value))
		}
		f.mu.Unlock()
	case "heal":
		f.mu.Lock()
		for _, h := range f.hosts {
			h.island = 0
		}
		f.mu.Unlock()
	case "lose":
		f.mu.Lock()
		f.hosts[e.host].gone = true
		f.mu.Unlock()
		time.AfterFunc(10*time.Second, f.listHosts)
	case "suspend":
		f.hosts[e.host].clock.Suspend(time.Duration(e.value+1) * time.Second)
	}
}

// change changes what a runner asks, and notes when.
func (f *advisedFleet) change(name string, change func(r *advisedRunner)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runner(name)
	change(r)
	r.asked = append(r.asked, asking{from: time.Now(), born: r.born, limited: r.limited, limit: r.limit})
}

// settledAfter is how long after a limit was named, or told to a host, requests count.
const settledAfter = 500 * time.Millisecond

// judgeLimits returns what broke: more than the bound in some window of one limit. Hosts that
// are cut off from the others can't know before the runner has told them, and count from then.
func (f *advisedFleet) judgeLimits(cut bool) []string {
	var counts func(arrival) bool
	if cut {
		counts = func(a arrival) bool { return !a.toldLimit.IsZero() && a.at.Sub(a.toldLimit) >= settledAfter }
	}
	var out []string
	for _, r := range f.runners {
		for n, a := range r.asked {
			if !a.limited {
				continue
			}
			to := time.Now()
			if n+1 < len(r.asked) {
				to = r.asked[n+1].from
			}
			got := r.mostIn(limitWindow, a.from.Add(settledAfter), to, counts)
			if bound := limitFactor*a.limit*limitWindow.Seconds() + limitSlack; float64(got) > bound {
				out = append(out, fmt.Sprintf("%s names %.1f a second and got %d in %s", r.name, a.limit, got, limitWindow))
			}
		}
	}
	return out
}

// judgeLeaving returns what broke: a request from a host that had been told, longer ago than the
// bound, that the run leaves, or, where no host was cut off, that came after the first was told.
func (f *advisedFleet) judgeLeaving(cut bool) []string {
	var out []string
	for _, r := range f.runners {
		first := map[int64]time.Time{}
		for _, a := range r.arrivals {
			if a.toldLeaving.IsZero() && first[a.born].IsZero() {
				continue
			}
			if first[a.born].IsZero() {
				first[a.born] = a.toldLeaving
			}
			told := a.toldLeaving
			if !cut {
				told = first[a.born]
			}
			if late := a.at.Sub(told); !told.IsZero() && late > leavingWithin {
				out = append(out, fmt.Sprintf("%s got a request of %s %s after it said that it leaves", r.name, a.host, late))
			}
		}
	}
	return out
}

// judgeRests returns what broke: a request in a rest.
func (f *advisedFleet) judgeRests() []string {
	var out []string
	for _, r := range f.runners {
		if n, _ := r.inRest(); n > 0 {
			out = append(out, fmt.Sprintf("%s got %d requests in rests", r.name, n))
		}
	}
	return out
}

// Whatever happens to hosts, runners and the ways between hosts, no runner gets more than the
// limit that it names allows, nothing after it said that it leaves and nothing in a rest, and
// callers are served while other runners have room.
func TestHoldsAdviceOfRunners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 2, 3, 7, 20, 83, 300}).Draw(rt, "hosts")
		plan := happenings(rt, hosts)
		l := load{prompts: 60, questions: 10, calls: 60, share: rapid.SampledFrom([]func(int) float64{nil, alone, uneven}).Draw(rt, "share")}
		seed := rapid.Uint64().Draw(rt, "seed")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			f := newAdvisedFleet(t, hosts)
			rng := rand.New(rand.NewPCG(seed, 1))
			f.play(rng, l, time.Second)
			for _, e := range plan {
				f.do(e)
				f.play(rng, l, e.then)
			}
			f.play(rng, l, 5*time.Second)
			time.Sleep(15 * time.Second)
			cut := slices.ContainsFunc(plan, func(e happening) bool { return e.what == "split" || e.what == "lose" })
			problems = f.judgeLimits(cut)
			problems = append(problems, f.judgeLeaving(cut)...)
			problems = append(problems, f.judgeRests()...)
			// A request may be sent to two runners; both may begin to rest, or have restarted, just then.
			if f.unserved > f.firstRefusals()/2 {
				problems = append(problems, fmt.Sprintf("%d of %d requests were not served though runners have room: %v", f.unserved, f.served+f.unserved, f.refused))
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%v\n%+v", slices.Compact(problems), plan)
		}
	})
}
