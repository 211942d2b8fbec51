package scale

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/state"
)

// observation is the state of a service at one comparison with its plan.
type observation struct {
	spec state.ServiceSpec
	plan Counts
	// serving counts the runners that take work, less those whose drain was requested during
	// this comparison; listed also counts the draining ones.
	serving, listed Counts
	now             time.Time
	// limits bounds the spot runners of the failure domains that have no spot capacity at present.
	// It is set only if the required number was lowered: then surplus on-demand runners of these
	// domains needn't wait for spot runners.
	limits map[string]int
}

// adjustPool requests the planned count of a pool, or the lowest count above it that keeps
// enough runners serving.
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

// countDrainable returns how many of a pool's surplus runners may be drained now. Runners that
// carry the load stay. On-demand runners stay until the planned spot runners serve, as far as
// MaxPerDomain has room for both at once, unless these serve before the first traffic anyway. A
// surplus of spot runners within spotTolerance stays, since their number varies by itself.
func (m *Manager) countDrainable(s *serviceState, obs observation, p Pool, surplus int) int {
	if p.Kind == Spot && surplus <= spotTolerance {
		return 0
	}
	if p.Kind == OnDemand && obs.now.Add(obs.spec.Scale.Boot+settleTime).Before(m.o.NoTrafficUntil) && s.spotGranted(obs.plan) {
		return surplus // the spot runners serve before the first traffic
	}
	if p.Kind == OnDemand {
		for d := range obs.spec.Scale.DomainPrices {
			room := obs.spec.Scale.MaxPerDomain - obs.listed[Pool{d, OnDemand}]
			if _, limited := obs.limits[d]; limited {
				continue // the planned on-demand runners don't count on further spot runners
			}
			if obs.serving[Pool{d, Spot}] < min(obs.plan[Pool{d, Spot}], room)-spotTolerance {
				return 0
			}
		}
	}
	return max(0, min(surplus, obs.serving.total()-s.required))
}

// spotGranted reports whether the platform has accepted requests for all spot runners of a plan.
func (s *serviceState) spotGranted(plan Counts) bool {
	for p, n := range plan {
		if p.Kind == Spot && s.requested[p] < n {
			return false
		}
	}
	return true
}

// shouldRepeat reports whether the request for a pool's spot runners must be sent again because
// some of them are missing: they were reclaimed, which shows in runners that drain without a
// request, or they never booted. A reclaim is reported once.
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

// request asks the platform for a pool's count. repeat is set if the count is requested again
// because runners are missing.
func (m *Manager) request(ctx context.Context, s *serviceState, obs observation, p Pool, desired int, repeat bool) {
	term, err := m.o.Lease.Permit()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = m.o.Platform.SetDesired(ctx, term, obs.spec.Name, p, desired, m.o.Lease.PermitInTerm(term))
	m.o.Log.Info("runner count requested", "service", obs.spec.Name, "failure_domain", p.FailureDomain, "kind", string(p.Kind), "desired", desired,
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

// errorText returns the text of an error, and an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
