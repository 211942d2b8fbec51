package route

import (
	"fmt"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Part is the part of a request that a runner is chosen for.
type Part uint8

// Parts of a request.
const (
	// PartWhole is prefill and decode on one engine, or a call of a plain service.
	PartWhole Part = iota
	// PartPrefill computes the prompt's KV cache for another engine.
	PartPrefill
	// PartDecode generates the output from an imported KV cache.
	PartDecode
)

// Query describes the request that a runner is chosen for. Pick doesn't modify it.
type Query struct {
	Service string
	// Model is the requested model or adapter; empty for plain services.
	Model string
	Part  Part
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// ExpectedOutput is the predicted length of the output in tokens.
	ExpectedOutput int
	// Prefixes are the hashes of growing prefixes of the prompt, shortest first,
	// with the hash values that the engines' cache events use.
	Prefixes []uint64
	// BlockTokens is the number of tokens by which each prefix is longer than the
	// previous one; zero if the prefixes divide the prompt evenly.
	BlockTokens int
	// FailureDomain is preferred when candidates are otherwise close; empty for
	// no preference.
	FailureDomain string
	// Deadline is when the last token is due; zero for none.
	Deadline time.Time
	// Exclude names runners that must not be chosen, since they were tried already.
	Exclude []string
	// Explain requests Choice.Candidates.
	Explain bool
}

// prefixTokens returns the number of prompt tokens that Prefixes[i] covers.
func (q *Query) prefixTokens(i int) int {
	n := (i + 1) * q.BlockTokens
	if q.BlockTokens == 0 {
		n = q.PromptTokens * (i + 1) / len(q.Prefixes)
	}
	return min(n, q.PromptTokens)
}

// Choice is the result of a Pick.
type Choice struct {
	Runner *snapshot.Runner
	// FirstToken and Finish are the predicted durations from now to the first and
	// the last token.
	FirstToken, Finish time.Duration
	// CachedTokens is the estimated number of prompt tokens in the engine's cache.
	CachedTokens int
	// Score is the sum of the scorers in seconds; the lowest of all candidates.
	Score float64
	// Candidates describes all candidates, if Query.Explain is set.
	Candidates []state.Candidate
	// Why is a sentence for operators that gives the reason of the choice.
	Why string
}

// Reason is why no runner could be chosen.
type Reason string

// Reasons of a NoRunnerError.
const (
	ReasonUnknownService Reason = "unknown service"
	ReasonNoneTakesWork  Reason = "no runner takes new work"
	ReasonNoRole         Reason = "no runner serves this part of a request"
	ReasonNoModel        Reason = "no runner has the model loaded"
	ReasonBreakersOpen   Reason = "every runner's breaker is open"
	ReasonBackingOff     Reason = "every runner wants rest"
	ReasonAllTried       Reason = "every runner was tried"
)

// NoRunnerError reports why no runner could be chosen and when to retry.
type NoRunnerError struct {
	Service    string
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoRunnerError) Error() string {
	return fmt.Sprintf("no runner for service %q: %s; try again after %v", e.Service, e.Reason, e.RetryAfter)
}
