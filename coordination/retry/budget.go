package retry

import (
	"fmt"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// BudgetOptions configure a Budget. Zero values stand for the defaults.
type BudgetOptions struct {
	// Clock is required.
	Clock state.Clock
	// Share tells a service's retries as a share of its requests; zero or less
	// stands for DefaultShare. It is required.
	Share func(service string) float64
	// DefaultShare is 0.1 when left zero.
	DefaultShare float64
	// MinPerSecond lets a service with little traffic retry as well; default 1.
	MinPerSecond float64
	// Burst is the most retries that can be saved up; default 20.
	Burst float64
	// Slack, when set, replaces MinPerSecond and Burst: the repeats that this host
	// may send in any SlackWindow whatever its traffic. Half of it can be saved
	// up and half is earned in the window, so that no window sees more.
	Slack       func() float64
	SlackWindow time.Duration
	// MaxServices bounds the services kept apart; default 1024. Services
	// beyond it share one budget.
	MaxServices int
}

// Budget limits the retries of each service. It is safe for concurrent use.
type Budget struct {
	o BudgetOptions

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket holds the retries saved up by one service.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a budget, or an error that names the wrong option.
func NewBudget(o BudgetOptions) (*Budget, error) {
	if o.Clock == nil || o.Share == nil {
		return nil, fmt.Errorf("retry: BudgetOptions.Clock or Share is nil; pass both")
	}
	if o.DefaultShare < 0 || o.DefaultShare > 1 {
		return nil, fmt.Errorf("retry: BudgetOptions.DefaultShare is outside 0 to 1; use 0.1 for one retry in ten requests")
	}
	if o.Slack != nil && o.SlackWindow <= 0 {
		return nil, fmt.Errorf("retry: BudgetOptions.SlackWindow must be positive with Slack; use the window that the slack counts for")
	}
	if o.DefaultShare == 0 {
		o.DefaultShare = 0.1
	}
	if o.MinPerSecond == 0 {
		o.MinPerSecond = 1
	}
	if o.Burst == 0 {
		o.Burst = 20
	}
	if o.MaxServices == 0 {
		o.MaxServices = 1024
	}
	return &Budget{o: o, buckets: map[string]*bucket{}}, nil
}

// CountRequest counts one request of the service (not a retry) and saves its share.
func (b *Budget) CountRequest(service string) {
	share := b.o.Share(service)
	if share <= 0 {
		share = b.o.DefaultShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.refill(service)
	k.tokens = min(k.tokens+share, b.capacity())
}

// Allow reports whether a request of the service may be tried again, and takes
// the retry from the budget if so.
func (b *Budget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.refill(service)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// Available returns the retries saved up by the service.
func (b *Budget) Available(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refill(service).tokens
}

// capacity is the most that can be saved up, at least one repeat.
func (b *Budget) capacity() float64 {
	if b.o.Slack == nil {
		return b.o.Burst
	}
	return max(1, b.o.Slack()/2)
}

// refillRate is what is earned without traffic.
func (b *Budget) refillRate() float64 {
	if b.o.Slack == nil {
		return b.o.MinPerSecond
	}
	return b.o.Slack() / 2 / b.o.SlackWindow.Seconds()
}

// refill returns the service's refill with the time's worth added; b.mu is held.
// A new refill holds one retry, so that the first request may be repeated.
func (b *Budget) refill(service string) *bucket {
	now := b.o.Clock.Now()
	k := b.buckets[service]
	if k == nil && len(b.buckets) >= b.o.MaxServices {
		service = ""
		k = b.buckets[service]
	}
	if k == nil {
		k = &bucket{tokens: 1, refilledAt: now}
		b.buckets[service] = k
		return k
	}
	if elapsed := now.Sub(k.refilledAt); elapsed > 0 {
		k.tokens = min(k.tokens+elapsed.Seconds()*b.refillRate(), b.capacity())
		k.refilledAt = now
	}
	return k
}
