package backlog

import (
	"math"
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// stuckFactor and stuckLeast are how many times longer than predicted, and by how much
	// at least, an engine may end nothing before it counts as stuck.
	stuckFactor  = 3
	minStuckTime = 200 * time.Millisecond
	// arrivalWindow is the time over which the work that came is counted, and mostOvertaking
	// the share of an engine's time that others are taken to need at most.
	arrivalWindow     = 2 * time.Second
	maxOvertakingLoad = 0.75
	// stepTokens is how much of prompts an engine reads in a step: 1,024 and 4,096 on
	// today's sheets.
	stepTokens = 4096
)

// Forecast is what is predicted of a prompt at an engine.
type Forecast struct {
	// Wait is the time before the reading begins, and Finish that until it ends, both
	// from now.
	Wait, Finish time.Duration
	// Rank is the prompt's order at the engine: a lower one is read first.
	Rank int
	// CachedTokens is how many tokens of the shared parts the engine has read, from the first
	// on: others may fetch them. CachedAtStart counts those as well that it reads before this
	// prompt, and Cold is the predicted time for those that are left.
	CachedTokens, CachedAtStart int
	UncachedTime                time.Duration
	// Error is the mean relative error of late predictions, 0 to 1.
	Error float64
	// Reliable is set once predictions rest on enough readings.
	Reliable bool
}

// PessimisticFinish is when the reading ends if it takes longer than predicted by the mean error.
func (f Forecast) PessimisticFinish() time.Duration {
	return f.Finish + time.Duration(f.Error*float64(f.Finish))
}

// Forecast predicts when a prompt that is added now would be read. One that would be
// read later than limit goes behind those that aren't.
func (q *Queue) Forecast(now time.Time, w Prompt, limit time.Duration) Forecast {
	r, fetchable := q.prefillOf(w)
	prefillMS := q.factor * q.estimator.Predict(r)
	cachedMS := q.factor * q.estimator.Predict(prefill{newTokens: w.OwnTokens, cachedTokens: r.cachedTokens + r.newTokens - w.OwnTokens})
	f := Forecast{
		CachedTokens: fetchable, CachedAtStart: r.cachedTokens, UncachedTime: state.Millis(max(0, prefillMS-cachedMS)),
		Error: q.estimator.Error(), Reliable: q.estimator.Reliable(),
	}
	q.setRank(&f, now, q.estimator.class(prefillMS), prefillMS)
	if f.PessimisticFinish() > limit {
		q.setRank(&f, now, f.Rank+Classes, prefillMS)
	}
	return f
}

// setRank completes a forecast for a setRank.
func (q *Queue) setRank(f *Forecast, now time.Time, rank int, tookMS float64) {
	wait := q.waitMS(now, rank, len(q.entries)) * q.overtakingFactor(now, rank)
	f.Rank, f.Wait, f.Finish = rank, state.Millis(wait), state.Millis(wait+tookMS)
}

// Progress is what becomes of a prompt under way.
type Progress int

// The kinds of progress.
const (
	// Unknown says that the queue has no such prompt.
	Unknown Progress = iota
	// InProgress prompts wait or are read.
	InProgress
	// Lost says that the engine ended later prompts before this one, or nothing for
	// too long.
	Lost
)

// Remaining predicts when a prompt that is Underway will have been read.
func (q *Queue) Remaining(now time.Time, id uint64) (Forecast, Progress) {
	at := slices.IndexFunc(q.entries, func(e *entry) bool { return e.id == id })
	if at < 0 {
		return Forecast{}, Unknown
	}
	if q.entries[at].overtaken >= lostAfterOvertakes || q.stuck(now) {
		return Forecast{}, Lost
	}
	e := q.entries[at]
	f := Forecast{Rank: e.rank, Error: q.estimator.Error(), Reliable: q.estimator.Reliable()}
	if e == q.current {
		f.Finish = state.Millis(q.remainingMS(now))
		return f, InProgress
	}
	wait := q.waitMS(now, e.rank, at) * q.overtakingFactor(now, e.rank)
	f.Wait, f.Finish = state.Millis(wait), state.Millis(wait+q.factor*e.predictedMS)
	return f, InProgress
}

