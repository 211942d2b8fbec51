// Package bodies bounds the bytes of request bodies that a host holds, from the moment at which room for them
// is needed until their requests are answered. At the bound, readers wait, so that the network keeps callers from
// sending; a request that finds no room in time is refused as not run. What is held already is never given up.
//
// Small bodies wait only if the bound itself is reached. A large one is admitted only while twice its size is free,
// and after the large ones that arrived before it or are more urgent, so that a few large bodies neither exhaust the
// memory nor keep small ones out.
package bodies

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

// SmallBytes is the largest size of a small body.
const SmallBytes = 64 << 10

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// holdWeight is the weight of one large body in the mean time for which they are held.
	holdWeight = 0.1
)

// Options configure a Pool. All fields but Taken and MinBytes are required.
type Options struct {
	// MaxBytes bounds the bytes held of all bodies. A body that exceeds it is admitted while nothing else is held.
	MaxBytes int
	// Taken returns the bytes of that memory that are taken otherwise, as by connections, and MinBytes is what is left for
	// bodies in any case. Taken may be nil.
	Taken    func() int
	MinBytes int
	// MaxWait bounds the wait of one reader for room.
	MaxWait time.Duration
	Clock   state.Clock
}

// OptionError says which option is wrong.
type OptionError struct{ Option, Remedy string }

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("bodies: option %s: %s", e.Option, e.Remedy) }

// FullError reports that there is no room for a body.
type FullError struct {
	// Bytes are those that were asked for, and Held those of all bodies.
	Bytes, Held int
	// Waiting is the number of readers that wait for room.
	Waiting int
	// RetryAfter is when there may be room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory is left for a body of %d bytes (%d held, %d readers waiting); send the request again after %s, or at another host", e.Bytes, e.Held, e.Waiting, e.RetryAfter.Round(time.Millisecond))
}

// Pool counts what is held of request bodies. It is safe for concurrent use.
type Pool struct {
	o    Options
	held atomic.Int64
	// queued is the number of waiting readers.
	queued atomic.Int64
	// waits is the number of readers so far that found no room at once.
	waits atomic.Uint64
	// meanHold is the mean time in seconds for which large bodies are held, as float64 bits.
	meanHold atomic.Uint64

	mu sync.Mutex
	// small and large are the waiting readers in the order in which they are admitted.
	small, large []*waiter
}

// New returns a pool in which nothing is held.
func New(o Options) (*Pool, error) {
	if o.MaxBytes <= 0 {
		return nil, &OptionError{"MaxBytes", "set a positive number of bytes"}
	}
	if o.Taken != nil && o.MinBytes <= 0 {
		return nil, &OptionError{"MinBytes", "set a positive number of bytes beside Taken"}
	}
	if o.MaxWait <= 0 {
		return nil, &OptionError{"MaxWait", "set a positive duration"}
	}
	if o.Clock == nil {
		return nil, &OptionError{"Clock", "set a clock"}
	}
	return &Pool{o: o}, nil
}

// Held returns the bytes held of all bodies, and Waiting the number of readers that wait for room.
func (p *Pool) Held() int64    { return p.held.Load() }
func (p *Pool) Waiting() int64 { return p.queued.Load() }

// Waits returns the number of readers so far that found no room at once.
func (p *Pool) Waits() uint64 { return p.waits.Load() }

// Reserve returns the reservation of a body of which nothing is held yet. Of large bodies those of a lower priority
// number are admitted first.
func (p *Pool) Reserve(priority int) *Reservation { return &Reservation{pool: p, priority: priority} }

// bound returns what may be held of all bodies now.
func (p *Pool) bound() int {
	if p.o.Taken == nil {
		return p.o.MaxBytes
	}
	return max(p.o.MaxBytes-p.o.Taken(), p.o.MinBytes)
}

// fits reports whether a body may grow to total bytes while others hold the given number.
func (p *Pool) fits(others int64, total int) bool {
	free := int64(p.bound()) - others
	switch {
	case others == 0:
		return true
	case total <= SmallBytes:
		return int64(total) <= free
	default:
		return 2*int64(total) <= free
	}
}

