// Package bound computes an upper bound on the value that a deployment could earn on a day whose
// traffic is known. Requests are treated as a fluid and served second by second with the capacity that
// is up, in order of their value per unit of work, and none is lost in between. Network and host faults,
// the order of requests within a second, prices and the memory of engines are ignored, which can only
// raise the result, so that no system can exceed the bound.
package bound

import (
	"cmp"
	"slices"
	"time"
)

// Class describes a class of requests.
type Class struct {
	Name    string
	Service string
	// Work is the capacity of the service that one request takes, as busy time.
	Work time.Duration
	// Deadline is how long a caller waits for its answer.
	Deadline time.Duration
	// Value is earned by an answer within the objective, LateValue by a later one.
	Value, LateValue float64
}

// Second is one second of the day.
type Second struct {
	// Arrivals is the number of requests of each class.
	Arrivals []float64
	// Capacity is the work that each service can do in this second, as busy time, by service.
	Capacity map[string]time.Duration
}

// Result is the outcome of Evaluate.
type Result struct {
	// Offered is the value of all requests if served in time; Earned is the upper bound.
	Offered, Earned float64
	// InTime and Late are the shares of each class's requests that are served in time and late.
	InTime, Late []float64
	// SaturatedSeconds counts, by service, the seconds at whose end requests were left waiting.
	SaturatedSeconds map[string]int
}

// Share returns the share of the offered value that could be earned.
func (r Result) Share() float64 {
	if r.Offered == 0 {
		return 0
	}
	return r.Earned / r.Offered
}

// queuedRequests are requests of a class that arrived in the same second and are still to be served.
type queuedRequests struct {
	class     int
	arrivedAt int
	count     float64
}

// Evaluate computes the result of a day; Second.Arrivals are indexed like classes.
func Evaluate(classes []Class, day []Second) Result {
	r := Result{InTime: make([]float64, len(classes)), Late: make([]float64, len(classes)), SaturatedSeconds: map[string]int{}}
	arrived := make([]float64, len(classes))
	var queue []queuedRequests
	for now, second := range day {
		queue = dropExpired(classes, queue, now)
		for c, n := range second.Arrivals {
			arrived[c] += n
			r.Offered += n * classes[c].Value
			queue = append(queue, queuedRequests{c, now, n})
		}
		queue = r.serve(classes, queue, now, second.Capacity)
	}
	for c, n := range arrived {
		if n > 0 {
			r.InTime[c] /= n
			r.Late[c] /= n
		}
	}
	return r
}

// serve spends one second's capacity on the queue and returns the requests that remain.
func (r *Result) serve(classes []Class, queue []queuedRequests, now int, capacity map[string]time.Duration) []queuedRequests {
	slices.SortStableFunc(queue, func(a, b queuedRequests) int {
		return cmp.Compare(valueDensity(classes[b.class], b, now), valueDensity(classes[a.class], a, now))
	})
	available := map[string]float64{}
	for service, work := range capacity {
		available[service] = work.Seconds()
	}
	saturated := map[string]bool{}
	var remaining []queuedRequests
	for _, w := range queue {
		c := classes[w.class]
		n := w.count
		if work := c.Work.Seconds(); work > 0 {
			n = min(n, available[c.Service]/work)
			available[c.Service] -= n * work
		}
		r.recordServed(c, w, now, n)
		if w.count > n {
			saturated[c.Service] = true
			remaining = append(remaining, queuedRequests{w.class, w.arrivedAt, w.count - n})
		}
	}
	for service := range saturated {
		r.SaturatedSeconds[service]++
	}
	return remaining
}

// recordServed adds n served requests to the result; they are in time if served in the second of
// their arrival.
func (r *Result) recordServed(c Class, w queuedRequests, now int, n float64) {
	if w.arrivedAt == now {
		r.InTime[w.class] += n
		r.Earned += n * c.Value
		return
	}
	r.Late[w.class] += n
	r.Earned += n * c.LateValue
}

// valueDensity returns what a request served now earns per second of work.
func valueDensity(c Class, w queuedRequests, now int) float64 {
	value := c.Value
	if w.arrivedAt != now {
		value = c.LateValue
	}
	return value / max(c.Work.Seconds(), minWorkSeconds)
}

// minWorkSeconds avoids a division by zero and puts requests without work first.
const minWorkSeconds = 1e-9

// dropExpired removes the requests whose callers have stopped waiting.
func dropExpired(classes []Class, queue []queuedRequests, now int) []queuedRequests {
	return slices.DeleteFunc(queue, func(w queuedRequests) bool {
		return time.Duration(now-w.arrivedAt)*time.Second > classes[w.class].Deadline
	})
}
