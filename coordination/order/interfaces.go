package order

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Ack is a host's acknowledgement of a draining order: since the host applied the
// order with this fence it sends the engine no new requests, and InFlight of its
// requests still run there.
type Ack struct {
	Host     state.HostID `msgpack:"h"`
	Engine   string       `msgpack:"e"`
	Fence    uint64       `msgpack:"f"`
	InFlight int64        `msgpack:"n"`
}

// Release states that a host will send the engine no order with a fence below
// Fence, and that none of those it has sent can still arrive.
type Release struct {
	Host   state.HostID `msgpack:"h"`
	Engine string       `msgpack:"e"`
	Fence  uint64       `msgpack:"f"`
}

// Acks holds the acknowledgements and releases of all hosts. A host that sponsors
// other hosts acknowledges and releases only when those hosts would as well.
type Acks interface {
	// Complete reports whether each of the members has acknowledged the engine's
	// order with exactly this fence and with no request in flight.
	Complete(members []state.HostID, engine string, fence uint64) bool
	// Acknowledged returns the acknowledgements of the engine's order with exactly
	// this fence. They explain why a change waits.
	Acknowledged(engine string, fence uint64) []Ack
	// Released reports whether the host has released the engine's orders below fence.
	Released(host state.HostID, engine string, fence uint64) bool
}

// Members provides the membership of the cluster.
type Members interface {
	// List reads the member objects from the platform at the time of the call, not
	// from a cache.
	List(ctx context.Context) ([]state.Member, error)
	// GoneFor returns how long this incarnation of the host has been missing from
	// the platform's list; zero if it is listed or nothing is known.
	GoneFor(state.HostID) time.Duration
}

// Upstreams looks up engines by name.
type Upstreams interface {
	Upstream(engine string) (state.Upstream, bool)
}

// Recorder stores records of decisions.
type Recorder interface {
	Record(state.Decision)
}

// Lister lists the order objects as last received by a watch.
type Lister interface {
	// Orders returns the known orders, sorted by engine.
	Orders() []state.Order
}

// Sink receives the order objects that a Watcher reads; snapshot.Keeper
// implements it.
type Sink interface {
	SetOrder(state.Order)
}

// KeeperUpstreams implements Upstreams with the view of a snapshot.Keeper.
type KeeperUpstreams struct{ Keeper *snapshot.Keeper }

// Upstream implements Upstreams.
func (k KeeperUpstreams) Upstream(engine string) (state.Upstream, bool) {
	r := k.Keeper.View().Runner(engine)
	if r == nil {
		return state.Upstream{}, false
	}
	return r.Upstream, true
}
