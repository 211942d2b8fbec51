// Package fleetclock estimates the time of day as the median of the clocks of a fleet's hosts, so that
// what is counted per time window, such as usage, is assigned to the same window by all hosts.
//
// Each host reads a local clock that counts from the time of day at the start of the host, so later
// steps of its time of day don't affect it. What remains is a host that started while its time of day
// was wrong. Therefore hosts exchange readings of their local clocks, and each uses the median: it is
// right even if a third of the clocks are seconds off. A reading is late by the latency of its message
// and by scheduling delays of a small host, some milliseconds in total, which is far less than the
// length of a window.
package fleetclock

import (
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// readingLifetime is how long a reading is used. Hosts exchange readings about once a second, and
	// a host that has restarted has another local clock.
	readingLifetime = 10 * time.Second
	// maxReadings bounds the readings that are kept. It exceeds the number of hosts that send theirs
	// to one collector in the largest fleet intended; at the limit all readings are dropped.
	maxReadings = 512
	// minClocks is the number of clocks, including the local one, from which a median is used: of two
	// clocks, a single wrong one would decide.
	minClocks = 3
)

// reading is a clock or a median as received from another host.
type reading struct {
	// offset is how far it was ahead of the local clock on receipt.
	offset time.Duration
	// receivedAt is the time of receipt by the local clock.
	receivedAt time.Time
}

// Clock is one host's estimate of the fleet's time. It is safe for concurrent use.
type Clock struct {
	local state.Clock

	mu sync.Mutex
	// readings holds the clocks of other hosts, by the ids of their runs.
	readings map[string]reading
	// remoteMedian is the last median accepted from another host; remoteClocks is the number of
	// clocks it was computed from.
	remoteMedian reading
	remoteClocks int
}

// New returns a Clock that has the local clock alone until readings are added.
func New(local state.Clock) *Clock {
	return &Clock{local: local, readings: map[string]reading{}}
}

// Local returns the time of the local clock, which is what this host sends to others.
func (c *Clock) Local() time.Time { return c.local.Now() }

// AddReading adds the reading t of another host's local clock, which must have just arrived. run is the
// id of that host's run.
func (c *Clock) AddReading(run string, t time.Time) {
	now := c.local.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.readings) >= maxReadings {
		clear(c.readings)
	}
	c.readings[run] = reading{t.Sub(now), now}
}

// AddMedian adds the median that another host has computed from a number of clocks, which must have just
// arrived. It is ignored if it was computed from fewer clocks than the one in use.
func (c *Clock) AddMedian(median time.Time, clocks int) {
	now := c.local.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if clocks < minClocks || (clocks < c.remoteClocks && now.Sub(c.remoteMedian.receivedAt) < readingLifetime) {
		return
	}
	c.remoteMedian, c.remoteClocks = reading{median.Sub(now), now}, clocks
}

// Now returns the fleet's time.
func (c *Clock) Now() time.Time { return c.At(c.local.Now()) }

// At converts a time of the local clock to the fleet's time.
func (c *Clock) At(t time.Time) time.Time {
	return t.Add(c.agreedOffset())
}

// Median returns the current median of the clocks that this host has readings of, and their number.
func (c *Clock) Median() (now time.Time, clocks int) {
	now = c.local.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	offset, clocks := c.median(now)
	return now.Add(offset), clocks
}

// agreedOffset returns how far the fleet's time is ahead of the local clock, by the local or the remote
// median, whichever was computed from more clocks; 0 if both were computed from too few.
func (c *Clock) agreedOffset() time.Duration {
	now := c.local.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	offset, clocks := c.median(now)
	if c.remoteClocks > clocks && now.Sub(c.remoteMedian.receivedAt) < readingLifetime {
		return c.remoteMedian.offset
	}
	if clocks < minClocks {
		return 0
	}
	return offset
}

// median returns the median offset of all clocks with a recent reading, including the local one, and
// their number. It drops expired readings; c.mu must be held.
func (c *Clock) median(now time.Time) (offset time.Duration, clocks int) {
	offsets := []time.Duration{0}
	for run, r := range c.readings {
		if now.Sub(r.receivedAt) >= readingLifetime {
			delete(c.readings, run)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2], len(offsets)
}
