package backlog

import (
	"math"
	"slices"
)

// Some engines end a prefill a fixed latency after its computation, and compute the next prompts
// meanwhile. The estimator learns the latency only once prefills that began at an idle engine are seen to
// take longer than those that followed another one. Without that, it would explain the first prefills of
// uneven engines by a latency.

const (
	// minLatencyRatio is how many times longer than others, relative to their predictions, prefills from
	// idle must take for engines to have a latency, and minLatencyMS by how many milliseconds: several
	// steps of the known engines, which is the error of a prefill's start.
	minLatencyRatio = 1.5
	minLatencyMS    = 15
	// latencyWindow is the number of prefills of either kind that are compared, by their medians: slow
	// periods and engines of unknown speed are the minority of them.
	latencyWindow = 24
	// latencyVariance is the variance of the latency when it begins to be learned: engines are known with
	// 1 to 100 ms.
	latencyVariance = 10_000
)

// excess is by how much a prefill took longer than predicted: the logarithm of the ratio, and in
// milliseconds.
type excess struct{ logRatio, ms float64 }

// excesses holds those of the last latencyWindow prefills of one kind.
type excesses struct {
	last [latencyWindow]excess
	n    int
}

func (x *excesses) add(e excess) {
	x.last[x.n%latencyWindow] = e
	x.n++
}

// median returns the median of one field.
func (x *excesses) median(field func(excess) float64) float64 {
	var values [latencyWindow]float64
	for i, e := range x.last {
		values[i] = field(e)
	}
	slices.Sort(values[:])
	return (values[latencyWindow/2-1] + values[latencyWindow/2]) / 2
}

// latencyDetector compares prefills that began at an idle engine with those that followed another one.
type latencyDetector struct {
	fromIdle, following excesses
	detected            bool
}

// observe adds a prefill, and reports whether the prefills show that engines have a latency.
func (l *latencyDetector) observe(fromIdle bool, predictedMS, tookMS float64) bool {
	kind := &l.following
	if fromIdle {
		kind = &l.fromIdle
	}
	kind.add(excess{math.Log((tookMS + ratioScaleMS) / (predictedMS + ratioScaleMS)), tookMS - predictedMS})
	return min(l.fromIdle.n, l.following.n) >= latencyWindow &&
		l.difference(func(e excess) float64 { return e.logRatio }) > math.Log(minLatencyRatio) &&
		l.difference(func(e excess) float64 { return e.ms }) > minLatencyMS
}

// difference returns by how much the median of a field is higher for prefills from idle.
func (l *latencyDetector) difference(field func(excess) float64) float64 {
	return l.fromIdle.median(field) - l.following.median(field)
}

// detectLatency makes the estimator learn a latency once the durations of single prefills, at an engine
// of usual speed, show that there is one. The rest is then learned anew.
func (e *Estimator) detectLatency(x features, tookMS float64) {
	if e.latency.detected || !e.latency.observe(x[latencyFeature] > 0, e.predict(x), tookMS) {
		return
	}
	e.latency.detected = true
	skipped, scale, detector := e.skippedShare, e.scale, e.latency
	meanMS, levelMeansMS := e.meanMS, e.levelMeansMS
	*e = *NewEstimator()
	e.skippedShare, e.scale, e.latency, e.meanMS, e.levelMeansMS = skipped, scale, detector, meanMS, levelMeansMS
	e.covariance[latencyFeature][latencyFeature] = latencyVariance
}

// latencyMS returns how long after its computation a prefill ends at an engine of usual speed, in
// milliseconds. Meanwhile the engine computes the next prompts.
func (e *Estimator) latencyMS() float64 { return e.coefficients[latencyFeature] }
