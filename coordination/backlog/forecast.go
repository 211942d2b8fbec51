package backlog

import (
	"math"
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// stuckAfter and stuckLeast are how many times longer than predicted, and by how much
	// at least, an engine may end nothing before it counts as stuck.
	stuckAfter = 3
	stuckLeast = 200 * time.Millisecond
	// lateWindow is the time over which the work that came is counted, and mostOvertaking
	// the share of an engine's time that others are taken to need at most.
	lateWindow     = 2 * time.Second
	mostOvertaking = 0.75
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
	// Kept is how many tokens of the shared parts the engine has read, from the first
	// on: others may fetch them. Coming counts those as well that it reads before this
	// prompt, and Cold is the predicted time for those that are left.
	Kept, Coming int
	Cold         time.Duration
	// Error is the mean relative error of late predictions, 0 to 1.
	Error float64
	// Known is set once predictions rest on enough readings.
	Known bool
}

// Late is when the reading ends if it takes longer than predicted by the mean error.
func (f Forecast) Late() time.Duration {
	return f.Finish + time.Duration(f.Error*float64(f.Finish))
}

// Forecast predicts when a prompt that is added now would be read. One that would be
// read later than limit goes behind those that aren't.
func (q *Queue) Forecast(now time.Time, w Work, limit time.Duration) Forecast {
	r, ready := q.reading(w)
	took := q.factor * q.estimator.Predict(r)
	warm := q.factor * q.estimator.Predict(reading{fresh: w.Own, kept: r.kept + r.fresh - w.Own})
	f := Forecast{
		Kept: ready, Coming: r.kept, Cold: state.Millis(max(0, took-warm)),
		Error: q.estimator.Error(), Known: q.estimator.Known(),
	}
	q.rank(&f, now, q.estimator.class(took), took)
	if f.Late() > limit {
		q.rank(&f, now, f.Rank+Classes, took)
	}
	return f
}

// rank completes a forecast for a rank.
func (q *Queue) rank(f *Forecast, now time.Time, rank int, tookMS float64) {
	wait := q.waiting(now, rank, len(q.entries)) * q.overtaking(now, rank)
	f.Rank, f.Wait, f.Finish = rank, state.Millis(wait), state.Millis(wait+tookMS)
}

// Progress is what becomes of a prompt under way.
type Progress int

// The kinds of progress.
const (
	// Unknown says that the queue has no such prompt.
	Unknown Progress = iota
	// Underway prompts wait or are read.
	Underway
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
	if q.entries[at].overtaken >= lostFrom || q.stuck(now) {
		return Forecast{}, Lost
	}
	e := q.entries[at]
	f := Forecast{Rank: e.rank, Error: q.estimator.Error(), Known: q.estimator.Known()}
	if e == q.current {
		f.Finish = state.Millis(q.left(now))
		return f, Underway
	}
	wait := q.waiting(now, e.rank, at) * q.overtaking(now, e.rank)
	f.Wait, f.Finish = state.Millis(wait), state.Millis(wait+q.factor*e.ms)
	return f, Underway
}

// stuck reports whether the engine has ended nothing for several times as long as what
// it is believed to read was predicted to take.
func (q *Queue) stuck(now time.Time) bool {
	if q.current == nil {
		return false
	}
	longest := 0.0
	for _, e := range q.entries {
		longest = max(longest, q.factor*e.ms)
	}
	return now.Sub(q.since) > state.Millis(stuckAfter*longest)+stuckLeast
}

// reading is what the engine has to do for a prompt, and how many tokens of its shared
// parts can be fetched from it.
func (q *Queue) reading(w Work) (r reading, ready int) {
	all := 0
	for _, p := range w.Shared {
		all += p.Tokens
	}
	r.kept, ready = q.parts.prefix(w.Shared)
	if w.Fetched > r.kept {
		r.fetchMS = w.FetchMS * float64(w.Fetched-r.kept) / float64(w.Fetched)
		r.kept = w.Fetched
	}
	r.fresh = all + w.Own - r.kept
	return r, ready
}

// waiting is the predicted time of what is read before a prompt of the rank that came
// after the first n of those under way, in milliseconds: an engine reads one prompt
// after the other, by rank and then as they came.
func (q *Queue) waiting(now time.Time, rank, n int) float64 {
	total := 0.0
	if n == len(q.entries) && q.current != nil && q.left(now) < q.stepMS() {
		// The prompt after the present one is in the same step already.
		if e := q.first(now); e != nil && e.rank > rank {
			total += q.factor * e.ms
		}
	}
	for i, e := range q.entries {
		switch {
		case e.overtaken >= lostFrom:
		case e == q.current:
			total += q.left(now)
		case e.rank < rank || (e.rank == rank && i < n):
			total += q.factor * e.ms
		}
	}
	return total
}

// left is the predicted time until what is being read has been, in milliseconds. What
// should have ended is taken to last as much longer as it is late.
func (q *Queue) left(now time.Time) float64 {
	return math.Abs(q.factor*q.current.ms - now.Sub(q.since).Seconds()*thousand)
}

// next takes the first by rank of those that wait as the one that is read from now on.
// It was chosen when the last step began: one that came later isn't.
func (q *Queue) next(now time.Time) {
	q.since, q.current = now, q.first(now.Add(-state.Millis(q.stepMS())))
	if q.current == nil {
		q.current = q.first(now)
	}
}

// first is the first by rank of those that came until then and aren't being read; nil if
// there are none.
func (q *Queue) first(until time.Time) *entry {
	var out *entry
	for _, e := range q.entries {
		if e == q.current || e.overtaken >= lostFrom || e.arrived.After(until) {
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

// overtaking is how many times longer a prompt waits because others of a lower rank
// come meanwhile, by the work of these ranks that arrived recently.
func (q *Queue) overtaking(now time.Time, rank int) float64 {
	q.fade(now)
	load := 0.0
	for _, l := range q.recent[:rank] {
		load += l
	}
	return 1 / (1 - min(load, mostOvertaking))
}

// fade lets the work that arrived recently be forgotten.
func (q *Queue) fade(now time.Time) {
	left := math.Exp(-now.Sub(q.fadedAt).Seconds() / lateWindow.Seconds())
	for i := range q.recent {
		q.recent[i] *= left
	}
	q.fadedAt = now
}
