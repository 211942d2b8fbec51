package rebalance

import (
	"math"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// The parameters of prefillCorrection.
const (
	// correctionTimeConstant is the time constant of the moving averages.
	correctionTimeConstant = 20 * time.Second
	// maxReportAge is the age beyond which a load report is ignored.
	maxReportAge = 5 * time.Second
	// prefillChunkTokens is the number of prompt tokens that a mixed engine is
	// assumed to compute between two decode steps.
	prefillChunkTokens = 512
	// minCorrection and maxCorrection bound the factor applied to the demand.
	minCorrection, maxCorrection = 0.25, 2
)

// prefillCorrection compares the prompt tokens predicted for admitted requests
// with those that the engines compute. Prefill is cheaper than predicted if the
// engines have longer cached prefixes than this host knows of; without a
// correction the rebalancer would assign more engines to prefill than needed.
// Output tokens aren't corrected: their predictions are good enough, and decode
// takes too long for such a comparison.
type prefillCorrection struct {
	at time.Time
	// computed and admitted are exponential moving averages in prompt tokens per
	// second, last updated at the time at.
	computed, admitted float64
}

// update adds the current load reports of the runners and the rate of admitted
// work to the averages.
func (c *prefillCorrection) update(now time.Time, runners []*snapshot.Runner, admitted Rates) {
	computed := 0.0
	for _, r := range runners {
		if now.Sub(r.Load.TakenAt) <= maxReportAge {
			computed += prefillRate(&r.Load)
		}
	}
	weight := 1.0
	if !c.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(c.at).Seconds()/correctionTimeConstant.Seconds())
	}
	c.at = now
	c.computed += weight * (computed - c.computed)
	c.admitted += weight * (admitted.PrefillTokens - c.admitted)
}

// prefillRate returns how many prompt tokens per second an engine computed at the
// time of its report; 0 if it had no prefill work.
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

// correct returns the rates with the prompt tokens scaled by the ratio of computed
// to admitted ones; unchanged until both are known.
func (c *prefillCorrection) correct(r Rates) Rates {
	if c.computed > 0 && c.admitted > 0 {
		r.PrefillTokens *= min(max(c.computed/c.admitted, minCorrection), maxCorrection)
	}
	return r
}
