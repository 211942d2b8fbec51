package placement

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// prefillOrder returns the engines of a session in the order in which they are chosen.
func prefillOrder(f *Fleet, session string) (order []*Runner) {
	var tried []state.InstanceID
	for r := f.ChooseForPrefill(Pool{Service: "s"}, session, nil); r != nil; r = f.ChooseForPrefill(Pool{Service: "s"}, session, tried) {
		order = append(order, r)
		tried = append(tried, r.Instance.ID)
	}
	return order
}

func newLocalFleet(domain string, n int) *Fleet {
	f := newFleet(domain, n, state.RolePrefill)
	f.SetLocalPrefixes([]string{"s"})
	return f
}

// Hosts of a domain that choose differently compute the same prefix several times. The order is: the
// session's first engine of the own domain, its first of each other, the others by score.
func TestLocalOrderOfSession(t *testing.T) {
	is := is.New(t)
	a, b, global := newLocalFleet("d1", 9), newLocalFleet("d1", 9), newFleet("d1", 9, state.RolePrefill)
	is.Equal(a.PrefillRoute("s"), PrefillRoute{Own: "d1", Local: true, Home: "d1"})
	for i := range 200 {
		session := fmt.Sprint("session-", i)
		order, byScore := prefillOrder(a, session), prefillOrder(global, session)
		is.Equal(namesInOrder(order), namesInOrder(prefillOrder(b, session)))
		first := map[string]string{}
		var rest []string
		for _, r := range byScore {
			if first[r.Instance.FailureDomain] == "" {
				first[r.Instance.FailureDomain] = r.Instance.ID.Name
				continue
			}
			rest = append(rest, r.Instance.ID.Name)
		}
		got := namesInOrder(order)
		is.Equal(got[0], first["d1"])
		is.True(slices.Contains(got[1:3], first["d0"]) && slices.Contains(got[1:3], first["d2"]))
		is.Equal(got[3:], rest)
	}
}

func namesInOrder(runners []*Runner) (out []string) {
	for _, r := range runners {
		out = append(out, r.Instance.ID.Name)
	}
	return out
}

// Other services keep the present order exactly, and so does this one after the notices cease.
func TestOrderWithoutLocalPrefixesIsUnchanged(t *testing.T) {
	is := is.New(t)
	global, f := newFleet("d1", 9, state.RolePrefill), newLocalFleet("d1", 9)
	f.SetLocalPrefixes([]string{"other"})
	for i := range 50 {
		session := fmt.Sprint("session-", i)
		is.Equal(namesInOrder(prefillOrder(f, session)), namesInOrder(prefillOrder(global, session)))
		is.Equal(f.PrefillRoute("s"), PrefillRoute{Own: "d1"})
	}
}

// An overloaded or failing first engine must not keep its place: an overloaded one comes last, a suspect
// is replaced by the next engine of its domain.
func TestLocalOrderAvoidsOverloadedAndSuspectEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLocalFleet("d1", 9)
		before := prefillOrder(f, "x")
		for range 10 {
			before[0].Begin()
		}
		order := prefillOrder(f, "x")
		is.Equal(namesInOrder(order)[:3], append(namesInOrder(before)[1:3], namesInOrder(before)[3]))
		is.Equal(order[8], before[0])
		next := slices.IndexFunc(before[1:], func(r *Runner) bool { return r.Instance.FailureDomain == "d1" }) + 1
		before[0].RecordConnectionFailure()
		is.Equal(f.ChooseForPrefill(Pool{Service: "s"}, "x", nil), before[next])
		time.Sleep(10 * time.Second)
		is.True(!before[0].Suspect(time.Now()))
	})
}

// The host's domain has lost its engines: the others' are chosen at once, without a home.
func TestLocalOrderWithoutEnginesInOwnDomain(t *testing.T) {
	is := is.New(t)
	f := newLocalFleet("d1", 9)
	for _, r := range f.Runners("s") {
		if i := *r.Instance; i.FailureDomain == "d1" {
			i.Draining = true
			f.Apply(state.InstanceChanges{Set: []state.Instance{i}})
		}
	}
	is.Equal(f.PrefillRoute("s"), PrefillRoute{Own: "d1", Local: true})
	is.Equal(len(prefillOrder(f, "x")), 6)
}

// Prompts without a session stay in the domain while its engines have few requests.
func TestLocalPromptsWithoutSessionStayInDomain(t *testing.T) {
	is := is.New(t)
	f := newLocalFleet("d1", 9)
	for range 20 {
		is.Equal(f.ChooseForPrefill(Pool{Service: "s"}, "", nil).Instance.FailureDomain, "d1")
	}
	for _, r := range f.Runners("s") {
		if r.Instance.FailureDomain == "d1" {
			for range 5 {
				r.Begin()
			}
		}
	}
	is.True(f.ChooseForPrefill(Pool{Service: "s"}, "", nil).Instance.FailureDomain != "d1")
}

// Requests read the list while it is replaced; run with the race detector.
func TestLocalPrefixesChangeDuringChoices(t *testing.T) {
	f := newLocalFleet("d1", 9)
	var choices sync.WaitGroup
	for range 4 {
		choices.Go(func() {
			for i := range 200 {
				f.ChooseForPrefill(Pool{Service: "s"}, fmt.Sprint(i), nil)
			}
		})
	}
	for i := range 100 {
		f.SetLocalPrefixes([]string{"s", "t"}[:i%3])
	}
	choices.Wait()
}

func BenchmarkChooseForLocalPrefill(b *testing.B) {
	for _, n := range []int{60, 1000, 10_000} {
		for name, f := range map[string]*Fleet{"local": newLocalFleet("d0", n), "global": newFleet("d0", n, state.RolePrefill)} {
			b.Run(fmt.Sprint(n, "/", name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f.ChooseForPrefill(Pool{Service: "s"}, "session", nil)
				}
			})
		}
	}
}
