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

// maxWriteAttempts is how often a change is tried when other hosts keep writing the
// same object.
const maxWriteAttempts = 8

// RequesterOptions are the dependencies of a Requester; all are required.
type RequesterOptions struct {
	Store store.Store
	Clock state.Clock
	// Rand generates the nonces of writes. It must not be shared with other users.
	Rand *rand.Rand
	// Host is this host.
	Host     state.HostID
	Recorder Recorder
}

// Requester writes the changes that operators and the rebalancer request into the
// order objects. It works on any host, and its methods may be called concurrently.
// Besides the errors that they name, the methods return the store's errors; if one
// has an unknown outcome, the caller must read the order again.
type Requester struct {
	store    *orderStore
	recorder Recorder
}

// NewRequester validates the options and returns an *OptionError if one is missing.
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
	return &Requester{store: b, recorder: o.Recorder}, nil
}

// Get reads the order of an engine. It returns a *NoOrderError if there is none.
func (d *Requester) Get(ctx context.Context, engine string) (state.Order, error) {
	cur, err := d.store.read(ctx, engine)
	if errors.Is(err, store.ErrNotFound) {
		return state.Order{}, &NoOrderError{Engine: engine}
	}
	return cur.order, err
}

// Request starts a change of the engine to target and returns the order in state
// draining. If target is already the desired state, reached or not, it returns the
// present order unchanged. It returns a *BusyError while a change to another target
// is under way, a *TargetError if the target is invalid, and a *WrongServiceError
// if the engine belongs to another service.
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
		o.Holder = d.store.host
		o.Reason = formatReason(by, reason)
		return true, nil
	})
}

// Drain stops new requests to the engine until Undrain. A change under way
// continues.
func (d *Requester) Drain(ctx context.Context, engine, service, by, reason string) (state.Order, error) {
	return d.setDrained(ctx, engine, service, true, by, reason)
}

// Undrain allows new requests to the engine again, once no change is under way.
func (d *Requester) Undrain(ctx context.Context, engine, service, by, reason string) (state.Order, error) {
	return d.setDrained(ctx, engine, service, false, by, reason)
}

// setDrained implements Drain and Undrain.
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
			// A change under way keeps its holder, the only host that may send the
			// order.
			o.Holder = d.store.host
			o.Reason = formatReason(by, reason)
		}
		return true, nil
	})
}

// CallOff cancels a change that hasn't been issued: the engine keeps its previous
// state and takes new requests again. It returns a *NotDrainingError if there is no
// such change, and a *NoOrderError if the engine has no order.
func (d *Requester) CallOff(ctx context.Context, engine, by, reason string) (state.Order, error) {
	return d.update(ctx, engine, "", "called off", func(o *state.Order) (bool, error) {
		if o.State != state.OrderDraining {
			return false, &NotDrainingError{Engine: engine, State: o.State}
		}
		callOff(o)
		o.Holder = d.store.host
		o.Reason = formatReason(by, reason)
		return true, nil
	})
}

// callOff restores the desired state that a draining order had before the change.
func callOff(o *state.Order) {
	o.State = state.OrderIdle
	o.Desired = o.Previous
}

// update reads the engine's object, applies edit and writes the result; it repeats
// this when another host has written the object in between. edit reports whether it
// changed the order. update returns the order as it is then stored, and records the
// decision chosen if it wrote. With an empty service it accepts the object of any
// service, and creates none.
func (d *Requester) update(ctx context.Context, engine, service, chosen string, edit func(*state.Order) (bool, error)) (state.Order, error) {
	var err error
	for range maxWriteAttempts {
		var o state.Order
		var wrote bool
		o, wrote, err = d.tryUpdate(ctx, engine, service, edit)
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

// tryUpdate makes one try of update; the second result reports whether it wrote.
func (d *Requester) tryUpdate(ctx context.Context, engine, service string, edit func(*state.Order) (bool, error)) (state.Order, bool, error) {
	cur, err := d.store.read(ctx, engine)
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
		done, err = d.store.create(ctx, next)
	} else {
		done, err = d.store.write(ctx, cur, next)
	}
	return done.order, err == nil, err
}

func (d *Requester) record(o state.Order, chosen string) {
	d.recorder.Record(state.Decision{
		At: o.ChangedAt, Host: d.store.host.Name, Kind: state.DecisionOrder,
		Subject: o.Engine, Chosen: chosen, Why: o.Reason,
	})
}

func busyError(o state.Order) error {
	return &BusyError{Engine: o.Engine, Holder: o.Holder, State: o.State, Desired: o.Desired, Reason: o.Reason}
}

func formatReason(by, reason string) string {
	return fmt.Sprintf("%s: %s", by, reason)
}

// checkTarget returns a *TargetError if t has no valid role or no model.
func checkTarget(engine string, t state.Target) error {
	if !t.Role.Valid() {
		return &TargetError{engine, fmt.Sprintf("%q is no role", t.Role), `use "mixed", "prefill" or "decode"`}
	}
	if t.Model == "" {
		return &TargetError{engine, "the target names no model", "name the model to load"}
	}
	return nil
}
