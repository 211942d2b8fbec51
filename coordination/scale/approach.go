package scale

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/state"
)

// look is what one look at a service found.
type look struct {
	spec state.ServiceSpec
	plan Numbers
	// serving take work, less those that were drained since; listed are those that leave
	// as well.
	serving, listed Numbers
	now             time.Time
}

// approach orders a place's number, as far as what takes work stays enough.
func (m *Manager) approach(ctx context.Context, s *service, l look, p Place) {
	want := l.plan[p]
	have, known := s.ordered[p]
	if !known {
		have = l.serving[p]
	}
	if want < have {
		want = have - m.mayLeave(s, l, p, have-want)
	}
	lost := s.lost(l, p, want)
	if (known && want == have && !lost) || (!known && want == l.listed[p]) || l.now.Before(s.pauseUntil[p]) {
		return
	}
	if want < have {
		s.drained[p] = drainOrder{have - want, l.now.Add(drainsFor)}
		l.serving[p] -= min(have-want, l.serving[p])
	}
	m.order(ctx, s, l, p, want, lost)
}

// mayLeave is how many of a place's runners may be drained of those that the plan does
// without: none that the load needs, no on-demand ones before the spot runners that the
// plan has in their place serve, as far as there is room for these beside them, and of spot
// runners no few, which come and go by themselves.
func (m *Manager) mayLeave(s *service, l look, p Place, leaving int) int {
	if p.Kind == Spot && leaving <= spotSlack {
		return 0
	}
	if p.Kind == OnDemand && l.now.Add(l.spec.Scale.Boot+settle).Before(m.o.QuietUntil) && s.granted(l.plan) {
		return leaving // others serve before the first caller comes
	}
	if p.Kind == OnDemand {
		for d := range l.spec.Scale.DomainPrices {
			room := l.spec.Scale.MaxPerDomain - l.listed[Place{d, OnDemand}]
			if l.serving[Place{d, Spot}] < min(l.plan[Place{d, Spot}], room)-spotSlack {
				return 0
			}
		}
	}
	return max(0, min(leaving, l.serving.total()-s.need))
}

// granted reports whether the spot runners of a plan were ordered and are to be had.
func (s *service) granted(plan Numbers) bool {
	for p, n := range plan {
		if p.Kind == Spot && s.ordered[p] < n {
			return false
		}
	}
	return true
}

// lost reports whether ordered spot runners are missing and are to be ordered again: they were
// taken back, which is known from those that leave unasked, or never booted.
func (s *service) lost(l look, p Place, want int) bool {
	if p.Kind != Spot || want <= l.serving[p] {
		delete(s.reclaimed, p)
		return false
	}
	gone := s.drained[p]
	if l.now.After(gone.until) {
		gone.n = 0
	}
	if l.listed[p]-l.serving[p] > gone.n {
		first := !s.reclaimed[p]
		s.reclaimed[p] = true
		return first
	}
	missing := want - l.serving[p]
	return missing > spotSlack && l.now.Sub(s.orderedAt[p]) > l.spec.Scale.Boot+settle && l.now.Sub(s.repeatedAt[p]) > dryFor
}

// order orders a place's number; lost says that the one that it had is ordered again.
func (m *Manager) order(ctx context.Context, s *service, l look, p Place, desired int, lost bool) {
	term, err := m.o.Lease.Permit()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = m.o.Platform.Order(ctx, term, l.spec.Name, p, desired, m.o.Lease.PermitInTerm(term))
	m.o.Log.Info("runners ordered", "service", l.spec.Name, "failure_domain", p.FailureDomain, "kind", string(p.Kind), "desired", desired,
		"before", s.ordered[p], "need", s.need, "term", term, "refused", err != nil, "cause", causeOf(err))
	switch {
	case err == nil:
		if s.ordered[p] != desired || lost {
			s.orderedAt[p] = l.now
		}
		s.ordered[p], s.repeatedAt[p] = desired, l.now
	case errors.Is(err, ErrUnavailable):
		s.dryUntil[p.FailureDomain] = l.now.Add(dryFor)
		s.pauseUntil[p] = l.now.Add(dryFor)
	default:
		s.pauseUntil[p] = l.now.Add(askAgain)
	}
}

func causeOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
