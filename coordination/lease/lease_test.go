package lease_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// skewedClock is a host's clock that is wrong by a constant offset.
type skewedClock struct{ offset time.Duration }

func (c skewedClock) Now() time.Time { return time.Now().Add(c.offset) }

func (c skewedClock) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newLease returns a host's Lease with default options. Each host seeds its random source by the
// length of its name.
func newLease(t *testing.T, p *storetest.Platform, host string, skew time.Duration) *lease.Lease {
	t.Helper()
	l, err := lease.New(lease.Options{
		Store: p.Client(host), Clock: skewedClock{skew}, Rand: rand.New(rand.NewPCG(uint64(len(host)), 1)),
		Name: "planner.roster-llm", Holder: state.HostID{Name: host, Incarnation: "1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a wait for the TTL after a restart: the next run on the machine of the last holder
// takes the lease at once, since the run that held it has ended. Other machines still wait.
func TestNextRunOnSameMachineAcquiresAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(0)
		run := func(incarnation, machine string) *lease.Lease {
			l, err := lease.New(lease.Options{
				Store: p.Client(machine), Clock: skewedClock{}, Rand: rand.New(rand.NewPCG(1, 1)), Machine: machine,
				Name: "planner.roster-llm", Holder: state.HostID{Name: "h", Incarnation: incarnation},
			})
			is.NoErr(err)
			return l
		}
		first, second := run("1", "m1"), run("2", "m1")
		held, err := first.TryAcquire(t.Context())
		is.NoErr(err)
		is.True(held)
		is.True(!first.Reacquired())
		for _, waiter := range []*lease.Lease{run("3", "m2"), run("4", "")} {
			held, err = waiter.TryAcquire(t.Context())
			is.NoErr(err)
			is.True(!held)
		}
		held, err = second.TryAcquire(t.Context())
		is.NoErr(err)
		is.True(held)
		is.True(second.Reacquired())
		is.True(second.Fence() > first.Fence())
		is.True(errors.Is(first.Renew(t.Context()), lease.ErrLost)) // the first run would lose the lease if it still ran
		is.NoErr(second.Release(t.Context()))
		other := run("5", "m2")
		held, err = other.TryAcquire(t.Context())
		is.NoErr(err)
		is.True(held)
		is.True(!other.Reacquired())
	})
}

// activeHolders records which hosts are running the work.
type activeHolders struct {
	mu     sync.Mutex
	active map[string]bool
}

func (h *activeHolders) run(ctx context.Context, l *lease.Lease, host string) {
	_ = l.Run(ctx, func(ctx context.Context) error {
		h.setActive(host, true)
		defer h.setActive(host, false)
		<-ctx.Done()
		return nil
	})
}

func (h *activeHolders) setActive(host string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active == nil {
		h.active = map[string]bool{}
	}
	h.active[host] = on
}

func (h *activeHolders) isActive(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active[host]
}

// refuseCallsOf returns a script by which the store refuses all calls of a host.
func refuseCallsOf(host string) storetest.Script {
	return func(c storetest.Call) storetest.Fault {
		if c.Caller == host {
			return storetest.Refuse
		}
		return storetest.None
	}
}

// Guards against a waiter that takes a lease over while it is renewed, or before it has itself observed
// it unchanged for a TTL, and against a holder that doesn't notice the expiry.
func TestLeaseIsTakenOverAfterTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := storetest.NewPlatform(0)
		var h activeHolders
		go h.run(ctx, newLease(t, p, "a", 0), "a")
		synctest.Wait()
		// The waiter's clock is an hour ahead: if it compared clocks, it would take the lease from its holder.
		go h.run(ctx, newLease(t, p, "bb", time.Hour), "bb")
		time.Sleep(time.Hour)
		is.True(h.isActive("a") && !h.isActive("bb"))
		calls := p.Calls()
		time.Sleep(time.Minute)
		is.True(p.Calls()-calls <= 60) // two hosts, three calls in a TTL each

		p.SetScript(refuseCallsOf("a"))
		time.Sleep(lease.DefaultTTL - time.Second)
		is.True(!h.isActive("bb")) // not before a TTL has passed without renewal
		time.Sleep(lease.DefaultTTL)
		is.True(h.isActive("bb"))
		is.True(!h.isActive("a")) // the lease expired by its own clock
		p.SetScript(nil)
		time.Sleep(time.Hour)
		is.True(h.isActive("bb") && !h.isActive("a"))
		cancel()
		synctest.Wait()
	})
}

