package backlog

import (
	"math"
	"slices"
	"time"
)

const (
	// maxFactor and fastest bound an engine's factor against the others.
	maxFactor = 20
	minFactor = 0.5
	// factorGain is the weight of a sample in the logarithm of an engine's factor, and
	// mostSeen bounds what one sample says: an engine that is five times as slow is
	// known for three times as slow after four readings, and one reading that was held
	// up for another reason says little.
	factorGain     = 0.25
	maxSampleRatio = 4
	// slowFactor is the factor from which an engine's readings say nothing of the others.
	slowFactor = 1.5
	// lostAfterOvertakes is how many later prompts end before one whose answer counts as lost: an
	// engine ends two that it reads at once in any order.
	lostAfterOvertakes = 2
	// minSamplePrompts readings are taken together when the queue doesn't get empty, since
	// an engine reads several at once and ends them in another order.
	minSamplePrompts = 6
)

// Queue is what is under way at one engine, as far as its owner was told. It isn't safe
// for concurrent use.
type Queue struct {
	estimator *Estimator
	factor    float64
	cache     *prefixCache
	entries   []*entry
	// current is the prompt that is believed to be read, since then; nil if none is.
	current      *entry
	currentSince time.Time
	// sampleFeatures and sumMS are readings that have ended since the last sample, and their time.
	sampleFeatures features
	sampleMS       float64
	// recentLoad is the work of each rank that arrived recently, as a share of the engine's time,
	// and fadedAt when it was last brought up to date.
	recentLoad   [2 * Classes]float64
	recentLoadAt time.Time
	// sampleInvalid is set if a reading was broken off since the last sample.
	sampleInvalid bool
}

// entry is one prompt under way.
type entry struct {
	id       uint64
	rank     int
	arrived  time.Time
	features features
	// predictedMS is the predicted time at an engine of usual speed.
	predictedMS   float64
	insertedParts []uint64
	// overtaken is how many prompts ended that arrived after this one and should not have
	// gone before it.
	overtaken int
}

// NewQueue returns the queue of an engine of which nothing is known.
func NewQueue(e *Estimator) *Queue { return &Queue{estimator: e, factor: 1, cache: newPrefixCache()} }

// Add counts a prompt of the rank in.
func (q *Queue) Add(now time.Time, id uint64, w Prompt, rank, memoryTokens int) {
	r, _ := q.prefillOf(w)
	e := &entry{id: id, rank: rank, arrived: now, features: r.features(), predictedMS: q.estimator.Predict(r)}
	q.estimator.observe(e.predictedMS)
	q.decayRecentLoad(now)
	q.recentLoad[e.rank] += q.factor * e.predictedMS / (arrivalWindow.Seconds() * thousand)
	e.insertedParts = q.cache.insert(w, memoryTokens)
	q.entries = append(q.entries, e)
	if len(q.entries) == 1 {
		q.sampleFeatures, q.sampleMS, q.sampleInvalid = features{}, 0, false
		q.startNext(now)
	}
}

// Remove counts a prompt out; read says that it was read to its end. An unknown one is
// passed over.
func (q *Queue) Remove(now time.Time, id uint64, completed bool) {
	at := slices.IndexFunc(q.entries, func(e *entry) bool { return e.id == id })
	if at < 0 {
		return
	}
	e := q.entries[at]
	for _, earlier := range q.entries[:at] {
		if completed && e.rank >= earlier.rank {
			earlier.overtaken++
		}
	}
	q.entries = slices.Delete(q.entries, at, at+1)
	q.cache.complete(e.insertedParts, completed)
	if !completed {
		q.sampleInvalid = true
		if e == q.current {
			q.startNext(now)
		}
		return
	}
	for i := range q.sampleFeatures {
		q.sampleFeatures[i] += e.features[i]
	}
	q.sampleMS += now.Sub(q.currentSince).Seconds() * thousand
	q.startNext(now)
	if len(q.entries) == 0 || q.sampleFeatures[0] >= minSamplePrompts {
		q.learnSample()
	}
}

// learnSample learns from the readings that have ended.
func (q *Queue) learnSample() {
	if !q.sampleInvalid {
		q.estimator.learn(q.sampleFeatures, q.sampleMS/q.slowness())
		ratio := q.sampleMS / q.estimator.predict(q.sampleFeatures) / q.factor
		q.factor *= math.Pow(min(max(ratio, 1.0/maxSampleRatio), maxSampleRatio), factorGain)
		q.factor = min(max(q.factor, minFactor), maxFactor)
	}
	q.sampleFeatures, q.sampleMS, q.sampleInvalid = features{}, 0, false
}

// slowness is the engine's factor if it is far from usual, else 1: what all engines have in
// common is the estimator's to learn.
func (q *Queue) slowness() float64 {
	if q.Slow() {
		return q.factor
	}
	return 1
}

// Slow reports whether the engine is far slower than the others.
func (q *Queue) Slow() bool { return q.factor > slowFactor }

// Len is how many prompts are under way.
func (q *Queue) Len() int { return len(q.entries) }

// Factor is how much slower than the others the engine is.
func (q *Queue) Factor() float64 { return q.factor }
