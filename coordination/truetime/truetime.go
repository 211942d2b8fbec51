// Package truetime follows the time of day that most hosts of a fleet agree on, so that
// what is counted by time, such as reports of usage, is counted alike at all hosts.
//
// Each host reads a clock of its own that counts from the time of day at its start: later
// steps of its time of day don't show in it. What remains is a host that started while its
// time of day was wrong. So hosts show each other their clocks, and each takes the middle of
// what it was shown: a third of the clocks may be seconds off, and the middle is not. A
// showing is late by the way of its message and by what holds a small host up, some
// milliseconds: far less than the windows that are counted in.
package truetime

import (
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// showingFor is how long a showing counts: hosts show their clocks each second or so,
	// and a host that has restarted shows another one.
	showingFor = 10 * time.Second
	// mostShowings bounds the hosts whose showings are kept, above the hosts that show
	// theirs to one collector at the sizes to come.
	mostShowings = 512
	// leastShowings is the number of clocks, the own one among them, from which the middle
	// is trusted: with fewer one wrong clock of two would decide.
	leastShowings = 3
)

// showing is a clock as another host read it, when it arrived.
type showing struct {
	// ahead is how far it was ahead of the own clock.
	ahead time.Duration
	at    time.Time
}

// Clock is the time of one host. It is safe for concurrent use.
type Clock struct {
	own state.Clock

	mu sync.Mutex
	// shown are the clocks of other hosts, by the names of their runs.
	shown map[string]showing
	// told is the middle of the clocks as another host has worked it out, of how many.
	told   showing
	toldOf int
}

// New returns a clock that knows its own clock alone.
func New(own state.Clock) *Clock {
	return &Clock{own: own, shown: map[string]showing{}}
}

// Own is the host's own clock, to be shown to others.
func (c *Clock) Own() time.Time { return c.own.Now() }

// Show notes the own clock of another run of a host, as it has just arrived.
func (c *Clock) Show(run string, own time.Time) {
	now := c.own.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.shown) >= mostShowings {
		clear(c.shown)
	}
	c.shown[run] = showing{own.Sub(now), now}
}

// Tell notes the middle that another host has worked out of so many clocks, as it has just
// arrived. The one of most clocks counts.
func (c *Clock) Tell(middle time.Time, of int) {
	now := c.own.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if of < leastShowings || (of < c.toldOf && now.Sub(c.told.at) < showingFor) {
		return
	}
	c.told, c.toldOf = showing{middle.Sub(now), now}, of
}

// Now is the time that the hosts agree on.
func (c *Clock) Now() time.Time { return c.At(c.own.Now()) }

// At is a moment of the host's clock in the time that the hosts agree on.
func (c *Clock) At(t time.Time) time.Time {
	return t.Add(c.agreed())
}

// Middle is the time that this host has worked out itself, and of how many clocks.
func (c *Clock) Middle() (now time.Time, of int) {
	now = c.own.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead, of := c.middle(now)
	return now.Add(ahead), of
}

// agreed is how far the agreed time is ahead of the own clock: the middle of most clocks.
func (c *Clock) agreed() time.Duration {
	now := c.own.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead, of := c.middle(now)
	if c.toldOf > of && now.Sub(c.told.at) < showingFor {
		return c.told.ahead
	}
	if of < leastShowings {
		return 0
	}
	return ahead
}

// middle is the median of the clocks that were shown, the own one among them.
func (c *Clock) middle(now time.Time) (ahead time.Duration, of int) {
	all := []time.Duration{0}
	for run, s := range c.shown {
		if now.Sub(s.at) >= showingFor {
			delete(c.shown, run)
			continue
		}
		all = append(all, s.ahead)
	}
	slices.Sort(all)
	return all[len(all)/2], len(all)
}