// Guards against a lease without a holder while few hosts poll often: a host that starts to poll often
// takes it over, and until then a waiter that polls rarely makes no additional calls.
func TestHostThatBeginsToPollOftenTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := storetest.NewPlatform(0)
		var h activeHolders
		go h.run(ctx, newLease(t, p, "a", 0), "a")
		synctest.Wait()
		var pollsOften atomic.Bool
		pollInterval := func() time.Duration {
			if pollsOften.Load() {
				return lease.DefaultTTL / 3
			}
			return time.Hour
		}
		waiter, err := lease.New(lease.Options{
			Store: p.Client("bb"), Clock: skewedClock{}, Rand: rand.New(rand.NewPCG(2, 1)),
			Name: "planner.roster-llm", Holder: state.HostID{Name: "bb", Incarnation: "1"}, PollInterval: pollInterval,
		})
		is.NoErr(err)
		go h.run(ctx, waiter, "bb")
		time.Sleep(time.Minute)
		calls := p.Calls()
		time.Sleep(30 * time.Minute)
		is.True(p.Calls()-calls <= 30*60/2+1) // only the holder's renewals, one every 2.4 s or more
		p.SetScript(refuseCallsOf("a"))
		time.Sleep(5 * time.Minute)
		is.True(!h.isActive("bb"))
		pollsOften.Store(true)
		time.Sleep(2 * lease.DefaultTTL)
		is.True(h.isActive("bb"))
		cancel()
		synctest.Wait()
	})
}

// Guards against a wait for the TTL after a holder shuts down: Run releases the lease.
func TestLeaseIsReleasedWhenRunEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := storetest.NewPlatform(0)
		var h activeHolders
		firstCtx, stopFirst := context.WithCancel(ctx)
		go h.run(firstCtx, newLease(t, p, "a", 0), "a")
		synctest.Wait()
		go h.run(ctx, newLease(t, p, "bb", 0), "bb")
		time.Sleep(time.Minute)
		stopFirst()
		time.Sleep(lease.DefaultTTL / 3)
		is.True(h.isActive("bb")) // it needn't wait for the TTL
		cancel()
		synctest.Wait()
	})
}

// Guards against a lease that is reported lost because the answer to a write of its holder was lost:
// the write is recognised by its nonce.
func TestLeaseSurvivesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(0)
		l := newLease(t, p, "a", 0)
		loseAnswerOfPut := func(c storetest.Call) storetest.Fault {
			if c.Op == "put" {
				return storetest.LoseAnswer
			}
			return storetest.None
		}
		p.SetScript(loseAnswerOfPut)
		held, err := l.TryAcquire(t.Context())
		is.NoErr(err)
		is.True(held) // by reading the write back
		p.SetScript(func(storetest.Call) storetest.Fault { return storetest.LoseAnswer })
		is.True(l.Renew(t.Context()) != nil)
		p.SetScript(nil)
		is.NoErr(l.Renew(t.Context())) // renews over its own write
		time.Sleep(2 * lease.DefaultTTL)
		is.True(!l.Held())
	})
}

func TestRunReturnsWorkError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		errWork := errors.New("broken")
		err := newLease(t, storetest.NewPlatform(0), "a", 0).Run(t.Context(), func(context.Context) error { return errWork })
		is.Equal(err, errWork)
	})
}

// Guards against calls of two holders that are less than CallGap apart: a host takes a released lease
// and ends during its hold-off, and the next run on its machine starts without the rest of it.
func TestNextRunInheritsRemainingHoldOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const callGap, maxCallTime = 3 * time.Second, time.Second
		p := storetest.NewPlatform(0)
		run := func(host, incarnation string) *lease.Lease {
			l, err := lease.New(lease.Options{
				Store: p.Client(host), Clock: skewedClock{}, Rand: rand.New(rand.NewPCG(1, 1)), Machine: host, TTL: 6 * time.Second, CallGap: callGap, MaxCallTime: maxCallTime,
				Name: "duties", Holder: state.HostID{Name: host, Incarnation: incarnation},
			})
			is.NoErr(err)
			return l
		}
		acquire := func(l *lease.Lease) {
			held, err := l.TryAcquire(t.Context())
			is.NoErr(err)
			is.True(held)
		}
		first := run("a", "1")
		acquire(first)
		_, err := first.Permit()
		is.NoErr(err)
		calledAt := time.Now()
		is.NoErr(first.Release(t.Context()))
		second := run("b", "1")
		acquire(second) // a released lease starts with a hold-off
		time.Sleep(500 * time.Millisecond)
		is.NoErr(second.Release(t.Context()))
		third := run("b", "2")
		acquire(third)
		const renewInterval = 100 * time.Millisecond
		for range 10 * callGap / renewInterval {
			if _, err = third.Permit(); err == nil {
				break
			}
			time.Sleep(renewInterval)
			is.NoErr(third.Renew(t.Context()))
		}
		is.NoErr(err)
		is.True(time.Since(calledAt) >= callGap+maxCallTime)
		is.True(time.Since(calledAt) <= callGap+2*maxCallTime)
		fourth := run("b", "3") // the hold-off of the previous run is over
		is.NoErr(third.Release(t.Context()))
		acquire(fourth)
		time.Sleep(maxCallTime)
		_, err = fourth.Permit()
		is.NoErr(err)
	})
}
