package usage

import (
	"maps"
	"sync"
	"time"
)

// Window numbers a time window: window k begins k window lengths after the Unix epoch.
type Window uint64

// WindowAt returns the window that contains t, a moment of true time (see package truetime).
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixMilli() / length.Milliseconds())
}

// End returns the moment at which the window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli(int64(w+1) * length.Milliseconds())
}

// Counts holds numbers of requests by customer.
type Counts map[string]uint64

// Total returns the number of requests of all customers.
func (c Counts) Total() uint64 {
	total := uint64(0)
	for _, n := range c {
		total += n
	}
	return total
}

// retainedWindows is how many windows of counts and reports are kept. It covers twice the
// time after which a report is of no use, for windows of 5 s and reports due within 10 s.
const retainedWindows = 8

// Tally holds the counts of one run of a host.
type Tally struct {
	// Run identifies the run of the host; Addr is where other hosts reach it.
	Run, Addr string
	// Through is the true time, by that host's clock, up to which Windows are complete.
	Through time.Time
	// Windows holds the full counts of the recent windows: a later tally of the run replaces
	// an earlier one.
	Windows map[Window]Counts
}

// Counter counts the requests that begin to run on one host. It is safe for concurrent use.
type Counter struct {
	windowLength time.Duration
	// trueTime converts a moment of the host's clock to true time.
	trueTime func(time.Time) time.Time

	mu      sync.Mutex
	windows map[Window]Counts
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(length time.Duration, trueTime func(time.Time) time.Time) *Counter {
	return &Counter{windowLength: length, trueTime: trueTime, windows: map[Window]Counts{}}
}

// Inc counts a request of customer that began to run at the given moment of the host's clock.
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

// evictOld drops the windows that are no longer retained.
func evictOld(windows map[Window]Counts, newest Window) {
	for w := range windows {
		if w+retainedWindows <= newest {
			delete(windows, w)
		}
	}
}

// windowsSince returns the counts of window since and of all later ones.
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
