package forward

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

const (
	// askTimeout bounds a question to an engine: twenty round trips between failure
	// domains and a handshake. One that takes longer is dark, as far as can be told.
	askTimeout = 80 * time.Millisecond
	// heardWithin is how long an engine that answered this host isn't asked again.
	heardWithin = 200 * time.Millisecond
)

// runsOnce reports whether the request is one of an engine and may run once.
func (r *Request) runsOnce() bool {
	return r.Generation != nil && !r.Route.Repeatable()
}

// alive reports whether an engine answers.
func (d *Dispatcher) alive(ctx context.Context, i *state.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return d.o.Upstream.Alive(ctx, i)
}

// reached reports whether an attempt may be sent to the runner. A request that may run
// once is lost if its engine is dark, since nobody knows whether it ran: an engine that
// hasn't answered this host recently is asked first. The question costs a round trip.
func (d *Dispatcher) reached(ctx context.Context, a *Attempt, runner *placement.Runner, rec *record) bool {
	if !a.Request.runsOnce() || runner.RespondedWithin(heardWithin) {
		return true
	}
	started := d.o.Clock.Now()
	if d.alive(ctx, a.Instance) {
		runner.MarkResponsive()
		return true
	}
	if ctx.Err() == nil {
		d.noteBrokenConnection(ctx, runner)
	}
	rec.addStep(a.Instance, "ask", outcomeUnsent, d.o.Clock.Now().Sub(started), nil)
	return false
}
