package order

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

const (
	testService          = "roster-llm"
	testGoneAfter        = 10 * time.Minute
	testMaxDeliveryDelay = 20 * time.Second
	testDrainTimeout     = 30 * time.Second
	testResendInterval   = time.Second
	testLeaseTTL         = 9 * time.Second
)

// targets are the states that orders may ask for; engines start with the first.
var targets = []state.Target{
	{Role: state.RoleMixed, Model: "m"},
	{Role: state.RolePrefill, Model: "m"},
	{Role: state.RoleDecode, Model: "m"},
}

// simulation is a platform, engines and hosts with a clock that only the test
// advances.
type simulation struct {
	now      time.Time
	platform *storetest.Platform
	down     bool
	downFor  int
	engines  []*fakeEngine
	hosts    []*host
	running  *process
	// late are failed writes that are still on their way to the platform.
	late []func()
	// inTransit are statements on their way between hosts.
	inTransit []statement
	mutation  mutation
	stats     map[string]int
	// violation is the first invariant that was found broken, detail how.
	violation, detail string
	incarnations      int
}

// mutation disables safety mechanisms, to show that the tests detect their absence.
type mutation struct {
	planner         plannerMutation
	enterUnchecked  bool // counts a request as in flight without checking the view again
	serveBeforeList bool // a host serves before it has listed the orders
}

// statement is a message with the acknowledgements and releases of one host.
type statement struct {
	to       *host
	acks     []Ack
	releases []Release
}

// host is a simulated host with its parts.
type host struct {
	sim       *simulation
	id        state.HostID
	store     *gatedStore
	keeper    *snapshot.Keeper
	acks      *AckTable
	requester *Requester
	watcher   *Watcher
	planner   *Planner
	lessor    *lease.Lease
	processes []*process
	requests  map[*request]bool
	chosen    []*snapshot.Runner
	alive     bool
	goneSince time.Time // zero while the platform lists the host
}

// newSimulation returns a simulation with the given number of started hosts.
func newSimulation(hosts int, engines []*fakeEngine, mut mutation) *simulation {
	w := &simulation{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), platform: storetest.NewPlatform(0),
		engines: engines, mutation: mut, stats: map[string]int{},
	}
	for _, e := range engines {
		e.sim, e.target, e.running = w, targets[0], map[*request]bool{}
	}
	for i := range hosts {
		w.start(fmt.Sprintf("host-%d", i))
	}
	for _, h := range w.hosts {
		h.pumpWatcher()
	}
	return w
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// start starts a host, which registers, then lists the orders, then serves.
func (w *simulation) start(name string) *host {
	w.incarnations++
	h := &host{
		sim: w, id: state.HostID{Name: name, Incarnation: fmt.Sprint(w.incarnations)},
		keeper: snapshot.NewKeeper(), acks: NewAckTable(), requests: map[*request]bool{}, alive: true,
	}
	h.store = &gatedStore{sim: w, inner: w.platform.Client(h.id.String())}
	clock := manualClock{w}
	random := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(w.incarnations), n)) }
	var listed []state.Listed
	for _, e := range w.engines {
		listed = append(listed, state.Listed{Name: e.name, Kind: state.ListedEngine, State: state.ListedLive, Service: testService, ChecksFence: e.checksFence})
	}
	h.keeper.SetListed(listed)
	h.watcher = must(NewWatcher(WatcherOptions{Store: h.store, Clock: clock, Rand: random(1), Sink: h.keeper}))
	h.requester = must(NewRequester(RequesterOptions{Store: h.store, Clock: clock, Rand: random(2), Host: h.id, Recorder: h}))
	h.planner = must(NewPlanner(PlannerOptions{
		Store: h.store, Clock: clock, Rand: random(3), Host: h.id, Service: testService,
		Orders: h.watcher, Acks: h.acks, Members: h, Upstreams: KeeperUpstreams{h.keeper},
		Engines: &gatedEngines{h}, Recorder: h,
		DrainTimeout: testDrainTimeout, GoneAfter: testGoneAfter, MaxDeliveryDelay: testMaxDeliveryDelay, ResendInterval: testResendInterval,
	}))
	h.planner.mutation = w.mutation.planner
	h.lessor = must(lease.New(lease.Options{
		Store: h.store, Clock: clock, Rand: random(4), Name: "planner." + testService, Holder: h.id, TTL: testLeaseTTL,
	}))
	w.hosts = append(w.hosts, h)
	h.spawn(func(ctx context.Context) {
		for ctx.Err() == nil && !h.register(ctx) {
			_ = clock.Sleep(ctx, time.Second)
		}
		_ = h.watcher.Run(ctx)
	})
	return h
}

