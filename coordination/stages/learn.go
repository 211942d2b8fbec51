package stages

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// kept is what this host knows of a service's saved share.
type kept struct {
	share   float64
	version uint64
	// unsaved is set while the store has an older one.
	unsaved bool
}

// share is the share of engines that should read prompts by the load seen.
func (m *Manager) share(ctx context.Context, service string, engines []state.Instance, now time.Time) float64 {
	d := m.demand[service]
	if d == nil {
		d = newDemand(m.firstShare(ctx, service))
		m.demand[service] = d
	}
	if (!m.stood[service] && !(m.guesses(service) && m.guessLeft(service) == 0)) || !d.due(now) {
		return d.share
	}
	seen, ok := m.sample(ctx, engines)
	if !ok {
		return d.share
	}
	changed := d.note(now, seen, len(engines), prefilling(engines))
	m.o.Log.Info("engines sampled", "service", service, "generating", seen.generating, "waiting", seen.waiting,
		"mean_generating", d.mean.generating, "mean_waiting", d.mean.waiting, "prefill_share", d.share, "changed", changed)
	if changed {
		m.stood[service] = false
		m.kept[service] = kept{d.share, m.kept[service].version, true}
	}
	m.save(ctx, service)
	return d.share
}

// firstShare is the share that a term begins with: what was saved last, or the
// settings'. What this host could not save stands unless another has saved since.
func (m *Manager) firstShare(ctx context.Context, service string) float64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	own := m.kept[service]
	share, version, err := m.o.Shares.Load(ctx, service)
	switch {
	case own.unsaved && (err != nil || version == own.version):
		share = own.share
	case err != nil:
		m.o.Log.Warn("share not read; the settings' is taken", "service", service, "prefill_share", m.o.Share, "cause", err.Error())
		share = m.o.Share
	case version == store.Absent:
		share = m.o.Share
	default:
		m.kept[service] = kept{share: share, version: version}
	}
	m.o.Log.Info("share of a new term", "service", service, "prefill_share", share, "version", version)
	return share
}

// save keeps the share for the next holder, and again after the store was restored from an older copy;
// it is tried again until it succeeds.
func (m *Manager) save(ctx context.Context, service string) {
	k := m.kept[service]
	k.unsaved = k.unsaved || k.version != store.Absent && store.EpochOf(k.version) < m.o.Lease.Epoch()
	if !k.unsaved {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := m.o.Shares.Save(ctx, service, k.share, k.version)
	if store.IsConflict(err) || store.IsUnknownOutcome(err) {
		// This host's own write may have taken effect, or an earlier holder's late one.
		if _, present, err := m.o.Shares.Load(ctx, service); err == nil {
			k.version = present
		}
	}
	if err != nil {
		m.o.Log.Warn("share not saved; tried again", "service", service, "prefill_share", k.share, "cause", err.Error())
	} else {
		k.version, k.unsaved = version, false
	}
	m.kept[service] = k
}

// sample reads the reports of some engines of each role. It fails if none that
// generates can be read.
func (m *Manager) sample(ctx context.Context, engines []state.Instance) (sample, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out sample
	generating := m.reports(ctx, engines, state.RoleDecode, func(i *state.Instance, r Report) { out.generating += r.load(i.Slots) })
	if generating == 0 {
		return sample{}, false
	}
	reading := m.reports(ctx, engines, state.RolePrefill, func(_ *state.Instance, r Report) { out.waiting += float64(r.Queued) })
	out.generating /= float64(generating)
	out.waiting /= float64(max(1, reading))
	return out, true
}

// reports reads the reports of some engines of a role, and returns of how many.
func (m *Manager) reports(ctx context.Context, engines []state.Instance, role state.Role, take func(*state.Instance, Report)) int {
	n := 0
	for _, at := range rand.Perm(len(engines)) {
		i := &engines[at]
		if i.Role != role || n == sampleMost {
			continue
		}
		report, err := m.report(ctx, i)
		if err != nil {
			m.o.Log.Info("engine not sampled", "instance", i.ID, "cause", err.Error())
			continue
		}
		if report.Role != role {
			continue // it has changed since it was listed
		}
		take(i, report)
		n++
	}
	return n
}
