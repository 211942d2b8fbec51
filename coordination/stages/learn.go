package stages

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// kept is what this host knows of a service's saved share.
type cachedShare struct {
	share   float64
	version uint64
	// unsaved is set while the store has an older one.
	unsaved bool
}

// share is the share of engines that should read prompts by the load seen.
func (m *Manager) prefillShare(ctx context.Context, service string, engines []state.Instance, now time.Time) float64 {
	d := m.estimators[service]
	if d == nil {
		d = newShareEstimator(m.initialShare(ctx, service))
		m.estimators[service] = d
	}
	if (!m.planReached[service] && !(m.isSpeculative(service) && m.speculativeOrdersLeft(service) == 0)) || !d.due(now) {
		return d.share
	}
	current, ok := m.sampleLoad(ctx, engines)
	if !ok {
		return d.share
	}
	changed := d.addSample(now, current, len(engines), countPrefill(engines))
	m.o.Log.Info("engines sampled", "service", service, "generating", current.decodeLoad, "waiting", current.queuedPrompts,
		"mean_generating", d.mean.decodeLoad, "mean_waiting", d.mean.queuedPrompts, "prefill_share", d.share, "changed", changed)
	if changed {
		m.planReached[service] = false
		m.cachedShares[service] = cachedShare{d.share, m.cachedShares[service].version, true}
	}
	m.saveShare(ctx, service)
	return d.share
}

// firstShare is the share that a term begins with: what was saved last, or the
// settings'. What this host could not save stands unless another has saved since.
func (m *Manager) initialShare(ctx context.Context, service string) float64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cached := m.cachedShares[service]
	share, version, err := m.o.Shares.Load(ctx, service)
	switch {
	case cached.unsaved && (err != nil || version == cached.version):
		share = cached.share
	case err != nil:
		m.o.Log.Warn("share not read; the settings' is taken", "service", service, "prefill_share", m.o.InitialPrefillShare, "cause", err.Error())
		share = m.o.InitialPrefillShare
	case version == store.Absent:
		share = m.o.InitialPrefillShare
	default:
		m.cachedShares[service] = cachedShare{share: share, version: version}
	}
	m.o.Log.Info("share of a new term", "service", service, "prefill_share", share, "version", version)
	return share
}

// save keeps the share for the next holder, and again after the store was restored from an older copy;
// it is tried again until it succeeds.
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
		// This host's own write may have taken effect, or an earlier holder's late one.
		if _, currentVersion, err := m.o.Shares.Load(ctx, service); err == nil {
			cached.version = currentVersion
		}
	}
	if err != nil {
		m.o.Log.Warn("share not saved; tried again", "service", service, "prefill_share", cached.share, "cause", err.Error())
	} else {
		cached.version, cached.unsaved = version, false
	}
	m.cachedShares[service] = cached
}

// sample reads the reports of some engines of each role. It fails if none that
// generates can be read.
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

// reports reads the reports of some engines of a role, and returns of how many.
func (m *Manager) sampleReports(ctx context.Context, engines []state.Instance, role state.Role, add func(*state.Instance, Report)) int {
	n := 0
	for _, index := range rand.Perm(len(engines)) {
		i := &engines[index]
		if i.Role != role || n == maxSamplesPerRole {
			continue
		}
		report, err := m.fetchReport(ctx, i)
		if err != nil {
			m.o.Log.Info("engine not sampled", "instance", i.ID, "cause", err.Error())
			continue
		}
		if report.Role != role {
			continue // it has changed since it was listed
		}
		add(i, report)
		n++
	}
	return n
}
