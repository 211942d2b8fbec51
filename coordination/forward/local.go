package forward

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
)

const (
	// otherDomainMargin is by how much an engine in another domain must cost less than one of the
	// session's own. An operator accepts this latency so that a body of some 10 kB isn't sent
	// to another domain twice, for the prefill and for the decode.
	otherDomainMargin = 25 * time.Millisecond
	// forecastOnly is a longest wait that no engine meets: the owner predicts the prefill without
	// admitting it.
	forecastOnly = -time.Millisecond
)

// localRoute is the choice of a prefill engine for one prompt; its zero value chooses among the
// engines of all domains alike.
type localRoute struct{ placement.PrefillRoute }

func (d *Dispatcher) localRoute(r *Request) localRoute {
	return localRoute{d.o.Placer.PrefillRoute(r.Service)}
}

// inOwnDomain reports whether the engine may be chosen without a margin: it is in the host's
// domain, or that domain has no engine that prefills, or the prefixes aren't local.
func (l localRoute) inOwnDomain(r *placement.Runner) bool {
	return !l.Local || l.Home == "" || r.Instance.FailureDomain == l.Own
}

// maxWait is the predicted wait up to which the engine is taken at once if it has the whole shared prefix.
// One in another domain is asked for its forecast only, since the session's own engine may fetch the
// parts from it.
func (l localRoute) maxWait(r *placement.Runner) time.Duration {
	if l.inOwnDomain(r) {
		return shortQueueWait
	}
	return forecastOnly
}

// copies reports whether the session's own engine fetches the parts without a comparison of costs: it
// has a short queue, and the last engine that was asked has the whole shared prefix. Later prompts of the
// domain find the copy, which one prompt's cost doesn't show. It is the same rule as for an engine with
// a short queue that has the parts.
func (l localRoute) copies(asked []candidate, p coldPrompt) bool {
	home, last := asked[0], asked[len(asked)-1]
	if home.NoMemory || home.Forecast.Deferred() {
		return false // another engine may be in time
	}
	return l.Local && l.inOwnDomain(home.runner) && home.Forecast.Wait <= shortQueueWait && p.sharedTokens() > 0 && last.Forecast.CachedTokens == p.sharedTokens()
}

// choose returns the best of the engines that were asked.
func (l localRoute) choose(asked []candidate, r *Request, p coldPrompt, source candidate) candidate {
	if l.copies(asked, p) {
		return asked[0]
	}
	return slices.MinFunc(asked, func(a, b candidate) int { return cmp.Compare(l.cost(a, r, p, source), l.cost(b, r, p, source)) })
}

// cost is the cost of choosing the engine, with the margin of one in another domain. An engine of the
// own domain keeps the parts that it fetches, so that only this prompt waits for them and not later
// ones, as the general cost assumes.
func (l localRoute) cost(c candidate, r *Request, p coldPrompt, source candidate) time.Duration {
	out := c.cost(r, p, source)
	switch {
	case !l.Local:
	case !l.inOwnDomain(c.runner):
		out += otherDomainMargin
	case source.Forecast.CachedTokens > c.Forecast.CachedAtStart:
		out -= transferTime(r, source.Forecast.CachedTokens-c.Forecast.CachedAtStart, source.runner, c.runner)
	}
	return out
}

// CrossDomainReason is why a prompt is prefilled in another failure domain than its host's.
type CrossDomainReason string

// The reasons for a prefill in another domain.
const (
	// CrossDomainNone is a prefill in the host's own domain.
	CrossDomainNone CrossDomainReason = ""
	// CrossDomainSession: the prefixes aren't local, and the session's engine is in another domain.
	CrossDomainSession CrossDomainReason = "session"
	// CrossDomainSooner: an engine of the other domain ends sooner.
	CrossDomainSooner CrossDomainReason = "sooner"
	// CrossDomainNoEngine: the host's domain has no engine that prefills.
	CrossDomainNoEngine CrossDomainReason = "no_engine"
)

// crossDomainReason returns why the engine is in another domain.
func (l localRoute) crossDomainReason(r *placement.Runner) CrossDomainReason {
	switch {
	case r.Instance.FailureDomain == l.Own:
		return CrossDomainNone
	case !l.Local:
		return CrossDomainSession
	case l.Home == "":
		return CrossDomainNoEngine
	default:
		return CrossDomainSooner
	}
}

// placed counts the domain of a reserved prefill and of the engine from which it fetches shared
// parts, and records a prefill in another domain for the request's log line. It returns the reservation.
func (d *Dispatcher) placed(r *Request, rec *record, l localRoute, res reservation) reservation {
	reason := l.crossDomainReason(res.runner)
	fetches := res.prefixSource != nil && res.prefixSource.Instance.FailureDomain != res.runner.Instance.FailureDomain
	d.o.Observer.PrefillPlaced(r.Service, reason, fetches)
	rec.crossDomain = CrossDomainNone
	if l.Local {
		rec.crossDomain = reason
	}
	return res
}

// crossDomainAttr is the part of the request's log line about the domain of its prefill.
func (r *record) crossDomainAttr() slog.Attr {
	if r.crossDomain == CrossDomainNone {
		return slog.Attr{}
	}
	return slog.String("cross_domain_prefill", string(r.crossDomain))
}
