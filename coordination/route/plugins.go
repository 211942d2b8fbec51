package route

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Candidate is a runner that is compared with others for one request.
type Candidate struct {
	Runner *snapshot.Runner
	// CachedTokens is the estimated number of prompt tokens in the engine's cache.
	CachedTokens int
	// BacklogTokens is the estimated number of prompt tokens that wait for prefill.
	BacklogTokens float64
	// InFlight is the estimated number of requests at the runner.
	InFlight float64
	// FirstToken and Finish are the predicted durations from now to the first and
	// the last token.
	FirstToken, Finish time.Duration
	// Score is the sum of the scorers, in seconds; the lowest wins.
	Score float64

	stats        *runnerStats
	speeds       *Speeds
	intervalBias float64
	// hasAffinity is true for the affinity engine of the prompt.
	hasAffinity bool
	// creditedTokens is the part of the prompt that is assumed to need no prefill.
	creditedTokens float64
}

// Filters remove runners that must not be used for a query. Each has a method Keep,
// which reports whether a runner may be used, and a Name, which operators see in
// explanations.

// Scorer adds seconds to the Score of the candidates, all in one call.
type Scorer interface {
	Name() string
	Score(q *Query, cs []Candidate)
}

// takesWork removes runners that leave, drain or fail their health checks.
type takesWork struct{}

func (takesWork) Name() string { return "takes-work" }

func (takesWork) Keep(r *snapshot.Runner, _ *Query) bool { return r.TakesWork() }

// servesPart removes engines whose role doesn't serve the part. An engine of unknown
// role is treated as a mixed one.
type servesPart struct{}

func (servesPart) Name() string { return "serves-part" }

func (servesPart) Keep(r *snapshot.Runner, q *Query) bool {
	return roleServes(r.Target.Role, q.Part)
}

// roleServes reports whether engines of the role serve the part.
func roleServes(role state.Role, p Part) bool {
	switch role {
	case state.RolePrefill:
		return p == PartPrefill
	case state.RoleDecode:
		return p == PartDecode
	default:
		return true
	}
}

// hasModel removes engines that are known to have neither the model nor an adapter
// of that name loaded. A model without a version matches any version of it.
type hasModel struct{}

func (hasModel) Name() string { return "has-model" }

func (hasModel) Keep(r *snapshot.Runner, q *Query) bool {
	loaded := r.Target.Model
	if q.Model == "" || loaded == "" || loaded == q.Model {
		return true
	}
	if len(loaded) > len(q.Model) && loaded[len(q.Model)] == '@' && loaded[:len(q.Model)] == q.Model {
		return true
	}
	return slices.Contains(r.Target.Adapters, q.Model)
}

// notExcluded removes runners that the query excludes.
type notExcluded struct{}

func (notExcluded) Name() string { return "not-excluded" }

func (notExcluded) Keep(r *snapshot.Runner, q *Query) bool {
	return !slices.Contains(q.Exclude, r.Name)
}

// breakerReady removes runners whose circuit breaker is open.
type breakerReady struct{ breakers Breakers }

func (breakerReady) Name() string { return "breaker" }

func (f breakerReady) Keep(r *snapshot.Runner, _ *Query) bool {
	return f.breakers == nil || f.breakers.Ready(r.Name)
}

// notBackingOff removes runners that have asked to get no new requests for a while.
type notBackingOff struct {
	backoffUntil func(r *snapshot.Runner) time.Time
}

func (notBackingOff) Name() string { return "awake" }

func (f notBackingOff) Keep(r *snapshot.Runner, _ *Query) bool {
	return f.backoffUntil == nil || f.backoffUntil(r).IsZero()
}

// affinityCredit is the share of the affinity prefix that the affinity engine is
// assumed to have cached if no more is known: another host may just have sent the
// same prefix there. The credit also directs the first prompt with a prefix to that
// engine.
const affinityCredit = 0.5

// cachedPrefix credits engines with the cached part of the prompt. An engine whose
// backlog exceeds loadBound times the candidates' mean by more than the prompt gets
// no credit, so that a popular prefix can't overload its holders. It must precede
// predictedTime, which uses the credit.
type cachedPrefix struct{ loadBound float64 }

func (cachedPrefix) Name() string { return "cached-prefix" }

func (s cachedPrefix) Score(q *Query, cs []Candidate) {
	var sum float64
	for i := range cs {
		sum += cs[i].BacklogTokens
	}
	limit := s.loadBound*sum/float64(len(cs)) + float64(q.PromptTokens)
	for i := range cs {
		c := &cs[i]
		c.creditedTokens = float64(c.CachedTokens)
		if c.hasAffinity {
			c.creditedTokens = max(c.creditedTokens, affinityCredit*float64(q.affinityTokens()))
		}
		if c.BacklogTokens > limit {
			c.CachedTokens, c.creditedTokens = 0, 0
		}
	}
}

// predictedTime predicts the times to the first and last token and scores the latter.
type predictedTime struct{}

func (predictedTime) Name() string { return "predicted-time" }

func (predictedTime) Score(q *Query, cs []Candidate) {
	for i := range cs {
		c := &cs[i]
		first, finish := c.predictSeconds(q)
		c.FirstToken = seconds(first)
		c.Finish = seconds(finish)
		c.Score += finish
	}
}

// delayToOthers adds a share of the delay that the request causes to the sequences
// running on the same engine.
type delayToOthers struct{ weight float64 }

func (delayToOthers) Name() string { return "delay-to-others" }

func (s delayToOthers) Score(q *Query, cs []Candidate) {
	for i := range cs {
		cs[i].Score += s.weight * cs[i].othersDelaySeconds(q)
	}
}

// nearDomain adds a penalty to runners in another failure domain than the query's.
type nearDomain struct{ penalty time.Duration }

func (nearDomain) Name() string { return "near-domain" }

func (s nearDomain) Score(q *Query, cs []Candidate) {
	for i := range cs {
		if q.FailureDomain != "" && cs[i].Runner.FailureDomain != q.FailureDomain {
			cs[i].Score += s.penalty.Seconds()
		}
	}
}

// leastInFlight scores the runners of a plain service by the time that the requests
// in flight take, including this one.
type leastInFlight struct{}

func (leastInFlight) Name() string { return "least-in-flight" }

func (leastInFlight) Score(_ *Query, cs []Candidate) {
	for i := range cs {
		c := &cs[i]
		latency := c.stats.latency()
		c.FirstToken = seconds(latency)
		c.Finish = c.FirstToken
		c.Score += latency * (1 + c.InFlight)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