// tryGrow admits a reservation to total bytes if they fit.
func (p *Pool) tryGrow(r *Reservation, total int) bool {
	for {
		held := p.held.Load()
		if !p.fits(held-r.counted, total) {
			return false
		}
		if p.held.CompareAndSwap(held, held+int64(total)-r.counted) {
			r.set(int64(total))
			return true
		}
	}
}

// release gives bytes back and admits readers that wait for them.
func (p *Pool) release(bytes int64) {
	p.held.Add(-bytes)
	if p.queued.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.small = p.admit(p.small)
	p.large = p.admit(p.large)
}

// admit admits readers in their order, up to the first that doesn't fit, and returns the others; p.mu is held.
func (p *Pool) admit(queue []*waiter) []*waiter {
	for len(queue) > 0 && p.tryGrow(queue[0].r, queue[0].total) {
		close(queue[0].admitted)
		p.queued.Add(-1)
		queue = queue[1:]
	}
	return queue
}

// forecast returns when a further large body is likely to be admitted, by what is waiting and for how long bodies are held.
func (p *Pool) forecast(total int) time.Duration {
	p.mu.Lock()
	ahead := total
	for _, w := range p.large {
		ahead += w.total
	}
	p.mu.Unlock()
	hold := math.Float64frombits(p.meanHold.Load())
	after := time.Duration(hold * float64(ahead) / float64(p.bound()) * float64(time.Second))
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// noteHold updates the mean time for which large bodies are held.
func (p *Pool) noteHold(d time.Duration) {
	for {
		before := p.meanHold.Load()
		mean := math.Float64frombits(before)
		if before == 0 {
			mean = d.Seconds()
		}
		if p.meanHold.CompareAndSwap(before, math.Float64bits(mean+holdWeight*(d.Seconds()-mean))) {
			return
		}
	}
}

// full returns the refusal of a reader.
func (p *Pool) full(total int) *FullError {
	return &FullError{Bytes: total, Held: int(p.held.Load()), Waiting: int(p.queued.Load()), RetryAfter: p.forecast(total)}
}

// Reservation is what is counted for one body. It isn't safe for concurrent use. It must be released.
type Reservation struct {
	pool     *Pool
	priority int
	counted  int64
	// largeSince is when the body became a large one.
	largeSince time.Time
}

// set notes what is counted.
func (r *Reservation) set(counted int64) {
	r.counted = counted
	if counted > SmallBytes && r.largeSince.IsZero() {
		r.largeSince = r.pool.o.Clock.Now()
	}
}

// TryGrow reserves up to a total of bytes for the body if there is room and no large body waits before it, and reports
// whether it did.
func (r *Reservation) TryGrow(total int) bool {
	if int64(total) <= r.counted {
		return true
	}
	return (total <= SmallBytes || r.pool.queued.Load() == 0) && r.pool.tryGrow(r, total)
}

// Grow reserves up to a total of bytes for the body, and waits for room if there is none, until ctx ends, for Options.MaxWait
// at most, and not beyond the time until. If there is no room by then, or none is to be expected, it changes nothing and
// returns a *FullError.
func (r *Reservation) Grow(ctx context.Context, total int, until time.Time) error {
	if r.TryGrow(total) {
		return nil
	}
	return r.pool.wait(ctx, r, total, until)
}

// Shrink gives back what exceeds total bytes.
func (r *Reservation) Shrink(total int) {
	excess := r.counted - int64(total)
	if excess <= 0 {
		return
	}
	r.counted = int64(total)
	r.pool.release(excess)
}

// Release gives everything back. Further calls do nothing.
func (r *Reservation) Release() {
	if r.counted == 0 {
		return
	}
	if !r.largeSince.IsZero() {
		r.pool.noteHold(r.pool.o.Clock.Now().Sub(r.largeSince))
	}
	counted := r.counted
	r.counted = 0
	r.pool.release(counted)
}
