package admit

import (
	"time"
)

// Bounds of the reservations.
const (
	// maxReservations bounds the reservations of a lane; further refused requests
	// get none.
	maxReservations = 16384
	// resubmitGrace is how long after its retry time, and resubmitEarly how long
	// before it, a request may be sent again and be recognised as resubmitted.
	resubmitGrace = 10 * time.Second
	resubmitEarly = time.Second
)

// reservation is the expected return of a refused request at its retry time.
type reservation struct {
	id     string
	flow   string
	weight float64
	cost   float64 // prompt tokens
	dueAt  time.Time
}

// reservations holds the refused requests of one lane whose retry time hasn't come.
// They count as waiting when the next retry time is computed, so that refused
// requests get staggered retry times instead of all being sent again at once, to be
// refused again.
type reservations struct {
	// totalCost is the cost of the open reservations, in prompt tokens.
	totalCost float64
	flows     map[string]*reservedFlow
	// open holds the reservations in no particular order.
	open []reservation
	// dueByID holds the retry times by request ID, until resubmitGrace has passed.
	dueByID map[string]time.Time
}

// reservedFlow sums the open reservations of one flow.
type reservedFlow struct {
	cost, weight float64
	count        int
}

func newReservations() reservations {
	return reservations{flows: map[string]*reservedFlow{}, dueByID: map[string]time.Time{}}
}

// add adds a reservation.
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

// flowCost returns the cost of the open reservations of a flow.
func (rs *reservations) flowCost(flow string) float64 {
	if f := rs.flows[flow]; f != nil {
		return f.cost
	}
	return 0
}

// totalWeight returns the sum of the weights of the flows with reservations.
func (rs *reservations) totalWeight() float64 {
	sum := 0.0
	for _, f := range rs.flows {
		sum += f.weight
	}
	return sum
}

// redeem reports whether a request was refused here and is sent again not too early,
// and forgets its retry time.
func (rs *reservations) redeem(id string, now time.Time) bool {
	dueAt, ok := rs.dueByID[id]
	if !ok {
		return false
	}
	delete(rs.dueByID, id)
	return !now.Before(dueAt.Add(-resubmitEarly))
}

// expire removes the reservations whose retry time has come and the IDs whose grace
// period is over.
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

// subtract removes a reservation from the sums.
func (rs *reservations) subtract(r reservation) {
	f := rs.flows[r.flow]
	f.cost -= r.cost
	f.count--
	rs.totalCost -= r.cost
	if f.count == 0 {
		delete(rs.flows, r.flow)
	}
	if len(rs.flows) == 0 {
		rs.totalCost = 0 // discards rounding errors
	}
}

// retrySlackShare is the fraction of its slack that a refused request is to wait in
// this host's queue after it is sent again, rather than at the caller before that.
// The larger it is, the more requests are sent again too early and refused again.
const retrySlackShare = 0.25

// newRefusal returns the error for a refused request and adds its reservation. The
// retry time is the predicted time until the work that its flow has waiting and
// reserved is served, less a share of the slack that the request can wait itself.
func (q *serviceQueue) newRefusal(r *Request, l *lane, reason Reason, capacity *Capacity, f forecast, now time.Time) error {
	cost := capacity.cost(r.Cost, q.options.DecodeFactor)
	slack := time.Duration(retrySlackShare * float64(f.slack(r.Deadline, now)))
	retryAfter := q.options.clampRetryAfter(q.timeUntilServed(r, l, capacity) - slack)
	l.reservations.add(reservation{r.ID, r.Customer, r.Weight, cost, now.Add(retryAfter)})
	return &RefusedError{reason, retryAfter}
}

// timeUntilServed predicts the time until the lane has served the flow's waiting and
// reserved work.
func (q *serviceQueue) timeUntilServed(r *Request, l *lane, capacity *Capacity) time.Duration {
	ownCost := l.QueuedCost(r.Customer) + l.reservations.flowCost(r.Customer)
	totalWeight := max(l.TotalWeight(), l.reservations.totalWeight())
	ahead := fairCostAhead(ownCost, r.Weight, totalWeight, l.TotalCost()+l.reservations.totalCost)
	return q.predictWait(l, capacity, ahead)
}

// clampRetryAfter bounds a retry time by MinRetryAfter and MaxRetryAfter.
func (o *Options) clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, o.MinRetryAfter), o.MaxRetryAfter)
}
