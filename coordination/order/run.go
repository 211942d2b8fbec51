package order

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/state"
)

// changeAgeDivisor is the share of the time that a change has taken after which it is
// looked at again.
const changeAgeDivisor = 20

// schedule is when each engine is to be looked at next.
type schedule map[string]scheduleEntry

type scheduleEntry struct {
	// fence is the order that was looked at, first seen at since.
	fence uint64
	since time.Time
	next  time.Time
}

// due reports whether o is to be looked at now, and makes the next appointment.
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

func changing(o state.Order) bool {
	return o.State == state.OrderDraining || o.State == state.OrderIssued
}

// Run drives the engines of the service until ctx ends, and returns nil then. It
// is meant as the work of a lease.Lessor.
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

// stepIfNeeded takes a step if o, as last seen by the watch, needs one.
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

// drifted reports whether an engine at rest shows something else than its order
// says. It spares the platform a read for each engine.
func (p *Planner) drifted(ctx context.Context, o state.Order) bool {
	u, ok := p.opts.Upstreams.Upstream(o.Engine)
	if !ok || o.Desired.Equal(state.Target{}) {
		return false
	}
	shown, err := p.opts.Engines.Show(ctx, u)
	return err == nil && !shown.Changing && !shown.Target.Equal(o.Desired)
}

// handOver tells successors through the objects that this host sends nothing any
// more, so that they needn't wait until it is gone. It is tried once. The watch lags
// behind this host's own writes, so draining orders are read as well: this host may
// have issued one a moment ago.
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

// HandOver takes this host out of an issued order, if none that it sent can still
// arrive; the order is left for a successor to finish.
func (p *Planner) HandOver(ctx context.Context, engine string) error {
	w := p.sends.begin(engine)
	if w == nil {
		return nil
	}
	defer p.sends.endStep(engine)
	cur, err := p.objects.read(ctx, engine)
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
	p.note(w, done.order, "handed over", "the planner leaves; another host finishes the order")
	return nil
}
