package scale

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/state"
)

// look is what one look at a service found.
type observation struct {
	spec state.ServiceSpec
	plan Counts
	// serving take work, less those that were drained since; listed are those that leave
	// as well.
	serving, listed Counts
	now             time.Time
}

// approach orders a place's number, as far as what takes work stays enough.
func (m *Manager) adjustPool(ctx context.Context, s *serviceState, obs observation, p Pool) {
	want := obs.plan[p]
	have, known := s.requested[p]
	if !known {
		have = obs.serving[p]
	}
	if want < have {
		want = have - m.countDrainable(s, obs, p, have-want)
	}
	repeat := s.shouldRepeat(obs, p, want)
	if (known && want == have && !repeat) || (!known && want == obs.listed[p]) || obs.now.Before(s.nextRequestAt[p]) {
		return
	}
	if want < have {
		s.drainRequests[p] = drainRequest{have - want, obs.now.Add(drainTimeout)}
		obs.serving[p] -= min(have-want, obs.serving[p])
	}
	m.request(ctx, s, obs, p, want, repeat)
}

// mayLeave is how many of a place's runners may be drained of those that the plan does
// without: none that the load needs, no on-demand ones before the spot runners that the
// plan has in their place serve, as far as there is room for these beside them, and of spot
// runners no few, which come and go by themselves.
func (m *Manager) countDrainable(s *serviceState, obs observation, p Pool, surplus int) int {
	if p.Kind == Spot && surplus <= spotTolerance {
		return 0
	}
	if p.Kind == OnDemand && obs.now.Add(obs.spec.Scale.Boot+settleTime).Before(m.o.NoTrafficUntil) && s.spotGranted(obs.plan) {
		return surplus // others serve before the first caller comes
	}
	if p.Kind == OnDemand {
		for d := range obs.spec.Scale.DomainPrices {
			room := obs.spec.Scale.MaxPerDomain - obs.listed[Pool{d, OnDemand}]
			if obs.serving[Pool{d, Spot}] < min(obs.plan[Pool{d, Spot}], room)-spotTolerance {
				return 0
			}
		}
	}
	return max(0, min(surplus, obs.serving.total()-s.required))
}

// granted reports whether the spot runners of a plan were ordered and are to be had.
func (s *serviceState) spotGranted(plan Counts) bool {
	for p, n := range plan {
		if p.Kind == Spot && s.requested[p] < n {
			return false
		}
	}
	return true
}

// lost reports whether ordered spot runners are missing and are to be ordered again: they were
// taken back, which is known from those that leave unasked, or never booted.
func (s *serviceState) shouldRepeat(obs observation, p Pool, want int) bool {
	if p.Kind != Spot || want <= obs.serving[p] {
		delete(s.reclaimed, p)
		return false
	}
	drain := s.drainRequests[p]
	if obs.now.After(drain.until) {
		drain.n = 0
	}
	if obs.listed[p]-obs.serving[p] > drain.n {
		firstReport := !s.reclaimed[p]
		s.reclaimed[p] = true
		return firstReport
	}
	missing := want - obs.serving[p]
	return missing > spotTolerance && obs.now.Sub(s.requestedAt[p]) > obs.spec.Scale.Boot+settleTime && obs.now.Sub(s.acceptedAt[p]) > spotRetryInterval
}

// order orders a place's number; lost says that the one that it had is ordered again.
func (m *Manager) request(ctx context.Context, s *serviceState, obs observation, p Pool, desired int, repeat bool) {
	term, err := m.o.Lease.Permit()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = m.o.Platform.SetDesired(ctx, term, obs.spec.Name, p, desired, m.o.Lease.Still(term))
	m.o.Log.Info("runners ordered", "service", obs.spec.Name, "failure_domain", p.FailureDomain, "kind", string(p.Kind), "desired", desired,
		"before", s.requested[p], "need", s.required, "term", term, "refused", err != nil, "cause", errorText(err))
	switch {
	case err == nil:
		if s.requested[p] != desired || repeat {
			s.requestedAt[p] = obs.now
		}
		s.requested[p], s.acceptedAt[p] = desired, obs.now
	case errors.Is(err, ErrUnavailable):
		s.noSpotUntil[p.FailureDomain] = obs.now.Add(spotRetryInterval)
		s.nextRequestAt[p] = obs.now.Add(spotRetryInterval)
	default:
		s.nextRequestAt[p] = obs.now.Add(retryInterval)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
