package admit

import (
	"time"
)

// Bounds of what is remembered of refused requests.
const (
	// maxPromises bounds the promises that are counted.
	maxPromises = 16384
	// returnGrace is how long after its time a request may come back and be
	// recognised, returnEarly how long before.
	returnGrace = 10 * time.Second
	returnEarly = time.Second
)

// promise is what a refused request was told.
type promise struct {
	id     string
	flow   string
	weight float64
	cost   float64
	at     time.Time
}

// promises are the refused requests of one lane that were told to come back and
// whose time hasn't come. They count as if they waited, so that the next one is
// told a later time and not all come at once to be refused again.
type promises struct {
	total float64
	flows map[string]*promisedFlow
	// open holds the promises in no order.
	open []promise
	// ids is when each refused request was told to come back.
	ids map[string]time.Time
}

type promisedFlow struct {
	cost, weight float64
	count        int
}

func newPromises() promises {
	return promises{flows: map[string]*promisedFlow{}, ids: map[string]time.Time{}}
}

// add counts a promise.
func (p *promises) add(m promise) {
	if len(p.open) >= maxPromises {
		return
	}
	f := p.flows[m.flow]
	if f == nil {
		f = &promisedFlow{weight: m.weight}
		p.flows[m.flow] = f
	}
	f.cost += m.cost
	f.count++
	p.total += m.cost
	p.open = append(p.open, m)
	if m.id != "" {
		p.ids[m.id] = m.at
	}
}

// of is the cost promised to a flow.
func (p *promises) of(flow string) float64 {
	if f := p.flows[flow]; f != nil {
		return f.cost
	}
	return 0
}

// weights is the sum of the weights of the flows with promises.
func (p *promises) weights() float64 {
	sum := 0.0
	for _, f := range p.flows {
		sum += f.weight
	}
	return sum
}

// kept reports whether a request was refused here and comes back as told.
func (p *promises) kept(id string, now time.Time) bool {
	at, ok := p.ids[id]
	if !ok {
		return false
	}
	delete(p.ids, id)
	return !now.Before(at.Add(-returnEarly))
}

// forget drops what is over.
func (p *promises) forget(now time.Time) {
	rest := p.open[:0]
	for _, m := range p.open {
		if m.at.After(now) {
			rest = append(rest, m)
			continue
		}
		p.drop(m)
	}
	p.open = rest
	for id, at := range p.ids {
		if now.After(at.Add(returnGrace)) {
			delete(p.ids, id)
		}
	}
}

func (p *promises) drop(m promise) {
	f := p.flows[m.flow]
	f.cost -= m.cost
	f.count--
	p.total -= m.cost
	if f.count == 0 {
		delete(p.flows, m.flow)
	}
	if len(p.flows) == 0 {
		p.total = 0 // drops what rounding left
	}
}

// returnSpare is the share of its own time to spare that a request is told to
// wait here rather than there: the more, the more come back for nothing.
const returnSpare = 0.25

// refusal makes the error of a refused request, with the time after which its
// flow will have been served what waits and what was promised before it, less
// what the request can wait itself.
func (q *serviceQueue) refusal(r *Request, l *lane, reason Reason, room *Capacity, f forecast, now time.Time) error {
	cost := room.cost(r.Cost, q.o.DecodeFactor)
	spare := time.Duration(returnSpare * float64(f.spare(r.Deadline, now)))
	after := q.o.bounded(q.untilServed(r, l, room) - spare)
	l.promises.add(promise{r.ID, r.Customer, r.Weight, cost, now.Add(after)})
	return &RefusedError{reason, after}
}

// untilServed is the predicted time until the lane has served the flow's waiting
// and promised work.
func (q *serviceQueue) untilServed(r *Request, l *lane, room *Capacity) time.Duration {
	own := l.QueuedCost(r.Customer) + l.promises.of(r.Customer)
	weights := max(l.TotalWeight(), l.promises.weights())
	ahead := fairAhead(own, r.Weight, weights, l.TotalCost()+l.promises.total)
	return q.wait(l, room, ahead)
}

func (o *Options) bounded(d time.Duration) time.Duration {
	return min(max(d, o.MinRetryAfter), o.MaxRetryAfter)
}
