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
	// Worth is earned in time, Late after the objective.
	Worth, Late float64
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
	Owed, Earned float64
	// InTime and LateServed are shares of each class's requests.
	InTime, LateServed []float64
	// Short counts the seconds in which a service's capacity did not do for all that
	// had arrived, by service.
	Short map[string]int
}

// Share is the part of the credit owed that could be earned.
func (r Result) Share() float64 {
	if r.Owed == 0 {
		return 0
	}
	return r.Earned / r.Owed
}

// waiting are requests of a class that came in one second and are not yet served.
type waiting struct {
	class int
	since int
	count float64
}

// Day works out the result of a day.
func Day(classes []Class, day []Second) Result {
	r := Result{InTime: make([]float64, len(classes)), LateServed: make([]float64, len(classes)), Short: map[string]int{}}
	arrived := make([]float64, len(classes))
	var queue []waiting
	for now, second := range day {
		queue = expire(classes, queue, now)
		for c, n := range second.Arrivals {
			arrived[c] += n
			r.Owed += n * classes[c].Worth
			queue = append(queue, waiting{c, now, n})
		}
		queue = r.serve(classes, queue, now, second.Capacity)
	}
	for c, n := range arrived {
		if n > 0 {
			r.InTime[c] /= n
			r.LateServed[c] /= n
		}
	}
	return r
}

// serve spends one second's capacity on what waits and returns what is left.
func (r *Result) serve(classes []Class, queue []waiting, now int, capacity map[string]time.Duration) []waiting {
	slices.SortStableFunc(queue, func(a, b waiting) int {
		return cmp.Compare(density(classes[b.class], b, now), density(classes[a.class], a, now))
	})
	left := map[string]float64{}
	for service, work := range capacity {
		left[service] = work.Seconds()
	}
	short := map[string]bool{}
	var rest []waiting
	for _, w := range queue {
		c := classes[w.class]
		n := w.count
		if work := c.Work.Seconds(); work > 0 {
			n = min(n, left[c.Service]/work)
			left[c.Service] -= n * work
		}
		r.earn(c, w, now, n)
		if w.count > n {
			short[c.Service] = true
			rest = append(rest, waiting{w.class, w.since, w.count - n})
		}
	}
	for service := range short {
		r.Short[service]++
	}
	return rest
}

// earn counts n served requests.
func (r *Result) earn(c Class, w waiting, now int, n float64) {
	if w.since == now {
		r.InTime[w.class] += n
		r.Earned += n * c.Worth
		return
	}
	r.LateServed[w.class] += n
	r.Earned += n * c.Late
}

// density is what a request earns for its work now.
func density(c Class, w waiting, now int) float64 {
	worth := c.Worth
	if w.since != now {
		worth = c.Late
	}
	return worth / max(c.Work.Seconds(), leastWork)
}

// leastWork keeps requests without work first and the division defined.
const leastWork = 1e-9

// expire drops what callers no longer wait for.
func expire(classes []Class, queue []waiting, now int) []waiting {
	return slices.DeleteFunc(queue, func(w waiting) bool {
		return time.Duration(now-w.since)*time.Second > classes[w.class].Deadline
	})
}
