// Package order changes the role, model and adapters of engines. It guarantees that
// an engine never receives conflicting orders, that no planned change cuts off an
// answer, and that orders of a host that has lost its authority have no effect.
//
// The platform stores one state.Order object for each engine. The object's version
// is the authority: every change of the object is a conditional update, and an order
// is sent only by the host that wrote the object's present version in state issued.
// The states of a change are draining (hosts stop sending requests to the engine and
// acknowledge), issued (the order may have been sent) and settled (the engine has
// the desired state); an object that has never changed, or whose change was called
// off, is idle. Three types work on the objects:
//
//   - Requester, on any host, accepts the changes that operators and the rebalancer
//     request and moves the object from idle or settled to draining.
//   - Watcher, on every host, passes the objects to the host's snapshot.Keeper,
//     which sends a draining engine no new requests; the host acknowledges this.
//   - Planner, on the host that holds the service's lease, moves the object from
//     draining to settled. Any number of planners may run at once: the invariants
//     don't depend on the lease.
//
// # Invariants
//
// I1. The fence of an engine's object only grows, also when the object is deleted
// and created again: a new object starts above the platform's revision, and a fence
// is never above its object's version.
//
// I2. From the write of issued to the write of settled the desired state doesn't
// change, whichever host is its holder.
//
// I3. issued replaces exactly the version of draining whose fence every member has
// acknowledged with zero requests in flight; the members are listed after draining
// was read. A host registers before it lists the orders, so a host that isn't in
// the list of members reads draining before it serves.
//
// I4. settled is written only when no earlier order can have an effect any more.
// An engine that checks fences must show the desired state and a fence not below
// the object's, so that it refuses every earlier order. For an engine that ignores
// fences, every other host that may have sent the order must have released it or
// have been gone for GoneAfter, and any order that this host sent without an answer
// must be older than MaxDeliveryDelay.
//
// I5. An order is sent after a successful write of it. It is sent again only after
// a read that shows this host as the holder, at a version that no failed write of
// this host tried to replace: such a write might take effect late and end the order
// (I4) while the repeated order is on its way. After a read that is older than what
// the host knows, only another conditional write is possible, which fails.
//
// # State after a crash
//
// A planner that crashes before it writes issued leaves the object in draining; a
// successor finishes the change or calls it off. A planner that crashes after it
// wrote issued and before it wrote settled leaves the object in issued; a successor
// takes it over by a conditional update and finishes it with the same desired state.
// The successor can't know whether the order was sent, and needn't.
package order
