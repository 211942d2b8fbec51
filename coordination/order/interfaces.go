package order

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Ack is a host's statement that it gives an engine no new work since it saw the
// order with that fence, and how many of its requests still run there.
type Ack struct {
	Host     state.HostID `msgpack:"h"`
	Engine   string       `msgpack:"e"`
	Fence    uint64       `msgpack:"f"`
	InFlight int64        `msgpack:"n"`
}

// Release is a host's statement that it will send no order of an engine with a
// fence below Fence, and that none that it sent can still arrive.
type Release struct {
	Host   state.HostID `msgpack:"h"`
	Engine string       `msgpack:"e"`
	Fence  uint64       `msgpack:"f"`
}

// Acks holds what the hosts have said. A host that sponsors others makes its
// statements only once theirs allow it.
type Acks interface {
	// Complete reports whether every one of members has acknowledged the engine's
	// order with exactly that fence, with no request in flight.
	Complete(members []state.HostID, engine string, fence uint64) bool
	// Acknowledged returns the acknowledgements of that fence, for explanations.
	Acknowledged(engine string, fence uint64) []Ack
	// Released reports whether the host has released the engine's orders below fence.
	Released(host state.HostID, engine string, fence uint64) bool
}

// Members says which hosts there are.
type Members interface {
	// List reads the member objects from the platform, at the time of the call.
	List(ctx context.Context) ([]state.Member, error)
	// GoneFor returns for how long the platform's list has been without this run of
	// the host; zero if it is listed or nothing is known.
	GoneFor(state.HostID) time.Duration
}

// Upstreams finds an engine by its name.
type Upstreams interface {
	Upstream(engine string) (state.Upstream, bool)
}

// Recorder keeps the records of decisions.
type Recorder interface {
	Record(state.Decision)
}

// Lister holds the order objects as last seen by a watch.
type Lister interface {
	// Orders returns the known orders, sorted by engine.
	Orders() []state.Order
}

// Sink takes over order objects; a snapshot.Keeper is one.
type Sink interface {
	SetOrder(state.Order)
}

// KeeperUpstreams finds engines in a keeper's view.
type KeeperUpstreams struct{ Keeper *snapshot.Keeper }

// Upstream implements Upstreams.
func (k KeeperUpstreams) Upstream(engine string) (state.Upstream, bool) {
	r := k.Keeper.View().Runner(engine)
	if r == nil {
		return state.Upstream{}, false
	}
	return r.Upstream, true
}
