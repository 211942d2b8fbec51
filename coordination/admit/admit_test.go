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

// fixedRoom is a Capacity that a test sets.
type fixedRoom struct{ room Capacity }

func (c *fixedRoom) Capacity(string) Capacity { return c.room }

// oneAtATime has room for one request; a token takes a millisecond.
func oneAtATime() *fixedRoom {
	return &fixedRoom{Capacity{
		Runners: 1, Requests: 1, PrefillTokens: 1 << 20,
		PrefillPerSecond: 1000, DecodePerSecond: 1000, EnginePrefillPerSecond: 1000,
		TokenInterval: time.Millisecond,
	}}
}

// run starts an admitter inside a bubble and ends it with the test function.
func run(t *testing.T, c CapacitySource, o Options, test func(ctx context.Context, a *Admitter)) {
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

func ask(customer string, tokens int64, deadline time.Duration) Request {
	r := Request{Service: "llm", Customer: customer, Class: "c", Cost: snapshot.Work{Requests: 1, PrefillTokens: tokens}}
	if deadline > 0 {
		r.Deadline = time.Now().Add(deadline)
	}
	return r
}

func TestRequestWaitsForRoomAndStarts(t *testing.T) {
	is := is.New(t)
	run(t, oneAtATime(), Options{}, func(ctx context.Context, a *Admitter) {
		first, err := a.Admit(ctx, ask("a", 100, 0))
		is.NoErr(err)
		time.AfterFunc(time.Second, first.Done)
		second, err := a.Admit(ctx, ask("b", 100, 0))
		is.NoErr(err)
		is.Equal(second.Waited, time.Second)
	})
}

func TestRequestThatCannotFinishInTimeIsRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	run(t, oneAtATime(), Options{}, func(ctx context.Context, a *Admitter) {
		start := time.Now()
		_, err := a.Admit(ctx, ask("a", 2000, time.Second))
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, ReasonDeadline)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

func TestWaitingRequestIsRefusedAsSoonAsItsDeadlineIsOutOfReach(t *testing.T) {
	is := is.New(t)
	run(t, oneAtATime(), Options{}, func(ctx context.Context, a *Admitter) {
		_, err := a.Admit(ctx, ask("a", 100, 0))
		is.NoErr(err)
		start := time.Now()
		_, err = a.Admit(ctx, ask("b", 1000, 5*time.Second))
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		// The work takes a second, so four seconds after its arrival nothing helps.
		waited := time.Since(start)
		is.True(waited > 4*time.Second && waited <= 4*time.Second+2*a.o.Interval)
		is.True(refused.RetryAfter > 0)
	})
}

// TestRoomComesBackBetweenMeasurements starts more requests one after another
// than there is room for at a time, all on one measurement of the room.
func TestRoomComesBackBetweenMeasurements(t *testing.T) {
	is := is.New(t)
	c := oneAtATime()
	c.room.Seq = 1
	run(t, c, Options{}, func(ctx context.Context, a *Admitter) {
		for range 10 {
			g, err := a.Admit(ctx, ask("a", 100, 0))
			is.NoErr(err)
			is.Equal(g.Waited, time.Duration(0))
			g.Done()
		}
	})
}
