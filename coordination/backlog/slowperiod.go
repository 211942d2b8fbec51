package backlog

import (
	"math"
	"time"
)

const (
	// slowPeriodRatio is how many times longer than forecast from the lasting speed a prefill must
	// take to be evidence of a slow period: errors of a reliable model are smaller.
	slowPeriodRatio = 1.4
	// maxSlowPeriodRatio bounds the effect of one prefill that was delayed for another reason.
	maxSlowPeriodRatio = 4
	// slowPeriodDecay is the time in which the excess of a slow period falls to 1/e without new
	// evidence: half of a slow period of 600 ms, which is its mean rest at a random moment.
	slowPeriodDecay = 300 * time.Millisecond
	// minSlowPeriodExcess is the excess below which a slow period has ended.
	minSlowPeriodExcess = 0.05
)

// slowPeriod is the present state of an engine: how many times slower than its lasting speed it is.
type slowPeriod struct {
	// excess is how much slower than the lasting speed the engine was at seenAt: 1.5 for 2.5 times
	// as slow, and 0 for none.
	excess float64
	seenAt time.Time
}

// observe updates the state by a sample: ratio is its duration relative to the forecast one.
func (s *slowPeriod) observe(now time.Time, ratio float64) {
	s.excess, s.seenAt = 0, now
	if ratio > slowPeriodRatio {
		s.excess = min(ratio, maxSlowPeriodRatio) - 1
	}
}

// at returns the excess at a time.
func (s *slowPeriod) at(now time.Time) float64 {
	if s.excess == 0 {
		return 0
	}
	excess := s.excess * math.Exp(-now.Sub(s.seenAt).Seconds()/slowPeriodDecay.Seconds())
	if excess < minSlowPeriodExcess {
		return 0
	}
	return excess
}

// stretch returns how long work takes that takes workMS at the lasting speed, while the excess
// decays. Both are in milliseconds. It is the solution T of: the integral of 1/(1+excess*exp(-t/decay))
// from 0 to T is workMS.
func stretch(workMS, excess float64) float64 {
	if excess <= 0 || workMS <= 0 {
		return workMS
	}
	decayMS := slowPeriodDecay.Seconds() * thousand
	return workMS + decayMS*math.Log(1+excess*-math.Expm1(-workMS/decayMS))
}

// InSlowPeriod reports whether the engine is slower at present than its lasting speed.
func (q *Queue) InSlowPeriod(now time.Time) bool { return q.excess(now) > 0 }

// excess returns how much slower than its lasting speed the engine is at present. The current
// prefill is evidence as well if it is overdue.
func (q *Queue) excess(now time.Time) float64 {
	out := q.slowPeriod.at(now)
	if q.current == nil || !q.estimator.Reliable() {
		return out
	}
	expected, elapsed := q.factor*q.current.predictedMS+q.latencyMS(), now.Sub(q.currentSince).Seconds()*thousand
	if elapsed > slowPeriodRatio*expected+q.stepMS()/2 { // half a step is the error of a prefill's start
		out = max(out, min(elapsed/expected, maxSlowPeriodRatio)-1)
	}
	return out
}
