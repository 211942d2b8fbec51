package occupancy

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/state"
)

// EngineStatus is the work of all hosts at one engine.
type EngineStatus struct {
	Engine state.InstanceID
	// Waiting is the number of waiting prompts by level.
	Waiting [contention.MaxLevels]int
	// UntilEmpty is the predicted time until all admitted prompts are computed.
	UntilEmpty time.Duration
	// Speed is the lasting speed relative to the usual one; 0 if it isn't known.
	Speed float64
	// InSlowPeriod says that the engine is slower at present than its lasting speed.
	InSlowPeriod bool
	// Decoding is the number of reservations that aren't for prefills.
	Decoding int
}

// compareBusy orders the busier engine first: that with more prefill work, then that with more
// decodes.
func compareBusy(a, b EngineStatus) int {
	return cmp.Or(cmp.Compare(b.UntilEmpty, a.UntilEmpty), cmp.Compare(b.Decoding, a.Decoding), cmp.Compare(a.Engine.Name, b.Engine.Name), cmp.Compare(a.Engine.Born, b.Engine.Born))
}

// Busiest returns the n busiest engines, the busiest first, and the number of engines with a count.
// listed reports whether an engine is in the list of instances; others don't count. It must not call
// the tracker.
func (t *Tracker) Busiest(n int, listed func(state.InstanceID) bool) (busiest []EngineStatus, engines int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for id, e := range t.engines {
		if !listed(id) {
			continue
		}
		engines++
		e.expire(now)
		busiest = append(busiest, e.status(id, now))
		if len(busiest) == 2*n {
			slices.SortFunc(busiest, compareBusy)
			busiest = busiest[:n]
		}
	}
	slices.SortFunc(busiest, compareBusy)
	return busiest[:min(n, len(busiest))], engines
}

// status returns the status of an engine whose reservations have been expired.
func (e *engine) status(id state.InstanceID, now time.Time) EngineStatus {
	s := EngineStatus{Engine: id, Decoding: len(e.reservations)}
	if e.queue == nil {
		return s
	}
	s.Decoding -= e.queue.Len()
	s.Waiting, s.UntilEmpty, s.InSlowPeriod = e.queue.Waiting(), e.queue.UntilEmpty(now), e.queue.InSlowPeriod(now)
	if speed, known := e.queue.Speed(); known {
		s.Speed = speed
	}
	return s
}
