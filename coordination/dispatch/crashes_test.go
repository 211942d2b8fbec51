package dispatch_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// What was seen where routes are forwarded: a request that ends whatever runs it came again and
// again, and each copy ended another engine. Here one attempt of a caller alone could cost
// MaxAttempts engines, four times as many once its answer had begun, and each copy as many again.
//
// Cause: attempts are bounded for each request at its host. Nothing knew its copies.
//
// Proof: three hosts that share engines; the engines that a prompt ends are counted.
func TestCrashingRequestEndsFewEngines(t *testing.T) {
	for name, tokensBefore := range map[string]int{"before its answer": 0, "after its answer began": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newCrashFleet(t, 3)
				for n := range 12 {
					host := f.hosts[n%len(f.hosts)]
					failAt := tokensBefore
					host.engines.faultOf = func(string) plannedFault {
						a := plannedFault{broken, failAt}
						failAt = 0 // it goes on after what was given
						return a
					}
					_, _, err := host.ask(t.Context(), promptOf("deadly", 5), 1)
					is.True(err != nil)
					host.engines.faultOf = nil
					s, _, err := host.ask(t.Context(), promptOf(fmt.Sprint("other", n), 3), 1)
					is.NoErr(s.check(err)) // others are served all the while
					time.Sleep(time.Second)
				}
				crashes := 0
				for _, h := range f.hosts {
					for _, a := range h.engines.receivedAttempts() {
						if a.Prompt.Text == promptOf("deadly", 5) {
							crashes++
						}
					}
				}
				t.Logf("%d engines ended", crashes)
				is.True(crashes <= maxEngineCrashes)
			})
		})
	}
}

// mostEnded is two crashes that hold a request, and as many attempts as are made before they
// are told.
const maxEngineCrashes = 4

// A request that is held reaches no upstream, and its caller is told truly whether it ran.
func TestQuarantinedRequestReachesNoUpstream(t *testing.T) {
	hold := func(f *crashFleet, d quarantine.Digest) {
		for n := range int64(2) {
			f.tables[0].Note(quarantine.Crash{Run: state.InstanceID{Name: d.String(), Born: n}, Suspects: []quarantine.Suspect{{Digest: d}}}, true)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCrashFleet(t, 1)
		w := f.hosts[0]
		prompt := promptOf("deadly", 5)
		hold(f, quarantine.DigestOf(quarantine.Content{Body: []byte(prompt)}))
		_, _, err := w.ask(t.Context(), prompt, 1)
		var refusal *dispatch.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, dispatch.ReasonCrashes)
		is.True(refusal.NotRun)
		is.Equal(refusal.RetryAfter, time.Duration(0))
		is.Equal(len(w.engines.receivedAttempts()), 0)

		d := quarantine.DigestOf(quarantine.Content{Body: []byte("call")})
		hold(f, d)
		now := time.Now()
		call := &dispatch.Request{ID: "c", Service: plainService, ArrivedAt: now, Deadline: now.Add(deadline), Digest: d}
		_, err = w.d.Call(t.Context(), call, upstream.Call{})
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, dispatch.ReasonCrashes)
		is.True(refusal.NotRun)
		is.Equal(len(w.services.calls), 0)
	})
}

// Calls that break off are told, answered ones clear what was held against them; refusals and
// connections that could not be made say nothing.
func TestBrokenCallsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		plan    []callFault
		crashes int
	}{
		"lost":      {[]callFault{callLost}, 1},
		"refused":   {[]callFault{callRefused}, 0},
		"unreached": {[]callFault{callUnreached}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newCrashFleet(t, 1)
				w := f.hosts[0]
				w.services.plan = c.plan
				now := time.Now()
				d := quarantine.DigestOf(quarantine.Content{Body: []byte("call")})
				_, err := w.d.Call(t.Context(), &dispatch.Request{ID: "c", Service: plainService, ArrivedAt: now, Deadline: now.Add(deadline), Digest: d}, upstream.Call{})
				is.NoErr(err)
				time.Sleep(2 * crashReportDelay)
				is.Equal(f.crashes, c.crashes)
				is.True(f.tables[0].Proven(d))
			})
		})
	}
}
