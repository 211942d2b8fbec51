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
type skewedClock struct{ by time.Duration }

func (c skewedClock) Now() time.Time { return time.Now().Add(c.by) }

func (c skewedClock) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newLessor(t *testing.T, p *storetest.Platform, host string, skew time.Duration) *lease.Lessor {
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
func TestNextRunOnTheSameMachineTakesTheLeaseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(0)
		run := func(incarnation, machine string) *lease.Lessor {
			l, err := lease.New(lease.Options{
				Store: p.Client(machine), Clock: skewedClock{}, Rand: rand.New(rand.NewPCG(1, 1)), Machine: machine,
				Name: "planner.roster-llm", Holder: state.HostID{Name: "h", Incarnation: incarnation},
			})
			is.NoErr(err)
			return l
		}
		first, second := run("1", "m1"), run("2", "m1")
		held, err := first.Try(t.Context())
		is.NoErr(err)
		is.True(held)
		is.True(!first.Own())
		for _, elsewhere := range []*lease.Lessor{run("3", "m2"), run("4", "")} {
			held, err = elsewhere.Try(t.Context())
			is.NoErr(err)
			is.True(!held)
		}
		held, err = second.Try(t.Context())
		is.NoErr(err)
		is.True(held)
		is.True(second.Own())
		is.True(second.Fence() > first.Fence())
		is.True(errors.Is(first.Renew(t.Context()), lease.ErrLost)) // had it been alive
		is.NoErr(second.Release(t.Context()))
		other := run("5", "m2")
		held, err = other.Try(t.Context())
		is.NoErr(err)
		is.True(held)
		is.True(!other.Own())
	})
}

// holders notes who runs the work at each moment.
type holders struct {
	mu  sync.Mutex
	now map[string]bool
}

func (h *holders) run(ctx context.Context, l *lease.Lessor, host string) {
	_ = l.Run(ctx, func(ctx context.Context) error {
		h.set(host, true)
		defer h.set(host, false)
		<-ctx.Done()
		return nil
	})
}

func (h *holders) set(host string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.now == nil {
		h.now = map[string]bool{}
	}
	h.now[host] = on
}

func (h *holders) holds(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now[host]
}

func without(host string) storetest.Script {
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
		var h holders
		go h.run(ctx, newLessor(t, p, "a", 0), "a")
		synctest.Wait()
		// The waiter's clock is an hour ahead: a comparison of clocks would rob the holder.
		go h.run(ctx, newLessor(t, p, "bb", time.Hour), "bb")
		time.Sleep(time.Hour)
		is.True(h.holds("a") && !h.holds("bb"))
		calls := p.Calls()
		time.Sleep(time.Minute)
		is.True(p.Calls()-calls <= 60) // two hosts, three looks in a TTL each

		p.SetScript(without("a"))
		time.Sleep(lease.DefaultTTL - time.Second)
		is.True(!h.holds("bb")) // not before a TTL without renewal
		time.Sleep(lease.DefaultTTL)
		is.True(h.holds("bb"))
		is.True(!h.holds("a")) // its own clock told it
		p.SetScript(nil)
		time.Sleep(time.Hour)
		is.True(h.holds("bb") && !h.holds("a"))
		cancel()
		synctest.Wait()
	})
}

// Of many hosts few look often; the lease is taken over by one that has become one of
// the few, and costs no more calls for the others.
func TestHostThatBeginsToLookOftenTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := storetest.NewPlatform(0)
		var h holders
		go h.run(ctx, newLessor(t, p, "a", 0), "a")
		synctest.Wait()
		var often atomic.Bool
		look := func() time.Duration {
			if often.Load() {
				return lease.DefaultTTL / 3
			}
			return time.Hour
		}
		waiter, err := lease.New(lease.Options{
			Store: p.Client("bb"), Clock: skewedClock{}, Rand: rand.New(rand.NewPCG(2, 1)),
			Name: "planner.roster-llm", Holder: state.HostID{Name: "bb", Incarnation: "1"}, LookEvery: look,
		})
		is.NoErr(err)
		go h.run(ctx, waiter, "bb")
		time.Sleep(time.Minute)
		calls := p.Calls()
		time.Sleep(30 * time.Minute)
		is.True(p.Calls()-calls <= 30*60/2+1) // the holder's renewals alone, every 2.4 s or more
		p.SetScript(without("a"))
		time.Sleep(5 * time.Minute)
		is.True(!h.holds("bb"))
		often.Store(true)
		time.Sleep(2 * lease.DefaultTTL)
		is.True(h.holds("bb"))
		cancel()
		synctest.Wait()
	})
}

func TestLeaseIsReleasedAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := storetest.NewPlatform(0)
		var h holders
		first, stop := context.WithCancel(ctx)
		go h.run(first, newLessor(t, p, "a", 0), "a")
		synctest.Wait()
		go h.run(ctx, newLessor(t, p, "bb", 0), "bb")
		time.Sleep(time.Minute)
		stop()
		time.Sleep(lease.DefaultTTL / 3)
		is.True(h.holds("bb")) // it needn't wait for the TTL
		cancel()
		synctest.Wait()
	})
}

func TestLeaseOutlivesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(0)
		l := newLessor(t, p, "a", 0)
		lose := func(c storetest.Call) storetest.Fault {
			if c.Op == "put" {
				return storetest.LoseAnswer
			}
			return storetest.None
		}
		p.SetScript(lose)
		held, err := l.Try(t.Context())
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

func TestRunReturnsTheWorksError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		broken := errors.New("broken")
		err := newLessor(t, storetest.NewPlatform(0), "a", 0).Run(t.Context(), func(context.Context) error { return broken })
		is.Equal(err, broken)
	})
}

// Guards against calls of two holders that come too close, because a host takes the lease, keeps
// silence, and its next run on the same machine believes that nobody else has called lately.
func TestNextRunOwesTheSilenceOfTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const apart, call = 3 * time.Second, time.Second
		p := storetest.NewPlatform(0)
		run := func(host, incarnation string) *lease.Lessor {
			l, err := lease.New(lease.Options{
				Store: p.Client(host), Clock: skewedClock{}, Rand: rand.New(rand.NewPCG(1, 1)), Machine: host, TTL: 6 * time.Second, Apart: apart, CallTime: call,
				Name: "duties", Holder: state.HostID{Name: host, Incarnation: incarnation},
			})
			is.NoErr(err)
			return l
		}
		take := func(l *lease.Lessor) {
			held, err := l.Try(t.Context())
			is.NoErr(err)
			is.True(held)
		}
		first := run("a", "1")
		take(first)
		_, err := first.Permit()
		is.NoErr(err)
		called := time.Now()
		is.NoErr(first.Release(t.Context()))
		second := run("b", "1")
		take(second) // released: it keeps silence
		time.Sleep(500 * time.Millisecond)
		is.NoErr(second.Release(t.Context()))
		third := run("b", "2")
		take(third)
		const renewal = 100 * time.Millisecond
		for range 10 * apart / renewal {
			if _, err = third.Permit(); err == nil {
				break
			}
			time.Sleep(renewal)
			is.NoErr(third.Renew(t.Context()))
		}
		is.NoErr(err)
		is.True(time.Since(called) >= apart+call)
		is.True(time.Since(called) <= apart+2*call)
		fourth := run("b", "3") // the last one's silence is over
		is.NoErr(third.Release(t.Context()))
		take(fourth)
		time.Sleep(call)
		_, err = fourth.Permit()
		is.NoErr(err)
	})
}
