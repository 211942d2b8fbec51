package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// maxWriteAttempts bounds how often a wish is repeated on a newer version.
const maxWriteAttempts = 8

// RequesterOptions are the parts of a Desk.
type RequesterOptions struct {
	Store store.Store
	Clock state.Clock
	// Rand marks the writes; the Desk alone uses it.
	Rand *rand.Rand
	// Host is this host.
	Host     state.HostID
	Recorder Recorder
}

// Requester takes the wishes of operators and of the rebalancer, on any host. Its
// methods may be called concurrently. Besides the errors that they name, they
// return the store's; after an unknown outcome read the order again.
type Requester struct {
	objects  *orderStore
	recorder Recorder
}

// NewRequester validates the options.
func NewRequester(o RequesterOptions) (*Requester, error) {
	switch {
	case o.Store == nil:
		return nil, &OptionError{"Store", "pass the platform's store"}
	case o.Clock == nil:
		return nil, &OptionError{"Clock", "pass a clock"}
	case o.Rand == nil:
		return nil, &OptionError{"Rand", "pass a seeded random source"}
	case o.Host.Zero():
		return nil, &OptionError{"Host", "pass this host's id"}
	case o.Recorder == nil:
		return nil, &OptionError{"Recorder", "pass a recorder of decisions"}
	}
	b := &orderStore{store: o.Store, clock: o.Clock, host: o.Host, rand: o.Rand}
	return &Requester{objects: b, recorder: o.Recorder}, nil
}

// Get reads the order of an engine; *NoOrderError if it has none.
func (d *Requester) Get(ctx context.Context, engine string) (state.Order, error) {
	cur, err := d.objects.read(ctx, engine)
	if errors.Is(err, store.ErrNotFound) {
		return state.Order{}, &NoOrderError{Engine: engine}
	}
	return cur.order, err
}

// Request asks for the engine to become target, and returns the order in state
// draining. Asking for what is being done, or is done, returns that order. A
// change to something else that is under way gives a *BusyError; a target that
// can't be ordered a *TargetError; another service's engine a *WrongServiceError.
func (d *Requester) Request(ctx context.Context, engine, service string, target state.Target, by, reason string) (state.Order, error) {
	target.Adapters = slices.Compact(slices.Sorted(slices.Values(target.Adapters)))
	if err := checkTarget(engine, target); err != nil {
		return state.Order{}, err
	}
	return d.update(ctx, engine, service, "requested", func(o *state.Order) (bool, error) {
		if o.Desired.Equal(target) {
			return false, nil
		}
		if o.State == state.OrderDraining || o.State == state.OrderIssued {
			return false, busyError(*o)
		}
		o.State = state.OrderDraining
		o.Previous, o.Desired = o.Desired, target
		o.Holder = d.objects.host
		o.Reason = formatReason(by, reason)
		return true, nil
	})
}

// Drain keeps new work away from the engine until Undrain. A change under way
// goes on.
func (d *Requester) Drain(ctx context.Context, engine, service, by, reason string) (state.Order, error) {
	return d.setDrained(ctx, engine, service, true, by, reason)
}

// Undrain gives the engine new work again once no change is under way.
func (d *Requester) Undrain(ctx context.Context, engine, service, by, reason string) (state.Order, error) {
	return d.setDrained(ctx, engine, service, false, by, reason)
}

func (d *Requester) setDrained(ctx context.Context, engine, service string, drained bool, by, reason string) (state.Order, error) {
	chosen := "undrained"
	if drained {
		chosen = "drained"
	}
	return d.update(ctx, engine, service, chosen, func(o *state.Order) (bool, error) {
		if o.Drained == drained {
			return false, nil
		}
		o.Drained = drained
		if o.State != state.OrderDraining && o.State != state.OrderIssued {
			// The holder of a change under way stays: it alone may send.
			o.Holder = d.objects.host
			o.Reason = formatReason(by, reason)
		}
		return true, nil
	})
}

// CallOff ends a change that hasn't been issued; the engine takes work again as
// what it was. Else it returns a *NotDrainingError or a *NoOrderError.
func (d *Requester) CallOff(ctx context.Context, engine, by, reason string) (state.Order, error) {
	return d.update(ctx, engine, "", "called off", func(o *state.Order) (bool, error) {
		if o.State != state.OrderDraining {
			return false, &NotDrainingError{Engine: engine, State: o.State}
		}
		callOff(o)
		o.Holder = d.objects.host
		o.Reason = formatReason(by, reason)
		return true, nil
	})
}

// callOff turns a draining order back to what it was before.
func callOff(o *state.Order) {
	o.State = state.OrderIdle
	o.Desired = o.Previous
}

// update applies edit to the present object until the write meets no other, and
// returns the object. An empty service takes the object's and creates none.
func (d *Requester) update(ctx context.Context, engine, service, chosen string, edit func(*state.Order) (bool, error)) (state.Order, error) {
	var err error
	for range maxWriteAttempts {
		var o state.Order
		var wrote bool
		o, wrote, err = d.attempt(ctx, engine, service, edit)
		if store.IsConflict(err) {
			continue
		}
		if err == nil && wrote {
			d.record(o, chosen)
		}
		return o, err
	}
	return state.Order{}, fmt.Errorf("engine %s: other hosts kept changing the order; try again: %w", engine, err)
}

func (d *Requester) attempt(ctx context.Context, engine, service string, edit func(*state.Order) (bool, error)) (state.Order, bool, error) {
	cur, err := d.objects.read(ctx, engine)
	missing := errors.Is(err, store.ErrNotFound)
	if err != nil && !missing {
		return state.Order{}, false, err
	}
	if missing {
		if service == "" {
			return state.Order{}, false, &NoOrderError{Engine: engine}
		}
		cur.order = state.Order{Engine: engine, Service: service, State: state.OrderIdle}
	}
	if service != "" && cur.order.Service != service {
		return cur.order, false, &WrongServiceError{Engine: engine, Service: cur.order.Service, Asked: service}
	}
	next := cur.order
	changed, err := edit(&next)
	if err != nil || !changed {
		return cur.order, false, err
	}
	var done versionedOrder
	if missing {
		done, err = d.objects.create(ctx, next)
	} else {
		done, err = d.objects.write(ctx, cur, next)
	}
	return done.order, err == nil, err
}

func (d *Requester) record(o state.Order, chosen string) {
	d.recorder.Record(state.Decision{
		At: o.ChangedAt, Host: d.objects.host.Name, Kind: state.DecisionOrder,
		Subject: o.Engine, Chosen: chosen, Why: o.Reason,
	})
}

func busyError(o state.Order) error {
	return &BusyError{Engine: o.Engine, Holder: o.Holder, State: o.State, Desired: o.Desired, Reason: o.Reason}
}

func formatReason(by, reason string) string {
	return fmt.Sprintf("%s: %s", by, reason)
}

func checkTarget(engine string, t state.Target) error {
	if !t.Role.Valid() {
		return &TargetError{engine, fmt.Sprintf("%q is no role", t.Role), `use "mixed", "prefill" or "decode"`}
	}
	if t.Model == "" {
		return &TargetError{engine, "the target names no model", "name the model to load"}
	}
	return nil
}
