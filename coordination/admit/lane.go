package admit

import (
	"math"
	"time"
)

// laneKind says which requests of a service wait in a lane.
type laneKind int

// Kinds of lanes. Requests that aren't urgent are divided by the resource that they
// need most, prefill or decode, so that requests for a busy resource don't block
// requests for a free one.
const (
	// laneUrgent holds urgent requests, whatever they need.
	laneUrgent laneKind = iota
	// lanePrefill holds requests that take longer to prefill than to decode.
	lanePrefill
	// laneDecode holds the other requests, among them those of services that
	// aren't engines.
	laneDecode
	// numLanes is the number of kinds.
	numLanes
)

// laneKindFor returns the kind of the lane that a request waits in.
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

// Parameters of the service rate of a lane, which is measured while the lane is
// backlogged.
const (
	// rateTimeConstant is the time constant of the exponential moving average.
	rateTimeConstant = 2 * time.Second
	// minRateFactor and maxRateFactor bound the measured rate, relative to the
	// rate that the host's share of the fleet is expected to have.
	minRateFactor, maxRateFactor = 0.1, 2
)

// lane is the queue of the requests of one kind, with the measured rate at which it
// is served.
type lane struct {
	Discipline
	kind laneKind
	// rate is the measured cost started per second, in prompt tokens; it is valid
	// only while the lane isn't empty.
	rate float64
	// startedCost is the cost started since the last tick.
	startedCost float64
	// backlogged reports whether the lane has never been empty since the last
	// tick.
	backlogged bool
	// reservations holds the refused requests that are expected again.
	reservations reservations
}

// push adds an item. A lane that was empty starts with the expected rate.
func (l *lane) push(it *Item, capacity *Capacity) {
	if l.Len() == 0 {
		l.rate = capacity.PrefillPerSecond
		l.backlogged = false
	}
	l.Push(it)
}

// pop removes the next item and counts its cost as started.
func (l *lane) pop() *Item {
	it := l.Pop()
	l.startedCost += it.Cost
	return it
}

// updateRate updates the rate by the cost started since the last tick, elapsed ago.
func (l *lane) updateRate(elapsed time.Duration, capacity *Capacity) {
	if l.backlogged && l.Len() > 0 && elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
		l.rate += weight * (l.startedCost/elapsed.Seconds() - l.rate)
		l.rate = min(max(l.rate, minRateFactor*capacity.PrefillPerSecond), maxRateFactor*capacity.PrefillPerSecond)
	}
	l.startedCost = 0
	l.backlogged = l.Len() > 0
}

// timeToServe returns the predicted time in which the lane serves a cost.
func (l *lane) timeToServe(cost float64, capacity *Capacity) time.Duration {
	if l.Len() == 0 || l.rate <= 0 {
		return capacity.timeToServe(cost)
	}
	return seconds(cost / l.rate)
}
