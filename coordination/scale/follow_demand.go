package scale

import (
	"context"
	"math"
	"time"

	"github.com/thymerack/thymerack/coordination/fleetload"
	"github.com/thymerack/thymerack/state"
)

const (
	// saveInterval is the least time between two writes of a required number, and saveStep the
	// change that is worth a write, as a share of the stored number: store calls are costly.
	saveInterval = 10 * time.Second
	saveStep     = 1.0 / 16
	// unusableLogInterval is the least time between two log lines that demand can't be used.
	unusableLogInterval = 10 * time.Second
)

// startSizer makes the required number follow the demand if the service has engines and their load
// is known. It starts at the stored number if an earlier holder stored one, at the configured number
// otherwise.
func (m *Manager) startSizer(spec state.ServiceSpec, s *serviceState, now time.Time) {
	if m.o.Load == nil || spec.Engine == nil {
		return
	}
	// An earlier holder may have found that the demand needs the configured number, and stored none.
	z := &sizer{configured: s.required, required: s.required, waitForWindow: !m.o.Lease.FirstTerm()}
	if stored := s.stored.Required; stored > 0 {
		z.required = min(max(stored, floorOf(z.configured)), z.configured)
		z.waitForWindow = true
	}
	s.sizer, s.required = z, z.required
}

// stopSizer returns to the configured number for the rest of the term, after a change of the
// configuration that removed the service's engines.
func (m *Manager) stopSizer(spec state.ServiceSpec, s *serviceState) {
	m.o.Log.Info("required number of runners no longer follows the demand: the service has no engines", "service", spec.Name, "from", s.required, "to", s.sizer.configured)
	s.required, s.sizer = s.sizer.configured, nil
	m.statuses.Delete(spec.Name)
}

// isLowered reports whether the required number is below the configured one.
func (s *serviceState) isLowered() bool { return s.sizer != nil && s.required < s.sizer.configured }

// followDemand changes the required number by the latest summary of the load. short reports whether
// spot runners are missing. It makes no call.
func (m *Manager) followDemand(spec state.ServiceSpec, s *serviceState, instances []state.Instance, short bool, now time.Time) {
	z := s.sizer
	if z == nil {
		return
	}
	if spec.Engine == nil {
		m.stopSizer(spec, s)
		return
	}
	z.noteShortage(short, now)
	z.division.observe(observedPrefillShare(instances), now)
	reason := z.addSummary(m.latestSummary(), spec.Name, now)
	if reason == "" && z.division.share == 0 {
		reason = reasonNoRoles
	}
	if reason == "" {
		m.applyDemand(spec, z, now)
	}
	m.logUnusable(spec.Name, s, reason, now)
	s.required = z.required
	m.statuses.Store(spec.Name, z.status(reason))
}

// latestSummary returns the latest summary of the load, nil if there is none.
func (m *Manager) latestSummary() *fleetload.Summary {
	summary, ok := m.o.Load()
	if !ok {
		return nil
	}
	return &summary
}

// applyDemand changes the required number by the expected demand.
func (m *Manager) applyDemand(spec state.ServiceSpec, z *sizer, now time.Time) {
	z.counts = engineCounts(z.history.expected(spec.Scale.Boot), *spec.Engine)
	before := z.required
	needed, divisionAllows := z.division.needed(z.counts, m.o.DivisionFollows, *spec.Scale, now)
	reason := z.decide(needed, divisionAllows, now)
	if reason == "" {
		return
	}
	z.lastChange = reason
	peak := z.history.peak()
	m.o.Log.Info("required number of runners changed", "service", spec.Name, "from", before, "to", z.required, "reason", reason,
		"peak_prefill", peak.prefill, "peak_decoding", peak.decoding, "peak_decode_tokens", peak.decodeTokens,
		"prefill_engines", z.counts.prefill, "decode_engines", z.counts.decode, "prefill_share", z.division.share, "wanted_share", z.counts.prefillShare(),
		"age", now.Sub(z.takenAt), "answered", z.answered, "configured", z.configured)
}

// logUnusable logs why the demand can't be used, when the reason changes and at most once per
// unusableLogInterval.
func (m *Manager) logUnusable(service string, s *serviceState, reason string, now time.Time) {
	if reason == "" {
		s.unusableReason = ""
		return
	}
	if reason == s.unusableReason || (!s.unusableLoggedAt.IsZero() && now.Sub(s.unusableLoggedAt) < unusableLogInterval) {
		return
	}
	s.unusableReason, s.unusableLoggedAt = reason, now
	m.o.Log.Info("required number of runners kept, demand can't be used", "service", service, "cause", reason,
		"need", s.sizer.required, "summary_at", s.sizer.takenAt, "answered", s.sizer.answered)
}

// saveRequired stores the required number for the next holder if it changed enough since the last
// write. After a failed write the stored counts are loaded before the next attempt, saveInterval
// later: the write may have taken effect, or another holder's.
func (m *Manager) saveRequired(ctx context.Context, service string, s *serviceState, now time.Time) {
	z := s.sizer
	if z == nil || (!s.savedAt.IsZero() && now.Sub(s.savedAt) < saveInterval) {
		return
	}
	last := s.stored.Required
	if last == 0 {
		last = z.configured
	}
	if math.Abs(float64(z.required-last)) <= saveStep*float64(last) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.savedAt = now
	var err error
	stored := s.stored
	if stored.version == 0 {
		stored, err = m.o.InitialCounts.LoadOrStore(ctx, service, s.stored.AtStart)
	}
	if err == nil {
		stored, err = m.o.InitialCounts.SaveRequired(ctx, service, stored, z.required)
	}
	if err != nil {
		s.stored.version = 0
		m.o.Log.Warn("required number of runners not stored; retrying", "service", service, "need", z.required, "cause", err.Error())
		return
	}
	s.stored = stored
}
