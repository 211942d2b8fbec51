package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/store/storetest"
)

// callerRequest is one request of a caller that repeats its call until it gets an answer.
type callerRequest struct {
	host int
	// cancelAfter is when the caller closes the connection; zero means never.
	cancelAfter time.Duration
	// duplicate sends the same request at the same time to the other host as well.
	duplicate bool
}

// TestHoldsAtMostOnce lets a caller send one call repeatedly to two hosts while the platform
// and the service fail and the caller closes connections. The call must run at most once, and
// each answer or refusal must agree with whether it ran.
func TestHoldsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		requests := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) callerRequest {
			return callerRequest{
				host: rapid.IntRange(0, 1).Draw(rt, "host"), duplicate: rapid.IntRange(0, 3).Draw(rt, "duplicate") == 0,
				cancelAfter: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 50, 3000}).Draw(rt, "cancelAfter")) * time.Millisecond,
			}
		}), 1, 5).Draw(rt, "requests")
		calls := rapid.SliceOfN(rapid.SampledFrom([]callFault{
			callDone, callUnreached, callUnreached, callUnreached, callUnreached, callRefused, callLost, callSlow, callForeign, callHung,
		}), 0, 6).Draw(rt, "calls")
		platform := rapid.SliceOfN(rapid.SampledFrom([]storetest.Fault{
			storetest.None, storetest.None, storetest.Refuse, storetest.LoseAnswer,
		}), 0, 20).Draw(rt, "platform")
		var failed error
		synctest.Test(t, func(t *testing.T) { failed = runAtMostOnce(t, requests, calls, platform) })
		if failed != nil {
			rt.Fatal(failed)
		}
	})
}

// runAtMostOnce runs one plan of requests and faults and returns an error if a guarantee was
// broken.
func runAtMostOnce(t *testing.T, requests []callerRequest, calls []callFault, faults []storetest.Fault) error {
	p := storetest.NewPlatform(time.Second)
	service := &services{plan: slices.Clone(calls)}
	var hosts []*world
	for _, name := range []string{"a", "b"} {
		w := newWorld()
		w.services = service
		defer w.withClaims(t, p, name)()
		hosts = append(hosts, w.start(t))
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	p.SetScript(func(c storetest.Call) storetest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if len(faults) == 0 || c.Op == "list" || c.Op == "delete" {
			return storetest.None
		}
		f := faults[0]
		faults = faults[1:]
		return f
	})
	o := &oracle{key: keyAt(time.Now()), service: service}
	for i, a := range requests {
		if o.hasNotRun() {
			break // the caller doesn't send this key again
		}
		var both sync.WaitGroup
		if a.duplicate {
			both.Go(func() { o.ask(t, hosts[1-a.host], callerRequest{}, false) })
		}
		o.ask(t, hosts[a.host], a, i == 0 && !a.duplicate)
		both.Wait()
	}
	p.SetScript(nil)
	time.Sleep(time.Minute) // calls in progress end and are recorded
	service.clearPlan()
	if o.resendMustNotRun() {
		o.settled = true
		o.ask(t, hosts[0], callerRequest{}, false)
		o.ask(t, hosts[1], callerRequest{}, false)
	}
	for _, w := range hosts {
		if err := w.checkReleased(); err != nil {
			return err
		}
		if n := w.d.Running(); n != 0 {
			return fmt.Errorf("%d claimed calls are still running", n)
		}
	}
	return o.check()
}

// oracle collects the responses to all requests with one key and checks them.
type oracle struct {
	key     string
	service *services

	// settled is set once no call is in progress any more.
	settled bool

	mu      sync.Mutex
	answers []string
	notRun  []*dispatch.Refusal
	problem error
}

// ask sends the call to a host and records the response.
func (o *oracle) ask(t *testing.T, w *world, a callerRequest, first bool) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cancelled := false
	if a.cancelAfter > 0 {
		go func() {
			if (clocktest.Bubble{}).Sleep(ctx, a.cancelAfter) == nil {
				cancel()
			}
		}()
	}
	now := time.Now()
	answer, err := w.call(ctx, o.key, first)
	cancelled = a.cancelAfter > 0 && time.Since(now) >= a.cancelAfter
	o.mu.Lock()
	defer o.mu.Unlock()
	if took := time.Since(now); took > deadline {
		o.problem = fmt.Errorf("the response took %v, longer than the deadline: %w", took, err)
	}
	var refusal *dispatch.Refusal
	switch {
	case cancelled:
	case err == nil:
		o.answers = append(o.answers, string(answer.Body))
	case errors.As(err, &refusal) && refusal.NotRun:
		o.notRun = append(o.notRun, refusal)
	case o.settled && reasonOf(err) == dispatch.ReasonRunning:
		o.problem = errors.New("the call was reported as running after it had ended")
	}
}

// hasNotRun reports whether a request was refused as not run.
func (o *oracle) hasNotRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.notRun) > 0
}

// resendMustNotRun reports whether a further request with the key must not run the call. After
// a refusal that preceded the claim it may run, since the caller was told to send it again.
func (o *oracle) resendMustNotRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !slices.ContainsFunc(o.notRun, func(r *dispatch.Refusal) bool { return r.Reason == dispatch.ReasonPlatformDown })
}

// check returns an error if the call ran more than once, or a response disagrees with the
// number of runs.
func (o *oracle) check() error {
	runs := o.service.runCount(o.key)
	if runs > 1 {
		return fmt.Errorf("the call ran %d times", runs)
	}
	for _, a := range o.answers {
		if a != "done "+o.key || runs == 0 {
			return fmt.Errorf("answered %q after %d runs", a, runs)
		}
	}
	if len(o.notRun) > 0 && runs > 0 {
		return fmt.Errorf("the refusal %q says not run, but the call ran", o.notRun[0].Message)
	}
	return o.problem
}
