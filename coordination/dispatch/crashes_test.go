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

// A request that crashes engines must be stopped across hosts: attempts are bounded only for
// one request at its host, so a single copy could otherwise crash MaxAttempts engines, four
// times as many once its answer had started, and each further copy as many again. Three hosts
// share crash reports, and the attempts at the crashing prompt are counted.
func TestCrashingRequestEndsFewEngines(t *testing.T) {
	for name, tokensBefore := range map[string]int{"before the first token": 0, "after two tokens": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newCrashFleet(t, 3)
				for n := range 12 {
					host := f.hosts[n%len(f.hosts)]
					failAt := tokensBefore
					host.engines.faultOf = func(string) plannedFault {
						a := plannedFault{broken, failAt}
						failAt = 0 // a resumption continues after the tokens delivered
						return a
					}
					_, _, err := host.ask(t.Context(), promptOf("deadly", 5), 1)
					is.True(err != nil)
					host.engines.faultOf = nil
					s, _, err := host.ask(t.Context(), promptOf(fmt.Sprint("other", n), 3), 1)
					is.NoErr(s.check(err)) // other requests are still served
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
				t.Logf("%d engines crashed", crashes)
				is.True(crashes <= maxEngineCrashes)
			})
		})
	}
}

// maxEngineCrashes is the two crashes that quarantine a request, plus as many attempts made
// before all hosts know of them.
const maxEngineCrashes = 4

// A quarantined request reaches no upstream, and its refusal correctly says "not run".
func TestQuarantinedRequestReachesNoUpstream(t *testing.T) {
	hold := func(f *crashFleet, d quarantine.Digest) {
		for n := range int64(2) {
			f.tables[0].RecordCrash(quarantine.Crash{Run: state.InstanceID{Name: d.String(), Born: n}, Suspects: []quarantine.Suspect{{Digest: d}}}, true)
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

// A call that breaks off is reported as a possible crash, and one that is answered clears the
// request. Refusals and failed connections are not reported.
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
				is.True(f.tables[0].AnsweredRecently(d))
			})
		})
	}
}
