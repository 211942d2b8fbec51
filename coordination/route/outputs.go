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
	// outputWeight is the least weight of a new sample.
	outputWeight = 0.05
	// priorSamples is how many samples the class's mean stands for when a
	// customer is new.
	priorSamples = 4
	// longSpreads is how many mean distances above the mean a long output is:
	// about 85% of a normal distribution, and of an even one, are below.
	longSpreads = 1.3
	// firstGuess is the expected output in tokens before any answer.
	firstGuess = 128
)

// Estimator predicts the length of an answer from earlier ones of the same
// customer and class; a new customer starts from its class. Its memory is bounded:
// pairs beyond the bound share their class's figure. It is safe for concurrent
// use.
type Estimator struct {
	max int

	mu      sync.RWMutex
	flows   map[flowKey]*mean
	classes map[string]*mean
	all     mean
}

type flowKey struct{ customer, class string }

// mean is a fading mean and spread: plain over the first samples, exponential
// later.
type mean struct {
	n     float64
	value float64
	// spread is the mean distance of the samples from it.
	spread float64
}

func (m *mean) add(x float64) {
	m.n++
	weight := max(1/m.n, outputWeight)
	m.value += weight * (x - m.value)
	m.spread += weight * (math.Abs(x-m.value) - m.spread)
}

// NewEstimator returns an estimator that keeps at most maxFlows pairs of customer
// and class apart; zero stands for 8192.
func NewEstimator(maxFlows int) *Estimator {
	if maxFlows <= 0 {
		maxFlows = defaultMaxFlows
	}
	return &Estimator{max: maxFlows, flows: map[flowKey]*mean{}, classes: map[string]*mean{}}
}

// Expected returns the expected output in tokens, at least 1 and at most
// maxTokens (when that is positive).
func (e *Estimator) Expected(customer, class string, maxTokens int) int {
	value, _ := e.estimate(flowKey{customer, class})
	return bounded(value, maxTokens)
}

// LongOutput returns an output in tokens that most answers don't exceed, bounded in
// the same way.
func (e *Estimator) LongOutput(customer, class string, maxTokens int) int {
	value, spread := e.estimate(flowKey{customer, class})
	return bounded(value+longSpreads*spread, maxTokens)
}

func bounded(v float64, maxTokens int) int {
	n := max(1, int(v+0.5))
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

func (e *Estimator) estimate(k flowKey) (value, spread float64) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	value, spread = firstGuess, firstGuess
	if c := e.classes[k.class]; c != nil {
		value, spread = c.value, c.spread
	} else if e.all.n > 0 {
		value, spread = e.all.value, e.all.spread
	}
	f := e.flows[k]
	if f == nil {
		return value, spread
	}
	own := f.n / (f.n + priorSamples)
	return value + own*(f.value-value), spread + own*(f.spread-spread)
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
		c = &mean{}
		e.classes[class] = c
	}
	if c != nil {
		c.add(x)
	}
	k := flowKey{customer, class}
	f := e.flows[k]
	if f == nil {
		if len(e.flows) >= e.max {
			return
		}
		f = &mean{}
		e.flows[k] = f
	}
	f.add(x)
}
