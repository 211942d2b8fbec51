package stages

import (
	"math"
	"time"
)

const (
	// minDemandChange is the difference between the share of the demand and the present one from
	// which the present one changes. Each order makes an engine unavailable for 3 s.
	minDemandChange = 1.0 / 8
	// demandCooldown is the least time between a change of the share, whatever caused it, and one
	// by the demand. The demand covers the peak of 30 s, so the share for it changes no faster.
	// The queues and loads that engines report change the share between.
	demandCooldown = 30 * time.Second
)

// followDemand changes the share to that of the measured demand if they differ by much, and reports
// whether it did. It waits until the roles have reached the present plan.
func (m *Manager) followDemand(service string, e *shareEstimator, now time.Time) bool {
	if m.o.DemandShare == nil || !m.planReached[service] {
		return false
	}
	share, ok := m.o.DemandShare(service)
	if !ok || !e.followDemand(now, share) {
		return false
	}
	m.o.Log.Info("prefill share changed by demand", "service", service, "prefill_share", share)
	m.planReached[service] = false
	m.cachedShares[service] = cachedShare{share, m.cachedShares[service].version, true}
	return true
}

// followDemand sets the share to that of the demand if they differ by at least minDemandChange and
// the last change is older than demandCooldown.
func (e *shareEstimator) followDemand(now time.Time, share float64) bool {
	if math.Abs(share-e.share) < minDemandChange || (e.shareChanged && now.Sub(e.changedAt) < demandCooldown) {
		return false
	}
	e.share, e.loadSeen, e.changedAt, e.shareChanged = share, true, now, true
	return true
}
