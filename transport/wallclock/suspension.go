package wallclock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leastJump is a change of the time of day against the steady clock after which the
	// boot time is read: far above what a clock is slewed by in a second (0.5 ms).
	leastJump = 10 * time.Millisecond
	// leastSuspended is the shortest suspension that is believed: two clocks can't be read
	// in the same moment, and a process may be held up between the readings.
	leastSuspended = 20 * time.Millisecond
	// lookEvery is how soon those that sleep notice a suspension: well below the shortest
	// bound that ends while they do (2 s). It costs ten wake-ups a second.
	lookEvery = 100 * time.Millisecond
	// mostReadings bounds how often the clocks are read anew when the process was held up
	// between two of them.
	mostReadings = 5
)

// sources are the machine's clocks. Each counts from a moment of its own.
type sources struct {
	// clocks reads the time of day and the steady clock in one moment.
	clocks func() (day, steady time.Duration)
	// boot is the time since the machine's start, suspensions included; it is false where
	// nobody tells it.
	boot func() (time.Duration, bool)
}

// suspension is a clock that counts suspended time. The time of day counts it too: one
// reading of it with the steady clock is enough until it has jumped against that, and then
// the boot time tells a suspension from a step of the time of day.
type suspension struct {
	s sources
	// bootAhead is how far the boot time was ahead of the steady clock at the beginning.
	bootAhead time.Duration
	seen      atomic.Pointer[drift]
	// looking is held by who reads the boot time.
	looking sync.Mutex
}

// drift is how the clocks have moved apart.
type drift struct {
	// day is how far the time of day is ahead of the steady clock, and asleep the time for
	// which the machine was suspended.
	day, asleep time.Duration
	// again is closed when the machine has been suspended again.
	again chan struct{}
}

func newSuspension(s sources) *suspension {
	c := &suspension{s: s}
	day, steady, boot, _ := c.read() // without a boot time no suspension is ever seen
	c.bootAhead = boot - steady
	c.seen.Store(&drift{day: day - steady, again: make(chan struct{})})
	return c
}

// now is the steady clock and the suspended time.
func (c *suspension) now() time.Duration {
	day, steady := c.s.clocks()
	d := c.seen.Load()
	if jump := day - steady - d.day; jump <= -leastJump || jump >= leastJump {
		d = c.look()
	}
	return steady + d.asleep
}

// asleep is the time for which the machine was suspended, as far as was noticed.
func (c *suspension) asleep() time.Duration { return c.seen.Load().asleep }

// look reads all clocks and notes whether the machine was suspended.
func (c *suspension) look() *drift {
	c.looking.Lock()
	defer c.looking.Unlock()
	day, steady, boot, known := c.read()
	d := c.seen.Load()
	next := &drift{day: day - steady, asleep: d.asleep, again: d.again}
	asleep := boot - steady - c.bootAhead
	suspended := known && asleep-d.asleep >= leastSuspended
	if suspended {
		next.asleep, next.again = asleep, make(chan struct{})
	}
	c.seen.Store(next)
	if suspended {
		close(d.again)
	}
	return next
}

// read reads all clocks as close to each other as can be had.
func (c *suspension) read() (day, steady, boot time.Duration, known bool) {
	best := time.Duration(-1)
	for range mostReadings {
		_, before := c.s.clocks()
		b, ok := c.s.boot()
		d, after := c.s.clocks()
		if apart := after - before; best < 0 || apart < best {
			best, day, steady, boot, known = apart, d, after, b, ok
		}
		if best < leastSuspended/4 {
			break
		}
	}
	return day, steady, boot, known
}

// sleep waits for d of the machine's time, or until ctx ends.
func (c *suspension) sleep(ctx context.Context, d time.Duration) error {
	until := c.now() + d
	for {
		again := c.seen.Load().again
		t := time.NewTimer(max(until-c.now(), 0))
		select {
		case <-t.C:
			return nil
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-again:
			t.Stop()
		}
	}
}

// watch looks for suspensions until ctx ends.
func (c *suspension) watch(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.now()
		case <-ctx.Done():
			return
		}
	}
}
