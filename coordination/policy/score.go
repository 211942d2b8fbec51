package policy

import (
	"fmt"
	"math"
	"slices"

	"github.com/thymerack/thymerack/coordination/route"
)

// Score returns the seconds that the policies add to each candidate.
func (s *Set) Score(in *ScoreInput) []float64 {
	if s == nil || len(s.score) == 0 || len(in.Candidates) == 0 {
		return make([]float64, len(in.Candidates))
	}
	m := s.take()
	defer s.machines.Put(m)
	m.score.copyFrom(in)
	return slices.Clone(s.scoreAll(m, s))
}

// scoreAll returns the sum of the policies' seconds for m.score's candidates, of
// which there must be one; it is valid until m is used again. A policy that fails
// for one candidate adds nothing to any, so that a failure favours none.
func (s *Set) scoreAll(m *machine, o observer) []float64 {
	n := len(m.score.Candidates)
	m.total = zeroed(m.total, n)
	m.added = zeroed(m.added, n)
	m.score.summarize()
	for _, p := range s.score {
		if err := m.scoreBy(p); err != nil {
			o.observe(p, err)
			continue
		}
		for i, seconds := range m.added {
			m.total[i] += seconds
		}
	}
	return m.total
}

// scoreBy fills m.added with what one policy gives.
func (m *machine) scoreBy(p *program) *RunError {
	for i := range m.score.Candidates {
		m.score.Candidate = &m.score.Candidates[i]
		out, err := m.run(p, &m.score)
		if err != nil {
			return err
		}
		seconds, ok := out.(float64)
		if !ok || math.IsNaN(seconds) || math.Abs(seconds) > MaxScoreSeconds {
			return p.failure(fmt.Sprintf("it gave %v for %q instead of seconds between %d and %d", out, m.score.Candidate.Name, -MaxScoreSeconds, MaxScoreSeconds), nil)
		}
		m.added[i] = seconds
	}
	return nil
}

// zeroed returns n zeros, in the memory of s if that is enough.
func zeroed(s []float64, n int) []float64 {
	if cap(s) < n {
		return make([]float64, n)
	}
	s = s[:n]
	clear(s)
	return s
}

// Scorer lets the score policies in force take part in a route.Router's choice.
// It must come after the built-in scorers, whose sum the policies see.
type Scorer struct{ holder *Holder }

// NewScorer returns a scorer for the set that is in the holder at each choice.
func NewScorer(h *Holder) *Scorer { return &Scorer{h} }

var _ route.Scorer = (*Scorer)(nil)

// Name implements route.Scorer.
func (s *Scorer) Name() string { return "policy" }

// Score implements route.Scorer. It allocates only what the programs allocate.
func (s *Scorer) Score(q *route.Query, cs []route.Candidate) {
	set := s.holder.Load()
	if set == nil || len(set.score) == 0 || len(cs) == 0 {
		return
	}
	m := set.take()
	defer set.machines.Put(m)
	m.score.describe(q, cs)
	for i, seconds := range set.scoreAll(m, set) {
		cs[i].Score += seconds
	}
}

// copyFrom takes the choice over, in the memory of the one before.
func (e *scoreEnv) copyFrom(in *ScoreInput) {
	candidates := append(e.Candidates[:0], in.Candidates...)
	e.ScoreInput = *in
	e.Candidates = candidates
}

// describe fills in the choice, in the memory of the one before.
func (e *scoreEnv) describe(q *route.Query, cs []route.Candidate) {
	candidates := e.Candidates[:0]
	for i := range cs {
		candidates = append(candidates, candidateOf(&cs[i]))
	}
	e.ScoreInput = ScoreInput{
		Service: q.Service, Model: q.Model, Part: partName(q.Part), FailureDomain: q.FailureDomain,
		PromptTokens: float64(q.PromptTokens), ExpectedOutputTokens: float64(q.ExpectedOutput),
		Candidates: candidates,
	}
}

func candidateOf(c *route.Candidate) Candidate {
	return Candidate{
		Name: c.Runner.Name, FailureDomain: c.Runner.FailureDomain, Role: string(c.Runner.Target.Role),
		Model: c.Runner.Target.Model, Adapters: c.Runner.Target.Adapters,
		CachedTokens: float64(c.CachedTokens), BacklogTokens: c.BacklogTokens, InFlight: c.InFlight,
		FirstTokenSeconds: c.FirstToken.Seconds(), FinishSeconds: c.Finish.Seconds(), ScoreSeconds: c.Score,
	}
}

func partName(p route.Part) string {
	switch p {
	case route.PartPrefill:
		return "prefill"
	case route.PartDecode:
		return "decode"
	default:
		return "whole"
	}
}
