// Package policy runs the operators' policies: short programs in the language of
// expr-lang/expr that take part in decisions while traffic flows.
//
// A policy belongs to one hook (state.PolicyHook), which fixes the fields that
// its program sees and the value that it gives:
//
//	classify  RequestInput            a class, or "" for no opinion
//	admit     RequestInput            a reason to refuse, or "" to let pass
//	score     ScoreInput, Candidate   seconds to add to the candidate's score
//	pin       EngineInput             a role, "spare", or "" for no opinion
//
// The policies of one hook run in the order of their definition. For classify,
// admit and pin the first opinion decides; for score the seconds are summed, and
// no policy sees what another added.
//
// Programs are a subset of the language without loops, so that every node of a
// program is evaluated at most once and a run's time and memory are bounded by
// the program's size (see MaxNodes). They read no clock and no random source:
// the same input gives the same opinion, on any host and in Check and Diff.
//
// A Set is compiled whole and never changed. A program that fails at run time
// counts as one without an opinion: the failure is counted and reported, and the
// request goes on with the built-in decision.
package policy
