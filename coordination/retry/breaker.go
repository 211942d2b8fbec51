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

// BreakerOptions configure Breakers. Zero values stand for the defaults.
type BreakerOptions struct {
	// ConsecutiveFailures in a row that open a breaker; default 5.
	ConsecutiveFailures uint32
	// FailureShare of the last interval's attempts that opens it, once there
	// are MinAttempts of them; defaults 0.5 and 20.
	FailureShare float64
	MinAttempts  uint32
	// Interval is how long attempts are counted; default 10 s.
	Interval time.Duration
	// OpenFor is how long an open breaker stays so before it lets trials
	// through; default 2 s.
	OpenFor time.Duration
	// Trials is how many attempts a half-open breaker lets through; default 1.
	Trials uint32
	// MaxUpstreams bounds the breakers; default 4096. An upstream beyond the
	// bound has none and is always ready.
	MaxUpstreams int
}

// Breakers keeps a circuit breaker per upstream. It is safe for concurrent use.
type Breakers struct {
	o BreakerOptions

	mu       sync.RWMutex
	breakers map[string]*gobreaker.TwoStepCircuitBreaker[struct{}]
}

// State is a breaker's state.
type State string

// The states of a breaker.
const (
	StateClosed   State = "closed"
	StateHalfOpen State = "half-open"
	StateOpen     State = "open"
)

// Status is one breaker as shown to operators.
type Status struct {
	Upstream string
	State    State
	// Requests and Failures are counted over the present interval.
	Requests, Failures uint32
}

// OpenError says that an upstream's breaker lets nothing through at the moment.
type OpenError struct{ Upstream string }

// Error implements error.
func (e *OpenError) Error() string {
	return fmt.Sprintf("the breaker of upstream %s is open; choose another", e.Upstream)
}

// errFailed stands for any failure that counts against an upstream.
var errFailed = errors.New("the attempt failed")

// NewBreakers returns breakers, or an error that names the wrong option.
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

// Ready reports whether the upstream's breaker lets an attempt through.
func (b *Breakers) Ready(upstream string) bool {
	breaker := b.lookup(upstream)
	return breaker == nil || breaker.State() != gobreaker.StateOpen
}

// Begin asks for an attempt. The returned function must be called once with
// whether the upstream did its part (a caller's own cancellation is no failure).
// It returns an *OpenError when the breaker lets nothing through.
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

// Retain forgets the breakers of upstreams for which keep is false.
func (b *Breakers) Retain(keep func(upstream string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.breakers {
		if !keep(name) {
			delete(b.breakers, name)
		}
	}
}

// Status returns every breaker, sorted by upstream.
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

func (b *Breakers) lookup(upstream string) *gobreaker.TwoStepCircuitBreaker[struct{}] {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.breakers[upstream]
}

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

func (b *Breakers) shouldTrip(c gobreaker.Counts) bool {
	if c.ConsecutiveFailures >= b.o.ConsecutiveFailures {
		return true
	}
	return c.Requests >= b.o.MinAttempts && float64(c.TotalFailures) >= b.o.FailureShare*float64(c.Requests)
}
