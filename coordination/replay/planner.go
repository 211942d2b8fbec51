package replay

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/rebalance"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// planner runs the rebalancer and stands in for the orders: it drains an engine
// at every host, has it changed once all have acknowledged zero, and calls the
// change off when that takes too long.
type planner struct {
	fleet   *fleet
	manager *rebalance.Manager
	fences  map[string]uint64
	config  state.Config
}

// drainLimit is how long a drain may take.
const drainLimit = 30 * time.Second

func (f *fleet) schedulePlanner() error {
	p := &planner{fleet: f, fences: map[string]uint64{}}
	p.config = f.config()
	for _, h := range f.hosts {
		h.keeper.SetConfig(&p.config)
	}
	lead := f.hosts[0]
	var err error
	p.manager, err = rebalance.NewManager(rebalance.ManagerOptions{
		Clock: f.loop, View: lead.keeper.View, Leads: func(string) bool { return true },
		Demand: p.demand, QueuedWork: p.waiting, Orders: p, Record: f.setup.record,
		Speeds: func(engine string) rebalance.Speeds {
			prefill, step := lead.router.SpeedsAt(engine, f.model.MaxBatch)
			return rebalance.Speeds{Prefill: prefill, Decode: float64(f.model.MaxBatch) / step.Seconds(), TokenInterval: step.Seconds()}
		},
		Tuning: f.setup.Tuning,
	})
	if err != nil {
		return err
	}
	f.loop.every(planEvery, func() bool {
		p.manager.Step(context.Background())
		return f.running()
	})
	return nil
}

// config is the shared configuration with the setup's weights.
func (f *fleet) config() state.Config {
	s := f.setup.Service
	s.Name, s.Kind, s.Models = service, state.KindEngine, []string{model}
	return state.Config{Version: 1, Services: []state.Service{s}}
}

func (p *planner) demand(service string) rebalance.Demand {
	var sum rebalance.Demand
	for _, h := range p.fleet.hosts {
		sum = sum.Plus(h.meter.Demand(service))
	}
	return sum
}

func (p *planner) waiting(string) snapshot.Work {
	var sum snapshot.Work
	for _, h := range p.fleet.hosts {
		for _, q := range h.admitter.Stats() {
			sum = sum.Plus(q.WaitingWork)
		}
	}
	return sum
}

// StartChange implements rebalance.OrderIssuer.
func (p *planner) StartChange(_ context.Context, engine string, t state.Target, reason string) error {
	l := p.fleet.loop
	began := l.Now()
	o := state.Order{Engine: engine, Service: service, State: state.OrderDraining, Desired: t, Previous: p.fleet.engines[engine].target, Reason: reason}
	p.publish(o)
	l.every(ackEvery, func() bool { return p.drain(o, began) })
	return nil
}

// publish gives the order object to every host after a lag.
func (p *planner) publish(o state.Order) {
	p.fences[o.Engine]++
	o.Fence = p.fences[o.Engine]
	o.ChangedAt = p.fleet.loop.Now()
	p.fleet.loop.after(orderLag, func() {
		p.fleet.eachKeeper(func(k *snapshot.Keeper) { k.SetOrder(o) })
	})
}

// drain goes on once every host has acknowledged zero; it returns whether to
// look again.
func (p *planner) drain(o state.Order, began time.Time) bool {
	f := p.fleet
	now := f.loop.Now()
	n := f.engines[o.Engine]
	if n.lost || now.Sub(began) > drainLimit {
		o.State, o.Desired = state.OrderIdle, o.Previous
		p.publish(o)
		f.result.calledOff++
		f.result.away += now.Sub(began)
		return false
	}
	if now.Sub(began) <= orderLag || !p.acknowledged(o.Engine) {
		return true
	}
	o.State = state.OrderIssued
	p.publish(o)
	n.change(o.Desired, func() {
		o.State = state.OrderSettled
		p.publish(o)
		f.result.roleChanges++
		f.result.away += f.loop.Now().Sub(began)
	})
	return false
}

func (p *planner) acknowledged(engine string) bool {
	for _, h := range p.fleet.hosts {
		for _, d := range h.keeper.Draining() {
			if d.Engine == engine && d.InFlight > 0 {
				return false
			}
		}
	}
	return true
}
