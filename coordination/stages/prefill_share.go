package stages

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// cachedShare is this host's copy of the stored share of a service, or a newer share that is
// still to be stored.
type cachedShare struct {
	share float64
	// version is the store version of the object that holds the share; store.Absent if there is
	// none.
	version uint64
	// unsaved reports whether share is newer than the stored one.
	unsaved bool
}

// prefillShare returns the fraction of a service's engines that should do prefill. It samples
// the load if a sample is due. The load isn't sampled before the roles have reached the plan,
// except if the split is speculative and maxSpeculativeOrders orders were sent.
func (m *Manager) prefillShare(ctx context.Context, service string, engines []state.Instance, now time.Time) float64 {
	estimator := m.estimators[service]
	if estimator == nil {
		estimator = newShareEstimator(m.initialShare(ctx, service))
		m.estimators[service] = estimator
	}
	if m.followDemand(service, estimator, now) {
		m.saveShare(ctx, service)
		return estimator.share
	}
	if (!m.planReached[service] && !(m.isSpeculative(service) && m.speculativeOrdersLeft(service) == 0)) || !estimator.due(now) {
		return estimator.share
	}
	current, ok := m.sampleLoad(ctx, engines)
	if !ok {
		return estimator.share
	}
	changed := estimator.addSample(now, current, len(engines), countPrefill(engines))
	m.o.Log.Info("engine load sampled", "service", service, "generating", current.decodeLoad, "waiting", current.queuedPrompts,
		"mean_generating", estimator.mean.decodeLoad, "mean_waiting", estimator.mean.queuedPrompts, "prefill_share", estimator.share, "changed", changed)
	if changed {
		m.planReached[service] = false
		m.cachedShares[service] = cachedShare{estimator.share, m.cachedShares[service].version, true}
	}
	m.saveShare(ctx, service)
	return estimator.share
}

// initialShare returns the share at the start of a term: the stored one, or the configured one
// if none is stored or the store can't be read. A share that this host couldn't save takes
// precedence unless another holder has saved one since.
func (m *Manager) initialShare(ctx context.Context, service string) float64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cached := m.cachedShares[service]
	share, version, err := m.o.Shares.Load(ctx, service)
	switch {
	case cached.unsaved && (err != nil || version == cached.version):
		share = cached.share
	case err != nil:
		m.o.Log.Warn("prefill share could not be loaded; using the configured share", "service", service, "prefill_share", m.o.InitialPrefillShare, "cause", err.Error())
		share = m.o.InitialPrefillShare
	case version == store.Absent:
		share = m.o.InitialPrefillShare
	default:
		m.cachedShares[service] = cachedShare{share: share, version: version}
	}
	m.o.Log.Info("initial prefill share of the term", "service", service, "prefill_share", share, "version", version)
	return share
}

// saveShare stores the share for the next holder if it is unsaved, or if the store was
// restored from an older copy since the last save. A failed save is retried after the next
// sample.
func (m *Manager) saveShare(ctx context.Context, service string) {
	cached := m.cachedShares[service]
	cached.unsaved = cached.unsaved || cached.version != store.Absent && store.EpochOf(cached.version) < m.o.Lease.Epoch()
	if !cached.unsaved {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := m.o.Shares.Save(ctx, service, cached.share, cached.version)
	if store.IsConflict(err) || store.IsUnknownOutcome(err) {
		// The conflicting write may be an earlier attempt of this host or a late write of a
		// previous holder. Its version is the one that the next attempt replaces.
		if _, currentVersion, err := m.o.Shares.Load(ctx, service); err == nil {
			cached.version = currentVersion
		}
	}
	if err != nil {
		m.o.Log.Warn("prefill share could not be saved; retrying after the next sample", "service", service, "prefill_share", cached.share, "cause", err.Error())
	} else {
		cached.version, cached.unsaved = version, false
	}
	m.cachedShares[service] = cached
}

// sampleLoad fetches the reports of some engines of each role and returns their mean load. It
// returns false if no decode engine returned a report.
func (m *Manager) sampleLoad(ctx context.Context, engines []state.Instance) (loadSample, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out loadSample
	decodeReports := m.sampleReports(ctx, engines, state.RoleDecode, func(i *state.Instance, r Report) { out.decodeLoad += r.load(i.Slots) })
	if decodeReports == 0 {
		return loadSample{}, false
	}
	prefillReports := m.sampleReports(ctx, engines, state.RolePrefill, func(_ *state.Instance, r Report) { out.queuedPrompts += float64(r.Queued) })
	out.decodeLoad /= float64(decodeReports)
	out.queuedPrompts /= float64(max(1, prefillReports))
	return out, true
}

// sampleReports fetches the reports of up to maxSamplesPerRole random engines of a role, calls
// add for each and returns their number. Engines that don't answer are skipped.
func (m *Manager) sampleReports(ctx context.Context, engines []state.Instance, role state.Role, add func(*state.Instance, Report)) int {
	n := 0
	for _, index := range rand.Perm(len(engines)) {
		i := &engines[index]
		if i.Role != role || n == maxSamplesPerRole {
			continue
		}
		report, err := m.fetchReport(ctx, i)
		if err != nil {
			m.o.Log.Info("engine report could not be fetched; engine left out of the sample", "instance", i.ID, "cause", err.Error())
			continue
		}
		if report.Role != role {
			continue // the role has changed since the engine was listed
		}
		add(i, report)
		n++
	}
	return n
}
