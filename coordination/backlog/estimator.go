package backlog

import (
	"math"

	"github.com/thymerack/thymerack/coordination/contention"
)

const (
	// forgettingFactor is the weight of a sample relative to the next newer one. About 400
	// samples count, which the owner of two engines sees in half a minute of usual load.
	forgettingFactor = 0.9975
	// minSamples is the number of samples from which predictions are reliable: about four for
	// each of the three coefficients.
	minSamples = 12
	// errorGain is the weight of a new sample in the mean relative error.
	errorGain = 0.05
	// initialError is the mean relative error assumed before there are samples.
	initialError = 0.5
	// minPredictionMS is the shortest prediction, in milliseconds: one step of an engine.
	minPredictionMS = 0.5
	// errorScaleMS is added to a prediction when its error is weighted, in milliseconds. The
	// duration of short prefills is mostly that of a batch step, and without the addition they
	// would count more than others.
	errorScaleMS = 5
	// maxRelativeError bounds the relative error that one sample corrects, and maxInitialError that of
	// the first ones with a latency, which may be several times the work of a short prompt.
	maxRelativeError = 0.5
	maxInitialError  = 5.0
	// outlierRatio is how many times longer or shorter than predicted a sample may be once the
	// estimator is reliable. Larger deviations are caused by a slow engine and not by the
	// prompt.
	outlierRatio = 2.5
)

// initialCoefficients are assumed before there are samples: 100 tokens per millisecond, which is
// between the speeds of known engines (64 to 350).
var initialCoefficients = features{3, 10, 0.3, 0}

// initialVariances are the variances of the initial coefficients, and bound the variances later on.
// They are high, since the coefficients are only a guess: the standard deviations are about twice the
// largest deviations of known engines. With wider ones for the pairs of attention, a few prefills of
// uneven engines were explained by the lengths of their prompts.
var initialVariances = features{25, 100, 0.5, latencyVariance}

// Estimator learns how long engines of one service take for a prefill. It isn't safe for
// concurrent use: the queues that share one belong to one owner, which serializes their use.
type Estimator struct {
	coefficients features
	covariance   [numFeatures][numFeatures]float64
	samples      int
	meanError    float64
	// scale is that of the engines' speeds, and skippedShare the share of recent samples that were
	// ignored since the engine was in a slow period.
	scale        scale
	skippedShare float64
	// meanMS is the moving average of the predicted durations of added prompts, in milliseconds;
	// 0 before the first.
	meanMS float64
	// levelMeansMS are the averages for the prompts of each level; 0 before the first.
	levelMeansMS [contention.MaxLevels]float64
	latency      latencyDetector
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	e := &Estimator{coefficients: initialCoefficients, meanError: initialError}
	for i := range latencyFeature {
		e.covariance[i][i] = initialVariances[i]
	}
	return e
}

// Predict returns how long a prefill occupies an engine of usual speed, in milliseconds.
func (e *Estimator) Predict(p prefill) float64 {
	return e.predict(p.features()) + p.fetchMS
}

// predict returns the total duration of prefills whose features sum up to x, in milliseconds.
func (e *Estimator) predict(x features) float64 {
	return max(dot(e.coefficients, x), minPredictionMS*max(1, x[0]))
}

// Reliable reports whether there are enough samples to rely on predictions.
func (e *Estimator) Reliable() bool {
	return e.samples >= minSamples
}

// Error returns the mean relative error of recent predictions, from 0 to 1. It is relative to
// the longer one of the predicted and the measured duration.
func (e *Estimator) Error() float64 {
	return e.meanError
}

