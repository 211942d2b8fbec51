package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/member"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// heardStore tells the membership of every answer of the platform, and hands it
// the orders that pass by, before the caller sees them. The time told is that
// of the sending: a paused process may take up an answer long after it was given.
type heardStore struct {
	store store.Store
	clock state.Clock
	// member is set before the first call.
	member *member.Manager
}

var _ store.Store = (*heardStore)(nil)

// heard notes an answer; refusals by version or name are answers too.
func (h *heardStore) heard(sent time.Time, err error) {
	if err == nil || errors.Is(err, store.ErrNotFound) || store.IsConflict(err) {
		h.member.HeardPlatform(sent)
	}
}

// Get implements store.Store.
func (h *heardStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	sent := h.clock.Now()
	o, err := h.store.Get(ctx, kind, name)
	h.heard(sent, err)
	return o, err
}

// Put implements store.Store.
func (h *heardStore) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	sent := h.clock.Now()
	v, err := h.store.Put(ctx, kind, name, ifVersion, value)
	h.heard(sent, err)
	return v, err
}

// Delete implements store.Store.
func (h *heardStore) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	sent := h.clock.Now()
	err := h.store.Delete(ctx, kind, name, ifVersion)
	h.heard(sent, err)
	return err
}

// List implements store.Store.
func (h *heardStore) List(ctx context.Context, kind string) ([]store.Object, uint64, error) {
	sent := h.clock.Now()
	objects, revision, err := h.store.List(ctx, kind)
	if err == nil && kind == store.KindOrder {
		h.member.TakeOrders(revision, ordersOf(objects), sent)
	}
	h.heard(sent, err)
	return objects, revision, err
}

// Watch implements store.Store. A waiting call says something about the time of
// its answer only when it waited for changes; the time of its sending is told.
func (h *heardStore) Watch(ctx context.Context, kind string, after uint64) (store.Batch, error) {
	sent := h.clock.Now()
	batch, err := h.store.Watch(ctx, kind, after)
	if err == nil && kind == store.KindOrder && !batch.Gap {
		objects := make([]store.Object, 0, len(batch.Events))
		revision := uint64(0)
		for _, e := range batch.Events {
			revision = max(revision, e.Object.Version)
			if !e.Deleted {
				objects = append(objects, e.Object)
			}
		}
		h.member.TakeOrders(revision, ordersOf(objects), sent)
	}
	h.heard(sent, err)
	return batch, err
}

func ordersOf(objects []store.Object) []member.VersionedOrder {
	var out []member.VersionedOrder
	for _, o := range objects {
		var order state.Order
		if json.Unmarshal(o.Value, &order) == nil {
			out = append(out, member.VersionedOrder{Version: o.Version, Order: order})
		}
	}
	return out
}
