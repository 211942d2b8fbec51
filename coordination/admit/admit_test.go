package admit

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/snapshot"
)

// fixedCapacity is a CapacitySource with a capacity set by the test.
type fixedCapacity struct{ capacity Capacity }

func (c *fixedCapacity) Capacity(string) Capacity { return c.capacity }

// capacityForOneRequest returns a source with capacity for one request at a time. A
// token, prompt or output, takes a millisecond.
func capacityForOneRequest() *fixedCapacity {
	return &fixedCapacity{Capacity{
		Runners: 1, Requests: 1, PrefillTokens: 1 << 20,
		PrefillPerSecond: 1000, DecodePerSecond: 1000, EnginePrefillPerSecond: 1000,
		TokenInterval: time.Millisecond,
	}}
}

// runAdmitter calls test with a running admitter inside a synctest bubble and stops
// the admitter afterwards.
func runAdmitter(t *testing.T, c CapacitySource, o Options, test func(ctx context.Context, a *Admitter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o.Clock = clocktest.Bubble{}
		o.Capacity = c
		a, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = a.Run(ctx)
		}()
		test(ctx, a)
		cancel()
		<-done
	})
}

// newRequest returns a request of a number of prompt tokens; a zero deadline means
// none.
func newRequest(customer string, tokens int64, deadline time.Duration) Request {
	r := Request{Service: "llm", Customer: customer, Class: "c", Cost: snapshot.Work{Requests: 1, PrefillTokens: tokens}}
	if deadline > 0 {
		r.Deadline = time.Now().Add(deadline)
	}
	return r
}

func TestQueuedRequestStartsWhenCapacityIsReleased(t *testing.T) {
	is := is.New(t)
	runAdmitter(t, capacityForOneRequest(), Options{}, func(ctx context.Context, a *Admitter) {
		first, err := a.Admit(ctx, newRequest("a", 100, 0))
		is.NoErr(err)
		time.AfterFunc(time.Second, first.Done)
		second, err := a.Admit(ctx, newRequest("b", 100, 0))
		is.NoErr(err)
		is.Equal(second.Waited, time.Second)
	})
}

func TestRequestThatCannotFinishInTimeIsRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	runAdmitter(t, capacityForOneRequest(), Options{}, func(ctx context.Context, a *Admitter) {
		start := time.Now()
		_, err := a.Admit(ctx, newRequest("a", 2000, time.Second))
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, ReasonDeadline)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

func TestQueuedRequestIsRefusedOnceItsDeadlineIsUnreachable(t *testing.T) {
	is := is.New(t)
	runAdmitter(t, capacityForOneRequest(), Options{}, func(ctx context.Context, a *Admitter) {
		_, err := a.Admit(ctx, newRequest("a", 100, 0))
		is.NoErr(err)
		start := time.Now()
		_, err = a.Admit(ctx, newRequest("b", 1000, 5*time.Second))
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		// The work takes a second, so the deadline is out of reach four seconds
		// after the arrival.
		waited := time.Since(start)
		is.True(waited > 4*time.Second && waited <= 4*time.Second+2*a.options.Interval)
		is.True(refused.RetryAfter > 0)
	})
}

// TestReleasedCapacityIsReusedWithinOneSnapshot starts requests one after another
// on a capacity for one request that is never recomputed. It fails if capacity
// released since the computation isn't available again.
func TestReleasedCapacityIsReusedWithinOneSnapshot(t *testing.T) {
	is := is.New(t)
	c := capacityForOneRequest()
	c.capacity.Seq = 1
	runAdmitter(t, c, Options{}, func(ctx context.Context, a *Admitter) {
		for range 10 {
			g, err := a.Admit(ctx, newRequest("a", 100, 0))
			is.NoErr(err)
			is.Equal(g.Waited, time.Duration(0))
			g.Done()
		}
	})
}
