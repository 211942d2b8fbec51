package policy

import (
	"fmt"

	"github.com/thymerack/thymerack/state"
)

// Change is a recorded decision that another set of policies decides otherwise.
type Change struct {
	// ID is the record's.
	ID   string           `json:"id"`
	Hook state.PolicyHook `json:"hook"`
	// From and To are a class; a reason to refuse, empty if admitted; the name of
	// the chosen runner; or a role, "spare", empty if the rebalancer chooses.
	// Their Policy is empty for a chosen runner, on which all policies work.
	From Verdict `json:"from"`
	To   Verdict `json:"to"`
}

// String returns the change as a plain sentence.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s changes from %s to %s", c.ID, c.Hook, c.From, c.To)
}

// String returns the value and who gave it.
func (v Verdict) String() string {
	if v.Policy == "" {
		return fmt.Sprintf("%q", v.Value)
	}
	return fmt.Sprintf("%q (policy %s)", v.Value, v.Policy)
}

// Diff returns the recorded decisions whose value would change if the set before
// were replaced by the set after. A policy that fails has no opinion, as in live
// traffic; Check tells which fail. Either set may be nil.
func Diff(before, after *Set, records []Recorded) []Change {
	before, after = before.orEmpty(), after.orEmpty()
	m := newMachine()
	var out []Change
	for i := range records {
		r := &records[i]
		was := before.replay(m, r)
		is := after.replay(m, r)
		for j := range was {
			if was[j].verdict.Value != is[j].verdict.Value {
				out = append(out, Change{r.ID, was[j].hook, was[j].verdict, is[j].verdict})
			}
		}
	}
	return out
}

// decision is one decision on a record.
type decision struct {
	hook    state.PolicyHook
	verdict Verdict
}

// replay decides all that a record has the input for, always in the same order.
func (s *Set) replay(m *machine, r *Recorded) []decision {
	var out []decision
	if r.Request != nil {
		m.request = *r.Request
		class := s.classOf(m, silent{})
		m.request.Class = class.Value
		admission := s.first(m, s.admit, &m.request, silent{})
		out = append(out, decision{state.HookClassify, class}, decision{state.HookAdmit, admission})
	}
	if r.Score != nil && len(r.Score.Candidates) > 0 {
		m.score.copyFrom(r.Score)
		out = append(out, decision{state.HookScore, Verdict{Value: lowest(&m.score, s.scoreAll(m, silent{}))}})
	}
	if r.Engine != nil {
		m.engine = *r.Engine
		out = append(out, decision{state.HookPin, s.first(m, s.pin, &m.engine, silent{})})
	}
	return out
}

// lowest returns the name of the candidate with the lowest sum of scores, the
// first of several.
func lowest(e *scoreEnv, added []float64) string {
	best := 0
	for i := range added {
		if e.Candidates[i].ScoreSeconds+added[i] < e.Candidates[best].ScoreSeconds+added[best] {
			best = i
		}
	}
	return e.Candidates[best].Name
}

// silent takes no note of failures.
type silent struct{}

func (silent) observe(*program, *RunError) {}
