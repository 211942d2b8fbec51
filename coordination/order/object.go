package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// versionedOrder is an order with the version of its object in the store.
type versionedOrder struct {
	order   state.Order
	version uint64
}

// orderStore reads and writes order objects on behalf of one host. It is safe for
// concurrent use.
type orderStore struct {
	store store.Store
	clock state.Clock
	host  state.HostID

	mu     sync.Mutex
	rand   *rand.Rand
	writes uint64
}

// nonce returns an identifier that no other write has. The host's incarnation is
// unique, and the random part distinguishes the orderStores of one host.
func (b *orderStore) nonce() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes++
	return fmt.Sprintf("%s/%x/%d", b.host, b.rand.Uint64(), b.writes)
}

// decode decodes an order object; the error is a *ValueError.
func decode(obj store.Object) (state.Order, error) {
	var o state.Order
	if err := json.Unmarshal(obj.Value, &o); err != nil {
		return o, &ValueError{Engine: obj.Name, Cause: err}
	}
	if o.Engine != obj.Name {
		return o, &ValueError{Engine: obj.Name, Cause: fmt.Errorf("it names engine %q", o.Engine)}
	}
	return o, nil
}

// read reads the order of an engine. The error is store.ErrNotFound, a *ValueError
// or another error of the store.
func (b *orderStore) read(ctx context.Context, engine string) (versionedOrder, error) {
	obj, err := b.store.Get(ctx, store.KindOrder, engine)
	if err != nil {
		return versionedOrder{}, err
	}
	o, err := decode(obj)
	return versionedOrder{order: o, version: obj.Version}, err
}

// create writes the first object of an engine. Its fence is above the platform's
// revision after the object was found missing, and thus above the fence of every
// deleted object of this name (I1).
func (b *orderStore) create(ctx context.Context, next state.Order) (versionedOrder, error) {
	_, revision, err := b.store.List(ctx, store.KindOrder)
	if err != nil {
		return versionedOrder{}, err
	}
	next.Fence = revision + 1
	return b.put(ctx, store.Absent, next)
}

// write replaces cur by next, with the fence increased by one. The error is a
// *TransitionError, a *store.ConflictError or another error of the store. If the
// error has an unknown outcome, the write may have taken effect or may do so later.
func (b *orderStore) write(ctx context.Context, cur versionedOrder, next state.Order) (versionedOrder, error) {
	next.Fence = cur.order.Fence + 1
	if err := checkTransition(cur.order, next, b.host); err != nil {
		return versionedOrder{}, err
	}
	return b.put(ctx, cur.version, next)
}

// put writes next, with a new nonce and time, if the object has the given version.
func (b *orderStore) put(ctx context.Context, version uint64, next state.Order) (versionedOrder, error) {
	next.Nonce = b.nonce()
	next.ChangedAt = b.clock.Now()
	value, err := json.Marshal(next)
	if err != nil {
		return versionedOrder{}, &ValueError{Engine: next.Engine, Cause: err}
	}
	v, err := b.store.Put(ctx, store.KindOrder, next.Engine, version, value)
	if store.IsUnknownOutcome(err) {
		return b.readBack(ctx, next, version, err)
	}
	if err != nil {
		return versionedOrder{}, err
	}
	return versionedOrder{order: next, version: v}, nil
}

// readBack reads the object after a write with an unknown outcome. It returns the
// object if the write took effect, a *store.ConflictError if another write replaced
// the version, and cause if the outcome is still unknown.
func (b *orderStore) readBack(ctx context.Context, wrote state.Order, version uint64, cause error) (versionedOrder, error) {
	found, err := b.read(ctx, wrote.Engine)
	if err == nil && found.order.Nonce == wrote.Nonce {
		return found, nil
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return versionedOrder{}, cause
	}
	if found.version == version {
		// The write hasn't taken effect so far but may still arrive. It then fails,
		// or is recognized as this host's own.
		return versionedOrder{}, cause
	}
	return versionedOrder{}, &store.ConflictError{
		Kind: store.KindOrder, Name: wrote.Engine, Expected: version, Actual: found.version,
	}
}

// checkTransition returns a *TransitionError for a write that would break I1 or I2.
func checkTransition(from, to state.Order, writer state.HostID) error {
	fail := func(problem string) error {
		return &TransitionError{Engine: from.Engine, From: from.State, To: to.State, Problem: problem}
	}
	if to.Fence <= from.Fence {
		return fail("the fence must grow")
	}
	switch {
	case from.State != state.OrderIssued && to.State == state.OrderIssued:
		if from.State != state.OrderDraining || !from.Desired.Equal(to.Desired) {
			return fail("only the drained change may be issued")
		}
	case from.State == state.OrderIssued && to.State == state.OrderIssued:
		if !from.Desired.Equal(to.Desired) {
			return fail("the desired state of an issued order is fixed")
		}
		for _, h := range from.IssuedBy {
			if h != writer && !slices.Contains(to.IssuedBy, h) {
				return fail("only a host itself may leave issued_by")
			}
		}
	case from.State == state.OrderIssued && to.State == state.OrderSettled:
		if !from.Desired.Equal(to.Desired) {
			return fail("the desired state of an issued order is fixed")
		}
	case from.State == state.OrderDraining && to.State == state.OrderDraining:
		if !from.Desired.Equal(to.Desired) {
			return fail("the desired state of a change under way is fixed")
		}
	case from.State == state.OrderIssued:
		return fail("an issued order must be finished")
	case to.State == state.OrderSettled && from.State != state.OrderSettled:
		return fail("only an issued order settles")
	}
	return nil
}
