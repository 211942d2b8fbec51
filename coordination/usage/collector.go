package usage

import (
	"maps"
	"sync"
	"time"
)

// Collector holds the counts that hosts have pushed to this one. It is safe for concurrent
// use.
type Collector struct {
	windowLength time.Duration

	mu sync.Mutex
	// tallies holds the latest tally of each run of a host, by run.
	tallies map[string]Tally
}

// NewCollector returns an empty collector for windows of the given length.
func NewCollector(length time.Duration) *Collector {
	return &Collector{windowLength: length, tallies: map[string]Tally{}}
}

// Merge adds a tally to what is known of its run. Tallies of one run may arrive out of order;
// counts only grow, so the higher counts of a window are the later ones.
func (c *Collector) Merge(t Tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tallies[t.Run] = mergeTallies(c.tallies[t.Run], t)
	c.evict(WindowAt(t.Through, c.windowLength))
}

// mergeTallies combines two tallies of one run: the higher counts of each window.
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

// evict drops old windows, and runs that have pushed nothing for as long.
func (c *Collector) evict(newest Window) {
	for run, t := range c.tallies {
		evictOld(t.Windows, newest)
		if WindowAt(t.Through, c.windowLength)+retainedWindows <= newest {
			delete(c.tallies, run)
		}
	}
}

// snapshot returns the latest tallies of all runs.
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

// Tallies returns the counts of each run in window w, and the time through which its counts
// are complete. Runs without requests in w are included.
func (c *Collector) Tallies(w Window) []Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Tally, 0, len(c.tallies))
	for _, t := range c.tallies {
		tally := Tally{Run: t.Run, Addr: t.Addr, Through: t.Through}
		if counts := t.Windows[w]; counts != nil {
			tally.Windows = map[Window]Counts{w: counts}
		}
		out = append(out, tally)
	}
	return out
}
