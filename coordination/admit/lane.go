package admit

import (
	"math"
	"time"
)

// laneKind tells the waiting requests of a service apart by what they wait for.
type laneKind int

// The numLanes. Requests of urgent classes go first. Others wait for the resource
// that they need most, so that work for a busy one doesn't keep work for a free
// one waiting.
const (
	laneUrgent laneKind = iota
	// lanePrefill holds requests that are mostly prefill.
	lanePrefill
	// laneDecode holds requests that are mostly decode, and calls of plain
	// services.
	laneDecode
	numLanes
)

func laneKindFor(r *Request, capacity *Capacity) laneKind {
	switch {
	case r.Urgent:
		return laneUrgent
	case float64(r.Cost.PrefillTokens)*capacity.DecodePerSecond > float64(r.Cost.DecodeTokens)*capacity.PrefillPerSecond:
		return lanePrefill
	default:
		return laneDecode
	}
}

// The pace of a lane is measured while it is never empty.
const (
	// rateTimeConstant is how long a measured rate counts.
	rateTimeConstant = 2 * time.Second
	// The measured rate is kept within these shares of the one expected from
	// the fleet's speed.
	minRateFactor, maxRateFactor = 0.1, 2
)

// lane is the queue of one kind with the rate at which it is served.
type lane struct {
	Discipline
	kind laneKind
	// rate is the measured cost started per second; it is of use only while the
	// lane isn't empty.
	rate float64
	// startedCost is the cost startedCost since the last look; whole is true if the
	// lane hasn't been empty since then.
	startedCost  float64
	backlogged   bool
	reservations reservations
}

func (l *lane) push(it *Item, capacity *Capacity) {
	if l.Len() == 0 {
		l.rate = capacity.PrefillPerSecond
		l.backlogged = false
	}
	l.Push(it)
}

func (l *lane) pop() *Item {
	it := l.Pop()
	l.startedCost += it.Cost
	return it
}

// updateRate takes in what was started since the last look.
func (l *lane) updateRate(elapsed time.Duration, capacity *Capacity) {
	if l.backlogged && l.Len() > 0 && elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
		l.rate += weight * (l.startedCost/elapsed.Seconds() - l.rate)
		l.rate = min(max(l.rate, minRateFactor*capacity.PrefillPerSecond), maxRateFactor*capacity.PrefillPerSecond)
	}
	l.startedCost = 0
	l.backlogged = l.Len() > 0
}

// timeToServe is how long the lane takes to serve a cost.
func (l *lane) timeToServe(cost float64, capacity *Capacity) time.Duration {
	if l.Len() == 0 || l.rate <= 0 {
		return capacity.timeToServe(cost)
	}
	return seconds(cost / l.rate)
}
