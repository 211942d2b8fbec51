package order

import (
	"fmt"

	"github.com/thymerack/thymerack/state"
)

// OptionError reports an option that is missing or invalid, and the remedy.
type OptionError struct{ Option, Remedy string }

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("order: option %s is missing or wrong; %s", e.Option, e.Remedy)
}

// BusyError reports that another change of the engine is under way.
type BusyError struct {
	Engine string
	// Holder is the host that last wrote the change under way.
	Holder state.HostID
	State  state.OrderState
	// Desired is the target of the change under way.
	Desired state.Target
	// Reason is the reason of the change under way.
	Reason string
}

// Error implements error.
func (e *BusyError) Error() string {
	remedy := "wait until it has settled"
	if e.State == state.OrderDraining {
		remedy = "wait until it has settled, or call it off"
	}
	return fmt.Sprintf("engine %s is being changed to %s by %s (%s; %s); %s",
		e.Engine, describe(e.Desired), e.Holder, e.State, e.Reason, remedy)
}

// NotDrainingError reports that no change is in state draining, the only state in
// which it can be called off.
type NotDrainingError struct {
	Engine string
	State  state.OrderState
}

// Error implements error.
func (e *NotDrainingError) Error() string {
	if e.State == state.OrderIssued {
		return fmt.Sprintf("the order of engine %s may have been sent and can't be called off; wait until it has settled and ask for another change", e.Engine)
	}
	return fmt.Sprintf("no change of engine %s is under way (%s); there is nothing to call off", e.Engine, e.State)
}

// WrongServiceError reports that the engine belongs to Service and not to Asked,
// the service that was named in the request.
type WrongServiceError struct{ Engine, Service, Asked string }

// Error implements error.
func (e *WrongServiceError) Error() string {
	return fmt.Sprintf("engine %s belongs to service %s, not %s; name that service", e.Engine, e.Service, e.Asked)
}

// TargetError reports that the requested target is invalid.
type TargetError struct{ Engine, Problem, Remedy string }

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("engine %s: %s; %s", e.Engine, e.Problem, e.Remedy)
}

// NoOrderError reports that the engine has no order object.
type NoOrderError struct{ Engine string }

// Error implements error.
func (e *NoOrderError) Error() string {
	return fmt.Sprintf("engine %s has no order; request a change or a drain first", e.Engine)
}

// ValueError reports that the value of an order object can't be decoded or encoded.
type ValueError struct {
	Engine string
	Cause  error
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("the order object of engine %s is not valid (%v); write a valid one with a higher fence", e.Engine, e.Cause)
}

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Cause }

// TransitionError reports that a write would break an invariant of the order object.
type TransitionError struct {
	Engine   string
	From, To state.OrderState
	Problem  string
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("order of engine %s can't go from %s to %s: %s; read the object again", e.Engine, e.From, e.To, e.Problem)
}

// describe formats a target for messages, for example "decode of m with [a]".
func describe(t state.Target) string {
	if len(t.Adapters) == 0 {
		return fmt.Sprintf("%s of %s", t.Role, t.Model)
	}
	return fmt.Sprintf("%s of %s with %v", t.Role, t.Model, t.Adapters)
}
