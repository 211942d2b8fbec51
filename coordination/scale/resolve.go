package scale

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/state"
)

// resolveRequired reports whether the required number of runners is known, and determines it if
// possible. The first holder of the lease derives it from the number of runners that the service
// starts with, once that is unchanged for settleTime, and stores that number for later holders.
func (m *Manager) resolveRequired(ctx context.Context, spec state.ServiceSpec, s *serviceState, serving Counts, now time.Time) bool {
	if s.required > 0 {
		m.storeInitialAgain(ctx, spec.Name, s)
		return true
	}
	if n := serving.total(); n == 0 || n != s.lastCount {
		s.lastCount, s.lastCountSince = n, now
		return false
	}
	if now.Sub(s.lastCountSince) < settleTime {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := m.o.InitialCounts.LoadOrStore(ctx, spec.Name, s.lastCount)
	if err != nil {
		m.o.Log.Warn("initial number of runners not read; retrying", "service", spec.Name, "cause", err.Error())
		s.lastCountSince = now
		return false
	}
	s.stored, s.storedInEpoch = stored, m.o.Lease.Epoch()
	s.required = max(1, int(m.o.RequiredShare*float64(stored.AtStart)+0.5))
	m.startSizer(spec, s, now)
	m.o.Log.Info("required number of runners determined", "service", spec.Name, "need", s.required, "at_start", stored.AtStart, "listed", s.lastCount, "stored", stored.Required)
	return true
}

// storeInitialAgain stores the initial number of runners again after each restore of the store
// from an older copy, which may have lost it.
func (m *Manager) storeInitialAgain(ctx context.Context, name string, s *serviceState) {
	epoch := m.o.Lease.Epoch()
	if epoch <= s.storedInEpoch {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := m.o.InitialCounts.LoadOrStore(ctx, name, s.stored.AtStart)
	if err != nil {
		m.o.Log.Warn("initial number of runners not stored again after a restore of the store; retrying", "service", name, "cause", err.Error())
		return
	}
	s.stored.Required, s.stored.version = stored.Required, stored.version
	s.storedInEpoch = epoch
}
