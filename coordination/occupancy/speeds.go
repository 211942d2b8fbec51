package occupancy

import "github.com/thymerack/thymerack/state"

// SpeedSource returns the speed that the fleet has measured for one run of an engine, relative to the
// median of its service. known is false if it was not measured or is the usual one. It must be fast
// and must not call the Tracker.
type SpeedSource func(engine state.InstanceID) (speed float64, known bool)

// UseSpeeds makes the fleet's speeds the first estimates for engines that this host becomes the owner
// of, so that a change of owner doesn't lose them. A nil source gives none.
func (t *Tracker) UseSpeeds(source SpeedSource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleetSpeeds = source
}

// applyFleetSpeed passes the engine's queue what the fleet has measured; t.mu is held.
func (t *Tracker) applyFleetSpeed(e *engine, id state.InstanceID) {
	if t.fleetSpeeds != nil {
		e.queue.SetFleetSpeed(t.fleetSpeeds(id))
	}
}

// release ends a known reservation, and logs if the engine becomes slow for good or stops being slow,
// and if a slow period begins.
func (t *Tracker) release(e *engine, name state.InstanceID, id uint64, done bool) {
	now := t.clock.Now()
	if e.queue == nil || !e.reservations[id].prefill {
		e.release(now, id, done)
		return
	}
	slow, period := e.queue.Slow(), e.inSlowPeriod
	e.release(now, id, done)
	if e.queue.Slow() != slow {
		t.log.Info("engine's speed changed", "instance", name, "slow", !slow, "factor", e.queue.Factor(), "waiting", e.queue.Len())
	}
	if e.inSlowPeriod = e.queue.InSlowPeriod(now); e.inSlowPeriod && !period {
		t.log.Debug("engine's slow period began", "instance", name, "factor", e.queue.Factor(), "waiting", e.queue.Len())
	}
}
