package rollout

// Deliberate faults that tests inject.
const (
	FaultApplyAny        = faultApplyAny
	FaultAssumeCommitted = faultAssumeCommitted
)

// SetFault makes the manager behave with a deliberate fault.
func (m *Manager) SetFault(f fault) { m.fault = f }
