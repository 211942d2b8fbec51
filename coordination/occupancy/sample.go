package occupancy

import (
	"time"

	"github.com/thymerack/thymerack/coordination/fleetload"
	"github.com/thymerack/thymerack/state"
)

// activeWindow is how long after its last request an engine without work in progress counts among
// the engines with load: as long as the holder uses a sample.
const activeWindow = 5 * time.Second

// Sample returns the load of the engines whose counts this host owns. lookup returns a listed engine,
// or nil; engines that aren't listed don't count. lookup must not call the tracker.
func (t *Tracker) Sample(lookup func(state.InstanceID) *state.Instance) fleetload.Sample {
	s := t.collect(lookup)
	s.Speeds, s.Parts = fleetload.LimitThroughputs(s.Speeds), fleetload.LimitParts(s.Parts)
	return s
}

// collect returns a sample without bounds on its parts and speeds, which are applied without the lock.
func (t *Tracker) collect(lookup func(state.InstanceID) *state.Instance) fleetload.Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := fleetload.Sample{Parts: t.parts.inUse(now)}
	rows := map[[2]string]int{}
	for id, e := range t.engines {
		instance := lookup(id)
		if instance == nil {
			continue
		}
		key := [2]string{instance.Service, instance.FailureDomain}
		index, known := rows[key]
		if !known {
			index = len(s.Domains)
			rows[key] = index
			s.Domains = append(s.Domains, fleetload.DomainLoad{Service: instance.Service, FailureDomain: instance.FailureDomain})
		}
		e.addLoad(&s.Domains[index], now)
		// An engine that is idle for idleTTL may have another owner by now. It is removed only when another
		// engine is added. Engines that decode compute prompts between the tokens of streams, so their
		// throughput doesn't tell their speed.
		idle := now.Sub(e.usedAt)
		if throughput, known := e.throughput(); known && idle <= idleTTL && instance.Role != state.RoleDecode {
			s.Speeds = append(s.Speeds, fleetload.EngineSpeed{Engine: id, Service: instance.Service, Speed: throughput, Idle: idle})
		}
	}
	return s
}

// addLoad adds the engine's load to that of its domain.
func (e *engine) addLoad(l *fleetload.DomainLoad, now time.Time) {
	idle := now.Sub(e.usedAt) > activeWindow
	if idle {
		e.expire(now) // each request does this for the other engines
	}
	if !idle || len(e.reservations) > 0 {
		l.Engines++
	}
	prefills := 0
	if e.queue != nil {
		prefills = e.queue.Len()
		total, late := e.queue.RecentLoad(now)
		l.Prefill += total
		l.LatePrefill += late
	}
	l.Decoding += len(e.reservations) - prefills
	l.DecodeTokens += e.tokens
}

// throughput returns the prompt tokens per millisecond that the engine computes by its lasting speed.
func (e *engine) throughput() (tokensPerMS float64, known bool) {
	if e.queue == nil {
		return 0, false
	}
	return e.queue.Throughput()
}
