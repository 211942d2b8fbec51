// Package throttle bounds what a host has in flight at a service by the times
// that it sees: while answers come in time the bound grows, when they come late
// it shrinks. Requests beyond the bound are put behind the others, so that a
// burst makes few requests late instead of all.
package throttle

import (
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// startLimit is the bound before anything is known; a host has one or two
	// prompts in flight in a calm minute.
	startLimit = 8
	// minLimit keeps a host working whatever it sees.
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
	// largest bounds the size that the target grows with, against the mean.
	largest = 4
)

// Options configure a Limiter. All fields are required.
type Options struct {
	Clock state.Clock
	// Target is the time in which an answer to a request of mean size should come.
	Target time.Duration
}

// Limiter bounds the requests in flight. It is safe for concurrent use.
type Limiter struct {
	o Options

	mu       sync.Mutex
	limit    float64
	inFlight int
	meanSize float64
	// shrunkAt is when the bound last shrank.
	shrunkAt time.Time
}

// New returns a limiter.
func New(o Options) *Limiter { return &Limiter{o: o, limit: startLimit} }

// Ticket is one request within the bound.
type Ticket struct {
	l       *Limiter
	size    float64
	started time.Time
}

// Acquire counts a request in. It returns nil when the bound is reached; such a
// request isn't counted and needs no end.
func (l *Limiter) Acquire(size float64) *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(size)
	if l.inFlight >= int(l.limit) {
		return nil
	}
	l.inFlight++
	return &Ticket{l: l, size: size, started: l.o.Clock.Now()}
}

func (l *Limiter) learn(size float64) {
	if l.meanSize == 0 {
		l.meanSize = size
	}
	l.meanSize += meanGain * (size - l.meanSize)
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
	t.l.inFlight--
}

// Cancel counts out a request whose time says nothing of the load.
func (t *Ticket) Cancel() {
	if t == nil {
		return
	}
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	t.l.inFlight--
}

// adapt moves the bound by one answer.
func (l *Limiter) adapt(t *Ticket) {
	now := l.o.Clock.Now()
	if now.Sub(t.started) <= l.target(t.size) {
		if l.inFlight >= int(l.limit) {
			l.limit = min(maxLimit, l.limit+growth/l.limit)
		}
		return
	}
	if t.started.After(l.shrunkAt) {
		l.limit = max(minLimit, l.limit*shrink)
		l.shrunkAt = now
	}
}

// target is the time in which a request of that size should be answered.
func (l *Limiter) target(size float64) time.Duration {
	relative := 1.0
	if l.meanSize > 0 {
		relative = min(size/l.meanSize, largest)
	}
	return time.Duration(float64(l.o.Target) * (1 - sizeShare + sizeShare*relative))
}

// Limit returns the bound and what is in flight.
func (l *Limiter) Limit() (limit float64, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit, l.inFlight
}
