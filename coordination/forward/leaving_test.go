package forward

import (
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// A runner that says in its responses that it leaves must get no more requests. Hosts that
// relied on the list alone kept sending to it for twelve seconds: the store was unavailable, so
// the list still showed the runner as ready, and some callers lost their answers with it.
func TestLeavingRunnerGetsNoRequests(t *testing.T) {
	for _, name := range []string{"s12", "d1", "p4"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSimFleet(t, 7)
				rng := rand.New(rand.NewPCG(37, 2))
				l := load{longPrompts: 110, shortPrompts: 17, calls: 50}
				f.runLoad(rng, l, 2*time.Second)
				f.setAdvice(func(r *simRunner) { r.leaving = true }, name)
				leavingAt := time.Now()
				f.runLoad(rng, l, 12*time.Second)
				late := f.runner(name).countBetween(leavingAt.Add(leavingDeadline), time.Now())
				t.Logf("%d requests more than %s after the announcement; %d served, %d late, %d unserved", late, leavingDeadline, f.served, f.late, f.unserved)
				is.True(f.runner(name).countBetween(leavingAt, time.Now()) > 0) // hosts received the announcement
				is.Equal(late, 0)
				is.Equal(f.unserved, 0)
			})
		})
	}
}

// leavingDeadline is the time within which all hosts must know that a runner leaves, from its
// first response that says so. It includes the wait for that response.
const leavingDeadline = 300 * time.Millisecond

// A runner that announces that it leaves while the connection for a request is made doesn't get
// the request, in any phase of it, and isn't reported as silent.
func TestLeavingIsCheckedBeforeSending(t *testing.T) {
	event := "id: 1\ndata: x\n\n"
	for name, c := range map[string]struct {
		request *Request
		// leaves is the number of the connection whose runner announces that it leaves.
		leaves  int
		replies []reply
	}{
		"call":                 {request(state.RouteSafe, 2, false), 1, []reply{{status: 200}}},
		"short prompt":         {modelRequest(200, false), 1, []reply{{status: 200, events: true, body: event}}},
		"prefill":              {modelRequest(2000, false), 1, []reply{{status: 200, body: "h"}, {status: 200, events: true, body: event}}},
		"decode after prefill": {modelRequest(2000, false), 2, []reply{{status: 200, body: "h"}, {status: 200, events: true, body: event}}},
		"resumed stream":       {modelRequest(200, true), 2, []reply{{status: 200, events: true, body: event, readErr: io.ErrUnexpectedEOF}, {status: 200, events: true, body: event}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, plenty, c.replies...)
				connections := 0
				var leavingID state.InstanceID
				w.up.onConnect = func(a *Attempt) {
					if connections++; connections == c.leaves {
						leavingID = a.Instance.ID
						w.drain(leavingID)
					}
				}
				answer, err := w.Forward(t.Context(), c.request)
				is.NoErr(err)
				if answer.Stream != nil {
					_, err = readAll(answer.Stream)
					is.NoErr(err)
				}
				is.True(!slices.ContainsFunc(w.up.attempts, func(a Attempt) bool { return a.Instance.ID == leavingID }))
				is.Equal(len(w.up.attempts), len(c.replies))
				is.True(!slices.Contains(w.outliers.silent, leavingID))
			})
		})
	}
}

// When all runners of a service leave, callers are refused at once with "not run".
func TestAllRunnersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimFleet(t, 1)
		rng := rand.New(rand.NewPCG(37, 5))
		f.setAdvice(func(r *simRunner) { r.leaving = true }, "s12", "s13", "s14")
		f.runLoad(rng, load{calls: 50}, time.Second)
		is.True(f.served > 0) // the requests whose responses announced it
		f.served, f.refused = 0, nil
		f.runLoad(rng, load{calls: 50}, time.Second)
		is.Equal(f.served, 0)
		is.True(len(f.refused) > 20)
		for _, r := range f.refused {
			is.Equal(r.Reason, ReasonNoRunner)
			is.True(r.NotRun)
		}
	})
}
