// Package bound works out what a deployment could earn at best on a day whose traffic
// is known: requests are a fluid, served second by second with the capacity that is up,
// dearest for its work first, and nothing is lost between them. Faults of the network
// and of hosts, the order among requests of one second, prices and the memory of engines
// are left out, so that no system does better.
package bound

import (
	"cmp"
	"slices"
	"time"
)

// Class is a kind of request.
type Class struct {
	Name    string
	Service string
	// Work is the time of a service's capacity that one request takes.
	Work time.Duration
	// Deadline is how long a caller waits.
	Deadline time.Duration
	// Value is earned in time, LateValue after the objective.
	Value, LateValue float64
}

// Second is one second of a day.
type Second struct {
	// Arrivals are the requests of each class.
	Arrivals []float64
	// Capacity is the work that each service does in this second.
	Capacity map[string]time.Duration
}

// Result is what could be earned.
type Result struct {
	Offered, Earned float64
	// InTime and Late are shares of each class's requests.
	InTime, Late []float64
	// SaturatedSeconds counts the seconds in which a service's capacity did not do for all that
	// had arrived, by service.
	SaturatedSeconds map[string]int
}

// Share is the part of the credit owed that could be earned.
func (r Result) Share() float64 {
	if r.Offered == 0 {
		return 0
	}
	return r.Earned / r.Offered
}

// queuedRequests are requests of a class that came in one second and are not yet served.
type queuedRequests struct {
	class     int
	arrivedAt int
	count     float64
}

// Evaluate works out the result of a day.
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

// serve spends one second's capacity on what waits and returns what is left.
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

// recordServed counts n served requests.
func (r *Result) recordServed(c Class, w queuedRequests, now int, n float64) {
	if w.arrivedAt == now {
		r.InTime[w.class] += n
		r.Earned += n * c.Value
		return
	}
	r.Late[w.class] += n
	r.Earned += n * c.LateValue
}

// valueDensity is what a request earns for its work now.
func valueDensity(c Class, w queuedRequests, now int) float64 {
	worth := c.Value
	if w.arrivedAt != now {
		worth = c.LateValue
	}
	return worth / max(c.Work.Seconds(), minWorkSeconds)
}

// minWorkSeconds keeps requests without work first and the division defined.
const minWorkSeconds = 1e-9

// dropExpired drops what callers no longer wait for.
func dropExpired(classes []Class, queue []queuedRequests, now int) []queuedRequests {
	return slices.DeleteFunc(queue, func(w queuedRequests) bool {
		return time.Duration(now-w.arrivedAt)*time.Second > classes[w.class].Deadline
	})
}