// stuck reports whether the engine has ended nothing for several times as long as what
// it is believed to read was predicted to take.
func (q *Queue) stuck(now time.Time) bool {
	if q.current == nil {
		return false
	}
	longest := 0.0
	for _, e := range q.entries {
		longest = max(longest, q.factor*e.predictedMS)
	}
	return now.Sub(q.currentSince) > state.Millis(stuckFactor*longest)+minStuckTime
}

// prefillOf is what the engine has to do for a prompt, and how many tokens of its shared
// parts can be fetched from it.
func (q *Queue) prefillOf(w Prompt) (r prefill, fetchable int) {
	sharedTokens := 0
	for _, p := range w.Parts {
		sharedTokens += p.Tokens
	}
	r.cachedTokens, fetchable = q.cache.prefix(w.Parts)
	if w.FetchableTokens > r.cachedTokens {
		r.fetchMS = w.FetchMS * float64(w.FetchableTokens-r.cachedTokens) / float64(w.FetchableTokens)
		r.cachedTokens = w.FetchableTokens
	}
	r.newTokens = sharedTokens + w.OwnTokens - r.cachedTokens
	return r, fetchable
}

// waitMS is the predicted time of what is read before a prompt of the rank that came
// after the first n of those under way, in milliseconds: an engine reads one prompt
// after the other, by rank and then as they came.
func (q *Queue) waitMS(now time.Time, rank, n int) float64 {
	total := 0.0
	if n == len(q.entries) && q.current != nil && q.remainingMS(now) < q.stepMS() {
		// The prompt after the present one is in the same step already.
		if e := q.firstWaiting(now); e != nil && e.rank > rank {
			total += q.factor * e.predictedMS
		}
	}
	for i, e := range q.entries {
		switch {
		case e.overtaken >= lostAfterOvertakes:
		case e == q.current:
			total += q.remainingMS(now)
		case e.rank < rank || (e.rank == rank && i < n):
			total += q.factor * e.predictedMS
		}
	}
	return total
}

// remainingMS is the predicted time until what is being read has been, in milliseconds. What
// should have ended is taken to last as much longer as it is late.
func (q *Queue) remainingMS(now time.Time) float64 {
	return math.Abs(q.factor*q.current.predictedMS - now.Sub(q.currentSince).Seconds()*thousand)
}

// startNext takes the first by rank of those that wait as the one that is read from now on.
// It was chosen when the last step began: one that came later isn't.
func (q *Queue) startNext(now time.Time) {
	q.currentSince, q.current = now, q.firstWaiting(now.Add(-state.Millis(q.stepMS())))
	if q.current == nil {
		q.current = q.firstWaiting(now)
	}
}

// firstWaiting is the firstWaiting by rank of those that came until then and aren't being read; nil if
// there are none.
func (q *Queue) firstWaiting(until time.Time) *entry {
	var out *entry
	for _, e := range q.entries {
		if e == q.current || e.overtaken >= lostAfterOvertakes || e.arrived.After(until) {
			continue
		}
		if out == nil || e.rank < out.rank {
			out = e
		}
	}
	return out
}

// stepMS is the time of one step of the engine, in milliseconds. What is read in a step
// is chosen when it begins.
func (q *Queue) stepMS() float64 { return q.factor * q.estimator.tokensMS(stepTokens) }

// overtakingFactor is how many times longer a prompt waits because others of a lower rank
// come meanwhile, by the work of these ranks that arrived recently.
func (q *Queue) overtakingFactor(now time.Time, rank int) float64 {
	q.decayRecentLoad(now)
	load := 0.0
	for _, l := range q.recentLoad[:rank] {
		load += l
	}
	return 1 / (1 - min(load, maxOvertakingLoad))
}

// decayRecentLoad lets the work that arrived recently be forgotten.
func (q *Queue) decayRecentLoad(now time.Time) {
	weight := math.Exp(-now.Sub(q.recentLoadAt).Seconds() / arrivalWindow.Seconds())
	for i := range q.recentLoad {
		q.recentLoad[i] *= weight
	}
	q.recentLoadAt = now
}
