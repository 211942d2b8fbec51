package forward

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
)

const (
	// holdTimeout bounds a reservation: it needs a round trip between failure domains
	// (2 to 3 ms) and a handshake, and a host may stand still for some tens of
	// milliseconds. An engine that takes longer is dark, as far as its caller can tell.
	holdTimeout = 100 * time.Millisecond
	// holdFor covers the way of the request behind its reservation.
	holdFor = 500 * time.Millisecond
)

// runsOnce reports whether the request is one of an engine and may run once.
func (r *Request) runsOnce() bool {
	return r.Generation != nil && r.Engine != nil && !r.Route.Repeatable()
}

// holds reports whether a slot is reserved before the request is sent. A request that
// may run once and is sent to an engine that is dark is lost: nobody knows whether it
// ran. A reservation runs nothing, so that its silence only means another engine.
func (d *Dispatcher) holds(r *Request) bool { return r.runsOnce() && r.Engine.HoldTTL > 0 }

// hold reserves a slot for the attempt, and memory for what it is likely to need. It fails
// if the engine doesn't answer.
func (d *Dispatcher) hold(ctx context.Context, a *Attempt, runner *placement.Runner, rec *record) bool {
	r := a.Request
	bounded, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	started := d.o.Clock.Now()
	hold, err := d.o.Upstream.Hold(bounded, a.Instance, r.Generation.PromptTokens+r.Generation.OutputHint, min(holdFor, r.Engine.HoldTTL))
	if unreached(err) {
		d.noteBroken(ctx, runner)
		rec.add(a.Instance, "hold", outcomeUnsent, d.o.Clock.Now().Sub(started), err)
		return false
	}
	if err != nil || hold == "" {
		rec.add(a.Instance, "hold", outcomeFull, d.o.Clock.Now().Sub(started), err)
	}
	a.Hold = hold
	return true
}
