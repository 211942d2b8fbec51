package forward

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

const (
	// probeTimeout bounds a probe of an engine: twenty round trips between failure domains and
	// a handshake. An engine that takes longer counts as unavailable.
	probeTimeout = 80 * time.Millisecond
	// recentResponse is how long after a response to this host an engine isn't probed.
	recentResponse = 200 * time.Millisecond
)

// runsAtMostOnce reports whether the request goes to an engine and must not run twice.
func (r *Request) runsAtMostOnce() bool {
	return r.Generation != nil && !r.Route.Repeatable()
}

// alive probes an engine and reports whether it answers.
func (d *Dispatcher) alive(ctx context.Context, i *state.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return d.o.Upstream.Alive(ctx, i)
}

// confirmReachable reports whether an attempt may be sent to the runner. An at-most-once
// request is lost if its engine is unavailable, since it can't be known whether it ran; so an
// engine without a recent response to this host is probed first, which costs a round trip.
func (d *Dispatcher) confirmReachable(ctx context.Context, a *Attempt, runner *placement.Runner, rec *record) bool {
	if !a.Request.runsAtMostOnce() || runner.RespondedWithin(recentResponse) {
		return d.confirmRun(ctx, a, runner, rec)
	}
	return d.confirmByProbe(ctx, a, runner, rec)
}

// confirmRun reports whether a stream may go on at the runner. A later run under the same name may have another version, and
// only its time of birth tells it apart; so a run that is listed with one is probed first.
func (d *Dispatcher) confirmRun(ctx context.Context, a *Attempt, runner *placement.Runner, rec *record) bool {
	if rec.version == "" || a.Instance.ID.Born == 0 {
		return true
	}
	return d.confirmByProbe(ctx, a, runner, rec)
}

// confirmByProbe reports whether the run answers a probe.
func (d *Dispatcher) confirmByProbe(ctx context.Context, a *Attempt, runner *placement.Runner, rec *record) bool {
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
