// Package throttle bounds what is in flight at one place by the times that are
// seen there: while answers come in time the bound grows, when they come late it
// shrinks. Requests beyond the bound are put behind the others, so that a burst
// makes few requests late instead of all.
package throttle

import (
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// minLimit keeps the place working whatever is seen.
	minLimit = 1
	maxLimit = 256
	// growth is added for a limit's worth of answers in time.
	growth = 2.0
	// shrink is what is left of the bound after a late answer; answers that were
	// under way together shrink it once.
	shrink = 0.85
	// meanGain is the weight of a new sample in the mean size.
	meanGain = 0.05
	// sizeShare is the part of the target that grows with a request's size.
	sizeShare = 0.6
	// smallest and largest bound what a request counts for, against the mean.
	smallest = 0.25
	largest  = 4
)

// Options configure a Limiter. All fields are required.
type Options struct {
	Clock state.Clock
	// Start is the bound before anything is known, in requests of mean size.
	Start float64
}

// Limiter bounds the requests in flight, counted in requests of mean size. It is
// safe for concurrent use.
type Limiter struct {
	o Options

	mu       sync.Mutex
	limit    float64
	inFlight float64
	meanSize float64
	// shrunkAt is when the bound last shrank.
	shrunkAt time.Time
}

// New returns a limiter.
func New(o Options) *Limiter { return &Limiter{o: o, limit: o.Start} }

// Ticket is one request within the bound.
type Ticket struct {
	l *Limiter
	// weight is the request's size against the mean when it was counted in.
	weight  float64
	target  time.Duration
	started time.Time
}

// Acquire counts a request in whose answer should come within target if it is of
// mean size. It returns nil when the bound is reached; such a request isn't counted
// and needs no end. A large request passes as easily as a small one and leaves less
// room behind it.
func (l *Limiter) Acquire(size float64, target time.Duration) *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(size)
	if l.inFlight+1 > l.limit {
		return nil
	}
	t := &Ticket{l: l, weight: l.weight(size), target: target, started: l.o.Clock.Now()}
	l.inFlight += t.weight
	return t
}

func (l *Limiter) learn(size float64) {
	if l.meanSize == 0 {
		l.meanSize = size
	}
	l.meanSize += meanGain * (size - l.meanSize)
}

func (l *Limiter) weight(size float64) float64 {
	if l.meanSize <= 0 {
		return 1
	}
	return min(max(size/l.meanSize, smallest), largest)
}

// Done counts an answered request out; its time moves the bound. It is called
// once, and may be called on nil.
func (t *Ticket) Done() {
	if t == nil {
		return
	}
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	t.l.adapt(t)
	t.l.release(t)
}

// Cancel counts out a request whose time says nothing of the load.
func (t *Ticket) Cancel() {
	if t == nil {
		return
	}
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	t.l.release(t)
}

func (l *Limiter) release(t *Ticket) { l.inFlight = max(0, l.inFlight-t.weight) }

// adapt moves the bound by one answer.
func (l *Limiter) adapt(t *Ticket) {
	now := l.o.Clock.Now()
	due := time.Duration(float64(t.target) * (1 - sizeShare + sizeShare*t.weight))
	if now.Sub(t.started) <= due {
		if l.inFlight+1 > l.limit {
			l.limit = min(maxLimit, l.limit+growth/l.limit)
		}
		return
	}
	if t.started.After(l.shrunkAt) {
		l.limit = max(minLimit, l.limit*shrink)
		l.shrunkAt = now
	}
}

// Limit returns the bound and what is in flight, in requests of mean size.
func (l *Limiter) Limit() (limit, inFlight float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit, l.inFlight
}
