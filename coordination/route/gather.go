package route

import (
	"slices"
	"strings"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// maxDraws bounds the random draws of one choice; a draw may hit a runner that is
// excluded or already a candidate.
const maxDraws = 32

// gatherCandidates appends the candidates that pass every filter to cs: all runners
// of a small service; the affinity engine, holders of the prompt's prefixes and
// sampled runners of a large one.
func (r *Router) gatherCandidates(v *snapshot.View, x *runnerIndex, q *Query, all []*snapshot.Runner, matches []prefixMatch, cs []Candidate) []Candidate {
	preferred := x.affinityEngine(q)
	if len(all) <= SmallServiceRunners {
		ordered := x.statsByService[q.Service]
		for i, runner := range all {
			if r.rejectedBy(q, runner) != "" {
				continue
			}
			var st *runnerStats
			if i < len(ordered) {
				st = ordered[i]
			}
			cs = append(cs, Candidate{Runner: runner, stats: r.statsOf(x, runner, st)})
		}
		setCachedTokens(cs, matches)
		return markAffinity(preferred, cs)
	}
	if preferred != nil {
		if runner := v.Runner(preferred.name); runner != nil {
			cs = r.appendCandidate(x, q, runner, cs)
		}
	}
	for _, m := range matches {
		if runner := v.Runner(m.stats.name); runner != nil && runner.Service == q.Service {
			cs = r.appendCandidate(x, q, runner, cs)
		}
	}
	cs = r.sample(v, x, q, cs)
	setCachedTokens(cs, matches)
	return markAffinity(preferred, cs)
}

// sample appends up to sampledRunners further runners, drawn at random from those
// that serve the part and model of q, or whose model isn't known yet.
func (r *Router) sample(v *snapshot.View, x *runnerIndex, q *Query, cs []Candidate) []Candidate {
	model, _, _ := strings.Cut(q.Model, "@")
	withModel := x.groups[groupKey{q.Service, q.Part, model}].members()
	var modelUnknown []string
	if model != "" {
		modelUnknown = x.groups[groupKey{q.Service, q.Part, unknownModel}].members()
	}
	total := uint64(len(withModel) + len(modelUnknown))
	want := len(cs) + sampledRunners
	for i := 0; total > 0 && i < maxDraws && len(cs) < want; i++ {
		k := int(r.draw() % total)
		var name string
		if k < len(withModel) {
			name = withModel[k]
		} else {
			name = modelUnknown[k-len(withModel)]
		}
		if runner := v.Runner(name); runner != nil {
			cs = r.appendCandidate(x, q, runner, cs)
		}
	}
	return cs
}

// appendCandidate appends the runner if it passes every filter and isn't in cs yet.
func (r *Router) appendCandidate(x *runnerIndex, q *Query, runner *snapshot.Runner, cs []Candidate) []Candidate {
	for i := range cs {
		if cs[i].Runner == runner {
			return cs
		}
	}
	if r.rejectedBy(q, runner) != "" {
		return cs
	}
	return append(cs, Candidate{Runner: runner, stats: r.statsOf(x, runner, nil)})
}

// statsOf returns the statistics of a runner. The hint, if it matches, saves the map
// lookup. A runner newer than the index gets default statistics that aren't kept.
func (r *Router) statsOf(x *runnerIndex, runner *snapshot.Runner, hint *runnerStats) *runnerStats {
	if hint != nil && hint.name == runner.Name {
		return hint
	}
	if st := x.stats[runner.Name]; st != nil {
		return st
	}
	return newRunnerStats(runner.Name, r.defaultSpeeds)
}

// rejectedBy returns the name of the first filter that removes the runner, empty if
// it passes all. The filters are called one by one, not through a slice of
// interfaces, since this runs for every candidate of every request.
func (r *Router) rejectedBy(q *Query, runner *snapshot.Runner) string {
	switch {
	case !takesWork{}.Keep(runner, q):
		return takesWork{}.Name()
	case !servesPart{}.Keep(runner, q):
		return servesPart{}.Name()
	case !hasModel{}.Keep(runner, q):
		return hasModel{}.Name()
	case !notExcluded{}.Keep(runner, q):
		return notExcluded{}.Name()
	case !r.breakerFilter.Keep(runner, q):
		return r.breakerFilter.Name()
	case !r.backoffFilter.Keep(runner, q):
		return r.backoffFilter.Name()
	default:
		return ""
	}
}

// setCachedTokens sets CachedTokens of the candidates that hold a prefix.
func setCachedTokens(cs []Candidate, matches []prefixMatch) {
	for _, m := range matches {
		for i := range cs {
			if cs[i].stats == m.stats {
				cs[i].CachedTokens = m.tokens
			}
		}
	}
}

// explain describes the candidates for operators and, for a small service, also the
// removed runners with the filter that removed each.
func (r *Router) explain(cs []Candidate, q *Query, all []*snapshot.Runner, now time.Time) []state.Candidate {
	out := make([]state.Candidate, 0, len(cs))
	for i := range cs {
		c := &cs[i]
		out = append(out, state.Candidate{
			Name:                      c.Runner.Name,
			PredictedFirstTokenMillis: c.FirstToken.Seconds() * 1000,
			CachedTokens:              c.CachedTokens,
			KnowledgeAgeMillis:        reportAgeMillis(c.Runner, now),
		})
	}
	if len(all) > SmallServiceRunners {
		return out
	}
	for _, runner := range all {
		if name := r.rejectedBy(q, runner); name != "" {
			out = append(out, state.Candidate{Name: runner.Name, KnowledgeAgeMillis: reportAgeMillis(runner, now), Rejected: name})
		}
	}
	return out
}

// reportAgeMillis returns the age of the runner's load report, -1 if there is none.
func reportAgeMillis(r *snapshot.Runner, now time.Time) int64 {
	if r.Load.TakenAt.IsZero() {
		return -1
	}
	return now.Sub(r.Load.TakenAt).Milliseconds()
}

// shortestBackoff returns the time until the first backoff ends, among the runners
// that no other filter removes; 0 if there are none.
func (r *Router) shortestBackoff(q *Query, all []*snapshot.Runner) time.Duration {
	wait := time.Duration(0)
	for _, runner := range all {
		if r.rejectedBy(q, runner) != r.backoffFilter.Name() {
			continue
		}
		if left := r.backoffFilter.backoffUntil(runner).Sub(r.clock.Now()); wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// noRunner returns the NoRunnerError of a query for which no runner passes the
// filters. Of several filters it names the one that is applied last.
func (r *Router) noRunner(q *Query, all []*snapshot.Runner) (Choice, error) {
	reasons := map[string]Reason{
		takesWork{}.Name():    ReasonNoneTakesWork,
		servesPart{}.Name():   ReasonNoRole,
		hasModel{}.Name():     ReasonNoModel,
		notExcluded{}.Name():  ReasonAllTried,
		breakerReady{}.Name(): ReasonBreakersOpen,
	}
	if wait := r.shortestBackoff(q, all); wait > 0 {
		return Choice{}, &NoRunnerError{q.Service, ReasonBackingOff, wait}
	}
	order := []string{breakerReady{}.Name(), notExcluded{}.Name(), hasModel{}.Name(), servesPart{}.Name()}
	seen := make([]string, 0, len(order))
	for _, runner := range all[:min(len(all), maxDraws)] {
		seen = append(seen, r.rejectedBy(q, runner))
	}
	for _, name := range order {
		if slices.Contains(seen, name) {
			return Choice{}, &NoRunnerError{q.Service, reasons[name], r.retryAfter}
		}
	}
	return Choice{}, &NoRunnerError{q.Service, ReasonNoneTakesWork, r.retryAfter}
}
