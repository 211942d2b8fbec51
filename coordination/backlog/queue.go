package backlog

import (
	"math"
	"slices"
	"time"
)

const (
	// slowest and fastest bound an engine's factor against the others.
	slowest = 20
	fastest = 0.5
	// factorGain is the weight of a sample in the logarithm of an engine's factor, and
	// mostSeen bounds what one sample says: an engine that is five times as slow is
	// known for three times as slow after four readings, and one reading that was held
	// up for another reason says little.
	factorGain = 0.25
	mostSeen   = 4
	// slowFrom is the factor from which an engine's readings say nothing of the others.
	slowFrom = 1.5
	// lostFrom is how many later prompts end before one whose answer counts as lost: an
	// engine ends two that it reads at once in any order.
	lostFrom = 2
	// sampleLeast readings are taken together when the queue doesn't get empty, since
	// an engine reads several at once and ends them in another order.
	sampleLeast = 6
)

// Queue is what is under way at one engine, as far as its owner was told. It isn't safe
// for concurrent use.
type Queue struct {
	estimator *Estimator
	factor    float64
	parts     *kept
	entries   []*entry
	// current is the prompt that is believed to be read, since then; nil if none is.
	current *entry
	since   time.Time
	// sum and sumMS are readings that have ended since the last sample, and their time.
	sum   features
	sumMS float64
	// recent is the work of each rank that arrived recently, as a share of the engine's time,
	// and fadedAt when it was last brought up to date.
	recent  [2 * Classes]float64
	fadedAt time.Time
	// spoiled is set if a reading was broken off since the last sample.
	spoiled bool
}

// entry is one prompt under way.
type entry struct {
	id      uint64
	rank    int
	arrived time.Time
	x       features
	// ms is the predicted time at an engine of usual speed.
	ms    float64
	added []uint64
	// overtaken is how many prompts ended that arrived after this one and should not have
	// gone before it.
	overtaken int
}

// NewQueue returns the queue of an engine of which nothing is known.
func NewQueue(e *Estimator) *Queue { return &Queue{estimator: e, factor: 1, parts: newKept()} }

// Add counts a prompt of the rank in.
func (q *Queue) Add(now time.Time, id uint64, w Work, rank, memory int) {
	r, _ := q.reading(w)
	e := &entry{id: id, rank: rank, arrived: now, x: r.features(), ms: q.estimator.Predict(r)}
	q.estimator.met(e.ms)
	q.fade(now)
	q.recent[e.rank] += q.factor * e.ms / (lateWindow.Seconds() * thousand)
	e.added = q.parts.use(w, memory)
	q.entries = append(q.entries, e)
	if len(q.entries) == 1 {
		q.sum, q.sumMS, q.spoiled = features{}, 0, false
		q.next(now)
	}
}

// Remove counts a prompt out; read says that it was read to its end. An unknown one is
// passed over.
func (q *Queue) Remove(now time.Time, id uint64, read bool) {
	at := slices.IndexFunc(q.entries, func(e *entry) bool { return e.id == id })
	if at < 0 {
		return
	}
	e := q.entries[at]
	for _, earlier := range q.entries[:at] {
		if read && e.rank >= earlier.rank {
			earlier.overtaken++
		}
	}
	q.entries = slices.Delete(q.entries, at, at+1)
	q.parts.settle(e.added, read)
	if !read {
		q.spoiled = true
		if e == q.current {
			q.next(now)
		}
		return
	}
	for i := range q.sum {
		q.sum[i] += e.x[i]
	}
	q.sumMS += now.Sub(q.since).Seconds() * thousand
	q.next(now)
	if len(q.entries) == 0 || q.sum[0] >= sampleLeast {
		q.sample()
	}
}

// sample learns from the readings that have ended.
func (q *Queue) sample() {
	if !q.spoiled {
		q.estimator.learn(q.sum, q.sumMS/q.slowness())
		seen := q.sumMS / q.estimator.predict(q.sum) / q.factor
		q.factor *= math.Pow(min(max(seen, 1.0/mostSeen), mostSeen), factorGain)
		q.factor = min(max(q.factor, fastest), slowest)
	}
	q.sum, q.sumMS, q.spoiled = features{}, 0, false
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
func (q *Queue) Slow() bool { return q.factor > slowFrom }

// Len is how many prompts are under way.
func (q *Queue) Len() int { return len(q.entries) }

// Factor is how much slower than the others the engine is.
func (q *Queue) Factor() float64 { return q.factor }
