// Package wallclock is the state.Clock of running processes: the time that passed on the
// machine, that in which it was suspended included.
//
// The steady clock of the runtime, and with it every timer and each monotonic reading,
// stands still while a machine is suspended, though leases, bounds and callers' deadlines run
// on. What decides by time reads this clock; time.Now is for the deadlines of connections,
// which the runtime compares with its own, and for the time of day.
package wallclock

import (
	"context"
	"time"
)

// Clock reads the machine's clock.
type Clock struct{}

// Now implements state.Clock. Its readings are to be compared with each other only.
func (Clock) Now() time.Time { return Now() }

// Sleep implements state.Clock. A suspension that Watch notices counts.
func (Clock) Sleep(ctx context.Context, d time.Duration) error { return machine.sleep(ctx, d) }

// Now is the present time. Steps of the time of day don't show in it.
func Now() time.Time { return origin.Add(machine.now()) }

// Since is the time that passed since a reading of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Steady is a moment of this clock as the runtime's own clock will read it, for contexts,
// which end by that. A suspension until then makes them end later.
func Steady(t time.Time) time.Time { return t.Add(-machine.asleep()) }

// Watch wakes those that sleep after a suspension, until ctx ends.
func Watch(ctx context.Context) { machine.watch(ctx) }

var (
	// origin is when this process began to read the clocks.
	origin = time.Now()
	// machine is the clock of this process.
	machine = newSuspension(sources{clocks: clocks, boot: bootTime})
)

// clocks reads the time of day and the steady clock in one moment, since the origin.
func clocks() (day, steady time.Duration) {
	t := time.Now()
	return t.Round(0).Sub(origin.Round(0)), t.Sub(origin)
}
