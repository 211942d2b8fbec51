package order

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/state"
)

// changeAgeDivisor sets the interval between two steps of a change: the time that
// the change has taken so far, divided by it.
const changeAgeDivisor = 20

// schedule holds, for each engine, when it is due for its next check.
type schedule map[string]scheduleEntry

// scheduleEntry is the schedule of one engine.
type scheduleEntry struct {
	// fence is the fence of the order last checked, and since the time at which this
	// fence was first seen.
	fence uint64
	since time.Time
	next  time.Time
}

// due reports whether o must be checked now, and if so schedules the next check.
func (a schedule) due(o state.Order, now time.Time, minInterval, maxInterval time.Duration) bool {
	e := a[o.Engine]
	if e.fence != o.Fence {
		e = scheduleEntry{fence: o.Fence, since: now}
	}
	if now.Before(e.next) {
		return false
	}
	wait := maxInterval
	if changing(o) {
		wait = min(maxInterval, max(minInterval, now.Sub(e.since)/changeAgeDivisor))
	}
	e.next = now.Add(wait)
	a[o.Engine] = e
	return true
}

// changing reports whether a change of the engine is under way.
func changing(o state.Order) bool {
	return o.State == state.OrderDraining || o.State == state.OrderIssued
}

// Run performs the changes of the service's engines until ctx ends, hands its orders
// over and returns nil. It is meant to be run by a lease.Lease.
func (p *Planner) Run(ctx context.Context) error {
	var g conc.WaitGroup
	next := schedule{}
	for ctx.Err() == nil {
		now := p.opts.Clock.Now()
		for _, o := range p.opts.Orders.Orders() {
			if o.Service == p.opts.Service && next.due(o, now, p.opts.PollInterval, p.opts.SettledPollInterval) {
				g.Go(func() { p.stepIfNeeded(ctx, o) })
			}
		}
		_ = p.opts.Clock.Sleep(ctx, p.opts.PollInterval)
	}
	g.Wait()
	p.handOver(ctx)
	return nil
}

// stepIfNeeded calls Step if o, as last received by the watch, needs it.
func (p *Planner) stepIfNeeded(ctx context.Context, o state.Order) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.StepTimeout)
	defer cancel()
	if !changing(o) && !p.drifted(ctx, o) {
		return
	}
	if err := p.Step(ctx, o.Engine); err != nil && ctx.Err() == nil {
		p.opts.Log.Debug("order step failed", "engine", o.Engine, "error", err)
	}
}

// drifted reports whether an engine without a change under way shows another state
// than the desired one. Checking this first saves a read from the platform for each
// engine without drift.
func (p *Planner) drifted(ctx context.Context, o state.Order) bool {
	u, ok := p.opts.Upstreams.Upstream(o.Engine)
	if !ok || o.Desired.Equal(state.Target{}) {
		return false
	}
	shown, err := p.opts.Engines.Show(ctx, u)
	return err == nil && !shown.Changing && !shown.Target.Equal(o.Desired)
}

// handOver removes this host from its issued orders, so that a successor needn't wait
// until the host is gone. It makes one attempt for each order. The watch lags behind
// this host's own writes, so draining orders are included: this host may just have
// issued one.
func (p *Planner) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.opts.StepTimeout)
	defer cancel()
	for _, o := range p.opts.Orders.Orders() {
		if o.Service == p.opts.Service && changing(o) {
			if err := p.HandOver(ctx, o.Engine); err != nil {
				p.opts.Log.Debug("order not handed over", "engine", o.Engine, "error", err)
			}
		}
	}
}

// HandOver removes this host from the holder and issuers of an issued order, unless
// an order that it sent may still arrive or a step is in progress. A successor then
// finishes the order.
func (p *Planner) HandOver(ctx context.Context, engine string) error {
	w := p.sends.beginStep(engine)
	if w == nil {
		return nil
	}
	defer p.sends.endStep(engine)
	cur, err := p.store.read(ctx, engine)
	if err != nil || cur.order.State != state.OrderIssued || p.sends.mayStillArrive(engine, p.opts.Clock.Now()) {
		return err
	}
	if !slices.Contains(cur.order.IssuedBy, p.opts.Host) {
		return nil
	}
	next := cur.order
	next.IssuedBy = slices.DeleteFunc(slices.Clone(next.IssuedBy), func(h state.HostID) bool { return h == p.opts.Host })
	if next.Holder == p.opts.Host {
		next.Holder = state.HostID{}
	}
	done, err := p.write(ctx, cur, next)
	if err != nil {
		return err
	}
	p.sends.raiseMinFence(engine, done.order.Fence)
	p.record(w, done.order, "handed over", "the planner leaves; another host finishes the order")
	return nil
}