// learn adds a sample by recursive least squares on the relative error: tookMS is the total
// duration, in milliseconds at an engine of usual speed, of prefills whose features sum up to x.
func (e *Estimator) learn(x features, tookMS float64) {
	predicted := e.predict(x)
	reliable := e.samples >= minSamples
	if reliable && (tookMS > outlierRatio*predicted || predicted > outlierRatio*tookMS) {
		return
	}
	e.meanError += errorGain * (math.Abs(tookMS-predicted)/max(tookMS, predicted) - e.meanError)
	scale := 1 / (predicted + errorScaleMS)
	for i := range x {
		x[i] *= scale
	}
	bound := maxRelativeError
	if !reliable && e.latency.detected {
		bound = maxInitialError
	}
	e.update(x, min(max((tookMS-predicted)*scale, -bound), bound))
	e.samples++
}

const (
	// skippedGain is the weight of a sample in skippedShare, and maxSkippedShare the share from which
	// slow samples are learned nevertheless: so many aren't due to slow periods but to a prompt cost
	// that the model doesn't know.
	skippedGain     = 0.05
	maxSkippedShare = 0.4
)

// learnAt adds a sample of an engine with the profile: tookMS is the duration of prefills whose
// features sum up to x. Samples from a slow period are ignored.
func (e *Estimator) learnAt(p *profile, x features, tookMS float64) {
	slow := e.Reliable() && tookMS > slowPeriodRatio*p.slowdown()*e.predict(x)
	e.skippedShare += skippedGain * (indicator(slow) - e.skippedShare)
	if !slow || e.skippedShare > maxSkippedShare {
		e.learn(x, tookMS*p.speed())
	}
}

// indicator returns 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// update does one step of recursive least squares.
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
			e.covariance[i][j] = (e.covariance[i][j] - px[i]*px[j]/denominator) / forgettingFactor
		}
	}
	e.boundCovariance()
}

// boundCovariance bounds the variances. It scales whole rows and columns, since a bound on single
// elements makes the covariance indefinite: with three fixed kinds of prompts, the coefficients
// then diverged after a minute.
func (e *Estimator) boundCovariance() {
	for i := range e.covariance {
		if e.covariance[i][i] <= initialVariances[i] {
			continue
		}
		scale := math.Sqrt(initialVariances[i] / e.covariance[i][i])
		for j := range e.covariance {
			e.covariance[i][j] *= scale
			e.covariance[j][i] *= scale
		}
	}
}

func dot(a, b features) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// tokensMS returns the duration of that many tokens within a prompt, in milliseconds.
func (e *Estimator) tokensMS(tokens int) float64 {
	return e.coefficients[1] * float64(tokens) / thousand
}

// Classes is the number of classes of prompts by the duration of their prefill. There are twice
// as many ranks: prompts that are predicted to be late have ranks after all others.
const Classes = contention.Sizes

const (
	// meanClass is the class of a prefill of mean duration.
	meanClass = 2
	// meanGain is the weight of a new prefill in the mean duration.
	meanGain = 0.02
)

// class returns the class of a prefill of that duration among all prompts. Short prefills come
// first, and each doubling is a class of its own, so that a burst delays a few large prompts and not
// many small ones.
func (e *Estimator) class(ms float64) int { return classRelativeTo(e.meanMS, ms) }

// levelClass returns the class of a prefill of that duration among the prompts of its level.
func (e *Estimator) levelClass(level int, ms float64) int {
	return classRelativeTo(e.levelMeansMS[level], ms)
}

// classRelativeTo returns the class of a prefill if those of meanClass have that mean.
func classRelativeTo(meanMS, ms float64) int {
	if meanMS == 0 || !(ms > 0) || math.IsInf(ms, 1) { // an invalid duration has no class of its own
		return meanClass
	}
	doublings := math.Round(math.Log2(ms / meanMS))
	return int(min(max(meanClass+doublings, 0), Classes-1))
}

// observe adds the predicted duration of a new prompt to the mean.
func (e *Estimator) observe(ms float64) { observeMean(&e.meanMS, ms) }

// observeLevel adds it to the mean of its level.
func (e *Estimator) observeLevel(level int, ms float64) { observeMean(&e.levelMeansMS[level], ms) }

func observeMean(mean *float64, ms float64) {
	if *mean == 0 {
		*mean = ms
	}
	*mean += meanGain * (ms - *mean)
}
