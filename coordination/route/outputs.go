package route

import (
	"math"
	"sync"
)

// Bounds of the output estimator.
const (
	// defaultMaxFlows bounds the pairs of customer and class that are kept apart.
	defaultMaxFlows = 8192
	// maxClasses bounds the classes that are kept apart.
	maxClasses = 256
	// minSampleWeight is the least weight of a new sample.
	minSampleWeight = 0.05
	// priorSamples is how many samples the class's mean stands for when a
	// customer is new.
	priorSamples = 4
	// longDeviations is how many mean distances above the mean a long output is:
	// about 85% of a normal distribution, and of an even one, are below.
	longDeviations = 1.3
	// initialOutputTokens is the expected output in tokens before any answer.
	initialOutputTokens = 128
)

// Estimator predicts the length of an answer from earlier ones of the same
// customer and class; a new customer starts from its class. Its memory is bounded:
// pairs beyond the bound share their class's figure. It is safe for concurrent
// use.
type Estimator struct {
	maxFlows int

	mu      sync.RWMutex
	flows   map[flowKey]*runningMean
	classes map[string]*runningMean
	all     runningMean
}

type flowKey struct{ customer, class string }

// runningMean is a fading runningMean and spread: plain over the first samples, exponential
// later.
type runningMean struct {
	count float64
	mean  float64
	// deviation is the mean distance of the samples from it.
	deviation float64
}

func (m *runningMean) add(x float64) {
	m.count++
	weight := max(1/m.count, minSampleWeight)
	m.mean += weight * (x - m.mean)
	m.deviation += weight * (math.Abs(x-m.mean) - m.deviation)
}

// NewEstimator returns an estimator that keeps at most maxFlows pairs of customer
// and class apart; zero stands for 8192.
func NewEstimator(maxFlows int) *Estimator {
	if maxFlows <= 0 {
		maxFlows = defaultMaxFlows
	}
	return &Estimator{maxFlows: maxFlows, flows: map[flowKey]*runningMean{}, classes: map[string]*runningMean{}}
}

// Expected returns the expected output in tokens, at least 1 and at most
// maxTokens (when that is positive).
func (e *Estimator) Expected(customer, class string, maxTokens int) int {
	value, _ := e.estimate(flowKey{customer, class})
	return clampTokens(value, maxTokens)
}

// LongOutput returns an output in tokens that most answers don't exceed, bounded in
// the same way.
func (e *Estimator) LongOutput(customer, class string, maxTokens int) int {
	value, spread := e.estimate(flowKey{customer, class})
	return clampTokens(value+longDeviations*spread, maxTokens)
}

func clampTokens(v float64, maxTokens int) int {
	n := max(1, int(v+0.5))
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

func (e *Estimator) estimate(k flowKey) (value, spread float64) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	value, spread = initialOutputTokens, initialOutputTokens
	if c := e.classes[k.class]; c != nil {
		value, spread = c.mean, c.deviation
	} else if e.all.count > 0 {
		value, spread = e.all.mean, e.all.deviation
	}
	f := e.flows[k]
	if f == nil {
		return value, spread
	}
	customerWeight := f.count / (f.count + priorSamples)
	return value + customerWeight*(f.mean-value), spread + customerWeight*(f.deviation-spread)
}

// Learn takes in the actual output of an answer that ended by itself, in tokens.
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
