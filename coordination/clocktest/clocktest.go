// Package clocktest is the state.Clock of tests that run in a synctest bubble,
// where the machine's clock is virtual.
package clocktest

import (
	"context"
	"time"
)

// Bubble reads the bubble's time.
type Bubble struct{}

// Now implements state.Clock.
func (Bubble) Now() time.Time { return time.Now() }

// Sleep implements state.Clock.
func (Bubble) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
