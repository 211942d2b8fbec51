package routed

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/state"
)

// drainer waits at shutdown until the remaining requests are answered.
type drainer struct {
	clock state.Clock
	// timeout bounds the whole drain.
	timeout time.Duration
	// active returns the number of requests in progress.
	active func() int64
	// closeUnused closes idle connections, so that their callers reconnect to other hosts.
	closeUnused func()
	// flush performs the remaining work before the host ends, such as sending its last counts. It
	// may block for a short time.
	flush func()
	// refuseNew has requests that come from now on refused as not run.
	refuseNew func()
}

// wait blocks until no request is in progress and flush has returned, or until the timeout, and
// returns how long that took. Requests that arrive during flush are answered too: callers may
// have connected before the load balancer stopped sending connections.
func (d drainer) wait() time.Duration {
	began := d.clock.Now()
	for {
		_ = d.clock.Sleep(context.Background(), drainPollInterval) // the background context never ends it early
		waited := d.clock.Now().Sub(began)
		if waited >= balancerRemovalDelay {
			d.closeUnused()
		}
		over := waited >= d.timeout
		if !over && (d.active() > 0 || waited < minUnreadyTime) {
			continue
		}
		d.flush()
		if over {
			return waited
		}
		if d.active() > 0 {
			continue
		}
		// A request that came before refuseNew took effect is counted by now, and is answered.
		d.refuseNew()
		if d.active() == 0 {
			return waited
		}
	}
}
