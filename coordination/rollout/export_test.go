package rollout

// Faults that tests switch on.
const (
	FaultApplyAny        = faultApplyAny
	FaultAssumeCommitted = faultAssumeCommitted
)

// SetFault switches a deliberate mistake on.
func (m *Manager) SetFault(f fault) { m.fault = f }
