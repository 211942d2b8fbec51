package membertest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/member"
	"github.com/thymerack/thymerack/coordination/rollout"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// Host is one run of one host.
type Host struct {
	*member.Manager
	ID      state.HostID
	Keeper  *snapshot.Keeper
	Rollout *rollout.Manager
	// Store is the platform as the host reaches it.
	Store store.Store
	// Context ends when the run is killed.
	Context context.Context

	fleet *Fleet
	kill  context.CancelFunc
	mu    sync.Mutex
	gate  chan struct{} // closed on resumption; nil while running
}

// Start runs a host under a name; a run of that name that is still there keeps
// running but loses the address.
func (f *Fleet) Start(name, incarnation string) *Host {
	h := &Host{ID: state.HostID{Name: name, Incarnation: incarnation}, Keeper: snapshot.NewKeeper(), fleet: f}
	h.Context, h.kill = context.WithCancel(f.ctx)
	h.Store = &pausableStore{h: h, s: f.Platform.Client(name)}
	h.make()
	if f.opts.Setup != nil {
		f.opts.Setup(h)
	}
	f.mu.Lock()
	f.byAddr[addr(name)] = h
	f.mu.Unlock()
	f.routines.Go(func() { _ = h.Run(h.Context) })
	f.routines.Go(func() { _ = h.Rollout.Run(h.Context) })
	if f.opts.Feeds {
		f.routines.Go(h.followList)
		f.routines.Go(h.followOrders)
	}
	return h
}

// make builds the managers.
func (h *Host) make() {
	f := h.fleet
	var err error
	ro := rollout.Options{
		Self: h.ID, Store: h.Store, Peers: &wire{h}, Clock: clock{h}, Seed: f.opts.Seed,
		Apply:         h.Keeper.SetConfig,
		HeardPlatform: func(sent time.Time) { h.HeardPlatform(sent) },
	}
	if f.opts.Rollout != nil {
		f.opts.Rollout(&ro)
	}
	if h.Rollout, err = rollout.New(ro); err != nil {
		panic(err)
	}
	o := member.Options{
		Self:  state.Member{ID: h.ID, PeerAddr: addr(h.ID.Name), FailureDomain: "failure_domain"},
		Store: h.Store, Keeper: h.Keeper, Peers: &wire{h}, Clock: clock{h}, Seed: f.opts.Seed,
		Relist:          h.listOrders,
		OnConfigVersion: h.Rollout.Hint,
		Seeds:           []string{addr(Name(0)), addr(Name(1)), addr(Name(2))},
	}
	if f.opts.Member != nil {
		f.opts.Member(&o)
	}
	if h.Manager, err = member.New(o); err != nil {
		panic(err)
	}
}

// Kill ends the run without a word.
func (h *Host) Kill() {
	h.kill()
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if h.fleet.byAddr[addr(h.ID.Name)] == h {
		delete(h.fleet.byAddr, addr(h.ID.Name))
	}
}

// Pause stops the run wherever it waits for its clock, the platform or a peer.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gate == nil {
		h.gate = make(chan struct{})
	}
}

// Resume ends a pause.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gate != nil {
		close(h.gate)
		h.gate = nil
	}
}

func (h *Host) paused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate != nil
}

// Wait returns once the run isn't paused.
func (h *Host) Wait() {
	for {
		h.mu.Lock()
		gate := h.gate
		h.mu.Unlock()
		if gate == nil {
			return
		}
		select {
		case <-gate:
		case <-h.Context.Done():
			return
		}
	}
}

// List gives the host a list as its feed would.
func (h *Host) List(rows []state.Listed) {
	h.Keeper.SetListed(rows)
	h.SetListed(rows)
}

func (h *Host) followList() {
	for (clock{h}).Sleep(h.Context, listInterval) == nil {
		if !h.fleet.PlatformDown(h.ID.Name) {
			h.List(h.fleet.Listed())
		}
	}
}

// followOrders watches the orders as the planner's package does.
func (h *Host) followOrders() {
	for h.Context.Err() == nil {
		revision, err := h.list(h.Context)
		for err == nil {
			revision, err = h.watchOrders(revision)
		}
		_ = clock{h}.Sleep(h.Context, listInterval/2)
	}
}

func (h *Host) listOrders(ctx context.Context) error {
	_, err := h.list(ctx)
	return err
}

func (h *Host) list(ctx context.Context) (uint64, error) {
	sent := time.Now()
	objects, revision, err := h.Store.List(ctx, store.KindOrder)
	if err != nil {
		return 0, err
	}
	h.TakeOrders(revision, versioned(objects), sent)
	return revision, nil
}

func (h *Host) watchOrders(after uint64) (uint64, error) {
	sent := time.Now()
	batch, err := h.Store.Watch(h.Context, store.KindOrder, after)
	if err != nil || batch.Gap {
		return 0, gapError(err)
	}
	var objects []store.Object
	for _, e := range batch.Events {
		objects = append(objects, e.Object)
	}
	h.TakeOrders(batch.Revision, versioned(objects), sent)
	return batch.Revision, nil
}

// gapError makes a gap an error.
func gapError(err error) error {
	if err == nil {
		return errCut
	}
	return err
}

func versioned(objects []store.Object) []member.VersionedOrder {
	var out []member.VersionedOrder
	for _, o := range objects {
		var order state.Order
		if err := json.Unmarshal(o.Value, &order); err != nil {
			panic(err)
		}
		out = append(out, member.VersionedOrder{Version: o.Version, Order: order})
	}
	return out
}

// clock is a host's clock: nothing wakes while the host is paused.
type clock struct{ h *Host }

func (c clock) Now() time.Time { return time.Now() }

func (c clock) Sleep(ctx context.Context, d time.Duration) error {
	err := clocktest.Bubble{}.Sleep(ctx, d)
	c.h.Wait()
	return err
}
