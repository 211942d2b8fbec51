package backlog

import "math"

const (
	// forgettingFactor weighs older samples: some 400 count, which the owner of two engines
	// sees in half a minute of usual load.
	forgettingFactor = 0.9975
	// minSamples is the number of samples from which predictions are relied on: three
	// coefficients, each seen some four times.
	minSamples = 12
	// initialVariance is how little the first coefficients are believed.
	initialVariance = 100
	// errorGain is the weight of a sample in the mean relative error.
	errorGain = 0.05
	// initialError is assumed before anything is known.
	initialError = 0.5
	// minPredictionMS is the shortest time that is predicted: a step of an engine.
	minPredictionMS = 0.5
	// errorScaleMS is added to a prediction to weigh its error, so that short readings,
	// whose time is mostly a step of the batch, don't count more than others.
	errorScaleMS = 5
	// maxRelativeError bounds the relative error that one sample corrects.
	maxRelativeError = 0.5
	// outlierRatio is how many times longer or shorter than predicted a sample may be once
	// the estimator knows: others show a slow engine, not a harder prompt.
	outlierRatio = 2.5
)

// initialCoefficients are assumed of an engine that nothing is known of: 100 tokens a
// millisecond, which lies between the engines met so far (64 to 350).
var initialCoefficients = features{3, 10, 0.3}

// Estimator learns how long engines of one service take to read. It isn't safe for
// concurrent use: the queues that share one are used by one owner.
type Estimator struct {
	coefficients features
	covariance   [3][3]float64
	samples      int
	meanError    float64
	// meanMS is the mean time of the readings that were asked for.
	meanMS float64
}

// NewEstimator returns an estimator that knows nothing.
func NewEstimator() *Estimator {
	e := &Estimator{coefficients: initialCoefficients, meanError: initialError}
	for i := range e.covariance {
		e.covariance[i][i] = initialVariance
	}
	return e
}

// Predict returns the time of a reading at an engine of usual speed, in milliseconds.
func (e *Estimator) Predict(r prefill) float64 {
	return e.predict(r.features()) + r.fetchMS
}

// predict returns the time of readings with features x, summed up.
func (e *Estimator) predict(x features) float64 {
	return max(dot(e.coefficients, x), minPredictionMS*max(1, x[0]))
}

// Reliable reports whether enough has been seen to rely on predictions.
func (e *Estimator) Reliable() bool {
	return e.samples >= minSamples
}

// Error is the mean relative error of late predictions, against the longer of the
// predicted and the seen time: 0 to 1.
func (e *Estimator) Error() float64 {
	return e.meanError
}

// learn takes the time that readings with features x, summed up, took at an engine of
// usual speed, by recursive least squares on the relative error.
func (e *Estimator) learn(x features, tookMS float64) {
	predicted := e.predict(x)
	known := e.samples >= minSamples
	if known && (tookMS > outlierRatio*predicted || predicted > outlierRatio*tookMS) {
		return
	}
	e.meanError += errorGain * (math.Abs(tookMS-predicted)/max(tookMS, predicted) - e.meanError)
	scale := 1 / (predicted + errorScaleMS)
	for i := range x {
		x[i] *= scale
	}
	e.update(x, min(max((tookMS-predicted)*scale, -maxRelativeError), maxRelativeError))
	e.samples++
}

// update is one step of recursive least squares.
func (e *Estimator) update(x features, relativeError float64) {
	var px features
	for i := range px {
		px[i] = dot(e.covariance[i], x)
	}
	denominator := forgettingFactor + dot(x, px)
	for i := range e.coefficients {
		e.coefficients[i] = max(0, e.coefficients[i]+px[i]/denominator*relativeError)
	}
	for i := range e.covariance {
		for j := range e.covariance[i] {
			e.covariance[i][j] = min((e.covariance[i][j]-px[i]*px[j]/denominator)/forgettingFactor, initialVariance)
		}
	}
}

func dot(a, b features) float64 { return a[0]*b[0] + a[1]*b[1] + a[2]*b[2] }

// tokensMS is the time that so many tokens take within a prompt, in milliseconds.
func (e *Estimator) tokensMS(tokens int) float64 {
	return e.coefficients[1] * float64(tokens) / thousand
}

// Classes is the number of classes of readings by their time. Ranks are twice as many:
// those of readings that are late come after all others.
const Classes = 5

const (
	// meanClass is that of a reading of mean time.
	meanClass = 2
	// meanGain is the weight of a reading in the mean time.
	meanGain = 0.02
)

// class is that of a reading that takes so long: short ones first, a class for each
// doubling, so that a burst makes few large prompts late and not many small ones.
func (e *Estimator) class(ms float64) int {
	if e.meanMS == 0 || !(ms > 0) || math.IsInf(ms, 1) { // what can't be a time tells nothing
		return meanClass
	}
	doublings := math.Round(math.Log2(ms / e.meanMS))
	return int(min(max(meanClass+doublings, 0), Classes-1))
}

// observe takes the time of a reading that was asked for into account.
func (e *Estimator) observe(ms float64) {
	if e.meanMS == 0 {
		e.meanMS = ms
	}
	e.meanMS += meanGain * (ms - e.meanMS)
}
