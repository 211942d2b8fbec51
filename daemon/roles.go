package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/policy"
	"github.com/thymerack/thymerack/coordination/rebalance"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

const (
	// tellDemandEvery is how often a host tells the contenders for a planner how
	// much work arrives at it.
	tellDemandEvery = 5 * time.Second
	// demandGoodFor is how long a host's word about its demand counts.
	demandGoodFor = 3 * tellDemandEvery
	// decodeBatch is the batch at which an engine's decode speed is taken.
	decodeBatch = 32
)

// roles lets the rebalancer of the host that leads a service change its engines.
//
// Every host tells the few contenders for a service's planner, and nobody else,
// what work arrives at it: the messages grow with hosts times services, not with
// pairs of hosts.
type roles struct {
	d     *Daemon
	meter *rebalance.Meter

	mu   sync.Mutex
	told map[demandKey]toldDemand
}

type demandKey struct {
	service string
	host    string
}

type toldDemand struct {
	work demandReport
	at   time.Time
}

// demandReport is what a host tells a contender about one service.
type demandReport struct {
	Service string           `msgpack:"s"`
	Demand  rebalance.Demand `msgpack:"d"`
	// Waiting is the work queued at the host.
	Waiting snapshot.Work `msgpack:"w"`
}

func (d *Daemon) newRoles() error {
	d.roles = &roles{d: d, meter: rebalance.NewMeter(d.clock), told: map[demandKey]toldDemand{}}
	d.peerServer.Handle(peerapi.KindDemand, peer.HandleMsg(func(_ context.Context, from state.HostID, r demandReport) (bool, error) {
		d.roles.take(from.Name, r)
		return true, nil
	}))
	d.add("demand", d.roles.tell)
	if !d.settings.Orders.Rebalance {
		return nil
	}
	m, err := rebalance.NewManager(rebalance.ManagerOptions{
		Clock: d.clock, View: d.keeper.View, Leads: d.planners.leads, Demand: d.roles.demand, QueuedWork: d.roles.waiting,
		Speeds: d.roles.speeds, Orders: d.roles, Record: d.book.Record, Host: d.id.Name,
	})
	if err != nil {
		return err
	}
	d.add("rebalance", m.Run)
	return nil
}

// tell reports this host's demand to the contenders until ctx ends.
func (r *roles) tell(ctx context.Context) error {
	for {
		if err := r.d.clock.Sleep(ctx, tellDemandEvery); err != nil {
			return err
		}
		for _, service := range r.d.planners.engineServices() {
			r.tellOne(ctx, demandReport{Service: service, Demand: r.meter.Demand(service), Waiting: r.queued(service)})
		}
	}
}

func (r *roles) tellOne(ctx context.Context, report demandReport) {
	if report.Demand == (rebalance.Demand{}) {
		return
	}
	for _, host := range topHosts(r.d.member.Hosts(), report.Service, contenders) {
		if host == r.d.id {
			r.take(host.Name, report)
			continue
		}
		m, ok := r.d.member.Member(host)
		if !ok {
			continue
		}
		go func() {
			ctx, stop := context.WithTimeout(ctx, releaseTimeout)
			defer stop()
			if _, err := peer.CallMsg[demandReport, bool](ctx, r.d.peers, m.PeerAddr, peerapi.KindDemand, report); err != nil {
				r.d.log.Debug("demand not told", "service", report.Service, "to", host.Name, "error", err)
			}
		}()
	}
}

// queued is the work of a service that waits for admission here.
func (r *roles) queued(service string) snapshot.Work {
	for _, q := range r.d.decide.admitter.admit.Stats() {
		if q.Service == service {
			return q.WaitingWork
		}
	}
	return snapshot.Work{}
}

func (r *roles) take(host string, report demandReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[demandKey{report.Service, host}] = toldDemand{report, r.d.clock.Now()}
}

// each calls visit for every report about a service that still counts, and drops
// those that don't.
func (r *roles) each(service string, visit func(demandReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.d.clock.Now()
	for key, told := range r.told {
		switch {
		case now.Sub(told.at) > demandGoodFor:
			delete(r.told, key)
		case key.service == service:
			visit(told.work)
		}
	}
}

func (r *roles) demand(service string) rebalance.Demand {
	var sum rebalance.Demand
	r.each(service, func(d demandReport) { sum = sum.Plus(d.Demand) })
	return sum
}

func (r *roles) waiting(service string) snapshot.Work {
	var sum snapshot.Work
	r.each(service, func(d demandReport) { sum = sum.Plus(d.Waiting) })
	return sum
}

// speeds is what an engine does in its present role, learnt from its reports.
func (r *roles) speeds(engine string) rebalance.Speeds {
	prefill, step := r.d.decide.router.route.SpeedsAt(engine, decodeBatch)
	return rebalance.Speeds{Prefill: prefill, Decode: decodeBatch / step.Seconds(), TokenInterval: step.Seconds()}
}

// PinnedError says that a policy keeps an engine from the change.
type PinnedError struct{ Engine, Policy string }

// Error implements error.
func (e *PinnedError) Error() string {
	return "policy " + e.Policy + " keeps " + e.Engine + " as it is; change the policy to let it go"
}

// StartChange implements rebalance.OrderIssuer.
func (r *roles) StartChange(ctx context.Context, engine string, t state.Target, reason string) error {
	u, err := r.d.engineNamed(engine)
	if err != nil {
		return err
	}
	if err := r.pinned(u, t.Role); err != nil {
		return err
	}
	_, err = r.d.desk.Request(ctx, engine, u.Service, t, "rebalancer", reason)
	return err
}

// pinned asks the operators' policies about a change.
func (r *roles) pinned(u state.Upstream, to state.Role) error {
	n := r.d.keeper.View().Runner(u.Name)
	if n == nil {
		return nil
	}
	now := r.d.clock.Now()
	set := r.d.policies.holder.Load()
	in := policy.EngineInput{
		Name: u.Name, Service: u.Service, FailureDomain: u.FailureDomain, Role: string(n.Target.Role), Model: n.Target.Model,
		Adapters: n.Target.Adapters, MinuteOfDay: policy.MinuteOfDay(now), Weekday: int(now.Weekday()),
	}
	role, spare := set.Pin(in)
	if !spare && (role == "" || role == to) {
		return nil
	}
	return &PinnedError{Engine: u.Name, Policy: set.DecidePin(in).Policy}
}

// leads reports whether this host holds the planner lease of a service.
func (p *planners) leads(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.leading, service)
}
