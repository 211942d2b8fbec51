package admit

import (
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// noCapacityRetryAfter is the retry time given while no runner takes work.
const noCapacityRetryAfter = 2 * time.Second

// forecast is the predicted timing of one request.
type forecast struct {
	// wait is the predicted time in the queue.
	wait time.Duration
	// service is the predicted time from the start of the request to the end of the
	// answer.
	service time.Duration
}

// late reports whether the predicted finish is after the deadline.
func (f forecast) late(deadline, now time.Time) bool {
	return !deadline.IsZero() && now.Add(f.wait+f.service).After(deadline)
}

// slack returns how long the request can wait and still meet its deadline; zero if
// it has no deadline.
func (f forecast) slack(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return max(0, deadline.Sub(now)-f.service)
}

// waitExceeds reports whether the predicted wait is more than the given share of
// the slack, or the deadline can't be met even without a wait.
func (f forecast) waitExceeds(deadline, now time.Time, share float64) bool {
	if deadline.IsZero() {
		return false
	}
	slack := deadline.Sub(now) - f.service
	return slack < 0 || float64(f.wait) > share*float64(slack)
}

// predict returns the forecast for a request with the given wait. The service time
// is that of a long answer, corrected by the service ratio of the class.
func (q *serviceQueue) predict(r *Request, capacity *Capacity, now time.Time, wait time.Duration) forecast {
	service := capacity.predictService(r, max(r.LongOutput, r.Cost.DecodeTokens))
	if ratio, ok := q.serviceRatios[r.Class]; ok {
		service = time.Duration(float64(service) * ratio.valueAt(now))
	}
	return forecast{wait: wait, service: service}
}

// predictService returns the predicted time from the start of a request to the end
// of an answer of the given number of tokens. Urgent requests don't wait for the
// backlog of an engine.
func (c *Capacity) predictService(r *Request, output int64) time.Duration {
	d := time.Duration(output) * c.TokenInterval
	if !r.Urgent {
		d += c.FirstTokenWait
	}
	if c.EnginePrefillPerSecond > 0 {
		d += seconds(float64(r.Cost.PrefillTokens) / c.EnginePrefillPerSecond)
	}
	return d
}

// Parameters of the service ratios.
const (
	// ratioWeight is the weight of a new answer in the moving average.
	ratioWeight = 0.05
	// minRatio and maxRatio bound a ratio.
	minRatio, maxRatio = 0.5, 4
	// maxRatioClasses bounds the classes that a ratio is kept for; the predictions
	// for further classes aren't corrected.
	maxRatioClasses = 256
	// ratioHalfLife is the age at which half of a ratio's deviation from 1 is left.
	ratioHalfLife = 2 * time.Second
)

// serviceRatio is the moving average of the ratio of the actual to the predicted
// service time of a class.
type serviceRatio struct {
	ratio     float64
	updatedAt time.Time
}

// valueAt returns the ratio at a time. Without new answers it decays towards 1:
// otherwise a class whose requests are all refused because of its ratio would get
// no answers that could correct the ratio.
func (r serviceRatio) valueAt(now time.Time) float64 {
	age := max(0, now.Sub(r.updatedAt)).Seconds() / ratioHalfLife.Seconds()
	return 1 + (r.ratio-1)/(1+age)
}

// recordServiceTime updates the service ratio of the class by a finished request.
func (q *serviceQueue) recordServiceTime(g *Grant) {
	if g.predictedService <= 0 {
		return
	}
	now := q.options.Clock.Now()
	ratio := float64(now.Sub(g.startedAt)) / float64(g.predictedService)
	q.mu.Lock()
	defer q.mu.Unlock()
	current, known := q.serviceRatios[g.class]
	if !known {
		if len(q.serviceRatios) >= maxRatioClasses {
			return
		}
		current = serviceRatio{1, now}
	}
	previous := current.valueAt(now)
	q.serviceRatios[g.class] = serviceRatio{min(max(previous+ratioWeight*(ratio-previous), minRatio), maxRatio), now}
}

// cost returns the work in prompt tokens. An output token costs as many prompt
// tokens as the fleet prefills in the time of decoding it; decodeFactor is used
// while the speeds are unknown.
func (c *Capacity) cost(w snapshot.Work, decodeFactor float64) float64 {
	if c.PrefillPerSecond > 0 && c.DecodePerSecond > 0 {
		decodeFactor = c.PrefillPerSecond / c.DecodePerSecond
	}
	total := float64(w.PrefillTokens) + float64(w.DecodeTokens)*decodeFactor
	if total == 0 {
		return float64(w.Requests) // a service that isn't an engine
	}
	return total
}

// timeToServe returns the time in which this host's share of the fleet serves a
// cost; zero if the speed is unknown.
func (c *Capacity) timeToServe(cost float64) time.Duration {
	if c.PrefillPerSecond <= 0 {
		return 0
	}
	return seconds(cost / c.PrefillPerSecond)
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
