package quota

import (
	"math"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// idleTTL is how long the bucket of a customer without requests is kept.
const idleTTL = time.Minute

// maxWait bounds the wait of a Verdict for rates close to zero.
const maxWait = time.Hour

// Limit is what a bucket enforces: Rate units per second on average, and Capacity units at once.
type Limit struct {
	Rate, Capacity float64
	// Version is the version of the configuration that the limit is from.
	Version uint64
}

// Request asks for units of a customer's quota.
type Request struct {
	Customer string
	Units    float64
	Limit    Limit
}

// Verdict is a replica's answer to a Request. Wait is the time until the units are available if
// they weren't granted and nothing else is.
type Verdict struct {
	Granted bool
	Wait    time.Duration
}

// Ledger holds the buckets that this host keeps as a replica. It is safe for concurrent use.
type Ledger struct {
	clock state.Clock
	// since returns the time from which on this host has been a replica.
	since func() time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is the token bucket of one customer.
type bucket struct {
	limit Limit
	// level is the number of available units at the time refilledAt. It is negative after charges
	// for units that this replica didn't have.
	level      float64
	refilledAt time.Time
	usedAt     time.Time
}

// NewLedger returns a ledger without buckets.
func NewLedger(clock state.Clock, since func() time.Time) *Ledger {
	return &Ledger{clock: clock, since: since, buckets: map[string]*bucket{}}
}

// Take takes the units of a request if the bucket has them. A request for more units than the
// bucket can hold is granted by a full bucket, which is in debt then.
func (l *Ledger) Take(req Request) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(req)
	missing := min(req.Units, b.limit.Capacity) - b.level
	if missing > 0 {
		return Verdict{Wait: b.limit.timeFor(missing)}
	}
	b.level -= req.Units
	return Verdict{Granted: true}
}

// Charge takes the units of a request whether or not the bucket has them.
func (l *Ledger) Charge(req Request) { l.add(req, -req.Units) }

// Refund gives back the units of a request that didn't run.
func (l *Ledger) Refund(req Request) { l.add(req, req.Units) }

func (l *Ledger) add(req Request, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(req)
	b.level = min(b.level+units, b.limit.Capacity)
}

// timeFor returns the time in which the units accrue.
func (l Limit) timeFor(units float64) time.Duration {
	seconds := units / l.Rate
	if !(seconds < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// bucket returns the customer's bucket, refilled, with the limit of the newest configuration that a
// request named; l.mu is held. Creating one evicts the idle ones.
func (l *Ledger) bucket(req Request) *bucket {
	now := l.clock.Now()
	b := l.buckets[req.Customer]
	if b == nil {
		l.evictIdle(now)
		b = &bucket{limit: req.Limit, refilledAt: l.since()}
		l.buckets[req.Customer] = b
	}
	b.usedAt = now
	b.refill(now)
	if req.Limit.Version > b.limit.Version {
		b.limit = req.Limit
		b.level = min(b.level, b.limit.Capacity)
	}
	return b
}

// refill credits the time since the last refill.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level = min(b.level+elapsed.Seconds()*b.limit.Rate, b.limit.Capacity)
		b.refilledAt = now
	}
}

// evictIdle drops the buckets that are full and weren't used for idleTTL: a new one would be full
// as well.
func (l *Ledger) evictIdle(now time.Time) {
	for customer, b := range l.buckets {
		if now.Sub(b.usedAt) <= idleTTL {
			continue
		}
		if b.refill(now); b.level >= b.limit.Capacity {
			delete(l.buckets, customer)
		}
	}
}
