package usage

import (
	"maps"
	"sync"
	"time"
)

// Collector holds what the hosts that tell this one have counted. It is safe for concurrent
// use.
type Collector struct {
	windowLength time.Duration

	mu sync.Mutex
	// tallies are the latest of each run of a host.
	tallies map[string]Tally
}

// NewCollector returns an empty collector for windows of that length.
func NewCollector(length time.Duration) *Collector {
	return &Collector{windowLength: length, tallies: map[string]Tally{}}
}

// Merge keeps a tally. Tallies of one run may overtake each other; counts only grow, so that
// the higher ones of two are the later.
func (c *Collector) Merge(t Tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tallies[t.Run] = mergeTallies(c.tallies[t.Run], t)
	c.evict(WindowAt(t.Through, c.windowLength))
}

// mergeTallies is what two tallies of one run tell together.
func mergeTallies(a, b Tally) Tally {
	out := Tally{Run: b.Run, Addr: b.Addr, Through: b.Through, Windows: map[Window]Counts{}}
	if a.Through.After(b.Through) {
		out.Through = a.Through
	}
	for _, t := range []Tally{a, b} {
		for w, counts := range t.Windows {
			if out.Windows[w].Total() <= counts.Total() {
				out.Windows[w] = counts
			}
		}
	}
	return out
}

// evict drops old windows, and runs that told nothing for as long.
func (c *Collector) evict(newest Window) {
	for run, t := range c.tallies {
		evictOld(t.Windows, newest)
		if WindowAt(t.Through, c.windowLength)+retainedWindows <= newest {
			delete(c.tallies, run)
		}
	}
}

// snapshot are the latest tallies of snapshot runs.
func (c *Collector) snapshot() []Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Tally, 0, len(c.tallies))
	for _, t := range c.tallies {
		t.Windows = maps.Clone(t.Windows)
		out = append(out, t)
	}
	return out
}

// Tallies returns what each run has counted in a window, and through when; runs that counted
// nothing there are among them.
func (c *Collector) Tallies(w Window) []Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Tally, 0, len(c.tallies))
	for _, t := range c.tallies {
		reported := Tally{Run: t.Run, Addr: t.Addr, Through: t.Through}
		if counts := t.Windows[w]; counts != nil {
			reported.Windows = map[Window]Counts{w: counts}
		}
		out = append(out, reported)
	}
	return out
}
