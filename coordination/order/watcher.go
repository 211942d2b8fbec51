package order

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// The backoff between calls while the platform is unavailable.
const (
	watchMinBackoff = 200 * time.Millisecond
	watchMaxBackoff = 5 * time.Second
	// watchJitter is the largest random fraction by which a pause is shortened.
	watchJitter = 0.5
)

// WatcherOptions are the dependencies of a Watcher; all but Log are required.
type WatcherOptions struct {
	Store store.Store
	Clock state.Clock
	// Rand generates the jitter of retries. It must not be shared with other users.
	Rand *rand.Rand
	// Sink receives each order object that is read; it is the host's snapshot.Keeper.
	Sink Sink
	// Log receives malformed objects and outages; nil disables logging.
	Log *slog.Logger
}

// Watcher passes the order objects to the host's Sink, and implements Lister. It has
// one pending call at the platform, whatever the number of engines.
//
// A deleted object is removed from Orders, so that no planner of this host continues
// with it, but the Sink keeps it as last received: an engine whose order may have been
// sent must not get new requests because its object was lost. The next object of the
// same name has a higher fence and replaces it.
type Watcher struct {
	opts    WatcherOptions
	ready   chan struct{}
	backoff *backoff.ExponentialBackOff

	mu     sync.Mutex
	orders map[string]state.Order
}

var _ Lister = (*Watcher)(nil)

// NewWatcher validates the options and returns an *OptionError if one is missing.
func NewWatcher(o WatcherOptions) (*Watcher, error) {
	switch {
	case o.Store == nil:
		return nil, &OptionError{"Store", "pass the platform's store"}
	case o.Clock == nil:
		return nil, &OptionError{"Clock", "pass a clock"}
	case o.Rand == nil:
		return nil, &OptionError{"Rand", "pass a seeded random source"}
	case o.Sink == nil:
		return nil, &OptionError{"Sink", "pass the host's keeper"}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = watchMinBackoff
	b.MaxInterval = watchMaxBackoff
	b.RandomizationFactor = 0 // the jitter comes from Rand
	return &Watcher{
		opts: o, backoff: b, ready: make(chan struct{}), orders: map[string]state.Order{},
	}, nil
}

// Ready returns a channel that is closed once all orders have been listed. A host
// must register, and then wait for it before it sends requests to engines, unless a
// peer sponsors it.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Orders implements Lister.
func (w *Watcher) Orders() []state.Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]state.Order, 0, len(w.orders))
	for _, name := range slices.Sorted(maps.Keys(w.orders)) {
		out = append(out, w.orders[name])
	}
	return out
}

// Run lists the orders and then watches them until ctx ends; it always returns nil.
// It lists them again when the platform no longer has the missed events.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := w.list(ctx)
		if err != nil {
			w.backOff(ctx, err)
			continue
		}
		w.follow(ctx, revision)
	}
	return nil
}

// follow applies the events after revision until the history has a gap or ctx ends.
func (w *Watcher) follow(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		batch, err := w.opts.Store.Watch(ctx, store.KindOrder, revision)
		if err != nil {
			w.backOff(ctx, err)
			continue
		}
		w.backoff.Reset()
		if batch.Gap {
			return
		}
		w.apply(batch.Events)
		revision = batch.Revision
	}
}

// list applies all objects, closes the channel of Ready and returns the revision of
// the list.
func (w *Watcher) list(ctx context.Context) (uint64, error) {
	objects, revision, err := w.opts.Store.List(ctx, store.KindOrder)
	if err != nil {
		return 0, err
	}
	w.backoff.Reset()
	listed := map[string]bool{}
	for _, obj := range objects {
		listed[obj.Name] = true
		w.set(obj)
	}
	w.removeUnlisted(listed)
	select {
	case <-w.ready:
	default:
		close(w.ready)
	}
	return revision, nil
}

// apply applies the events of a watch.
func (w *Watcher) apply(events []store.Event) {
	for _, e := range events {
		if e.Deleted {
			w.remove(e.Object.Name)
			continue
		}
		w.set(e.Object)
	}
}

// set applies one object. The sink gets it before Orders returns it: a planner of
// this host must not see a change that the keeper doesn't have.
func (w *Watcher) set(obj store.Object) {
	o, err := decode(obj)
	if err != nil {
		w.opts.Log.Error("order object ignored", "engine", obj.Name, "error", err)
		return
	}
	w.opts.Sink.SetOrder(o)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.orders[o.Engine].Fence < o.Fence {
		w.orders[o.Engine] = o
	}
}

// remove removes a deleted order from Orders; the sink keeps it.
func (w *Watcher) remove(engine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.orders, engine)
}

// removeUnlisted removes the orders that are missing from a list; the sink keeps them.
func (w *Watcher) removeUnlisted(listed map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.orders, func(name string, _ state.Order) bool { return !listed[name] })
}

// backOff logs a failed call and sleeps before the next one.
func (w *Watcher) backOff(ctx context.Context, cause error) {
	if ctx.Err() != nil {
		return
	}
	whole := w.backoff.NextBackOff()
	d := whole - time.Duration(watchJitter*w.opts.Rand.Float64()*float64(whole))
	w.opts.Log.Warn("orders can't be watched", "error", cause, "retry_in", d)
	_ = w.opts.Clock.Sleep(ctx, d)
}
