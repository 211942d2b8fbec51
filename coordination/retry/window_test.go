package retry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
)

const (
	testWindow = 10 * time.Second
	testShare  = 0.16
	// agreedShare and agreedSlack are what the service agreement allows: a budget is made with
	// four fifths of both.
	agreedShare = testShare / 0.8
	agreedSlack = testSlack / 0.8
	testSlack   = 3
)

func newWindowBudget(t *testing.T, slack float64) *WindowBudget {
	t.Helper()
	b, err := NewWindowBudget(WindowOptions{Clock: clocktest.Bubble{}, Window: testWindow, Share: testShare, Slack: func() float64 { return slack }})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A small host of a fleet of 83, with 6 requests a second, loses the engine at which four of its
// runs are: all of them go on at once.
func TestWindowBudgetAllowsABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newWindowBudget(t, 1.7)
		for range 60 {
			b.CountRequest("llm")
			time.Sleep(testWindow / 60)
		}
		allowed := 0
		for b.Allow("llm") {
			allowed++
		}
		is.True(allowed >= 9)
		is.True(allowed <= 11) // 0.16 of 60 and the slack
		is.True(!b.Allow("llm"))
		time.Sleep(testWindow / 2)
		is.True(!b.Allow("llm")) // nothing is earned while they are in the window
		is.True(b.Allow("app"))  // another service has a budget of its own
	})
}

// In no window of whatever beginning are there more repeats than the slack and its requests
// allow, or those of the window before it or half before it, as the service agreement counts
// them, however requests and repeats come.
func TestNoWindowExceedsItsBound(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 4))
			b := newWindowBudget(t, testSlack)
			var requests, retries []time.Time
			rate := 1 + rng.IntN(50)
			for end := time.Now().Add(time.Minute); time.Now().Before(end); {
				if rng.IntN(200) == 0 {
					rate = 1 + rng.IntN(50)
				}
				b.CountRequest("llm")
				requests = append(requests, time.Now())
				for range rng.IntN(4) {
					if b.Allow("llm") {
						retries = append(retries, time.Now())
					}
				}
				time.Sleep(time.Duration(rng.IntN(2000/rate)) * time.Millisecond)
			}
			for _, from := range retries {
				n := float64(countWithin(retries, from, testWindow))
				maxRequests := max(countWithin(requests, from, testWindow), countWithin(requests, from.Add(-testWindow/2), testWindow), countWithin(requests, from.Add(-testWindow), testWindow))
				if n > agreedShare*float64(maxRequests)+agreedSlack {
					t.Fatalf("seed %d: %v repeats beside %d requests", seed, n, maxRequests)
				}
			}
		})
	}
}

// countWithin counts the times in a window.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

func TestMissingWindowOptionsAreRejected(t *testing.T) {
	_, err := NewWindowBudget(WindowOptions{Clock: clocktest.Bubble{}})
	is.New(t).True(err != nil)
}

// An overload: each request is refused and asks for repeats all the time. Ordinary repeats stay
// as steady as their budget earns them, so that they don't make it worse, and what is under way
// can still be moved at once when its engine is lost.
func TestOverloadLeavesCapacityForMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ordinary, err := NewBudget(BudgetOptions{Clock: clocktest.Bubble{}, Share: func(string) float64 { return testShare }, Slack: func() float64 { return 1.7 }, SlackWindow: testWindow})
		is.NoErr(err)
		b := NewLimiter(ordinary, newWindowBudget(t, 1.7))
		retries := 0
		for range 300 {
			b.CountRequest("llm")
			for b.Allow("llm") {
				retries++
			}
			time.Sleep(testWindow / 60)
		}
		is.True(float64(retries) <= testShare*300+1.7/2*5+1) // never what a burst of them saved up
		b, moves := NewLimiter(ordinary, newWindowBudget(t, 1.7)), 0
		for range 60 {
			b.CountRequest("llm")
			time.Sleep(testWindow / 60)
		}
		for b.AllowMove("llm") {
			moves++
		}
		is.True(moves >= 9)
	})
}
