package retry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// manualClock returns the time that the test has set.
type manualClock struct {
	state.Clock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

func newBudget(t *testing.T, o BudgetOptions) (*Budget, *manualClock) {
	t.Helper()
	clock := &manualClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	o.Clock = clock
	if o.Share == nil {
		o.Share = func(string) float64 { return 0.1 }
	}
	b, err := NewBudget(o)
	if err != nil {
		t.Fatal(err)
	}
	return b, clock
}

// countAllowed takes retries until the budget is used up and returns their number.
func countAllowed(b *Budget, service string) int {
	n := 0
	for b.Allow(service) {
		n++
	}
	return n
}

func TestRetriesStayWithinTheirShareOfTheTraffic(t *testing.T) {
	tests := []struct {
		name     string
		share    float64
		requests int
		want     int
	}{
		{"a tenth", 0.1, 100, 11}, // including the one that a new service starts with
		{"a half", 0.5, 20, 11},
		{"the default", 0, 100, 11},
		{"limited by the burst", 0.1, 10000, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, _ := newBudget(t, BudgetOptions{Share: func(string) float64 { return tt.share }})
			for range tt.requests {
				b.CountRequest("llm")
			}
			n := countAllowed(b, "llm")
			is.True(n >= tt.want-1 && n <= tt.want) // the sum of tenths is inexact
		})
	}
}

func TestOutageIsNotAmplified(t *testing.T) {
	is := is.New(t)
	b, clock := newBudget(t, BudgetOptions{})
	retries := 0
	const seconds, rate = 60, 100
	for range seconds * rate { // every request fails and is retried if allowed
		clock.now = clock.now.Add(time.Second / rate)
		b.CountRequest("llm")
		if b.Allow("llm") {
			retries++
		}
	}
	is.True(retries <= seconds*rate/10+seconds+20)
	is.True(retries >= seconds*rate/10)
}

func TestIdleServiceMayRetryOncePerSecond(t *testing.T) {
	is := is.New(t)
	b, clock := newBudget(t, BudgetOptions{})
	is.Equal(countAllowed(b, "llm"), 1)
	clock.now = clock.now.Add(3 * time.Second)
	is.Equal(countAllowed(b, "llm"), 3)
	is.Equal(countAllowed(b, "other"), 1) // each service has its own budget
}

func TestBudgetBoundsItsServices(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(t, BudgetOptions{MaxServices: 8})
	for i := range 1000 {
		b.CountRequest(fmt.Sprint("service-", i))
	}
	is.True(len(b.buckets) <= 9) // eight services and the shared bucket
}

func TestBreakerOpensAndAllowsATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b, err := NewBreakers(BreakerOptions{ConsecutiveFailures: 3, OpenFor: 2 * time.Second})
		is.NoErr(err)
		attempt := func(ok bool) error {
			done, err := b.Begin("e1")
			if err == nil {
				done(ok)
			}
			return err
		}
		for range 3 {
			is.True(b.Ready("e1"))
			is.NoErr(attempt(false))
		}
		is.True(!b.Ready("e1"))
		var open *OpenError
		is.True(errors.As(attempt(true), &open))
		is.Equal(b.Status()[0].State, StateOpen)
		is.True(b.Ready("e2")) // other upstreams are unaffected

		time.Sleep(2*time.Second + time.Millisecond)
		is.True(b.Ready("e1"))
		is.Equal(b.Status()[0].State, StateHalfOpen)
		is.NoErr(attempt(false)) // the trial fails
		is.True(!b.Ready("e1"))
		time.Sleep(2*time.Second + time.Millisecond)
		is.NoErr(attempt(true))
		is.Equal(b.Status()[0].State, StateClosed)
	})
}

func TestBreakerOpensOnAShareOfFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b, err := NewBreakers(BreakerOptions{ConsecutiveFailures: 100, FailureShare: 0.5, MinAttempts: 10})
		is.NoErr(err)
		for i := range 10 {
			done, err := b.Begin("e1")
			is.NoErr(err)
			done(i%2 == 1)
		}
		is.True(b.Ready("e1")) // the tenth attempt succeeded, and only a failure opens a breaker
		done, err := b.Begin("e1")
		is.NoErr(err)
		done(false)
		is.True(!b.Ready("e1"))
	})
}

func TestBreakersAreBoundedAndRemoved(t *testing.T) {
	is := is.New(t)
	b, err := NewBreakers(BreakerOptions{MaxUpstreams: 4, ConsecutiveFailures: 1})
	is.NoErr(err)
	for i := range 100 {
		done, err := b.Begin(fmt.Sprint("e", i))
		is.NoErr(err)
		done(true)
	}
	is.Equal(len(b.Status()), 4)
	b.Retain(func(name string) bool { return name == "e2" })
	is.Equal(len(b.Status()), 1)
}

func TestDelaysGrowWithJitter(t *testing.T) {
	is := is.New(t)
	d := NewDelays(10*time.Millisecond, 100*time.Millisecond, rand.New(rand.NewPCG(1, 2)))
	seen := map[time.Duration]bool{}
	for range 100 {
		s := d.Start()
		for _, full := range []time.Duration{10, 20, 40, 80, 100, 100} {
			got := s.Next()
			is.True(got >= full*time.Millisecond/2 && got <= full*time.Millisecond)
			seen[got] = true
		}
	}
	is.True(len(seen) > 500)
}
