package backlog

import (
	"math"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/state"
)

const (
	// An engine counts as stuck if it has completed nothing for stuckFactor times the longest
	// predicted prefill plus minStuckTime.
	stuckFactor  = 3
	minStuckTime = 200 * time.Millisecond
	// arrivalWindow is the time over which recently arrived work is averaged. maxOvertakingLoad
	// bounds the share of an engine's time that prompts of lower ranks are assumed to take, and
	// with it the predicted delay that they cause.
	arrivalWindow     = 2 * time.Second
	maxOvertakingLoad = 0.75
	// stepTokens is how many prompt tokens an engine computes in a step: 1,024 or 4,096 for the
	// known engines.
	stepTokens = 4096
)

// Forecast is the prediction for a prompt at an engine.
type Forecast struct {
	// Wait is the time until the prefill begins, and Finish the time until it ends, both from
	// now.
	Wait, Finish time.Duration
	// Rank is the prompt's order at the engine: prompts of lower ranks are computed first.
	// Outcome is the reason for it.
	Rank    int
	Outcome contention.Outcome
	// CachedTokens is how many tokens of the prompt's parts, from the first on, the engine has
	// computed; other engines can fetch them. CachedAtStart also counts those that the engine
	// computes before this prompt. UncachedTime is the predicted time for the remaining tokens
	// of the parts.
	CachedTokens, CachedAtStart int
	UncachedTime                time.Duration
	// Error is the mean relative error of recent predictions, from 0 to 1.
	Error float64
	// Reliable is set if there were enough samples to rely on the prediction.
	Reliable bool
}

// PessimisticFinish returns the time until the prefill ends if it takes longer than predicted by
// the mean relative error.
func (f Forecast) PessimisticFinish() time.Duration {
	return f.Finish + time.Duration(f.Error*float64(f.Finish))
}

// Forecast predicts the prefill of a prompt that is added now. A prompt that would end later
// than limit gets a rank after those that are in time; see contention.Decide.
func (q *Queue) Forecast(now time.Time, prompt Prompt, limit time.Duration) Forecast {
	p, fetchable := q.prefillOf(prompt)
	prefillMS := q.factor * q.estimator.Predict(p)
	cachedMS := q.factor * q.estimator.Predict(prefill{newTokens: prompt.OwnTokens, cachedTokens: p.cachedTokens + p.newTokens - prompt.OwnTokens})
	f := Forecast{
		CachedTokens: fetchable, CachedAtStart: p.cachedTokens, UncachedTime: state.Millis(max(0, prefillMS-cachedMS)),
		Error: q.estimator.Error(), Reliable: q.estimator.Reliable(),
	}
	q.decide(&f, now, prompt, limit, prefillMS)
	return f
}

// setRank sets the rank of a forecast and the durations that follow from it.
func (q *Queue) setRank(f *Forecast, now time.Time, rank int, tookMS float64) {
	wait := q.waitMS(now, rank, len(q.entries)) * q.overtakingFactor(now, rank)
	excess := q.excess(now)
	f.Rank, f.Wait, f.Finish = rank, state.Millis(stretch(wait, excess)), state.Millis(stretch(wait+tookMS, excess)+q.latencyMS())
}

// Progress is the state of a prompt at an engine.
type Progress int

// The states of a prompt.
const (
	// Unknown prompts are not in the queue.
	Unknown Progress = iota
	// InProgress prompts wait or are being computed.
	InProgress
	// Lost prompts were overtaken by later ones that ended, or the engine is stuck.
	Lost
)

// Remaining predicts when the prefill of a prompt that is InProgress ends.
func (q *Queue) Remaining(now time.Time, id uint64) (Forecast, Progress) {
	index := slices.IndexFunc(q.entries, func(e *entry) bool { return e.id == id })
	if index < 0 {
		return Forecast{}, Unknown
	}
	if q.entries[index].overtaken >= lostAfterOvertakes || q.stuck(now) {
		return Forecast{}, Lost
	}
	e := q.entries[index]
	f := Forecast{Rank: e.rank, Outcome: e.outcome, Error: q.estimator.Error(), Reliable: q.estimator.Reliable()}
	excess := q.excess(now)
	if e == q.current {
		f.Finish = state.Millis(max(0, stretch(q.remainingMS(now), excess)+q.latencyMS()))
		return f, InProgress
	}
	wait := q.waitMS(now, e.rank, index) * q.overtakingFactor(now, e.rank)
	f.Wait, f.Finish = state.Millis(stretch(wait, excess)), state.Millis(stretch(wait+q.factor*e.predictedMS, excess)+q.latencyMS())
	return f, InProgress
}

