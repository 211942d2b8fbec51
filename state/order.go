package state

import "time"

// OrderState is the step that an engine's order has reached.
type OrderState string

// The states of an order. The only transitions are
// idle|settled -> draining -> issued -> settled and draining -> idle (called off).
const (
	OrderIdle     OrderState = "idle"
	OrderDraining OrderState = "draining"
	OrderIssued   OrderState = "issued"
	OrderSettled  OrderState = "settled"
)

// Order is the object of one engine at the platform. Its version is the
// authority: an order that is not written here by a conditional update must not
// be sent.
type Order struct {
	Engine  string `json:"engine" msgpack:"e"`
	Service string `json:"service" msgpack:"v"`
	// Fence grows by one with every conditional update and goes with the order.
	Fence uint64     `json:"fence" msgpack:"f"`
	State OrderState `json:"state" msgpack:"s"`
	// Desired is what the engine is to be once settled.
	Desired Target `json:"desired" msgpack:"d"`
	// Previous is what it was before; a called-off change returns to it.
	Previous Target `json:"previous" msgpack:"p"`
	// Drained is true while an operator keeps new work away from the engine.
	Drained bool `json:"drained,omitempty" msgpack:"x"`
	// Holder is the planner that made the last change.
	Holder HostID `json:"holder" msgpack:"h"`
	// IssuedBy lists the planners that may have sent the present desired state.
	IssuedBy []HostID `json:"issued_by,omitempty" msgpack:"b"`
	// Nonce marks the last write, so that its writer recognises it.
	Nonce string `json:"nonce" msgpack:"o"`
	// Reason is a plain sentence for the operators.
	Reason string `json:"reason" msgpack:"r"`
	// ChangedAt is the writer's clock; it decides nothing.
	ChangedAt time.Time `json:"changed_at" msgpack:"t"`
}

// TakesWork reports whether hosts may give the engine new work.
func (o Order) TakesWork() bool {
	if o.Drained {
		return false
	}
	return o.State == OrderIdle || o.State == OrderSettled || o.State == ""
}
