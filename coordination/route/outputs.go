package route

import (
	"math"
	"sync"
)

// Parameters of the output estimator.
const (
	// defaultMaxFlows bounds the flows (pairs of customer and class) with a mean of
	// their own.
	defaultMaxFlows = 8192
	// maxClasses bounds the classes with a mean of their own.
	maxClasses = 256
	// minSampleWeight is the weight of a new sample from the 20th on; earlier ones
	// weigh more.
	minSampleWeight = 0.05
	// priorSamples is the number of samples that the class's mean counts for,
	// against the flow's own samples.
	priorSamples = 4
	// longDeviations is how many mean deviations above the mean a long output is.
	// About 85% of a normal distribution, and of a uniform one, are below.
	longDeviations = 1.3
	// initialOutputTokens is the expected output before the first sample.
	initialOutputTokens = 128
)

// Estimator predicts the output length of a request from earlier answers of the same
// flow (customer and class). A new flow starts from the mean of its class, a new
// class from the mean of all answers. Memory is bounded: flows beyond the bound use
// the mean of their class. It is safe for concurrent use.
type Estimator struct {
	maxFlows int

	mu      sync.RWMutex
	flows   map[flowKey]*runningMean
	classes map[string]*runningMean
	all     runningMean
}

type flowKey struct{ customer, class string }

// runningMean is a mean with its mean deviation: arithmetic over the first samples,
// exponentially weighted later.
type runningMean struct {
	count float64
	mean  float64
	// deviation is the mean absolute distance of the samples from the mean.
	deviation float64
}

func (m *runningMean) add(x float64) {
	m.count++
	weight := max(1/m.count, minSampleWeight)
	m.mean += weight * (x - m.mean)
	m.deviation += weight * (math.Abs(x-m.mean) - m.deviation)
}

// NewEstimator returns an estimator with at most maxFlows flows; zero selects 8192.
func NewEstimator(maxFlows int) *Estimator {
	if maxFlows <= 0 {
		maxFlows = defaultMaxFlows
	}
	return &Estimator{maxFlows: maxFlows, flows: map[flowKey]*runningMean{}, classes: map[string]*runningMean{}}
}

// Expected returns the expected output in tokens, at least 1 and, if maxTokens is
// positive, at most maxTokens.
func (e *Estimator) Expected(customer, class string, maxTokens int) int {
	value, _ := e.estimate(flowKey{customer, class})
	return clampTokens(value, maxTokens)
}

// LongOutput returns an output in tokens that most answers don't exceed, with the
// same bounds as Expected.
func (e *Estimator) LongOutput(customer, class string, maxTokens int) int {
	value, deviation := e.estimate(flowKey{customer, class})
	return clampTokens(value+longDeviations*deviation, maxTokens)
}

// clampTokens rounds v and limits it to 1 and, if positive, maxTokens.
func clampTokens(v float64, maxTokens int) int {
	n := max(1, int(v+0.5))
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

func (e *Estimator) estimate(k flowKey) (value, deviation float64) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	value, deviation = initialOutputTokens, initialOutputTokens
	if c := e.classes[k.class]; c != nil {
		value, deviation = c.mean, c.deviation
	} else if e.all.count > 0 {
		value, deviation = e.all.mean, e.all.deviation
	}
	f := e.flows[k]
	if f == nil {
		return value, deviation
	}
	customerWeight := f.count / (f.count + priorSamples)
	return value + customerWeight*(f.mean-value), deviation + customerWeight*(f.deviation-deviation)
}

// Learn adds the output, in tokens, of an answer that ended by itself.
func (e *Estimator) Learn(customer, class string, tokens int) {
	if tokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	x := float64(tokens)
	e.all.add(x)
	c := e.classes[class]
	if c == nil && len(e.classes) < maxClasses {
		c = &runningMean{}
		e.classes[class] = c
	}
	if c != nil {
		c.add(x)
	}
	k := flowKey{customer, class}
	f := e.flows[k]
	if f == nil {
		if len(e.flows) >= e.maxFlows {
			return
		}
		f = &runningMean{}
		e.flows[k] = f
	}
	f.add(x)
}
