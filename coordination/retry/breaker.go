package retry

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"
)

// BreakerOptions configures Breakers. A field that is zero takes its default.
type BreakerOptions struct {
	// ConsecutiveFailures is the number of failures in a row that opens a breaker; default
	// 5.
	ConsecutiveFailures uint32
	// FailureShare is the share of failed attempts in the current interval, from 0 to 1,
	// that opens a breaker once the interval has MinAttempts attempts; defaults 0.5 and 20.
	FailureShare float64
	MinAttempts  uint32
	// Interval is the time after which a closed breaker resets its counts; default 10 s.
	Interval time.Duration
	// OpenFor is how long a breaker stays open before it becomes half-open; default 2 s.
	OpenFor time.Duration
	// Trials is the number of attempts that a half-open breaker admits; default 1.
	Trials uint32
	// MaxUpstreams bounds the number of breakers; default 4096. An upstream beyond the
	// bound has no breaker and is always ready.
	MaxUpstreams int
}

// Breakers holds one circuit breaker per upstream. It is safe for concurrent use.
type Breakers struct {
	o BreakerOptions

	mu       sync.RWMutex
	breakers map[string]*gobreaker.TwoStepCircuitBreaker[struct{}]
}

// State is the state of a breaker.
type State string

// The states of a breaker.
const (
	StateClosed   State = "closed"
	StateHalfOpen State = "half-open"
	StateOpen     State = "open"
)

// Status is a snapshot of one breaker for operators.
type Status struct {
	Upstream string
	State    State
	// Requests and Failures count the attempts and the failures of the current interval.
	Requests, Failures uint32
}

// OpenError reports that the breaker of an upstream admits no attempt at present; the
// remedy is to choose another upstream.
type OpenError struct{ Upstream string }

// Error implements error.
func (e *OpenError) Error() string {
	return fmt.Sprintf("the breaker of upstream %s is open; choose another", e.Upstream)
}

// errFailed reports a failed attempt to a breaker, which doesn't distinguish causes.
var errFailed = errors.New("the attempt failed")

// NewBreakers fills in the defaults. It returns an error if FailureShare is out of range.
func NewBreakers(o BreakerOptions) (*Breakers, error) {
	if o.FailureShare < 0 || o.FailureShare > 1 {
		return nil, fmt.Errorf("retry: BreakerOptions.FailureShare is outside 0 to 1; use 0.5 for half of the attempts")
	}
	if o.ConsecutiveFailures == 0 {
		o.ConsecutiveFailures = 5
	}
	if o.FailureShare == 0 {
		o.FailureShare = 0.5
	}
	if o.MinAttempts == 0 {
		o.MinAttempts = 20
	}
	if o.Interval == 0 {
		o.Interval = 10 * time.Second
	}
	if o.OpenFor == 0 {
		o.OpenFor = 2 * time.Second
	}
	if o.Trials == 0 {
		o.Trials = 1
	}
	if o.MaxUpstreams == 0 {
		o.MaxUpstreams = 4096
	}
	return &Breakers{o: o, breakers: map[string]*gobreaker.TwoStepCircuitBreaker[struct{}]{}}, nil
}

// Ready reports whether the breaker of the upstream is closed or half-open.
func (b *Breakers) Ready(upstream string) bool {
	breaker := b.lookup(upstream)
	return breaker == nil || breaker.State() != gobreaker.StateOpen
}

// Begin admits one attempt at the upstream. The caller must call done exactly once, with ok
// false if the upstream failed; a cancellation by the caller is not a failure. Begin
// returns an *OpenError if the breaker admits no attempt.
func (b *Breakers) Begin(upstream string) (done func(ok bool), err error) {
	breaker := b.lookupOrCreate(upstream)
	if breaker == nil {
		return func(bool) {}, nil
	}
	end, err := breaker.Allow()
	if err != nil {
		return nil, &OpenError{upstream}
	}
	return func(ok bool) {
		if ok {
			end(nil)
		} else {
			end(errFailed)
		}
	}, nil
}

// Retain removes the breakers of the upstreams for which keep returns false.
func (b *Breakers) Retain(keep func(upstream string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.breakers {
		if !keep(name) {
			delete(b.breakers, name)
		}
	}
}

// Status returns the status of every breaker, sorted by upstream.
func (b *Breakers) Status() []Status {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make([]Status, 0, len(b.breakers))
	for name, breaker := range b.breakers {
		c := breaker.Counts()
		out = append(out, Status{name, stateOf(breaker.State()), c.Requests, c.TotalFailures})
	}
	slices.SortFunc(out, func(x, y Status) int { return strings.Compare(x.Upstream, y.Upstream) })
	return out
}

func stateOf(s gobreaker.State) State {
	switch s {
	case gobreaker.StateOpen:
		return StateOpen
	case gobreaker.StateHalfOpen:
		return StateHalfOpen
	default:
		return StateClosed
	}
}

// lookup returns the breaker of the upstream, or nil if it has none.
func (b *Breakers) lookup(upstream string) *gobreaker.TwoStepCircuitBreaker[struct{}] {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.breakers[upstream]
}

// lookupOrCreate returns the breaker of the upstream, or nil if MaxUpstreams others exist.
func (b *Breakers) lookupOrCreate(upstream string) *gobreaker.TwoStepCircuitBreaker[struct{}] {
	if breaker := b.lookup(upstream); breaker != nil {
		return breaker
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if breaker := b.breakers[upstream]; breaker != nil {
		return breaker
	}
	if len(b.breakers) >= b.o.MaxUpstreams {
		return nil
	}
	breaker := gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
		Name: upstream, MaxRequests: b.o.Trials, Interval: b.o.Interval, Timeout: b.o.OpenFor,
		ReadyToTrip: b.shouldTrip,
	})
	b.breakers[upstream] = breaker
	return breaker
}

// shouldTrip reports whether a breaker with these counts opens.
func (b *Breakers) shouldTrip(c gobreaker.Counts) bool {
	if c.ConsecutiveFailures >= b.o.ConsecutiveFailures {
		return true
	}
	return c.Requests >= b.o.MinAttempts && float64(c.TotalFailures) >= b.o.FailureShare*float64(c.Requests)
}
