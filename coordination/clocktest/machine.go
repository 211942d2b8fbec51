package clocktest

import (
	"context"
	"sync/atomic"
	"time"
)

// lookEvery is how soon those that sleep notice a suspension, as on a real machine.
const lookEvery = 100 * time.Millisecond

// Machine is the clock of one machine that can be suspended: it counts the time in which it
// was, which the timers and the time of the bubble don't.
type Machine struct {
	asleep atomic.Int64
}

// Suspend has the machine come back from a suspension of that length at this moment.
func (m *Machine) Suspend(d time.Duration) { m.asleep.Add(int64(d)) }

// Now implements state.Clock.
func (m *Machine) Now() time.Time { return time.Now().Add(time.Duration(m.asleep.Load())) }

// Sleep implements state.Clock.
func (m *Machine) Sleep(ctx context.Context, d time.Duration) error {
	for until := m.Now().Add(d); m.Now().Before(until); {
		if err := (Bubble{}).Sleep(ctx, min(lookEvery, until.Sub(m.Now()))); err != nil {
			return err
		}
	}
	return ctx.Err()
}
