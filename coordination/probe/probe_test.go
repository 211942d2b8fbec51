package probe

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// fakeChecker answers for every upstream, with the report of another engine if mismatch is
// set. It is safe for concurrent use.
type fakeChecker struct {
	mu       sync.Mutex
	err      error
	mismatch bool
	calls    map[string]int
}

func (f *fakeChecker) Check(_ context.Context, u state.Upstream) error {
	_, err := f.Load(context.Background(), u)
	return err
}

func (f *fakeChecker) Load(_ context.Context, u state.Upstream) (state.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[u.Name]++
	name := u.Name
	if f.mismatch {
		name = "another"
	}
	return state.LoadReport{Engine: name, TakenAt: time.Now(), DecodeRunning: 3}, f.err
}

func (f *fakeChecker) set(err error, mismatch bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err, f.mismatch = err, mismatch
}

// listedRunners returns a list with one runner of a service and the given number of
// engines.
func listedRunners(engines int) []state.Listed {
	out := []state.Listed{{Name: "s1", Kind: state.ListedService, State: state.ListedLive, Service: "app"}}
	for i := range engines {
		out = append(out, state.Listed{Name: fmt.Sprintf("e%d", i), Kind: state.ListedEngine, State: state.ListedLive, Service: "llm"})
	}
	return out
}

func newProber(t *testing.T, k *snapshot.Keeper, c *fakeChecker, requests func() uint64) *Prober {
	t.Helper()
	p, err := New(Options{
		Keeper: k, Checker: c, Clock: clocktest.Bubble{}, PerSecond: 8, PerRequest: 3, Requests: requests,
		MinInterval: 250 * time.Millisecond, Timeout: time.Second, FailureThreshold: 2, MaxConcurrent: 32,
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// runFor runs the prober for d of virtual time.
func runFor(t *testing.T, p *Prober, d time.Duration) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), d)
	defer stop()
	_ = p.Run(ctx)
}

func noRequests() uint64 { return 0 }

// A runner gets no work after consecutive failed probes, or if another engine answers at
// its address, until one probe succeeds.
func TestFailedProbesStopWorkUntilOneSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := snapshot.NewKeeper()
		k.SetListed(listedRunners(1))
		c := &fakeChecker{calls: map[string]int{}}
		p := newProber(t, k, c, noRequests)
		p.Step(t.Context())
		is.Equal(k.View().Runner("e0").Load.DecodeRunning, int64(3))

		c.set(errors.New("refused"), false)
		runFor(t, p, 3*time.Second)
		is.True(!k.View().Runner("s1").TakesWork())
		is.True(!k.View().Runner("e0").TakesWork())

		c.set(nil, false)
		runFor(t, p, time.Second)
		is.True(k.View().Runner("s1").TakesWork())

		c.set(nil, true) // another engine answers at its address
		runFor(t, p, 3*time.Second)
		is.True(!k.View().Runner("e0").TakesWork())
	})
}

// All probes stay within the budget, a runner in use is probed more often, and every other
// runner is still probed.
func TestProbesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines, seconds = 250, 60
		k := snapshot.NewKeeper()
		k.SetListed(listedRunners(engines))
		c := &fakeChecker{calls: map[string]int{}}
		busy := k.Enter(k.View().Runner("e7"), snapshot.Work{Requests: 1})
		p := newProber(t, k, c, noRequests)
		runFor(t, p, seconds*time.Second)
		total := 0
		for _, n := range c.calls {
			total += n
		}
		is.True(total <= engines+1+8*seconds) // the first probe of each runner is free
		is.True(c.calls["e7"] >= c.calls["e8"]+2)
		for _, r := range k.View().Runners {
			is.True(c.calls[r.Name] >= 2) // every runner is probed again
		}
		busy.Done()
	})
}

// Requests add probes to the base rate.
func TestRequestsAddToTheProbeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := snapshot.NewKeeper()
		k.SetListed(listedRunners(12))
		c := &fakeChecker{calls: map[string]int{}}
		start := time.Now()
		p := newProber(t, k, c, func() uint64 { return uint64(time.Since(start) / (100 * time.Millisecond)) }) // ten requests per second
		runFor(t, p, 10*time.Second)
		total := 0
		for _, n := range c.calls {
			total += n
		}
		is.True(total > 13+10*(8+3*9))
		is.True(total <= 13+10*(8+3*10)+38)
	})
}
