package daemon

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/member"
	"github.com/thymerack/thymerack/coordination/order"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/operators"
	"github.com/thymerack/thymerack/transport/peer"
)

const (
	// contenders is how many hosts try for the planner lease of a service. With
	// all hosts trying, the lease's calls would grow as hosts times services.
	contenders = 3
	// contendEvery is how often a host looks whether it is a contender.
	contendEvery = time.Second
	// plannerPoll is the time between two looks at the changes under way.
	plannerPoll = 250 * time.Millisecond
	// showEvery is the time between two looks at an engine that has settled.
	showEvery = 5 * time.Second
	// resendEvery is the time after which an order without effect is repeated.
	resendEvery = 5 * time.Second
	// lingerMargin is added to the send timeout for an order whose outcome is
	// unknown: the connection's own timeout and a pause of the engine.
	lingerMargin = 10 * time.Second
	// releaseTimeout bounds the question to one host whether it has let go.
	releaseTimeout = time.Second
)

// planners keeps one planner for each engine service, and the lease of those
// for which this host is a contender.
type planners struct {
	d     *Daemon
	acks  *orderAcks
	group conc.WaitGroup

	mu      sync.Mutex
	planner map[string]*order.Planner
	running map[string]context.CancelFunc
	// leading are the services whose lease this host holds.
	leading []string
}

func (d *Daemon) newOrders() error {
	var err error
	d.watcher, err = order.NewWatcher(order.WatcherOptions{Store: d.store, Clock: d.clock, Rand: d.newRand(), Sink: d.keeper, Log: d.log})
	if err != nil {
		return err
	}
	d.add("orders", d.watcher.Run)
	d.desk, err = order.NewRequester(order.RequesterOptions{Store: d.store, Clock: d.clock, Rand: d.newRand(), Host: d.id, Recorder: d.book})
	if err != nil {
		return err
	}
	d.planners = &planners{
		d: d, acks: &orderAcks{d: d, table: order.NewAckTable()},
		planner: map[string]*order.Planner{}, running: map[string]context.CancelFunc{},
	}
	d.add("planners", d.planners.Run)
	d.peerServer.Handle(peerapi.KindRelease, peer.HandleMsg(d.planners.answerRelease))
	return nil
}

// Run starts and stops contending as the fleet and the configuration change.
func (p *planners) Run(ctx context.Context) error {
	var hosts []state.HostID
	var services []string
	for p.d.clock.Sleep(ctx, contendEvery) == nil {
		nowHosts, nowServices := p.d.member.Hosts(), p.engineServices()
		if slices.Equal(nowHosts, hosts) && slices.Equal(nowServices, services) {
			continue
		}
		if p.contendAll(ctx, nowHosts, nowServices) {
			hosts, services = nowHosts, nowServices
		}
	}
	p.group.Wait()
	return ctx.Err()
}

// contendAll reports whether every planner that is wanted here runs.
func (p *planners) contendAll(ctx context.Context, hosts []state.HostID, services []string) bool {
	ok := true
	for _, service := range services {
		if err := p.contend(ctx, hosts, service); err != nil {
			p.d.log.Error("planner not started", "service", service, "error", err)
			ok = false
		}
	}
	return ok
}

func (p *planners) engineServices() []string {
	c := p.d.keeper.View().Config
	if c == nil {
		return nil
	}
	var out []string
	for _, s := range c.Services {
		if s.Kind == state.KindEngine {
			out = append(out, s.Name)
		}
	}
	return out
}

// contend makes this host try for the lease of a service, or stops it.
func (p *planners) contend(ctx context.Context, hosts []state.HostID, service string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	stop, running := p.running[service]
	wanted := slices.Contains(topHosts(hosts, service, contenders), p.d.id)
	switch {
	case wanted && !running:
		return p.start(ctx, service)
	case !wanted && running:
		stop()
		delete(p.running, service)
	}
	return nil
}

// topHosts returns the hosts with the highest rendezvous score for a name.
func topHosts(hosts []state.HostID, name string, n int) []state.HostID {
	type ranking struct {
		score uint64
		host  state.HostID
	}
	ranked := make([]ranking, len(hosts))
	for i, h := range hosts {
		ranked[i] = ranking{xxhash.Sum64String(name + "\x00" + h.Name), h}
	}
	slices.SortFunc(ranked, func(a, b ranking) int { return cmp.Compare(b.score, a.score) })
	out := make([]state.HostID, min(n, len(ranked)))
	for i := range out {
		out[i] = ranked[i].host
	}
	return out
}

// contended returns the services for whose lease this host tries, sorted.
func (p *planners) contended() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.running))
}

