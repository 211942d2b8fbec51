package route

import (
	"fmt"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Part is the part of a request that a runner is chosen for.
type Part uint8

// The parts of a request.
const (
	// PartWhole is prefill and decode on one engine, or a call of a plain service.
	PartWhole Part = iota
	// PartPrefill computes the prompt's KV cache for another engine.
	PartPrefill
	// PartDecode produces the output from an imported KV cache.
	PartDecode
)

// Query is what a choice is made for. It isn't changed by Pick.
type Query struct {
	Service string
	// Model is the model or adapter asked for; empty for plain services.
	Model string
	Part  Part
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// ExpectedOutput is the predicted length of the answer in tokens.
	ExpectedOutput int
	// Prefixes are hashes of growing prefixes of the prompt, shortest first, as
	// the engines' cache events name them.
	Prefixes []uint64
	// BlockTokens is by how many tokens each prefix is longer than the one
	// before; zero when they divide the prompt evenly.
	BlockTokens int
	// FailureDomain is the failure domain that is near.
	FailureDomain string
	// Deadline is when the whole answer is due; zero when it isn't.
	Deadline time.Time
	// Exclude names runners that must not be chosen (they were tried).
	Exclude []string
	// Explain asks for the candidates with their figures.
	Explain bool
}

// prefixTokens is the number of prompt tokens that Prefixes[i] covers.
func (q *Query) prefixTokens(i int) int {
	n := (i + 1) * q.BlockTokens
	if q.BlockTokens == 0 {
		n = q.PromptTokens * (i + 1) / len(q.Prefixes)
	}
	return min(n, q.PromptTokens)
}

// Choice is the outcome of a Pick.
type Choice struct {
	Runner *snapshot.Runner
	// FirstToken and Finish are predicted durations from now.
	FirstToken, Finish time.Duration
	// CachedTokens are prompt tokens thought to be in the engine's cache.
	CachedTokens int
	// Score is what the choice was made by, in seconds; the lowest wins.
	Score float64
	// Candidates are the options with their figures, if asked for.
	Candidates []state.Candidate
	// Why is a plain sentence.
	Why string
}

// Reason is why no runner could be chosen.
type Reason string

// The reasons.
const (
	ReasonUnknownService Reason = "unknown service"
	ReasonNoneTakesWork  Reason = "no runner takes new work"
	ReasonNoRole         Reason = "no runner serves this part of a request"
	ReasonNoModel        Reason = "no runner has the model loaded"
	ReasonBreakersOpen   Reason = "every runner's breaker is open"
	ReasonBackingOff     Reason = "every runner wants rest"
	ReasonAllTried       Reason = "every runner was tried"
)

// NoRunnerError says why no runner could be chosen and when to try again.
type NoRunnerError struct {
	Service    string
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoRunnerError) Error() string {
	return fmt.Sprintf("no runner for service %q: %s; try again after %v", e.Service, e.Reason, e.RetryAfter)
}
