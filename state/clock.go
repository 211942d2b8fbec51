package state

import (
	"context"
	"time"
)

// Clock is the time source that decisions are given. Nothing safe depends on
// it; it chooses when to try.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// Sleep waits for d or until ctx ends, and returns ctx's error in that case.
	Sleep(ctx context.Context, d time.Duration) error
}

// Millis is a time in milliseconds as a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// InMillis is a duration in milliseconds.
func InMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
