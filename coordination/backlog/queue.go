package backlog

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/contention"
)

const (
	// maxFactor and minFactor bound an engine's factor: its prefill durations relative to the
	// usual ones of the service.
	maxFactor = 20
	minFactor = 0.25
	// slowFactor is the factor from which an engine counts as slow. Its prefills are then no
	// measure for those of other engines.
	slowFactor = 1.5
	// lostAfterOvertakes is how many later prompts end before a prompt counts as lost. An engine
	// ends two that it computes at once in any order.
	lostAfterOvertakes = 2
	// minSamplePrompts is how many completed prompts are combined to a sample while the queue
	// doesn't become empty: an engine computes several at once and ends them in another order.
	minSamplePrompts = 6
)

// Queue tracks the prompts in progress at one engine, as far as they were reported to the
// engine's owner. It isn't safe for concurrent use.
type Queue struct {
	estimator *Estimator
	profile   profile
	// factor is how many times longer than the estimator predicts the engine's prefills take by its
	// lasting speed. slowPeriod is its present state.
	factor     float64
	slowPeriod slowPeriod
	cache      *prefixCache
	entries    []*entry
	// current is the prompt that is assumed to be computed since currentSince, or that was computed
	// and ends after the engine's latency; nil if there is none. fromIdle is set if the engine was
	// idle at currentSince; otherwise the prompt before ended latency later.
	current      *entry
	currentSince time.Time
	latency      time.Duration
	fromIdle     bool
	// sampleFeatures and sampleMS sum up the prefills that ended since the last sample, and
	// their duration in milliseconds.
	sampleFeatures features
	sampleMS       float64
	// recentLoad is the work of each rank that arrived recently, as a share of the engine's
	// time. recentLoadAt is the time of its last update.
	// recentLate is the part of it that was predicted to be late.
	recentLoad   [2 * Classes]float64
	recentLate   float64
	recentLoadAt time.Time
	// sampleInvalid is set if a prefill was aborted since the last sample.
	sampleInvalid bool
	// credits are the engine time that the levels have saved.
	credits contention.Credits
}

// entry is one prompt in progress.
type entry struct {
	id       uint64
	rank     int
	arrived  time.Time
	features features
	// predictedMS is how long the prompt is predicted to occupy an engine of usual speed, and fetchMS
	// the part of it in which parts are fetched, in milliseconds.
	predictedMS   float64
	fetchMS       float64
	insertedParts []uint64
	// overtaken counts the prompts that ended although they arrived later and their rank is not
	// lower.
	overtaken int
	class     contention.Class
	outcome   contention.Outcome
	// due is the time by which the prompt should end; zero if there is none.
	due time.Time
}

// NewQueue returns the queue of an engine without samples, which is assumed to have the usual
// speed.
func NewQueue(e *Estimator) *Queue {
	return &Queue{estimator: e, profile: newProfile(e), factor: 1, cache: newPrefixCache()}
}

// Add adds a prompt with the rank and without a limit. memoryTokens is the engine's memory.
func (q *Queue) Add(now time.Time, id uint64, prompt Prompt, rank, memoryTokens int) {
	q.Admit(now, id, prompt, Forecast{Rank: rank}, 0, memoryTokens)
}

// insert adds the entry of a prompt.
func (q *Queue) insert(now time.Time, id uint64, prompt Prompt, rank, memoryTokens int) *entry {
	p, _ := q.prefillOf(prompt)
	e := &entry{id: id, rank: rank, arrived: now, features: p.features(), predictedMS: q.estimator.Predict(p), fetchMS: p.fetchMS}
	q.estimator.observe(e.predictedMS)
	q.decayRecentLoad(now)
	q.recentLoad[e.rank] += q.factor * e.predictedMS / (arrivalWindow.Seconds() * thousand)
	e.insertedParts = q.cache.insert(prompt, memoryTokens)
	q.entries = append(q.entries, e)
	if len(q.entries) == 1 {
		q.sampleFeatures, q.sampleMS, q.sampleInvalid = features{}, 0, false
		q.profile.startBatch()
		q.startNext(now)
	}
	return e
}

// Remove removes a prompt; completed says that its prefill was not aborted. An unknown prompt is
// ignored.
func (q *Queue) Remove(now time.Time, id uint64, completed bool) {
	index := slices.IndexFunc(q.entries, func(e *entry) bool { return e.id == id })
	if index < 0 {
		return
	}
	q.accrueCredits(now)
	e := q.entries[index]
	for _, earlier := range q.entries[:index] {
		if completed && e.rank >= earlier.rank {
			earlier.overtaken++
		}
	}
	q.entries = slices.Delete(q.entries, index, index+1)
	q.cache.complete(e.insertedParts, completed)
	if !completed {
		q.sampleInvalid, q.profile.batchInvalid = true, true
		if e == q.current {
			q.startNext(now)
		}
		return
	}
	q.spendCredit(e)
	x, tookMS := q.measure(now, e)
	if e == q.current && !q.sampleInvalid {
		q.estimator.detectLatency(x, tookMS*q.profile.speed())
	}
	for i := range q.sampleFeatures {
		q.sampleFeatures[i] += x[i]
	}
	q.sampleMS += tookMS
	q.learnSpeed(now, e, x, tookMS)
	q.startNext(now)
	if len(q.entries) == 0 || q.sampleFeatures[0] >= minSamplePrompts {
		q.learnSample()
	}
}

// measure returns the features and the duration of a prefill that has ended, in milliseconds: since
// its arrival at an idle engine, or since the end of the one before it.
func (q *Queue) measure(now time.Time, e *entry) (x features, tookMS float64) {
	x, since := e.features, q.currentSince
	if q.fromIdle {
		x[latencyFeature] = 1
	} else {
		since = since.Add(q.latency)
	}
	return x, now.Sub(since).Seconds() * thousand
}

// learnSample updates the estimator from the prefills that ended.
func (q *Queue) learnSample() {
	if !q.sampleInvalid {
		q.estimator.learnAt(&q.profile, q.sampleFeatures, q.sampleMS)
	}
	q.sampleFeatures, q.sampleMS, q.sampleInvalid = features{}, 0, false
}

// Slow reports whether the engine is far slower than the others.
func (q *Queue) Slow() bool { return q.profile.speed() < 1.0/slowFactor }

// Len returns the number of prompts in progress.
func (q *Queue) Len() int { return len(q.entries) }

// Factor returns how many times longer than predicted for the service the engine's prefills take,
// by its lasting speed.
func (q *Queue) Factor() float64 { return q.factor }
