package scale

import "time"

// Status describes the required number of a service's runners and what it was computed from.
type Status struct {
	// Required is the present number of runners that carry the load, and Configured its upper bound.
	Required, Configured int
	// PeakPrefill is the highest prefill work of the last 30 s, in engines that it keeps busy.
	// PeakDecoding is the highest number of requests that decode, and PeakDecodeTokens that of the
	// tokens reserved for them.
	PeakPrefill, PeakDecoding, PeakDecodeTokens float64
	// PrefillEngines and DecodeEngines are the numbers that the expected demand needs.
	PrefillEngines, DecodeEngines int
	// TakenAt is when the last usable summary was taken, Age its age at the call of
	// Manager.Status, and Answered the share of owners in it. TakenAt is zero, and Age too, if there
	// was none.
	TakenAt  time.Time
	Age      time.Duration
	Answered float64
	// LastChange is the reason of the last change of Required in this term; empty if there was none.
	LastChange string
	// Unusable says why the demand decides nothing at present; empty if it does.
	Unusable string
}

// status returns the status of the sizer; unusable says why the demand decides nothing at present.
func (z *sizer) status(unusable string) Status {
	peak := z.history.peak()
	return Status{
		Required: z.required, Configured: z.configured, PeakPrefill: peak.prefill, PeakDecoding: peak.decoding, PeakDecodeTokens: peak.decodeTokens,
		PrefillEngines: z.counts.prefill, DecodeEngines: z.counts.decode,
		TakenAt: z.takenAt, Answered: z.answered, LastChange: z.lastChange, Unusable: unusable,
	}
}

// Status returns the status of a service, and false if this host doesn't hold the lease or the
// number of the service's runners doesn't follow the demand.
func (m *Manager) Status(service string) (Status, bool) {
	value, ok := m.statuses.Load(service)
	if !ok {
		return Status{}, false
	}
	status := value.(Status)
	if !status.TakenAt.IsZero() {
		status.Age = m.o.Clock.Now().Sub(status.TakenAt)
	}
	return status, true
}

// PrefillShare returns the share of a service's engines that is to do prefill by the demand, and
// false if the division doesn't follow the demand or the demand can't be used at present.
func (m *Manager) PrefillShare(service string) (float64, bool) {
	status, ok := m.Status(service)
	if !ok || !m.o.DivisionFollows || status.Unusable != "" {
		return 0, false
	}
	return roleCounts{status.PrefillEngines, status.DecodeEngines}.prefillShare(), true
}