func (h *host) register(ctx context.Context) bool {
	value := must(json.Marshal(state.Member{ID: h.id}))
	_, err := h.store.Put(ctx, store.KindMember, h.id.Name+"."+h.id.Incarnation, store.Absent, value)
	return err == nil || store.IsConflict(err)
}

// serves reports whether the host may send requests to engines.
func (h *host) serves() bool {
	if h.sim.mutation.serveBeforeList {
		return h.alive
	}
	select {
	case <-h.watcher.Ready():
		return h.alive
	default:
		return false
	}
}

// pumpWatcher lets the host's watcher, its first process, make two calls.
func (h *host) pumpWatcher() {
	for range 2 {
		if len(h.processes) > 0 {
			h.processes[0].resume(noFault)
		}
	}
}

// enter counts a request as in flight at a runner that was chosen earlier. It returns
// nil if the runner takes no requests any more.
func (h *host) enter(r *snapshot.Runner) interface{ Done() } {
	one := snapshot.Work{Requests: 1}
	if h.sim.mutation.enterUnchecked {
		r.InFlight.Add(one)
		return uncheckedTicket{r.InFlight}
	}
	if t := h.keeper.Enter(r, one); t != nil {
		return t
	}
	return nil
}

// uncheckedTicket ends a request that was counted without a check of the view.
type uncheckedTicket struct{ track *snapshot.InFlightCounter }

func (t uncheckedTicket) Done() { t.track.Add(snapshot.Work{Requests: -1}) }

// sendStatement sends the host's acknowledgements and releases to every host; its own
// copy is delivered at once.
func (h *host) sendStatement() {
	var s statement
	for _, d := range h.keeper.Draining() {
		s.acks = append(s.acks, Ack{Host: h.id, Engine: d.Engine, Fence: d.Fence, InFlight: d.InFlight})
	}
	s.releases = h.planner.Releases()
	for _, to := range h.sim.hosts {
		s.to = to
		if to == h {
			s.deliver()
		} else {
			h.sim.inTransit = append(h.sim.inTransit, s)
		}
	}
}

// deliver adds the statement to the receiver's AckTable.
func (s statement) deliver() {
	for _, a := range s.acks {
		s.to.acks.AddAck(a)
	}
	for _, r := range s.releases {
		s.to.acks.AddRelease(r)
	}
}

// terminate ends all processes and requests of the host.
func (h *host) terminate() {
	h.alive = false
	if h.goneSince.IsZero() {
		h.goneSince = h.sim.now
	}
	for _, p := range h.processes {
		p.cancel()
		p.stop()
	}
	h.processes = nil
	for r := range h.requests {
		delete(r.engine.running, r)
	}
	h.requests = nil
}

// close terminates all hosts.
func (w *simulation) close() {
	for _, h := range w.hosts {
		if h.alive {
			h.terminate()
		}
	}
}

// advance advances the clock by d and enforces the bounds that the planner relies on:
// a late order arrives within MaxDeliveryDelay, a request ends within its deadline,
// and a host that has been missing from the list for GoneAfter is terminated.
func (w *simulation) advance(d time.Duration) {
	next := w.now.Add(d)
	for _, e := range w.engines {
		for i := 0; i < len(e.late); {
			if e.late[i].arrivesBy.After(next) || e.hung {
				i++
				continue
			}
			e.deliverLate(i)
		}
	}
	for _, h := range w.hosts {
		for r := range h.requests {
			if !r.deadline.After(next) {
				r.end()
			}
		}
		if h.alive && !h.goneSince.IsZero() && next.Sub(h.goneSince) >= testGoneAfter {
			h.terminate()
		}
	}
	w.now = next
}

// report records a violation if it is the first.
func (w *simulation) report(violation, detail string) {
	if w.violation == "" {
		w.violation, w.detail = violation, detail
	}
}

func (w *simulation) engine(name string) *fakeEngine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// Record implements Recorder.
func (h *host) Record(d state.Decision) { h.sim.stats["decision: "+d.Chosen]++ }

// List implements Members.
func (h *host) List(ctx context.Context) ([]state.Member, error) {
	objects, _, err := h.store.List(ctx, store.KindMember)
	var out []state.Member
	for _, obj := range objects {
		var m state.Member
		if err := json.Unmarshal(obj.Value, &m); err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, err
}

// GoneFor implements Members.
func (h *host) GoneFor(id state.HostID) time.Duration {
	for _, o := range h.sim.hosts {
		if o.id == id && !o.goneSince.IsZero() {
			return h.sim.now.Sub(o.goneSince)
		}
	}
	return 0
}
