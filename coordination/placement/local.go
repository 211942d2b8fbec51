package placement

import (
	"slices"

	"github.com/thymerack/thymerack/state"
)

// localPrefixes are the services whose prompts are prefilled in the failure domain of their host.
// It is immutable; a change replaces it.
type localPrefixes struct {
	services map[string]bool
}

// applies reports whether the prefixes of a service are local. It may be called on nil.
func (l *localPrefixes) applies(service string) bool { return l != nil && l.services[service] }

// SetLocalPrefixes replaces the list of services whose prompts are prefilled in the failure domain of
// their host. All other services choose among the engines of all domains.
func (f *Fleet) SetLocalPrefixes(services []string) {
	l := &localPrefixes{services: make(map[string]bool, len(services))}
	for _, s := range services {
		l.services[s] = true
	}
	f.local.Store(l)
}

// PrefillRoute says where the prompts of a service are prefilled.
type PrefillRoute struct {
	// Own is the failure domain of this host.
	Own string
	// Local is set if the prefixes of the service are local to domains.
	Local bool
	// Home is the domain at which sessions start: Own, or "" if the prefixes aren't local or Own has
	// no engine that prefills.
	Home string
}

// PrefillRoute returns the domain at which a service's sessions start. It is alike at all hosts of a
// domain.
func (f *Fleet) PrefillRoute(service string) PrefillRoute {
	out := PrefillRoute{Own: f.o.FailureDomain, Local: f.local.Load().applies(service)}
	if out.Local && f.service(service).prefillDomains[out.Own] > 0 {
		out.Home = out.Own
	}
	return out
}

// chooseLocal chooses a prefill engine if the service's prefixes are local: the session's first
// engine of this host's own domain, then its first of each other domain, then the rest by score.
// Requests without a session go to the least loaded engine, preferably of the own domain.
func (f *Fleet) chooseLocal(p Pool, session string, tried []state.InstanceID) *Runner {
	x := f.pool(p).prefill
	if session == "" {
		return f.choose(x, "", tried, func(_ []*Runner, r *Runner) float64 {
			return inFlightTime(r) + crossDomainPenalty*indicator(r.Instance.FailureDomain != f.o.FailureDomain)
		})
	}
	return f.chooseGroup(x, session, func(group []*Runner) (*Runner, float64) {
		return f.leastLocalCost(group, tried, session)
	})
}

// leastLocalCost is leastCost for local prefixes. It passes over the group once. Engines that don't
// accept work and suspects aren't the first of their domain. The first engine remains that while it
// is overloaded or in tried, since the next one lacks the prefixes; the other domains' first engines
// come before it then.
func (f *Fleet) leastLocalCost(group []*Runner, tried []state.InstanceID, session string) (*Runner, float64) {
	now := f.o.Clock.Now()
	var firsts domainFirsts
	var other *Runner
	otherCost := 0.0
	for _, r := range group {
		if !f.opensAt(r).IsZero() {
			continue
		}
		factor := 1 + failureWeight*r.FailureRate(now)
		score := sessionScore(session, r)
		suspect := r.Suspect(now)
		if !suspect {
			firsts.add(r, score*factor)
		}
		if slices.Contains(tried, r.Instance.ID) {
			continue
		}
		c := (score+indicator(exceedsLoadLimit(group, r, 0)))*factor + suspectPenalty*indicator(suspect)
		if other == nil || c < otherCost {
			other, otherCost = r, c
		}
	}
	if first, c := firsts.best(group, tried, f.o.FailureDomain); first != nil {
		return first, c
	}
	return other, otherCost
}

// maxDomains bounds the domains whose first engines are told apart; further ones count as others.
const maxDomains = 8

// domainFirsts are the first engines of a session in each failure domain.
type domainFirsts struct {
	n       int
	runners [maxDomains]*Runner
	costs   [maxDomains]float64
}

func (d *domainFirsts) add(r *Runner, cost float64) {
	for i := range d.n {
		if d.runners[i].Instance.FailureDomain != r.Instance.FailureDomain {
			continue
		}
		if cost < d.costs[i] {
			d.runners[i], d.costs[i] = r, cost
		}
		return
	}
	if d.n < maxDomains {
		d.runners[d.n], d.costs[d.n] = r, cost
		d.n++
	}
}

// best returns the first of the engines, with that of the own domain before the others, and its cost;
// nil if all are in tried or overloaded.
func (d *domainFirsts) best(group []*Runner, tried []state.InstanceID, own string) (best *Runner, bestCost float64) {
	for i, r := range d.runners[:d.n] {
		if slices.Contains(tried, r.Instance.ID) || exceedsLoadLimit(group, r, 0) {
			continue
		}
		c := d.costs[i]
		if r.Instance.FailureDomain != own {
			c += domainOrder
		}
		if best == nil || c < bestCost {
			best, bestCost = r, c
		}
	}
	return best, bestCost
}

// domainOrder exceeds every cost of an engine by its score and failure rate.
const domainOrder = 1 + 1 + failureWeight