// stuck reports whether the engine has completed nothing for several times the predicted
// duration of its longest prompt.
func (q *Queue) stuck(now time.Time) bool {
	if q.current == nil {
		return false
	}
	longest := 0.0
	for _, e := range q.entries {
		longest = max(longest, q.factor*e.predictedMS)
	}
	return now.Sub(q.currentSince) > state.Millis(stuckFactor*(longest+q.latencyMS()))+minStuckTime
}

// prefillOf returns the work that the engine has to do for a prompt, and how many tokens of the
// prompt's parts other engines can fetch from it.
func (q *Queue) prefillOf(prompt Prompt) (p prefill, fetchable int) {
	sharedTokens := 0
	for _, part := range prompt.Parts {
		sharedTokens += part.Tokens
	}
	p.cachedTokens, fetchable = q.cache.prefix(prompt.Parts)
	if prompt.FetchableTokens > p.cachedTokens {
		p.fetchMS = prompt.FetchMS * float64(prompt.FetchableTokens-p.cachedTokens) / float64(prompt.FetchableTokens)
		p.cachedTokens = prompt.FetchableTokens
	}
	p.newTokens = sharedTokens + prompt.OwnTokens - p.cachedTokens
	return p, fetchable
}

// waitMS returns the predicted time until the engine computes a prompt of the rank that arrived after
// the first n entries, in milliseconds. An engine computes one prompt after the other, by rank and
// then in order of arrival.
func (q *Queue) waitMS(now time.Time, rank, n int) float64 {
	total := 0.0
	if n == len(q.entries) && q.current != nil && q.remainingMS(now) < q.stepMS() {
		// The engine has already put the prompt after the current one into the same step, so a new
		// prompt of a lower rank doesn't overtake it.
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
	return max(0, total)
}

// latencyMS returns how long after its computation a prefill ends at the lasting speed, in
// milliseconds.
func (q *Queue) latencyMS() float64 { return q.factor * q.estimator.latencyMS() }

// remainingMS returns the predicted time for which the engine still computes the current prompt at the
// lasting speed, in milliseconds. It is negative if the prompt is computed and the engine's latency
// hasn't passed: the engine has begun with the next ones. A prefill that is overdue is assumed to take
// as long again as it is overdue.
func (q *Queue) remainingMS(now time.Time) float64 {
	expected, elapsed := q.factor*q.current.predictedMS, now.Sub(q.currentSince).Seconds()*thousand
	left := expected - elapsed/(1+q.slowPeriod.at(now))
	if left+q.latencyMS() > 0 {
		return left
	}
	return elapsed - expected - q.latencyMS()
}

// startNext makes the first waiting prompt by rank the current one, after one has ended. The engine
// chose it when its last step before that began, so prompts that arrived later are only considered if
// there is no other. It has computed it since it had computed the last one, or since it arrived.
func (q *Queue) startNext(now time.Time) {
	q.latency = state.Millis(q.latencyMS())
	computed := now.Add(-q.latency)
	q.current = q.firstWaiting(computed.Add(-state.Millis(q.stepMS())))
	if q.current == nil {
		q.current = q.firstWaiting(now)
	}
	q.currentSince, q.fromIdle = computed, false
	if q.current != nil && !q.current.arrived.Before(computed) {
		q.currentSince, q.fromIdle = q.current.arrived, true
	}
}

// firstWaiting returns the first prompt by rank among those that arrived no later than until,
// except for the current prompt and lost ones; nil if there is none.
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

// stepMS returns the duration of one step of the engine, in milliseconds. The engine chooses the
// prompts of a step when the step begins.
func (q *Queue) stepMS() float64 { return q.factor * q.estimator.tokensMS(stepTokens) }

// overtakingFactor returns by which factor the wait of a prompt grows because prompts of lower
// ranks arrive meanwhile. It assumes that they keep arriving at the recent rate.
func (q *Queue) overtakingFactor(now time.Time, rank int) float64 {
	q.decayRecentLoad(now)
	load := 0.0
	for _, l := range q.recentLoad[:rank] {
		load += l
	}
	return 1 / (1 - min(load, maxOvertakingLoad))
}

// decayRecentLoad decays the load of recent arrivals to the present time.
func (q *Queue) decayRecentLoad(now time.Time) {
	weight := math.Exp(-now.Sub(q.recentLoadAt).Seconds() / arrivalWindow.Seconds())
	for i := range q.recentLoad {
		q.recentLoad[i] *= weight
	}
	q.recentLate *= weight
	q.recentLoadAt = now
}
