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

// skewedClock is a host's clock that is wrong by a constant.
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

// A host that starts again on the machine of the last holder needn't wait until that
// lease lapses: the run that held it has ended.
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
		for _, other := range []*lease.Lease{run("3", "m2"), run("4", "")} {
			held, err = other.TryAcquire(t.Context())
			is.NoErr(err)
			is.True(!held)
		}
		held, err = second.TryAcquire(t.Context())
		is.NoErr(err)
		is.True(held)
		is.True(second.Reacquired())
		is.True(second.Fence() > first.Fence())
		is.True(errors.Is(first.Renew(t.Context()), lease.ErrLost)) // had it been alive
		is.NoErr(second.Release(t.Context()))
		other := run("5", "m2")
		held, err = other.TryAcquire(t.Context())
		is.NoErr(err)
		is.True(held)
		is.True(!other.Reacquired())
	})
}

// activeHolders notes who runs the work at each moment.
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

func refuseCallsOf(host string) storetest.Script {
	return func(c storetest.Call) storetest.Fault {
		if c.Caller == host {
			return storetest.Refuse
		}
		return storetest.None
	}
}

func TestLeaseIsTakenOverAfterTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := storetest.NewPlatform(0)
		var h activeHolders
		go h.run(ctx, newLease(t, p, "a", 0), "a")
		synctest.Wait()
		// The waiter's clock is an hour ahead: a comparison of clocks would rob the holder.
		go h.run(ctx, newLease(t, p, "bb", time.Hour), "bb")
		time.Sleep(time.Hour)
		is.True(h.isActive("a") && !h.isActive("bb"))
		calls := p.Calls()
		time.Sleep(time.Minute)
		is.True(p.Calls()-calls <= 60) // two hosts, three looks in a TTL each

		p.SetScript(refuseCallsOf("a"))
		time.Sleep(lease.DefaultTTL - time.Second)
		is.True(!h.isActive("bb")) // not before a TTL without renewal
		time.Sleep(lease.DefaultTTL)
		is.True(h.isActive("bb"))
		is.True(!h.isActive("a")) // its own clock told it
		p.SetScript(nil)
		time.Sleep(time.Hour)
		is.True(h.isActive("bb") && !h.isActive("a"))
		cancel()
		synctest.Wait()
	})
}

// Of many hosts few look often; the lease is taken over by one that has become one of
// the few, and costs no more calls for the others.
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
		is.True(p.Calls()-calls <= 30*60/2+1) // the holder's renewals alone, every 2.4 s or more
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

func TestLeaseIsReleasedWhenRunEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := storetest.NewPlatform(0)
		var h activeHolders
		first, stop := context.WithCancel(ctx)
		go h.run(first, newLease(t, p, "a", 0), "a")
		synctest.Wait()
		go h.run(ctx, newLease(t, p, "bb", 0), "bb")
		time.Sleep(time.Minute)
		stop()
		time.Sleep(lease.DefaultTTL / 3)
		is.True(h.isActive("bb")) // it needn't wait for the TTL
		cancel()
		synctest.Wait()
	})
}

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
		is.True(held) // read back
		p.SetScript(func(storetest.Call) storetest.Fault { return storetest.LoseAnswer })
		is.True(l.Renew(t.Context()) != nil)
		p.SetScript(nil)
		is.NoErr(l.Renew(t.Context())) // over its own write
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

// Guards against calls of two holders that come too close, because a host takes the lease, keeps
// silence, and its next run on the same machine believes that nobody else has called lately.
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
		acquire(second) // released: it keeps silence
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
		fourth := run("b", "3") // the last one's silence is over
		is.NoErr(third.Release(t.Context()))
		acquire(fourth)
		time.Sleep(maxCallTime)
		_, err = fourth.Permit()
		is.NoErr(err)
	})
}
