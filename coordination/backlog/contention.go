package backlog

import (
	"time"

	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/state"
)

// Deferred reports whether the prompt has a rank after those that are in time.
func (f Forecast) Deferred() bool {
	switch f.Outcome {
	case contention.InTime, contention.Promoted:
		return false
	case contention.Unset:
		return f.Rank >= Classes
	default:
		return true
	}
}

// late reports whether the prompt is predicted to be late, for another reason than its customer's
// share.
func (f Forecast) late() bool { return f.Deferred() && f.Outcome != contention.Deferred }

// decide sets the rank of a forecast, by its effect on the prompt and on those that wait.
func (q *Queue) decide(f *Forecast, now time.Time, prompt Prompt, limit time.Duration, tookMS float64) {
	q.accrueCredits(now)
	size := q.estimator.class(tookMS)
	if prompt.Class.Levels > 1 {
		size = q.estimator.levelClass(prompt.Class.Index(), tookMS)
	}
	d := contention.Decide(contention.Prompt{
		Class: prompt.Class, Size: size, Cost: state.Millis(tookMS), Limit: limit,
		Ahead: prompt.AheadOfShare, Credit: q.credits.Of(prompt.Class.Index()),
	}, &newcomer{q, *f, now, tookMS})
	q.setRank(f, now, d.Rank, tookMS)
	f.Outcome = d.Outcome
}

// newcomer implements contention.Queue for a prompt that isn't in the queue.
type newcomer struct {
	q      *Queue
	f      Forecast
	now    time.Time
	tookMS float64
}

// Finish implements contention.Queue.
func (n *newcomer) Finish(rank int) time.Duration {
	n.q.setRank(&n.f, n.now, rank, n.tookMS)
	return n.f.PessimisticFinish()
}

// MakesLate implements contention.Queue.
func (n *newcomer) MakesLate(rank int) bool {
	ahead := 0.0 // the work before the next entry of the rank after
	for _, e := range n.q.entries {
		if e.rank <= rank || e == n.q.current {
			ahead += n.q.remainingOf(e, n.now)
		}
	}
	for _, e := range n.q.entries {
		if e.rank != rank+1 || e == n.q.current {
			continue
		}
		ahead += n.q.remainingOf(e, n.now)
		left := state.InMillis(e.due.Sub(n.now)) - n.q.latencyMS()
		if !e.due.IsZero() && ahead <= left && ahead+n.tookMS > left {
			return true
		}
	}
	return false
}

// remainingOf returns the predicted time that the engine still needs for an entry, in milliseconds;
// 0 for a lost one.
func (q *Queue) remainingOf(e *entry, now time.Time) float64 {
	switch {
	case e.overtaken >= lostAfterOvertakes:
		return 0
	case e == q.current:
		return max(0, q.remainingMS(now))
	default:
		return q.factor * e.predictedMS
	}
}

// accrueCredits adds the credit of the levels whose prompts wait. It is called before each change of
// the entries.
func (q *Queue) accrueCredits(now time.Time) {
	var waiting [contention.MaxLevels]bool
	for level, n := range q.Waiting() {
		waiting[level] = n > 0
	}
	q.credits.Accrue(now, waiting)
}

// Waiting returns the number of waiting prompts by level, without the one that is being computed and
// lost ones.
func (q *Queue) Waiting() [contention.MaxLevels]int {
	var out [contention.MaxLevels]int
	for _, e := range q.entries {
		if e != q.current && e.overtaken < lostAfterOvertakes {
			out[e.class.Index()]++
		}
	}
	return out
}

// OthersWait reports whether a prompt of another customer waits.
func (q *Queue) OthersWait(customer uint64) bool {
	for _, e := range q.entries {
		if e != q.current && e.overtaken < lostAfterOvertakes && e.class.Customer != customer {
			return true
		}
	}
	return false
}

// Admit adds a prompt with its forecast, which was made with the limit, and returns the predicted
// duration of its prefill.
func (q *Queue) Admit(now time.Time, id uint64, prompt Prompt, f Forecast, limit time.Duration, memoryTokens int) time.Duration {
	q.accrueCredits(now)
	e := q.insert(now, id, prompt, f.Rank, memoryTokens)
	e.class, e.outcome = prompt.Class, f.Outcome
	if limit > 0 {
		e.due = now.Add(limit)
	}
	tookMS := q.factor * e.predictedMS
	q.estimator.observeLevel(prompt.Class.Index(), e.predictedMS)
	if f.late() {
		q.recentLate += tookMS / (arrivalWindow.Seconds() * thousand)
	}
	if f.Outcome == contention.Promoted {
		q.credits.Spend(prompt.Class.Index(), state.Millis(tookMS))
	}
	return state.Millis(tookMS)
}

// spendCredit takes a completed prompt from the credit of its level, unless it was paid for at its
// arrival.
func (q *Queue) spendCredit(e *entry) {
	if e.outcome != contention.Promoted {
		q.credits.Spend(e.class.Index(), state.Millis(q.factor*e.predictedMS))
	}
}
