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
	testService   = "roster-llm"
	testGoneAfter = 10 * time.Minute
	testLinger    = 20 * time.Second
	testDrain     = 30 * time.Second
	testResend    = time.Second
	testTTL       = 9 * time.Second
)

// targets are what engines may be ordered to be; the first is what they start as.
var targets = []state.Target{
	{Role: state.RoleMixed, Model: "m"},
	{Role: state.RolePrefill, Model: "m"},
	{Role: state.RoleDecode, Model: "m"},
}

// world is a platform, engines and hosts under a time that only the test moves.
type world struct {
	now      time.Time
	platform *storetest.Platform
	down     bool
	downFor  int
	engines  []*fakeEngine
	hosts    []*host
	running  *process
	// late are writes that are still on their way to the platform.
	late []func()
	// mail are statements on their way between hosts.
	mail  []statement
	weak  weakness
	stats map[string]int
	// found is the first thing that must never happen.
	found, detail string
	incarnations  int
}

// weakness is a mechanism taken away.
type weakness struct {
	planner         plannerMutation
	enterUnchecked  bool // a request is counted in without reading the view again
	serveBeforeList bool // a host serves before it has listed the orders
}

type statement struct {
	to       *host
	acks     []Ack
	releases []Release
}

type host struct {
	world     *world
	id        state.HostID
	store     *gatedStore
	keeper    *snapshot.Keeper
	acks      *AckTable
	desk      *Requester
	watcher   *Watcher
	planner   *Planner
	lessor    *lease.Lessor
	processes []*process
	requests  map[*request]bool
	chosen    []*snapshot.Runner
	alive     bool
	goneSince time.Time // zero while the platform lists it
}

func newWorld(hosts int, engines []*fakeEngine, weak weakness) *world {
	w := &world{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), platform: storetest.NewPlatform(0),
		engines: engines, weak: weak, stats: map[string]int{},
	}
	for _, e := range engines {
		e.world, e.target, e.running = w, targets[0], map[*request]bool{}
	}
	for i := range hosts {
		w.start(fmt.Sprintf("host-%d", i))
	}
	for _, h := range w.hosts {
		h.pump()
	}
	return w
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// start brings up a host: it registers, then lists the orders, then serves.
func (w *world) start(name string) *host {
	w.incarnations++
	h := &host{
		world: w, id: state.HostID{Name: name, Incarnation: fmt.Sprint(w.incarnations)},
		keeper: snapshot.NewKeeper(), acks: NewAckTable(), requests: map[*request]bool{}, alive: true,
	}
	h.store = &gatedStore{world: w, inner: w.platform.Client(h.id.String())}
	clock := manualClock{w}
	random := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(w.incarnations), n)) }
	var listed []state.Listed
	for _, e := range w.engines {
		listed = append(listed, state.Listed{Name: e.name, Kind: state.ListedEngine, State: state.ListedLive, Service: testService, ChecksFence: e.checks})
	}
	h.keeper.SetListed(listed)
	h.watcher = must(NewWatcher(WatcherOptions{Store: h.store, Clock: clock, Rand: random(1), Sink: h.keeper}))
	h.desk = must(NewRequester(RequesterOptions{Store: h.store, Clock: clock, Rand: random(2), Host: h.id, Recorder: h}))
	h.planner = must(NewPlanner(PlannerOptions{
		Store: h.store, Clock: clock, Rand: random(3), Host: h.id, Service: testService,
		Orders: h.watcher, Acks: h.acks, Members: h, Upstreams: KeeperUpstreams{h.keeper},
		Engines: &gatedEngines{h}, Recorder: h,
		DrainTimeout: testDrain, GoneAfter: testGoneAfter, MaxDeliveryDelay: testLinger, ResendInterval: testResend,
	}))
	h.planner.mutation = w.weak.planner
	h.lessor = must(lease.New(lease.Options{
		Store: h.store, Clock: clock, Rand: random(4), Name: "planner." + testService, Holder: h.id, TTL: testTTL,
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

// serves reports whether the host may give engines work.
func (h *host) serves() bool {
	if h.world.weak.serveBeforeList {
		return h.alive
	}
	select {
	case <-h.watcher.Ready():
		return h.alive
	default:
		return false
	}
}

// pump lets the host's first process, its watcher, make a few calls.
func (h *host) pump() {
	for range 2 {
		if len(h.processes) > 0 {
			h.processes[0].resume(noFault)
		}
	}
}

// enter counts a request in at a runner that was chosen earlier.
func (h *host) enter(r *snapshot.Runner) interface{ Done() } {
	one := snapshot.Work{Requests: 1}
	if h.world.weak.enterUnchecked {
		r.InFlight.Add(one)
		return uncheckedTicket{r.InFlight}
	}
	if t := h.keeper.Enter(r, one); t != nil {
		return t
	}
	return nil
}

type uncheckedTicket struct{ track *snapshot.InFlightCounter }

func (t uncheckedTicket) Done() { t.track.Add(snapshot.Work{Requests: -1}) }

// tell sends what the host has to say to every host; itself hears it at once.
func (h *host) tell() {
	var s statement
	for _, d := range h.keeper.Draining() {
		s.acks = append(s.acks, Ack{Host: h.id, Engine: d.Engine, Fence: d.Fence, InFlight: d.InFlight})
	}
	s.releases = h.planner.Releases()
	for _, to := range h.world.hosts {
		s.to = to
		if to == h {
			s.hear()
		} else {
			h.world.mail = append(h.world.mail, s)
		}
	}
}

func (s statement) hear() {
	for _, a := range s.acks {
		s.to.acks.AddAck(a)
	}
	for _, r := range s.releases {
		s.to.acks.AddRelease(r)
	}
}

// die ends everything that the host does.
func (h *host) die() {
	h.alive = false
	if h.goneSince.IsZero() {
		h.goneSince = h.world.now
	}
	for _, p := range h.processes {
		p.kill()
		p.stop()
	}
	h.processes = nil
	for r := range h.requests {
		delete(r.engine.running, r)
	}
	h.requests = nil
}

func (w *world) close() {
	for _, h := range w.hosts {
		if h.alive {
			h.die()
		}
	}
}

// advance moves the time. A host that the list has been without for GoneAfter
// does nothing any more; a late order arrives within Linger; a request ends
// within its deadline.
func (w *world) advance(d time.Duration) {
	next := w.now.Add(d)
	for _, e := range w.engines {
		for i := 0; i < len(e.late); {
			if e.late[i].until.After(next) || e.hung {
				i++
				continue
			}
			e.deliver(i)
		}
	}
	for _, h := range w.hosts {
		for r := range h.requests {
			if !r.until.After(next) {
				r.end()
			}
		}
		if h.alive && !h.goneSince.IsZero() && next.Sub(h.goneSince) >= testGoneAfter {
			h.die()
		}
	}
	w.now = next
}

func (w *world) report(what, detail string) {
	if w.found == "" {
		w.found, w.detail = what, detail
	}
}

func (w *world) engine(name string) *fakeEngine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// Record implements Recorder.
func (h *host) Record(d state.Decision) { h.world.stats["decision: "+d.Chosen]++ }

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
	for _, o := range h.world.hosts {
		if o.id == id && !o.goneSince.IsZero() {
			return h.world.now.Sub(o.goneSince)
		}
	}
	return 0
}