// start runs the planner of a service under its lease; p.mu is held.
func (p *planners) start(ctx context.Context, service string) error {
	planner, err := p.of(service)
	if err != nil {
		return err
	}
	lessor, err := lease.New(lease.Options{
		Store: p.d.store, Clock: p.d.clock, Rand: p.d.newRand(), Name: "planner." + service,
		Holder: p.d.id, TTL: p.d.settings.Orders.LeaseTTL, Log: p.d.log,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	p.running[service] = stop
	p.group.Go(func() {
		_ = lessor.Run(ctx, func(ctx context.Context) error {
			p.lead(service, true)
			defer p.lead(service, false)
			return planner.Run(ctx)
		})
	})
	return nil
}

// lead notes whether this host holds the lease of a service.
func (p *planners) lead(service string, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leading = slices.DeleteFunc(p.leading, func(s string) bool { return s == service })
	if held {
		p.leading = append(p.leading, service)
	}
}

// of returns the planner of a service. It outlives its lease, because what it
// has sent must be answered for afterwards; p.mu is held.
func (p *planners) of(service string) (*order.Planner, error) {
	if found := p.planner[service]; found != nil {
		return found, nil
	}
	o := p.d.settings.Orders
	made, err := order.NewPlanner(order.PlannerOptions{
		Store: p.d.store, Clock: p.d.clock, Rand: p.d.newRand(), Host: p.d.id, Service: service,
		Orders: p.d.watcher, Acks: p.acks, Members: &orderMembers{p.d}, Upstreams: &listedEngines{p.d},
		Engines: p.d.upstream, Recorder: p.d.book, Log: p.d.log,
		PollInterval: plannerPoll, SettledPollInterval: showEvery, DrainTimeout: o.DrainTimeout,
		GoneAfter: max(o.GoneAfter, p.d.member.GoneBound()), MaxDeliveryDelay: o.SendTimeout + lingerMargin,
		ResendInterval: resendEvery, StepTimeout: 2 * o.SendTimeout,
	})
	if err != nil {
		return nil, err
	}
	p.planner[service] = made
	return made, nil
}

// answerRelease tells another host what this one promises about an engine.
func (p *planners) answerRelease(_ context.Context, _ state.HostID, q order.Release) (order.Release, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, planner := range p.planner {
		for _, r := range planner.Releases() {
			if r.Engine == q.Engine {
				return r, nil
			}
		}
	}
	return order.Release{Host: p.d.id, Engine: q.Engine}, nil
}

// orderMembers lists the members for the planners, with the earlier runs that
// may still have work in flight.
type orderMembers struct{ d *Daemon }

// List implements order.Members.
func (m *orderMembers) List(ctx context.Context) ([]state.Member, error) {
	found, err := member.List(ctx, m.d.store)
	if err != nil {
		return nil, err
	}
	out := slices.Clone(found)
	for _, f := range found {
		for _, id := range f.Previous {
			out = append(out, state.Member{ID: id})
		}
	}
	return out, nil
}

// GoneFor implements order.Members.
func (m *orderMembers) GoneFor(id state.HostID) time.Duration { return m.d.member.GoneFor(id) }

// orderAcks reads acknowledgements from the digests, and asks single hosts for
// releases: those are wanted only when an issued order was taken over.
type orderAcks struct {
	d     *Daemon
	table *order.AckTable
}

// Complete implements order.Acks.
func (a *orderAcks) Complete(members []state.HostID, engine string, fence uint64) bool {
	return len(a.missing(members, engine, fence)) == 0
}

func (a *orderAcks) missing(members []state.HostID, engine string, fence uint64) []state.HostID {
	objects := make([]state.Member, len(members))
	for i, id := range members {
		objects[i] = state.Member{ID: id}
	}
	return a.d.member.Complete(objects, engine, fence)
}

// Acknowledged implements order.Acks. Only zeros are known apart.
func (a *orderAcks) Acknowledged(engine string, fence uint64) []order.Ack {
	var out []order.Ack
	for _, host := range a.d.member.Hosts() {
		if len(a.missing([]state.HostID{host}, engine, fence)) == 0 {
			out = append(out, order.Ack{Host: host, Engine: engine, Fence: fence})
		}
	}
	return out
}

// Released implements order.Acks. An unknown release is asked for; the answer is
// there for the planner's next look.
func (a *orderAcks) Released(host state.HostID, engine string, fence uint64) bool {
	if a.table.Released(host, engine, fence) {
		return true
	}
	go a.askRelease(host, engine)
	return false
}

func (a *orderAcks) askRelease(host state.HostID, engine string) {
	m, ok := a.d.member.Member(host)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), releaseTimeout)
	defer stop()
	r, err := peer.CallMsg[order.Release, order.Release](ctx, a.d.peers, m.PeerAddr, peerapi.KindRelease, order.Release{Engine: engine})
	if err == nil && r.Host == host && r.Fence > 0 {
		a.table.AddRelease(r)
	}
}

// listedEngines finds engines in the platform's whole list: a planner drives
// engines outside its host's subset too.
type listedEngines struct{ d *Daemon }

// Upstream implements order.Upstreams.
func (l *listedEngines) Upstream(engine string) (state.Upstream, bool) {
	list := l.d.listed.Load()
	if list == nil {
		return state.Upstream{}, false
	}
	u, ok := (*list)[engine]
	return u, ok
}

// engineNamed finds an engine for an operator's order.
func (d *Daemon) engineNamed(name string) (state.Upstream, error) {
	u, ok := (&listedEngines{d}).Upstream(name)
	if !ok {
		return u, &operators.Error{Status: http.StatusNotFound, Kind: "unknown_engine", Message: fmt.Sprintf("the platform lists no engine %q; see thymectl upstreams", name)}
	}
	if u.Kind != state.KindEngine {
		return u, &operators.Error{Status: http.StatusBadRequest, Kind: "not_an_engine", Message: fmt.Sprintf("%q is a plain service and takes no orders; name an engine", name)}
	}
	return u, nil
}
