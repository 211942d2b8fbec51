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

// asked is one request of a caller that asks until it has an answer.
type callerRequest struct {
	host int
	// leaves is when the caller closes the connection; zero: never.
	cancelAfter time.Duration
	// twin sends the same once more at the same moment, to the other host.
	duplicate bool
}

// TestHoldsAtMostOnce lets a caller ask two hosts again and again for
// one call, while the platform, the service and the caller itself fail.
func TestHoldsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		requests := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) callerRequest {
			return callerRequest{
				host: rapid.IntRange(0, 1).Draw(rt, "host"), duplicate: rapid.IntRange(0, 3).Draw(rt, "twin") == 0,
				cancelAfter: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 50, 3000}).Draw(rt, "leaves")) * time.Millisecond,
			}
		}), 1, 5).Draw(rt, "asks")
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
			break // the caller gives this key up
		}
		var both sync.WaitGroup
		if a.duplicate {
			both.Go(func() { o.ask(t, hosts[1-a.host], callerRequest{}, false) })
		}
		o.ask(t, hosts[a.host], a, i == 0 && !a.duplicate)
		both.Wait()
	}
	p.SetScript(nil)
	time.Sleep(time.Minute) // what is still running ends and is recorded
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
			return fmt.Errorf("%d calls still run", n)
		}
	}
	return o.check()
}

// oracle is what all callers of one key were told.
type oracle struct {
	key     string
	service *services

	// settled is set once nothing can be under way any more.
	settled bool

	mu      sync.Mutex
	answers []string
	notRun  []*dispatch.Refusal
	problem error
}

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
		o.problem = fmt.Errorf("told after %v: %w", took, err)
	}
	var refusal *dispatch.Refusal
	switch {
	case cancelled:
	case err == nil:
		o.answers = append(o.answers, string(answer.Body))
	case errors.As(err, &refusal) && refusal.NotRun:
		o.notRun = append(o.notRun, refusal)
	case o.settled && reasonOf(err) == dispatch.ReasonRunning:
		o.problem = errors.New("still called running when nothing runs any more")
	}
}

func (o *oracle) hasNotRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.notRun) > 0
}

// mayAsk reports whether another request with the key must not run. One that
// was refused before its claim may: the caller was told to send it again.
func (o *oracle) resendMustNotRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !slices.ContainsFunc(o.notRun, func(r *dispatch.Refusal) bool { return r.Reason == dispatch.ReasonPlatformDown })
}

func (o *oracle) check() error {
	runs := o.service.runCount(o.key)
	if runs > 1 {
		return fmt.Errorf("it ran %d times", runs)
	}
	for _, a := range o.answers {
		if a != "done "+o.key || runs == 0 {
			return fmt.Errorf("answered %q after %d runs", a, runs)
		}
	}
	if len(o.notRun) > 0 && runs > 0 {
		return fmt.Errorf("said %q of a call that ran", o.notRun[0].Message)
	}
	return o.problem
}
