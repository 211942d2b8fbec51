package rebalance

import (
	"math"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// What is learnt from the engines' reports.
const (
	// correctionTimeConstant is how long reports count.
	correctionTimeConstant = 20 * time.Second
	// maxReportAge is the oldest report that counts.
	maxReportAge = 5 * time.Second
	// prefillChunkTokens is how much of a prompt a mixed engine is taken to compute
	// between two decode steps.
	prefillChunkTokens = 512
	// minCorrection and maxCorrection bound the correction of the demand.
	minCorrection, maxCorrection = 0.25, 2
)

// prefillCorrection compares the prompt tokens that were predicted of the started requests
// with what the engines compute. Prompts turn out cheaper than predicted when more
// of them is cached than was known; without a correction the rebalancer would give
// prefill more engines than it needs. Outputs are predicted well enough, and last
// too long for such a comparison.
type prefillCorrection struct {
	at time.Time
	// computed and admitted are fading means in prompt tokens a second.
	computed, admitted float64
}

// update takes in the present reports.
func (u *prefillCorrection) update(now time.Time, runners []*snapshot.Runner, admitted Rates) {
	computed := 0.0
	for _, r := range runners {
		if now.Sub(r.Load.TakenAt) <= maxReportAge {
			computed += prefillRate(&r.Load)
		}
	}
	weight := 1.0
	if !u.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(u.at).Seconds()/correctionTimeConstant.Seconds())
	}
	u.at = now
	u.computed += weight * (computed - u.computed)
	u.admitted += weight * (admitted.PrefillTokens - u.admitted)
}

// prefillRate is how many prompt tokens a second an engine computed at the moment of
// its report.
func prefillRate(l *state.LoadReport) float64 {
	if l.PrefillBacklogTokens <= 0 || l.PrefillTokensPerSecond <= 0 {
		return 0
	}
	chunkSeconds := prefillChunkTokens / l.PrefillTokensPerSecond
	if l.DecodeRunning > 0 {
		chunkSeconds += l.DecodeStepMillis / 1000
	}
	return prefillChunkTokens / chunkSeconds
}

// correct returns the demand with its prompt tokens as they turn out to be.
func (u *prefillCorrection) correct(r Rates) Rates {
	if u.computed > 0 && u.admitted > 0 {
		r.PrefillTokens *= min(max(u.computed/u.admitted, minCorrection), maxCorrection)
	}
	return r
}
