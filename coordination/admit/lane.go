package admit

import (
	"math"
	"time"
)

// laneKind tells the waiting requests of a service apart by what they wait for.
type laneKind int

// The lanes. Requests of urgent classes go first. Others wait for the resource
// that they need most, so that work for a busy one doesn't keep work for a free
// one waiting.
const (
	laneUrgent laneKind = iota
	// lanePrompt holds requests that are mostly prefill.
	lanePrompt
	// laneOutput holds requests that are mostly decode, and calls of plain
	// services.
	laneOutput
	lanes
)

func kindOf(r *Request, room *Capacity) laneKind {
	switch {
	case r.Urgent:
		return laneUrgent
	case float64(r.Cost.PrefillTokens)*room.DecodePerSecond > float64(r.Cost.DecodeTokens)*room.PrefillPerSecond:
		return lanePrompt
	default:
		return laneOutput
	}
}

// The pace of a lane is measured while it is never empty.
const (
	// laneMemory is how long a measured rate counts.
	laneMemory = 2 * time.Second
	// The measured rate is kept within these shares of the one expected from
	// the fleet's speed.
	minLaneShare, maxLaneShare = 0.1, 2
)

// lane is the queue of one kind with the rate at which it is served.
type lane struct {
	Discipline
	kind laneKind
	// rate is the measured cost started per second; it is of use only while the
	// lane isn't empty.
	rate float64
	// started is the cost started since the last look; whole is true if the
	// lane hasn't been empty since then.
	started  float64
	whole    bool
	promises promises
}

func (l *lane) push(it *Item, room *Capacity) {
	if l.Len() == 0 {
		l.rate = room.PrefillPerSecond
		l.whole = false
	}
	l.Push(it)
}

func (l *lane) pop() *Item {
	it := l.Pop()
	l.started += it.Cost
	return it
}

// measure takes in what was started since the last look.
func (l *lane) measure(over time.Duration, room *Capacity) {
	if l.whole && l.Len() > 0 && over > 0 {
		weight := 1 - math.Exp(-over.Seconds()/laneMemory.Seconds())
		l.rate += weight * (l.started/over.Seconds() - l.rate)
		l.rate = min(max(l.rate, minLaneShare*room.PrefillPerSecond), maxLaneShare*room.PrefillPerSecond)
	}
	l.started = 0
	l.whole = l.Len() > 0
}

// timeFor is how long the lane takes to serve a cost.
func (l *lane) timeFor(cost float64, room *Capacity) time.Duration {
	if l.Len() == 0 || l.rate <= 0 {
		return room.timeFor(cost)
	}
	return seconds(cost / l.rate)
}
