package routed

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/state"
)

// drainer is the end of a host's serving.
type drainer struct {
	clock state.Clock
	// timeout is when it must be over, from its beginning.
	timeout time.Duration
	// active is the number of requests that are being answered.
	active func() int64
	// closeUnused closes connections without a request, so that their callers go elsewhere.
	closeUnused func()
	// flush is what remains to be done before the host may be gone; it may take a moment.
	flush func()
}

// wait goes on until nobody is answered any more and the last things are done, or the end has
// come, and returns how long that took. Requests that arrive while the last things are done are
// answered too: callers may have connected before the balancer turned away.
func (d drainer) wait() time.Duration {
	began := d.clock.Now()
	for {
		_ = d.clock.Sleep(context.Background(), drainPoll) // never ends early
		waited := d.clock.Now().Sub(began)
		if waited >= balancerRemovalDelay {
			d.closeUnused()
		}
		over := waited >= d.timeout
		if !over && (d.active() > 0 || waited < minUnreadyTime) {
			continue
		}
		d.flush()
		if over || d.active() == 0 {
			return waited
		}
	}
}
