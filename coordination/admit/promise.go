package admit

import (
	"time"
)

// Bounds of what is remembered of refused requests.
const (
	// maxReservations bounds the promises that are counted.
	maxReservations = 16384
	// resubmitGrace is how long after its time a request may come back and be
	// recognised, returnEarly how long before.
	resubmitGrace = 10 * time.Second
	resubmitEarly = time.Second
)

// reservation is what a refused request was told.
type reservation struct {
	id     string
	flow   string
	weight float64
	cost   float64
	dueAt  time.Time
}

// reservations are the refused requests of one lane that were told to come back and
// whose time hasn't come. They count as if they waited, so that the next one is
// told a later time and not all come at once to be refused again.
type reservations struct {
	totalCost float64
	flows     map[string]*reservedFlow
	// open holds the promises in no order.
	open []reservation
	// dueByID is when each refused request was told to come back.
	dueByID map[string]time.Time
}

type reservedFlow struct {
	cost, weight float64
	count        int
}

func newReservations() reservations {
	return reservations{flows: map[string]*reservedFlow{}, dueByID: map[string]time.Time{}}
}

// add counts a promise.
func (rs *reservations) add(r reservation) {
	if len(rs.open) >= maxReservations {
		return
	}
	f := rs.flows[r.flow]
	if f == nil {
		f = &reservedFlow{weight: r.weight}
		rs.flows[r.flow] = f
	}
	f.cost += r.cost
	f.count++
	rs.totalCost += r.cost
	rs.open = append(rs.open, r)
	if r.id != "" {
		rs.dueByID[r.id] = r.dueAt
	}
}

// flowCost is the cost promised to a flow.
func (rs *reservations) flowCost(flow string) float64 {
	if f := rs.flows[flow]; f != nil {
		return f.cost
	}
	return 0
}

// totalWeight is the sum of the totalWeight of the flows with promises.
func (rs *reservations) totalWeight() float64 {
	sum := 0.0
	for _, f := range rs.flows {
		sum += f.weight
	}
	return sum
}

// redeem reports whether a request was refused here and comes back as told.
func (rs *reservations) redeem(id string, now time.Time) bool {
	dueAt, ok := rs.dueByID[id]
	if !ok {
		return false
	}
	delete(rs.dueByID, id)
	return !now.Before(dueAt.Add(-resubmitEarly))
}

// expire drops what is over.
func (rs *reservations) expire(now time.Time) {
	kept := rs.open[:0]
	for _, r := range rs.open {
		if r.dueAt.After(now) {
			kept = append(kept, r)
			continue
		}
		rs.subtract(r)
	}
	rs.open = kept
	for id, dueAt := range rs.dueByID {
		if now.After(dueAt.Add(resubmitGrace)) {
			delete(rs.dueByID, id)
		}
	}
}

func (rs *reservations) subtract(r reservation) {
	f := rs.flows[r.flow]
	f.cost -= r.cost
	f.count--
	rs.totalCost -= r.cost
	if f.count == 0 {
		delete(rs.flows, r.flow)
	}
	if len(rs.flows) == 0 {
		rs.totalCost = 0 // drops what rounding left
	}
}

// retrySlackShare is the share of its own time to spare that a request is told to
// wait here rather than there: the more, the more come back for nothing.
const retrySlackShare = 0.25

// newRefusal makes the error of a refused request, with the time after which its
// flow will have been served what waits and what was promised before it, less
// what the request can wait itself.
func (q *serviceQueue) newRefusal(r *Request, l *lane, reason Reason, capacity *Capacity, f forecast, now time.Time) error {
	cost := capacity.cost(r.Cost, q.options.DecodeFactor)
	slack := time.Duration(retrySlackShare * float64(f.slack(r.Deadline, now)))
	retryAfter := q.options.clampRetryAfter(q.timeUntilServed(r, l, capacity) - slack)
	l.reservations.add(reservation{r.ID, r.Customer, r.Weight, cost, now.Add(retryAfter)})
	return &RefusedError{reason, retryAfter}
}

// timeUntilServed is the predicted time until the lane has served the flow's waiting
// and promised work.
func (q *serviceQueue) timeUntilServed(r *Request, l *lane, capacity *Capacity) time.Duration {
	ownCost := l.QueuedCost(r.Customer) + l.reservations.flowCost(r.Customer)
	totalWeight := max(l.TotalWeight(), l.reservations.totalWeight())
	ahead := fairCostAhead(ownCost, r.Weight, totalWeight, l.TotalCost()+l.reservations.totalCost)
	return q.predictWait(l, capacity, ahead)
}

func (o *Options) clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, o.MinRetryAfter), o.MaxRetryAfter)
}
