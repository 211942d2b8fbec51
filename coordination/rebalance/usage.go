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

// usage compares the prompt tokens that were predicted of the started requests
// with what the engines compute. Prompts turn out cheaper than predicted when more
// of them is cached than was known; without a correction the rebalancer would give
// prefill more engines than it needs. Outputs are predicted well enough, and last
// too long for such a comparison.
type usage struct {
	at time.Time
	// done and started are fading means in prompt tokens a second.
	done, started float64
}

// observe takes in the present reports.
func (u *usage) observe(now time.Time, runners []*snapshot.Runner, started Rates) {
	done := 0.0
	for _, r := range runners {
		if now.Sub(r.Load.TakenAt) <= maxReportAge {
			done += prefillRate(&r.Load)
		}
	}
	weight := 1.0
	if !u.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(u.at).Seconds()/correctionTimeConstant.Seconds())
	}
	u.at = now
	u.done += weight * (done - u.done)
	u.started += weight * (started.PrefillTokens - u.started)
}

// prefillRate is how many prompt tokens a second an engine computed at the moment of
// its report.
func prefillRate(l *state.LoadReport) float64 {
	if l.PrefillBacklogTokens <= 0 || l.PrefillTokensPerSecond <= 0 {
		return 0
	}
	pass := prefillChunkTokens / l.PrefillTokensPerSecond
	if l.DecodeRunning > 0 {
		pass += l.DecodeStepMillis / 1000
	}
	return prefillChunkTokens / pass
}

// correct returns the demand with its prompt tokens as they turn out to be.
func (u *usage) correct(r Rates) Rates {
	if u.done > 0 && u.started > 0 {
		r.PrefillTokens *= min(max(u.done/u.started, minCorrection), maxCorrection)
	}
	return r
}
