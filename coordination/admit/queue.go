package admit

import (
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// patience is the share of a waiting request's predicted wait that must come
// true for its deadline to be given up: the prediction is not exact.
const patience = 0.8

// waiter is a request that waits for its decision.
type waiter struct {
	item    Item
	request Request
	// lane is nil unless the request was queued.
	lane    *lane
	at      time.Time
	decided bool
	decide  func(*Grant, error)
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
	name string
	o    *Options

	mu      sync.Mutex
	stopped bool
	lanes   [lanes]*lane
	running snapshot.Work
	waiting snapshot.Work
	// added was started and given was given back since the room numbered roomSeq
	// was measured.
	added, given snapshot.Work
	roomSeq      uint64
	// lead is how much more than its share urgent work had while others
	// waited, in prompt tokens.
	lead     float64
	lookedAt time.Time
	// misses holds, by class, the ratio of actual to forecast time of service.
	misses map[string]miss
	// decisions are those made since the lock was taken.
	decisions []decision
}

func newServiceQueue(name string, o *Options) *serviceQueue {
	q := &serviceQueue{
		name: name, o: o, lookedAt: o.Clock.Now(),
		misses: map[string]miss{},
	}
	for i := range q.lanes {
		q.lanes[i] = &lane{Discipline: o.NewDiscipline(), kind: laneKind(i), promises: newPromises()}
	}
	return q
}

// locked runs f under the lock with the present room and time, then tells the
// decisions that f made.
func (q *serviceQueue) locked(f func(room *Capacity, now time.Time)) {
	room := q.o.Capacity.Capacity(q.name)
	now := q.o.Clock.Now()
	q.mu.Lock()
	f(&room, now)
	made := q.decisions
	q.decisions = nil
	q.mu.Unlock()
	for _, d := range made {
		d.waiter.decide(d.grant, d.err)
	}
}

// settle notes the decision on a waiter; q.mu is held.
func (q *serviceQueue) settle(w *waiter, g *Grant, err error) {
	w.decided = true
	if w.lane != nil {
		q.waiting = q.waiting.Plus(w.request.Cost.Negate())
	}
	q.decisions = append(q.decisions, decision{w, g, err})
}

// arrive starts, queues or refuses a request.
func (q *serviceQueue) arrive(r *Request, decide func(*Grant, error)) *waiter {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	r.Cost.Requests = max(1, r.Cost.Requests)
	w := &waiter{request: *r, decide: decide, at: q.o.Clock.Now()}
	q.locked(func(room *Capacity, now time.Time) { q.admit(w, room, now) })
	return w
}

func (q *serviceQueue) admit(w *waiter, room *Capacity, now time.Time) {
	r := &w.request
	l := q.lanes[kindOf(r, room)]
	r.Resubmitted = r.Resubmitted || l.promises.kept(r.ID, now)
	f := q.forecast(r, room, now, q.wait(l, room, l.CostAhead(r.Customer, r.Weight, r.Resubmitted)))
	if err := q.refuseAtOnce(r, l, room, f, now); err != nil {
		q.settle(w, nil, err)
		return
	}
	if l.Len() == 0 && q.lanes[laneUrgent].Len() == 0 && q.fits(l, r.Cost, room) {
		q.settle(w, q.start(w, room, now), nil)
		return
	}
	w.lane = l
	w.item = Item{Flow: r.Customer, Weight: r.Weight, Cost: room.cost(r.Cost, q.o.DecodeFactor), Resubmitted: r.Resubmitted, waiter: w}
	l.push(&w.item, room)
	q.waiting = q.waiting.Plus(r.Cost)
	q.pump(room, now)
}

// wait is the predicted time until the lane has served the cost ahead.
func (q *serviceQueue) wait(l *lane, room *Capacity, ahead float64) time.Duration {
	d := l.timeFor(ahead, room)
	if u := q.lanes[laneUrgent]; l != u {
		d += u.timeFor(u.TotalCost(), room)
	}
	return d
}

func (q *serviceQueue) queued() int {
	n := 0
	for _, l := range q.lanes {
		n += l.Len()
	}
	return n
}

// refuseAtOnce returns the error of a request that can't be admitted.
func (q *serviceQueue) refuseAtOnce(r *Request, l *lane, room *Capacity, f forecast, now time.Time) error {
	switch {
	case q.stopped:
		return &RefusedError{ReasonStopped, q.o.MinRetryAfter}
	case room.Runners == 0:
		return &RefusedError{ReasonNoCapacity, q.o.bounded(noCapacityRetry)}
	case f.crowded(r.Deadline, now, q.waitShare(r)):
		return q.refusal(r, l, ReasonDeadline, room, f, now)
	case q.queued() >= q.o.MaxQueued:
		return q.pushOut(r, l, room, f, now)
	}
	return nil
}

// waitShare is the share of the time to spare that a request may wait. One that
// comes back as told gets all of it.
func (q *serviceQueue) waitShare(r *Request) float64 {
	if r.Resubmitted {
		return 1
	}
	return q.o.WaitShare
}

// pushOut makes place in a full queue: the newest request of the flow that has
// most queued per weight goes, be it this one. Urgent requests go last.
func (q *serviceQueue) pushOut(r *Request, l *lane, room *Capacity, f forecast, now time.Time) error {
	from := q.lanes[lanePrompt]
	if o := q.lanes[laneOutput]; o.TotalCost() > from.TotalCost() {
		from = o
	}
	if from.Len() == 0 {
		from = q.lanes[laneUrgent]
	}
	last := from.EvictionCandidate()
	own := (l.QueuedCost(r.Customer) + room.cost(r.Cost, q.o.DecodeFactor)) / r.Weight
	preferred := l.kind == laneUrgent && from.kind != laneUrgent
	if !preferred && (last.Flow == r.Customer || own >= from.QueuedCost(last.Flow)/last.Weight) {
		return q.refusal(r, l, ReasonQueueFull, room, f, now)
	}
	from.Remove(last)
	q.refuse(last, ReasonQueueFull, room, now)
	return nil
}

// refuse decides against a request that was taken out of its lane.
func (q *serviceQueue) refuse(it *Item, reason Reason, room *Capacity, now time.Time) {
	r, l := &it.waiter.request, it.waiter.lane
	f := q.forecast(r, room, now, q.wait(l, room, l.CostAhead(r.Customer, r.Weight, r.Resubmitted)))
	q.settle(it.waiter, nil, q.refusal(r, l, reason, room, f, now))
}

// fits reports whether the lane may start work now. A prompt is started while
// there is any room for prompts: in the small share of one host whole prompts
// would seldom fit. Work that is mostly output needs a place in a batch only.
//
// What the host gave back since the room was measured counts for its own part
// only: if it took that again at once, a host would keep for ever what it has
// beyond its part, and with whole prompts on every host the engines' queues would
// never shrink.
func (q *serviceQueue) fits(l *lane, w snapshot.Work, room *Capacity) bool {
	q.follow(room)
	have := q.inFlight(room)
	requests := have.Requests+w.Requests <= max(1, room.Requests) || room.Seq > 0 && q.added.Requests < room.FreeRequests
	if l.kind != lanePrompt || !requests {
		return requests
	}
	return have.PrefillTokens <= 0 || have.PrefillTokens < room.PrefillTokens ||
		room.Seq > 0 && q.added.PrefillTokens < room.FreePrefillTokens
}

// follow starts the counts anew when the room was measured anew.
func (q *serviceQueue) follow(room *Capacity) {
	if room.Seq != q.roomSeq {
		q.roomSeq = room.Seq
		q.added, q.given = snapshot.Work{}, snapshot.Work{}
	}
}

// inFlight is the larger of what was granted and what is counted at the runners,
// the latter with what was granted and given back since it was counted.
func (q *serviceQueue) inFlight(room *Capacity) snapshot.Work {
	counted := room.InFlight
	if room.Seq > 0 {
		counted = counted.Plus(q.added).Plus(q.given.Negate())
	}
	return snapshot.Work{
		Requests:      max(q.running.Requests, counted.Requests),
		PrefillTokens: max(q.running.PrefillTokens, counted.PrefillTokens),
	}
}

func (q *serviceQueue) start(w *waiter, room *Capacity, now time.Time) *Grant {
	r := &w.request
	q.running = q.running.Plus(r.Cost)
	q.added = q.added.Plus(r.Cost)
	q.countLead(r, room)
	return &Grant{
		Waited: now.Sub(w.at), queue: q, left: r.Cost,
		class: r.Class, at: now, forecast: room.service(r, r.Cost.DecodeTokens),
	}
}

// countLead keeps the lead of urgent work, which is forgotten while nothing
// else waits.
func (q *serviceQueue) countLead(r *Request, room *Capacity) {
	if q.lanes[lanePrompt].Len()+q.lanes[laneOutput].Len() == 0 {
		q.lead = 0
		return
	}
	cost := room.cost(r.Cost, q.o.DecodeFactor)
	if r.Urgent {
		q.lead += cost * (1 - q.o.UrgentShare)
	} else {
		q.lead = max(-cost, q.lead-cost*q.o.UrgentShare)
	}
}

// pump starts waiting requests while there is room.
func (q *serviceQueue) pump(room *Capacity, now time.Time) {
	for room.Runners > 0 {
		l := q.turn(room)
		if l == nil {
			return
		}
		it := l.pop()
		q.settle(it.waiter, q.start(it.waiter, room, now), nil)
	}
}

// turn returns the lane to serve next, or nil: the urgent one unless its lead is
// used up, else of those whose next request fits the one that waits longest.
func (q *serviceQueue) turn(room *Capacity) *lane {
	var best *lane
	for _, l := range q.lanes {
		it := l.Peek()
		if it == nil || !q.fits(l, it.waiter.request.Cost, room) {
			continue
		}
		if l.kind == laneUrgent && q.lead <= 0 {
			return l
		}
		if best == nil || best.kind == laneUrgent || it.waiter.at.Before(best.Peek().waiter.at) {
			best = l
		}
	}
	return best
}

// look refuses waiting requests that can't meet their deadlines any more and
// starts others if there is room.
func (q *serviceQueue) look() {
	if q.idle() {
		return
	}
	q.locked(func(room *Capacity, now time.Time) {
		for _, l := range q.lanes {
			l.measure(now.Sub(q.lookedAt), room)
			l.promises.forget(now)
			q.sweep(l, room, now)
		}
		q.lookedAt = now
		q.pump(room, now)
	})
}

// idle reports whether there is nothing to look at, and notes that it was looked
// at in that case.
func (q *serviceQueue) idle() bool {
	now := q.o.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lanes {
		if l.Len() > 0 || l.whole || len(l.promises.ids) > 0 || len(l.promises.open) > 0 {
			return false
		}
	}
	q.lookedAt = now
	return true
}

func (q *serviceQueue) sweep(l *lane, room *Capacity, now time.Time) {
	removed := l.Sweep(func(it *Item, ahead float64) bool {
		r := &it.waiter.request
		wait := time.Duration(patience * float64(q.wait(l, room, ahead)))
		return !q.forecast(r, room, now, wait).late(r.Deadline, now)
	})
	for _, it := range removed {
		q.refuse(it, ReasonDeadline, room, now)
	}
}

// release gives room back and starts what fits.
func (q *serviceQueue) release(w snapshot.Work) {
	q.locked(func(room *Capacity, now time.Time) {
		q.running = q.running.Plus(w.Negate())
		if measured := room.Seq != q.roomSeq && room.Seq > 0; measured {
			q.follow(room) // without what is given back
		} else {
			q.given = q.given.Plus(w)
		}
		q.pump(room, now)
	})
}

// withdraw takes out a waiter whose caller has gone; it is false when the
// decision came first.
func (q *serviceQueue) withdraw(w *waiter) bool {
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
	q.locked(func(*Capacity, time.Time) {
		q.stopped = true
		for _, l := range q.lanes {
			for it := l.Pop(); it != nil; it = l.Pop() {
				q.settle(it.waiter, nil, &RefusedError{ReasonStopped, q.o.MinRetryAfter})
			}
		}
	})
}

func (q *serviceQueue) stats() QueueStats {
	room := q.o.Capacity.Capacity(q.name)
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := QueueStats{Service: q.name, Waiting: q.queued(), WaitingWork: q.waiting, Running: q.running}
	for _, l := range q.lanes {
		stats.WaitingCost += l.TotalCost()
		stats.PredictedWait = max(stats.PredictedWait, q.wait(l, &room, l.TotalCost()))
	}
	return stats
}
