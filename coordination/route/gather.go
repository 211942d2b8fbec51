package route

import (
	"slices"
	"strings"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// maxDraws bounds how often a runner is drawn for one choice; a draw can hit a
// runner that is excluded or taken already.
const maxDraws = 32

// gather collects the candidates that pass every filter into cs: all runners of
// a small service; holders of the prompt's prefix and sampled runners of a large
// one.
func (r *Router) gather(v *snapshot.View, x *index, q *Query, all []*snapshot.Runner, holders []holding, cs []Candidate) []Candidate {
	home := x.home(q)
	if len(all) <= SmallServiceRunners {
		ordered := x.ordered[q.Service]
		for i, n := range all {
			if r.rejectedBy(q, n) != "" {
				continue
			}
			var l *learnt
			if i < len(ordered) {
				l = ordered[i]
			}
			cs = append(cs, Candidate{Runner: n, learnt: r.learntOf(x, n, l)})
		}
		credit(cs, holders)
		return markHome(home, cs)
	}
	if home != nil {
		if n := v.Runner(home.name); n != nil {
			cs = r.consider(x, q, n, cs)
		}
	}
	for _, h := range holders {
		if n := v.Runner(h.learnt.name); n != nil && n.Service == q.Service {
			cs = r.consider(x, q, n, cs)
		}
	}
	cs = r.sample(v, x, q, cs)
	credit(cs, holders)
	return markHome(home, cs)
}

// sample draws up to sampled further runners from the group that serves q.
func (r *Router) sample(v *snapshot.View, x *index, q *Query, cs []Candidate) []Candidate {
	model, _, _ := strings.Cut(q.Model, "@")
	named := x.groups[groupKey{q.Service, q.Part, model}].members()
	var unknown []string
	if model != "" {
		unknown = x.groups[groupKey{q.Service, q.Part, unknownModel}].members()
	}
	total := uint64(len(named) + len(unknown))
	want := len(cs) + sampled
	for i := 0; total > 0 && i < maxDraws && len(cs) < want; i++ {
		k := int(r.draw() % total)
		var name string
		if k < len(named) {
			name = named[k]
		} else {
			name = unknown[k-len(named)]
		}
		if n := v.Runner(name); n != nil {
			cs = r.consider(x, q, n, cs)
		}
	}
	return cs
}

// consider appends the runner if it passes every filter and isn't there yet.
func (r *Router) consider(x *index, q *Query, n *snapshot.Runner, cs []Candidate) []Candidate {
	for i := range cs {
		if cs[i].Runner == n {
			return cs
		}
	}
	if r.rejectedBy(q, n) != "" {
		return cs
	}
	return append(cs, Candidate{Runner: n, learnt: r.learntOf(x, n, nil)})
}

// learntOf returns what is learnt of a runner; guess saves looking it up. A
// runner newer than the index starts from the defaults.
func (r *Router) learntOf(x *index, n *snapshot.Runner, guess *learnt) *learnt {
	if guess != nil && guess.name == n.Name {
		return guess
	}
	if l := x.learnt[n.Name]; l != nil {
		return l
	}
	return newLearnt(n.Name, r.defaults)
}

// rejectedBy returns the name of the first filter that removes the runner. The
// filters are called one by one, not through a list of interfaces: this runs for
// every candidate of every request.
func (r *Router) rejectedBy(q *Query, n *snapshot.Runner) string {
	switch {
	case !takesWork{}.Keep(n, q):
		return takesWork{}.Name()
	case !servesPart{}.Keep(n, q):
		return servesPart{}.Name()
	case !hasModel{}.Keep(n, q):
		return hasModel{}.Name()
	case !notExcluded{}.Keep(n, q):
		return notExcluded{}.Name()
	case !r.breaker.Keep(n, q):
		return r.breaker.Name()
	case !r.awake.Keep(n, q):
		return r.awake.Name()
	default:
		return ""
	}
}

// credit notes the cached tokens of candidates that hold a prefix.
func credit(cs []Candidate, holders []holding) {
	for _, h := range holders {
		for i := range cs {
			if cs[i].learnt == h.learnt {
				cs[i].CachedTokens = h.tokens
			}
		}
	}
}

// explain returns the candidates with their figures, and for a small service
// the removed runners with the filter that removed them.
func (r *Router) explain(cs []Candidate, q *Query, all []*snapshot.Runner, now time.Time) []state.Candidate {
	out := make([]state.Candidate, 0, len(cs))
	for i := range cs {
		c := &cs[i]
		out = append(out, state.Candidate{
			Name:                      c.Runner.Name,
			PredictedFirstTokenMillis: c.FirstToken.Seconds() * 1000,
			CachedTokens:              c.CachedTokens,
			KnowledgeAgeMillis:        knowledgeAge(c.Runner, now),
		})
	}
	if len(all) > SmallServiceRunners {
		return out
	}
	for _, n := range all {
		if name := r.rejectedBy(q, n); name != "" {
			out = append(out, state.Candidate{Name: n.Name, KnowledgeAgeMillis: knowledgeAge(n, now), Rejected: name})
		}
	}
	return out
}

// knowledgeAge is the age of the report in milliseconds, -1 when there is none.
func knowledgeAge(r *snapshot.Runner, now time.Time) int64 {
	if r.Load.TakenAt.IsZero() {
		return -1
	}
	return now.Sub(r.Load.TakenAt).Milliseconds()
}

// firstAwake is the time until the first runner that wants nothing but rest takes work again; 0
// if there is none.
func (r *Router) firstAwake(q *Query, all []*snapshot.Runner) time.Duration {
	wait := time.Duration(0)
	for _, n := range all {
		if r.rejectedBy(q, n) != r.awake.Name() {
			continue
		}
		if left := r.awake.until(n).Sub(r.clock.Now()); wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// none returns the error that says which filter removed the last runner.
func (r *Router) none(q *Query, all []*snapshot.Runner) (Choice, error) {
	reasons := map[string]Reason{
		takesWork{}.Name():    ReasonNoneTakesWork,
		servesPart{}.Name():   ReasonNoRole,
		hasModel{}.Name():     ReasonNoModel,
		notExcluded{}.Name():  ReasonAllTried,
		breakerReady{}.Name(): ReasonBreakersOpen,
	}
	if wait := r.firstAwake(q, all); wait > 0 {
		return Choice{}, &NoRunnerError{q.Service, ReasonResting, wait}
	}
	order := []string{breakerReady{}.Name(), notExcluded{}.Name(), hasModel{}.Name(), servesPart{}.Name()}
	seen := make([]string, 0, len(order))
	for _, n := range all[:min(len(all), maxDraws)] {
		seen = append(seen, r.rejectedBy(q, n))
	}
	for _, name := range order {
		if slices.Contains(seen, name) {
			return Choice{}, &NoRunnerError{q.Service, reasons[name], r.retry}
		}
	}
	return Choice{}, &NoRunnerError{q.Service, ReasonNoneTakesWork, r.retry}
}
