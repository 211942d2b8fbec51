package backlog

import "math"

const (
	// forgetting weighs older samples: some 400 count, which the owner of two engines
	// sees in half a minute of usual load.
	forgetting = 0.9975
	// knownAfter is the number of samples from which predictions are relied on: three
	// coefficients, each seen some four times.
	knownAfter = 12
	// firstVariance is how little the first coefficients are believed.
	firstVariance = 100
	// errorGain is the weight of a sample in the mean relative error.
	errorGain = 0.05
	// firstError is assumed before anything is known.
	firstError = 0.5
	// leastMS is the shortest time that is predicted: a step of an engine.
	leastMS = 0.5
	// scaleMS is added to a prediction to weigh its error, so that short readings,
	// whose time is mostly a step of the batch, don't count more than others.
	scaleMS = 5
	// mostMiss bounds the relative error that one sample corrects.
	mostMiss = 0.5
	// outlier is how many times longer or shorter than predicted a sample may be once
	// the estimator knows: others show a slow engine, not a harder prompt.
	outlier = 2.5
)

// firstCoefficients are assumed of an engine that nothing is known of: 100 tokens a
// millisecond, which lies between the engines met so far (64 to 350).
var firstCoefficients = features{3, 10, 0.3}

// Estimator learns how long engines of one service take to read. It isn't safe for
// concurrent use: the queues that share one are used by one owner.
type Estimator struct {
	coef    features
	p       [3][3]float64
	samples int
	meanErr float64
	// meanMS is the mean time of the readings that were asked for.
	meanMS float64
}

// NewEstimator returns an estimator that knows nothing.
func NewEstimator() *Estimator {
	e := &Estimator{coef: firstCoefficients, meanErr: firstError}
	for i := range e.p {
		e.p[i][i] = firstVariance
	}
	return e
}

// Predict returns the time of a reading at an engine of usual speed, in milliseconds.
func (e *Estimator) Predict(r reading) float64 {
	return e.predict(r.features()) + r.fetchMS
}

// predict returns the time of readings with features x, summed up.
func (e *Estimator) predict(x features) float64 {
	return max(dot(e.coef, x), leastMS*max(1, x[0]))
}

// Known reports whether enough has been seen to rely on predictions.
func (e *Estimator) Known() bool {
	return e.samples >= knownAfter
}

// Error is the mean relative error of late predictions, against the longer of the
// predicted and the seen time: 0 to 1.
func (e *Estimator) Error() float64 {
	return e.meanErr
}

// learn takes the time that readings with features x, summed up, took at an engine of
// usual speed, by recursive least squares on the relative error.
func (e *Estimator) learn(x features, tookMS float64) {
	predicted := e.predict(x)
	known := e.samples >= knownAfter
	if known && (tookMS > outlier*predicted || predicted > outlier*tookMS) {
		return
	}
	e.meanErr += errorGain * (math.Abs(tookMS-predicted)/max(tookMS, predicted) - e.meanErr)
	scale := 1 / (predicted + scaleMS)
	for i := range x {
		x[i] *= scale
	}
	e.update(x, min(max((tookMS-predicted)*scale, -mostMiss), mostMiss))
	e.samples++
}

// update is one step of recursive least squares.
func (e *Estimator) update(x features, miss float64) {
	var px features
	for i := range px {
		px[i] = dot(e.p[i], x)
	}
	denominator := forgetting + dot(x, px)
	for i := range e.coef {
		e.coef[i] = max(0, e.coef[i]+px[i]/denominator*miss)
	}
	for i := range e.p {
		for j := range e.p[i] {
			e.p[i][j] = min((e.p[i][j]-px[i]*px[j]/denominator)/forgetting, firstVariance)
		}
	}
}

func dot(a, b features) float64 { return a[0]*b[0] + a[1]*b[1] + a[2]*b[2] }

// tokensMS is the time that so many tokens take within a prompt, in milliseconds.
func (e *Estimator) tokensMS(tokens int) float64 {
	return e.coef[1] * float64(tokens) / thousand
}

// Classes is the number of classes of readings by their time. Ranks are twice as many:
// those of readings that are late come after all others.
const Classes = 5

const (
	// middleClass is that of a reading of mean time.
	middleClass = 2
	// meanGain is the weight of a reading in the mean time.
	meanGain = 0.02
)

// class is that of a reading that takes so long: short ones first, a class for each
// doubling, so that a burst makes few large prompts late and not many small ones.
func (e *Estimator) class(ms float64) int {
	if e.meanMS == 0 || !(ms > 0) || math.IsInf(ms, 1) { // what can't be a time tells nothing
		return middleClass
	}
	doublings := math.Round(math.Log2(ms / e.meanMS))
	return int(min(max(middleClass+doublings, 0), Classes-1))
}

// met takes the time of a reading that was asked for into account.
func (e *Estimator) met(ms float64) {
	if e.meanMS == 0 {
		e.meanMS = ms
	}
	e.meanMS += meanGain * (ms - e.meanMS)
}
