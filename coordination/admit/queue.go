package admit

import (
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// lateWaitFactor scales the predicted wait of a queued request when its deadline
// is checked: the prediction isn't exact, so a request is refused only if it would
// be late even after this fraction of the predicted wait.
const lateWaitFactor = 0.8

// waiter is a submitted request and the state of its decision.
type waiter struct {
	item    Item
	request Request
	// lane is the lane that the request was queued in, or nil.
	lane        *lane
	submittedAt time.Time
	// decided is true once the request is granted, refused or cancelled.
	decided   bool
	onDecided func(*Grant, error)
}

// decision is a grant or a refusal of a request. It is passed to
// waiter.onDecided after the queue is unlocked, because the callback may call
// into the queue.
type decision struct {
	waiter *waiter
	grant  *Grant
	err    error
}

// serviceQueue admits the requests of one service. Waiting requests are kept in
// lanes, each with its own discipline and its own measured service rate.
type serviceQueue struct {
	name    string
	options *Options

	mu      sync.Mutex
	stopped bool
	lanes   [numLanes]*lane
	// granted is the work granted and not released.
	granted snapshot.Work
	// waiting is the work of the requests in the lanes.
	waiting snapshot.Work
	// grantedSince and releasedSince are the work granted and released since the
	// capacity numbered capacitySeq was computed.
	grantedSince, releasedSince snapshot.Work
	capacitySeq                 uint64
	// urgentLead is the cost, in prompt tokens, that urgent requests have been
	// started with beyond Options.UrgentShare while others waited.
	urgentLead float64
	// tickedAt is the time of the last tick.
	tickedAt time.Time
	// serviceRatios holds, by class, the ratio of the actual to the predicted
	// service time.
	serviceRatios map[string]serviceRatio
	// decisions holds the decisions made since the lock was taken.
	decisions []decision
}

func newServiceQueue(name string, o *Options) *serviceQueue {
	q := &serviceQueue{
		name: name, options: o, tickedAt: o.Clock.Now(),
		serviceRatios: map[string]serviceRatio{},
	}
	for i := range q.lanes {
		q.lanes[i] = &lane{Discipline: o.NewDiscipline(), kind: laneKind(i), reservations: newReservations()}
	}
	return q
}

// withLock calls f under the lock with the present capacity and time, then passes
// on the decisions that f recorded.
func (q *serviceQueue) withLock(f func(capacity *Capacity, now time.Time)) {
	capacity := q.options.Capacity.Capacity(q.name)
	now := q.options.Clock.Now()
	q.mu.Lock()
	f(&capacity, now)
	decisions := q.decisions
	q.decisions = nil
	q.mu.Unlock()
	for _, d := range decisions {
		d.waiter.onDecided(d.grant, d.err)
	}
}

// recordDecision records the decision on a waiter. The caller holds q.mu, and
// withLock passes the decision on.
func (q *serviceQueue) recordDecision(w *waiter, g *Grant, err error) {
	w.decided = true
	if w.lane != nil {
		q.waiting = q.waiting.Plus(w.request.Cost.Negate())
	}
	q.decisions = append(q.decisions, decision{w, g, err})
}

// submit starts, queues or refuses a request.
func (q *serviceQueue) submit(r *Request, onDecided func(*Grant, error)) *waiter {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	r.Cost.Requests = max(1, r.Cost.Requests)
	w := &waiter{request: *r, onDecided: onDecided, submittedAt: q.options.Clock.Now()}
	q.withLock(func(capacity *Capacity, now time.Time) { q.admit(w, capacity, now) })
	return w
}

// admit decides on an arriving request, or queues it. The caller holds q.mu.
func (q *serviceQueue) admit(w *waiter, capacity *Capacity, now time.Time) {
	r := &w.request
	l := q.lanes[laneKindFor(r, capacity)]
	r.Resubmitted = r.Resubmitted || l.reservations.redeem(r.ID, now)
	f := q.predict(r, capacity, now, q.predictWait(l, capacity, l.CostAhead(r.Customer, r.Weight, r.Resubmitted)))
	if err := q.refuseOnArrival(r, l, capacity, f, now); err != nil {
		q.recordDecision(w, nil, err)
		return
	}
	if l.Len() == 0 && q.lanes[laneUrgent].Len() == 0 && q.fits(l, r.Cost, capacity) {
		q.recordDecision(w, q.start(w, capacity, now), nil)
		return
	}
	w.lane = l
	w.item = Item{Flow: r.Customer, Weight: r.Weight, Cost: capacity.cost(r.Cost, q.options.DecodeFactor), Resubmitted: r.Resubmitted, waiter: w}
	l.push(&w.item, capacity)
	q.waiting = q.waiting.Plus(r.Cost)
	q.startWaiting(capacity, now)
}

// predictWait predicts the time until the lane has served the cost ahead of a
// request, including the time for all urgent requests, which go first.
func (q *serviceQueue) predictWait(l *lane, capacity *Capacity, ahead float64) time.Duration {
	d := l.timeToServe(ahead, capacity)
	if u := q.lanes[laneUrgent]; l != u {
		d += u.timeToServe(u.TotalCost(), capacity)
	}
	return d
}

// numQueued returns the number of waiting requests.
func (q *serviceQueue) numQueued() int {
	n := 0
	for _, l := range q.lanes {
		n += l.Len()
	}
	return n
}

// refuseOnArrival returns the error for a request that can't be admitted or
// queued, or nil. It may evict a queued request to make a place.
func (q *serviceQueue) refuseOnArrival(r *Request, l *lane, capacity *Capacity, f forecast, now time.Time) error {
	switch {
	case q.stopped:
		return &RefusedError{ReasonStopped, q.options.MinRetryAfter}
	case capacity.Runners == 0:
		return &RefusedError{ReasonNoCapacity, q.options.clampRetryAfter(noCapacityRetryAfter)}
	case f.waitExceeds(r.Deadline, now, q.maxWaitShare(r)):
		return q.newRefusal(r, l, ReasonDeadline, capacity, f, now)
	case q.numQueued() >= q.options.MaxQueued:
		return q.evictOrRefuse(r, l, capacity, f, now)
	}
	return nil
}

// maxWaitShare returns the fraction of its slack that a request may be predicted
// to wait. A resubmitted request may use all of it.
func (q *serviceQueue) maxWaitShare(r *Request) float64 {
	if r.Resubmitted {
		return 1
	}
	return q.options.WaitShare
}

// evictOrRefuse makes a place in a full queue by refusing the newest request of the
// flow with the largest queued cost per weight, in the prefill or the decode lane,
// whichever has the larger cost. If that is the new request, it returns its error;
// otherwise it evicts the queued one. Urgent requests are evicted only if nothing
// else is queued, and a new urgent request always evicts one that isn't.
func (q *serviceQueue) evictOrRefuse(r *Request, l *lane, capacity *Capacity, f forecast, now time.Time) error {
	victimLane := q.lanes[lanePrefill]
	if decodeLane := q.lanes[laneDecode]; decodeLane.TotalCost() > victimLane.TotalCost() {
		victimLane = decodeLane
	}
	if victimLane.Len() == 0 {
		victimLane = q.lanes[laneUrgent]
	}
	victim := victimLane.EvictionCandidate()
	costPerWeight := (l.QueuedCost(r.Customer) + capacity.cost(r.Cost, q.options.DecodeFactor)) / r.Weight
	preferred := l.kind == laneUrgent && victimLane.kind != laneUrgent
	if !preferred && (victim.Flow == r.Customer || costPerWeight >= victimLane.QueuedCost(victim.Flow)/victim.Weight) {
		return q.newRefusal(r, l, ReasonQueueFull, capacity, f, now)
	}
	victimLane.Remove(victim)
	q.refuseQueued(victim, ReasonQueueFull, capacity, now)
	return nil
}

// refuseQueued refuses a request that was removed from its lane.
func (q *serviceQueue) refuseQueued(it *Item, reason Reason, capacity *Capacity, now time.Time) {
	r, l := &it.waiter.request, it.waiter.lane
	f := q.predict(r, capacity, now, q.predictWait(l, capacity, l.CostAhead(r.Customer, r.Weight, r.Resubmitted)))
	q.recordDecision(it.waiter, nil, q.newRefusal(r, l, reason, capacity, f, now))
}

// fits reports whether the lane may start a request of work w now. Every request
// needs a free batch slot; one request per host always fits. A prefill request also
// needs free prefill capacity, but need not fit into it as a whole: a whole prompt
// would seldom fit into the small share of one host.
//
// Work released since the capacity was computed frees capacity only within the
// host's own share, not within the free capacity beyond it. Otherwise a host that
// exceeds its share would reuse the excess forever, and since each host may exceed
// its share by a whole prompt, the engines' queues would never shrink.
func (q *serviceQueue) fits(l *lane, w snapshot.Work, capacity *Capacity) bool {
	q.syncCapacity(capacity)
	inFlight := q.inFlight(capacity)
	requestFits := inFlight.Requests+w.Requests <= max(1, capacity.Requests) || capacity.Seq > 0 && q.grantedSince.Requests < capacity.FreeRequests
	if l.kind != lanePrefill || !requestFits {
		return requestFits
	}
	return inFlight.PrefillTokens <= 0 || inFlight.PrefillTokens < capacity.PrefillTokens ||
		capacity.Seq > 0 && q.grantedSince.PrefillTokens < capacity.FreePrefillTokens
}

// syncCapacity resets grantedSince and releasedSince if the capacity was
// recomputed.
func (q *serviceQueue) syncCapacity(capacity *Capacity) {
	if capacity.Seq != q.capacitySeq {
		q.capacitySeq = capacity.Seq
		q.grantedSince, q.releasedSince = snapshot.Work{}, snapshot.Work{}
	}
}

// inFlight returns the larger of the granted work and the work counted at the
// runners, the latter adjusted by what was granted and released since it was
// counted.
func (q *serviceQueue) inFlight(capacity *Capacity) snapshot.Work {
	counted := capacity.InFlight
	if capacity.Seq > 0 {
		counted = counted.Plus(q.grantedSince).Plus(q.releasedSince.Negate())
	}
	return snapshot.Work{
		Requests:      max(q.granted.Requests, counted.Requests),
		PrefillTokens: max(q.granted.PrefillTokens, counted.PrefillTokens),
	}
}

// start counts the work of a request as granted and returns the grant.
func (q *serviceQueue) start(w *waiter, capacity *Capacity, now time.Time) *Grant {
	r := &w.request
	q.granted = q.granted.Plus(r.Cost)
	q.grantedSince = q.grantedSince.Plus(r.Cost)
	q.updateUrgentLead(r, capacity)
	return &Grant{
		Waited: now.Sub(w.submittedAt), queue: q, held: r.Cost,
		class: r.Class, startedAt: now, predictedService: capacity.predictService(r, r.Cost.DecodeTokens),
	}
}

// updateUrgentLead updates urgentLead for a started request. The lead is zero while
// only urgent requests wait. It is at least the negative cost of the last request
// that isn't urgent, so that urgent requests can't save up an unused share.
func (q *serviceQueue) updateUrgentLead(r *Request, capacity *Capacity) {
	if q.lanes[lanePrefill].Len()+q.lanes[laneDecode].Len() == 0 {
		q.urgentLead = 0
		return
	}
	cost := capacity.cost(r.Cost, q.options.DecodeFactor)
	if r.Urgent {
		q.urgentLead += cost * (1 - q.options.UrgentShare)
	} else {
		q.urgentLead = max(-cost, q.urgentLead-cost*q.options.UrgentShare)
	}
}

// startWaiting starts waiting requests while the capacity allows.
func (q *serviceQueue) startWaiting(capacity *Capacity, now time.Time) {
	for capacity.Runners > 0 {
		l := q.nextLane(capacity)
		if l == nil {
			return
		}
		it := l.pop()
		q.recordDecision(it.waiter, q.start(it.waiter, capacity, now), nil)
	}
}

// nextLane returns the lane to serve next, or nil if no lane's next request fits.
// It is the urgent lane unless urgent requests have exceeded their share. Otherwise
// it is the other lane whose next request has waited longest, and the urgent lane
// only if no other fits.
func (q *serviceQueue) nextLane(capacity *Capacity) *lane {
	var best *lane
	for _, l := range q.lanes {
		it := l.Peek()
		if it == nil || !q.fits(l, it.waiter.request.Cost, capacity) {
			continue
		}
		if l.kind == laneUrgent && q.urgentLead <= 0 {
			return l
		}
		if best == nil || best.kind == laneUrgent || it.waiter.submittedAt.Before(best.Peek().waiter.submittedAt) {
			best = l
		}
	}
	return best
}

// tick implements Admitter.Tick for one service.
func (q *serviceQueue) tick() {
	if q.markTickedIfIdle() {
		return
	}
	q.withLock(func(capacity *Capacity, now time.Time) {
		for _, l := range q.lanes {
			l.updateRate(now.Sub(q.tickedAt), capacity)
			l.reservations.expire(now)
			q.refuseLate(l, capacity, now)
		}
		q.tickedAt = now
		q.startWaiting(capacity, now)
	})
}

// markTickedIfIdle reports whether a tick has nothing to do: no waiting requests,
// no rate to update and no reservations. In that case it sets tickedAt.
func (q *serviceQueue) markTickedIfIdle() bool {
	now := q.options.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lanes {
		if l.Len() > 0 || l.backlogged || len(l.reservations.dueByID) > 0 || len(l.reservations.open) > 0 {
			return false
		}
	}
	q.tickedAt = now
	return true
}

// refuseLate refuses the requests of a lane that are predicted to miss their
// deadlines.
func (q *serviceQueue) refuseLate(l *lane, capacity *Capacity, now time.Time) {
	removed := l.Sweep(func(it *Item, ahead float64) bool {
		r := &it.waiter.request
		wait := time.Duration(lateWaitFactor * float64(q.predictWait(l, capacity, ahead)))
		return !q.predict(r, capacity, now, wait).late(r.Deadline, now)
	})
	for _, it := range removed {
		q.refuseQueued(it, ReasonDeadline, capacity, now)
	}
}

// release releases granted work and starts the waiting requests that now fit.
func (q *serviceQueue) release(w snapshot.Work) {
	q.withLock(func(capacity *Capacity, now time.Time) {
		q.granted = q.granted.Plus(w.Negate())
		if recomputed := capacity.Seq != q.capacitySeq && capacity.Seq > 0; recomputed {
			q.syncCapacity(capacity) // the new InFlight already excludes w
		} else {
			q.releasedSince = q.releasedSince.Plus(w)
		}
		q.startWaiting(capacity, now)
	})
}

// cancel removes a waiting request. It returns false if a decision was made
// before.
func (q *serviceQueue) cancel(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.decided {
		return false
	}
	w.decided = true
	w.lane.Remove(&w.item)
	q.waiting = q.waiting.Plus(w.request.Cost.Negate())
	return true
}

// stop refuses all waiting requests, and all later ones.
func (q *serviceQueue) stop() {
	q.withLock(func(*Capacity, time.Time) {
		q.stopped = true
		for _, l := range q.lanes {
			for it := l.Pop(); it != nil; it = l.Pop() {
				q.recordDecision(it.waiter, nil, &RefusedError{ReasonStopped, q.options.MinRetryAfter})
			}
		}
	})
}

// stats returns the state of the queue.
func (q *serviceQueue) stats() QueueStats {
	capacity := q.options.Capacity.Capacity(q.name)
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := QueueStats{Service: q.name, Waiting: q.numQueued(), WaitingWork: q.waiting, Running: q.granted}
	for _, l := range q.lanes {
		stats.WaitingCost += l.TotalCost()
		stats.PredictedWait = max(stats.PredictedWait, q.predictWait(l, &capacity, l.TotalCost()))
	}
	return stats
}
