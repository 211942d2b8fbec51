// Package buffers bounds the bytes of answers that a host holds before it passes them on: those of one answer, and those
// of all answers together. The more all of them hold, the less one may hold, so that a few large answers leave room for
// others (the dynamic thresholds of shared-memory switches).
package buffers

import (
	"fmt"
	"sync/atomic"
)

// FreeBytes is what each answer may hold in any case, without being counted. Ordinary answers are smaller.
const FreeBytes = 16 << 10

// Options configure a Pool. All limits must be positive.
type Options struct {
	// MaxBytes bounds the bytes held of all answers, and MaxAnswerBytes those of one.
	MaxBytes, MaxAnswerBytes int
}

// OptionError says which option is wrong.
type OptionError struct {
	Option string
	Value  int
	Remedy string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("buffers: option %s is %d: %s", e.Option, e.Value, e.Remedy)
}

// Pool counts what is held of answers. It is safe for concurrent use.
type Pool struct {
	o    Options
	held atomic.Int64
}

// New returns a pool in which nothing is held.
func New(o Options) (*Pool, error) {
	if o.MaxAnswerBytes <= FreeBytes {
		return nil, &OptionError{"MaxAnswerBytes", o.MaxAnswerBytes, fmt.Sprintf("set more than %d", FreeBytes)}
	}
	if o.MaxBytes < o.MaxAnswerBytes {
		return nil, &OptionError{"MaxBytes", o.MaxBytes, "set at least MaxAnswerBytes"}
	}
	return &Pool{o: o}, nil
}

// Held returns the bytes held of all answers, without those that aren't counted.
func (p *Pool) Held() int64 { return p.held.Load() }

// MaxAnswerBytes bounds the bytes held of one answer.
func (p *Pool) MaxAnswerBytes() int { return p.o.MaxAnswerBytes }

// Reserve returns the reservation of an answer of which nothing is held yet.
func (p *Pool) Reserve() *Reservation { return &Reservation{pool: p} }

// Reservation is what is counted for one answer. It isn't safe for concurrent use. It must be released.
type Reservation struct {
	pool    *Pool
	counted int64
}

// Grow reserves up to a total of bytes for the answer. It reports false, and changes nothing, if that is over the bound of
// one answer or more than is left: the answer must be passed on or dropped.
func (r *Reservation) Grow(total int) bool {
	want := int64(total)
	if total <= FreeBytes || want <= r.counted {
		return true
	}
	if total > r.pool.o.MaxAnswerBytes {
		return false
	}
	for {
		held := r.pool.held.Load()
		if others := held - r.counted; want > int64(r.pool.o.MaxBytes)-others-want {
			return false
		}
		if r.pool.held.CompareAndSwap(held, held+want-r.counted) {
			r.counted = want
			return true
		}
	}
}

// Counted reports whether anything is counted for the answer.
func (r *Reservation) Counted() bool { return r.counted > 0 }

// Release gives everything back. Further calls do nothing.
func (r *Reservation) Release() {
	r.pool.held.Add(-r.counted)
	r.counted = 0
}
