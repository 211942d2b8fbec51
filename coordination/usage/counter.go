package usage

import (
	"maps"
	"sync"
	"time"
)

// Window is the number of a window: window k begins k window lengths after the start of 1970.
type Window uint64

// WindowAt is the window of a moment of true time.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixMilli() / length.Milliseconds())
}

// End is the moment at which the window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli(int64(w+1) * length.Milliseconds())
}

// Counts are requests by customer.
type Counts map[string]uint64

// Total is the number of requests of all customers.
func (c Counts) Total() uint64 {
	total := uint64(0)
	for _, n := range c {
		total += n
	}
	return total
}

// retainedWindows is how many windows counts and reports are kept for: twice the time after which
// a report is of no use, with windows of five seconds and reports due within ten.
const retainedWindows = 8

// Tally is what one run of a host has counted.
type Tally struct {
	// Run names the run of the host and Addr where other hosts reach it.
	Run, Addr string
	// Through is the true time, as that host knows it, up to which Windows are whole.
	Through time.Time
	// Windows are those of late, whole: a later tally of the run replaces an earlier one.
	Windows map[Window]Counts
}

// Counter counts on one host. It is safe for concurrent use.
type Counter struct {
	windowLength time.Duration
	// trueTime turns a moment of the host's clock into true time.
	trueTime func(time.Time) time.Time

	mu      sync.Mutex
	windows map[Window]Counts
}

// NewCounter returns a counter for windows of that length.
func NewCounter(length time.Duration, trueTime func(time.Time) time.Time) *Counter {
	return &Counter{windowLength: length, trueTime: trueTime, windows: map[Window]Counts{}}
}

// Inc counts a request of a customer that began to run at a moment of the host's clock.
func (c *Counter) Inc(customer string, at time.Time) {
	w := WindowAt(c.trueTime(at), c.windowLength)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[w]
	if counts == nil {
		counts = Counts{}
		c.windows[w] = counts
		evictOld(c.windows, w)
	}
	counts[customer]++
}

// evictOld drops windows that are of no use any more.
func evictOld(windows map[Window]Counts, newest Window) {
	for w := range windows {
		if w+retainedWindows <= newest {
			delete(windows, w)
		}
	}
}

// windowsSince returns what was counted since a window began.
func (c *Counter) windowsSince(since Window) map[Window]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[Window]Counts{}
	for w, counts := range c.windows {
		if w >= since {
			out[w] = maps.Clone(counts)
		}
	}
	return out
}
