package admit

import (
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// lateWaitFactor is the share of a waiting request's predicted wait that must come
// true for its deadline to be given up: the prediction is not exact.
const lateWaitFactor = 0.8

// waiter is a request that waits for its decision.
type waiter struct {
	item    Item
	request Request
	// lane is nil unless the request was queued.
	lane        *lane
	submittedAt time.Time
	decided     bool
	onDecided   func(*Grant, error)
}

// decision is told to the caller once the queue is unlocked, since the caller
// may call back.
type decision struct {
	waiter *waiter
	grant  *Grant
	err    error
}

// serviceQueue admits the requests of one service.
type serviceQueue struct {
	name    string
	options *Options

	mu      sync.Mutex
	stopped bool
	lanes   [numLanes]*lane
	granted snapshot.Work
	waiting snapshot.Work
	// grantedSince was started and releasedSince was releasedSince back since the room numbered roomSeq
	// was measured.
	grantedSince, releasedSince snapshot.Work
	capacitySeq                 uint64
	// urgentLead is how much more than its share urgent work had while others
	// waited, in prompt tokens.
	urgentLead float64
	tickedAt   time.Time
	// serviceRatios holds, by class, the ratio of actual to forecast time of service.
	serviceRatios map[string]serviceRatio
	// decisions are those made since the lock was taken.
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

// withLock runs f under the lock with the present room and time, then tells the
// decisions that f made.
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

// recordDecision notes the decision on a waiter; q.mu is held.
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

// predictWait is the predicted time until the lane has served the cost ahead.
func (q *serviceQueue) predictWait(l *lane, capacity *Capacity, ahead float64) time.Duration {
	d := l.timeToServe(ahead, capacity)
	if u := q.lanes[laneUrgent]; l != u {
		d += u.timeToServe(u.TotalCost(), capacity)
	}
	return d
}

func (q *serviceQueue) numQueued() int {
	n := 0
	for _, l := range q.lanes {
		n += l.Len()
	}
	return n
}

// refuseOnArrival returns the error of a request that can't be admitted.
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

// maxWaitShare is the share of the time to spare that a request may wait. One that
// comes back as told gets all of it.
func (q *serviceQueue) maxWaitShare(r *Request) float64 {
	if r.Resubmitted {
		return 1
	}
	return q.options.WaitShare
}

// evictOrRefuse makes place in a full queue: the newest request of the flow that has
// most queued per weight goes, be it this one. Urgent requests go last.
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

// refuseQueued decides against a request that was taken out of its lane.
func (q *serviceQueue) refuseQueued(it *Item, reason Reason, capacity *Capacity, now time.Time) {
	r, l := &it.waiter.request, it.waiter.lane
	f := q.predict(r, capacity, now, q.predictWait(l, capacity, l.CostAhead(r.Customer, r.Weight, r.Resubmitted)))
	q.recordDecision(it.waiter, nil, q.newRefusal(r, l, reason, capacity, f, now))
}

// fits reports whether the lane may start work now. A prompt is started while
// there is any room for prompts: in the small share of one host whole prompts
// would seldom fit. Work that is mostly output needs a place in a batch only.
//
// What the host gave back since the room was measured counts for its own part
// only: if it took that again at once, a host would keep for ever what it has
// beyond its part, and with whole prompts on every host the engines' queues would
// never shrink.
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

// syncCapacity starts the counts anew when the room was measured anew.
func (q *serviceQueue) syncCapacity(capacity *Capacity) {
	if capacity.Seq != q.capacitySeq {
		q.capacitySeq = capacity.Seq
		q.grantedSince, q.releasedSince = snapshot.Work{}, snapshot.Work{}
	}
}

// inFlight is the larger of what was granted and what is counted at the runners,
// the latter with what was granted and given back since it was counted.
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

// updateUrgentLead keeps the lead of urgent work, which is forgotten while nothing
// else waits.
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

// startWaiting starts waiting requests while there is room.
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

// nextLane returns the lane to serve next, or nil: the urgent one unless its lead is
// used up, else of those whose next request fits the one that waits longest.
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

// tick refuses waiting requests that can't meet their deadlines any more and
// starts others if there is room.
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

// markTickedIfIdle reports whether there is nothing to look at, and notes that it was looked
// at in that case.
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

// release gives room back and starts what fits.
func (q *serviceQueue) release(w snapshot.Work) {
	q.withLock(func(capacity *Capacity, now time.Time) {
		q.granted = q.granted.Plus(w.Negate())
		if recomputed := capacity.Seq != q.capacitySeq && capacity.Seq > 0; recomputed {
			q.syncCapacity(capacity) // without what is given back
		} else {
			q.releasedSince = q.releasedSince.Plus(w)
		}
		q.startWaiting(capacity, now)
	})
}

// cancel takes out a waiter whose caller has gone; it is false when the
// decision came first.
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

// stop refuses everything from now on.
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
