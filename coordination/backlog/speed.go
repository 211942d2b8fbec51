package backlog

import "time"

// referencePrefill is a prefill of usual size, by which the engines of different owners are compared.
var referencePrefill = prefill{newTokens: 4096, cachedTokens: 8192}

// Throughput returns how many tokens per millisecond the engine computes of a prompt of usual size,
// by its lasting speed. Unlike Speed it doesn't relate to the owner's other engines, so those of
// different owners compare. known is that of Speed.
func (q *Queue) Throughput() (tokensPerMS float64, known bool) {
	return float64(referencePrefill.newTokens) / (q.factor * q.estimator.Predict(referencePrefill)), q.profile.known()
}

// SetFleetSpeed takes over the speed that the fleet has measured for this run of the engine,
// relative to the usual one; known is false if there is none or it is the usual one. It is the
// first estimate of a new queue, and the speed to which the owner's scale relates.
func (q *Queue) SetFleetSpeed(speed float64, known bool) {
	q.profile.setFleetSpeed(speed, known)
	q.factor = q.profile.slowdown()
}

// learnSpeed updates the lasting speed and the present state by a completed prefill with the measured
// features and duration, in milliseconds.
func (q *Queue) learnSpeed(now time.Time, e *entry, x features, tookMS float64) {
	if e != q.current {
		q.profile.batch.outOfOrder = true
	}
	sample, ok := q.profile.add(now, x, e.fetchMS, tookMS, len(q.entries) == 0)
	if !ok {
		return
	}
	q.profile.learn(sample)
	q.factor = q.profile.slowdown()
	if q.estimator.Reliable() && !sample.outOfOrder {
		q.slowPeriod.observe(now, q.estimator.ratio(sample)/q.factor)
	}
}

// UseEstimator makes the engine's prefills predicted and learned by another estimator, as after a change
// of the engine's role. What was measured of its speed doesn't hold any more, what is assumed to be cached
// does.
func (q *Queue) UseEstimator(e *Estimator) {
	if e == q.estimator {
		return
	}
	q.estimator.scale.remove(&q.profile)
	q.estimator, q.profile, q.factor, q.slowPeriod = e, newProfile(e), 1, slowPeriod{}
	q.sampleInvalid, q.profile.batchInvalid = true, true
	for _, entry := range q.entries {
		entry.predictedMS = e.predict(entry.features) + entry.fetchMS
	}
}
