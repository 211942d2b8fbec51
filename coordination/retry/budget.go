package retry

import (
	"fmt"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// BudgetOptions configures a Budget. A field that is zero takes its default unless it is
// required.
type BudgetOptions struct {
	// Clock is required.
	Clock state.Clock
	// Share returns the retries that the service may send as a share of its requests; zero
	// or less selects DefaultShare. It is required.
	Share func(service string) float64
	// DefaultShare is the share of services without one of their own; default 0.1.
	DefaultShare float64
	// MinPerSecond is the retries per second that a service earns without traffic, so that
	// a service with few requests can retry too; default 1.
	MinPerSecond float64
	// Burst is the most retries that a service can accumulate; default 20.
	Burst float64
	// Slack, if set, replaces MinPerSecond and Burst. It returns the retries that this host
	// may send in any SlackWindow regardless of its traffic. Half of them can accumulate
	// and the other half is earned over the window, so that no window contains more than
	// the slack.
	Slack       func() float64
	SlackWindow time.Duration
	// MaxServices bounds the services with a budget of their own; default 1024. All
	// services beyond it share one budget.
	MaxServices int
}

// Budget limits the retries of each service with a token bucket that is refilled by
// requests and by time. It is safe for concurrent use.
type Budget struct {
	o BudgetOptions

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket holds the retries that one service has accumulated.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewBudget fills in the defaults. It returns an error that names the option that is
// missing or out of range.
func NewBudget(o BudgetOptions) (*Budget, error) {
	if o.Clock == nil || o.Share == nil {
		return nil, fmt.Errorf("retry: BudgetOptions.Clock or Share is nil; pass both")
	}
	if o.DefaultShare < 0 || o.DefaultShare > 1 {
		return nil, fmt.Errorf("retry: BudgetOptions.DefaultShare is outside 0 to 1; use 0.1 for one retry in ten requests")
	}
	if o.Slack != nil && o.SlackWindow <= 0 {
		return nil, fmt.Errorf("retry: BudgetOptions.SlackWindow must be positive if Slack is set; use the window that Slack applies to")
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

// CountRequest counts one request of the service, not a retry, and credits its share to the
// budget.
func (b *Budget) CountRequest(service string) {
	share := b.o.Share(service)
	if share <= 0 {
		share = b.o.DefaultShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.refill(service)
	bkt.tokens = min(bkt.tokens+share, b.capacity())
}

// Allow takes one retry of the service from its budget and reports whether there was one.
func (b *Budget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.refill(service)
	if bkt.tokens < 1 {
		return false
	}
	bkt.tokens--
	return true
}

// Available returns the retries that the service has accumulated.
func (b *Budget) Available(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refill(service).tokens
}

// capacity returns the most retries that a bucket holds. With Slack it is at least one,
// since a smaller bucket would never allow a retry.
func (b *Budget) capacity() float64 {
	if b.o.Slack == nil {
		return b.o.Burst
	}
	return max(1, b.o.Slack()/2)
}

// refillRate returns the retries per second that a bucket earns without traffic.
func (b *Budget) refillRate() float64 {
	if b.o.Slack == nil {
		return b.o.MinPerSecond
	}
	return b.o.Slack() / 2 / b.o.SlackWindow.Seconds()
}

// refill returns the bucket of the service with the elapsed time credited; b.mu is held. A
// new bucket holds one retry, so that the first request can be retried.
func (b *Budget) refill(service string) *bucket {
	now := b.o.Clock.Now()
	bkt := b.buckets[service]
	if bkt == nil && len(b.buckets) >= b.o.MaxServices {
		service = ""
		bkt = b.buckets[service]
	}
	if bkt == nil {
		bkt = &bucket{tokens: 1, refilledAt: now}
		b.buckets[service] = bkt
		return bkt
	}
	if elapsed := now.Sub(bkt.refilledAt); elapsed > 0 {
		bkt.tokens = min(bkt.tokens+elapsed.Seconds()*b.refillRate(), b.capacity())
		bkt.refilledAt = now
	}
	return bkt
}
