package admit

import (
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// noCapacityRetryAfter is told while no runner takes work.
const noCapacityRetryAfter = 2 * time.Second

// forecast is the predicted course of one request.
type forecast struct {
	// wait is the time in the queue.
	wait time.Duration
	// service is the time from the start to the end of the answer.
	service time.Duration
}

func (f forecast) late(deadline, now time.Time) bool {
	return !deadline.IsZero() && now.Add(f.wait+f.service).After(deadline)
}

// slack is how long the request could wait and still be in time.
func (f forecast) slack(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return max(0, deadline.Sub(now)-f.service)
}

// waitExceeds reports whether the wait takes more than the given share of the time
// to spare.
func (f forecast) waitExceeds(deadline, now time.Time, share float64) bool {
	if deadline.IsZero() {
		return false
	}
	slack := deadline.Sub(now) - f.service
	return slack < 0 || float64(f.wait) > share*float64(slack)
}

func (q *serviceQueue) predict(r *Request, capacity *Capacity, now time.Time, wait time.Duration) forecast {
	service := capacity.predictService(r, max(r.LongOutput, r.Cost.DecodeTokens))
	if ratio, ok := q.serviceRatios[r.Class]; ok {
		service = time.Duration(float64(service) * ratio.valueAt(now))
	}
	return forecast{wait: wait, service: service}
}

// predictService is the predicted time from the start of a request to the end of an
// answer of that many tokens.
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

// Weights and bounds of the ratio of actual to forecast time of service.
const (
	ratioWeight        = 0.05
	minRatio, maxRatio = 0.5, 4
	maxRatioClasses    = 256
	// ratioHalfLife is the age at which half of what was learnt is left.
	ratioHalfLife = 2 * time.Second
)

// serviceRatio is the ratio of the actual to the forecast time of service of a class.
type serviceRatio struct {
	ratio     float64
	updatedAt time.Time
}

// valueAt is the ratio as far as it still holds. Without new answers it goes back to
// 1: a class that was refused for its ratio would never show a better one.
func (r serviceRatio) valueAt(now time.Time) float64 {
	age := max(0, now.Sub(r.updatedAt)).Seconds() / ratioHalfLife.Seconds()
	return 1 + (r.ratio-1)/(1+age)
}

// recordServiceTime learns from the actual time of service.
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

// cost is the work in prompt tokens.
func (c *Capacity) cost(w snapshot.Work, decodeFactor float64) float64 {
	if c.PrefillPerSecond > 0 && c.DecodePerSecond > 0 {
		decodeFactor = c.PrefillPerSecond / c.DecodePerSecond
	}
	total := float64(w.PrefillTokens) + float64(w.DecodeTokens)*decodeFactor
	if total == 0 {
		return float64(w.Requests) // a plain service
	}
	return total
}

// timeToServe is how long this host's share of the fleet takes for a cost.
func (c *Capacity) timeToServe(cost float64) time.Duration {
	if c.PrefillPerSecond <= 0 {
		return 0
	}
	return seconds(cost / c.PrefillPerSecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
