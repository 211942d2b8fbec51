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

// The pauses between calls of a platform that gives no answer.
const (
	watchMinBackoff = 200 * time.Millisecond
	watchMaxBackoff = 5 * time.Second
	// watchJitter is the share of a pause that is drawn at random.
	watchJitter = 0.5
)

// WatcherOptions are the parts of a Watcher.
type WatcherOptions struct {
	Store store.Store
	Clock state.Clock
	// Rand spreads the calls after an outage; the Watcher alone uses it.
	Rand *rand.Rand
	// Sink is the host's keeper.
	Sink Sink
	// Log gets malformed objects and outages; nil means none.
	Log *slog.Logger
}

// Watcher brings the order objects to a host, with one waiting call at the
// platform whatever the number of engines. It is the host's Book.
//
// A deleted object leaves the book, so that no planner here goes on with it, but
// stays with the sink as last seen: an engine whose order may have been sent must
// not get new work because its record was lost. The next object of that name has
// a higher fence and replaces it.
type Watcher struct {
	opts    WatcherOptions
	ready   chan struct{}
	backoff *backoff.ExponentialBackOff

	mu     sync.Mutex
	orders map[string]state.Order
}

var _ Lister = (*Watcher)(nil)

// NewWatcher validates the options.
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
	b.RandomizationFactor = 0 // the spread comes from the passed source
	return &Watcher{
		opts: o, backoff: b, ready: make(chan struct{}), orders: map[string]state.Order{},
	}, nil
}

// Ready is closed once all orders have been listed. A host that has registered
// must wait for it before it gives engines work, unless a peer sponsors it.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Orders implements Book.
func (w *Watcher) Orders() []state.Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]state.Order, 0, len(w.orders))
	for _, name := range slices.Sorted(maps.Keys(w.orders)) {
		out = append(out, w.orders[name])
	}
	return out
}

// Run lists and then watches until ctx ends, and returns nil then.
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

// follow watches from revision until a gap or the end of ctx.
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

// list takes over all objects, closes Ready and returns the list's revision.
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

func (w *Watcher) apply(events []store.Event) {
	for _, e := range events {
		if e.Deleted {
			w.remove(e.Object.Name)
			continue
		}
		w.set(e.Object)
	}
}

// set gives the sink the object first: a planner here must not know a change
// that the keeper doesn't.
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

func (w *Watcher) remove(engine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.orders, engine)
}

func (w *Watcher) removeUnlisted(listed map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.orders, func(name string, _ state.Order) bool { return !listed[name] })
}

// backOff pauses after a failed call.
func (w *Watcher) backOff(ctx context.Context, cause error) {
	if ctx.Err() != nil {
		return
	}
	whole := w.backoff.NextBackOff()
	d := whole - time.Duration(watchJitter*w.opts.Rand.Float64()*float64(whole))
	w.opts.Log.Warn("orders can't be watched", "error", cause, "retry_in", d)
	_ = w.opts.Clock.Sleep(ctx, d)
}
