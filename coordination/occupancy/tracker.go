// Package occupancy counts, at one host per engine, the work that all hosts have in progress at
// that engine, so that each host knows of the others' work before it adds its own. It also
// enforces the rate limits of runners.
//
// The host that owns an engine's count is chosen by rendezvous hashing over the hosts' addresses.
// Counts and forecasts only improve placement. While an owner is lost, new, or not known to all
// hosts, requests are placed less well, but no answer becomes wrong.
package occupancy

import (
	"log/slog"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/state"
)

// idleTTL is how long an engine or a runner's limiter is kept after the last request for it.
const idleTTL = time.Minute

// Request asks for admission to an engine.
type Request struct {
	Engine state.InstanceID
	// MaxInFlight bounds the reservations at the engine for a request that isn't a prefill.
	MaxInFlight int
	// MemoryTokens is the memory that the request takes while it decodes, and EngineTokens the
	// engine's memory, both in tokens; 0 if they aren't known, and then no memory is reserved. The
	// memory of a prefill at an engine that decodes as well is held until the second report of its
	// end: the first one, if the prefill was completed, ends the prefill only.
	MemoryTokens, EngineTokens int
	// Class gives the part of the memory that is kept for more urgent requests.
	Class contention.Class
	// Prefill is the prompt to be computed; nil for a request that isn't a prefill.
	Prefill *Prefill
	// TTL is how long a reservation is kept if its end isn't reported.
	TTL time.Duration
}

// Prefill is a prompt to be computed at an engine.
type Prefill struct {
	// Service is the engine's service. Engines of one service have similar speeds.
	Service string
	Prompt  backlog.Prompt
	// MemoryTokens is the engine's memory in tokens.
	MemoryTokens int
	// MaxWait is the longest predicted wait with which admission is wanted.
	MaxWait time.Duration
	// MaxFinish is the time from now in which the prefill should end. AllowLate says that
	// admission is also wanted if the prefill is predicted to end later.
	MaxFinish time.Duration
	AllowLate bool
	// RequireCached says that admission is only wanted if all shareable parts of the prompt are
	// cached at the engine.
	RequireCached bool
	// Class orders the prompt among others.
	Class contention.Class
}

// Response is an owner's response to a Request.
type Response struct {
	// ID identifies the reservation; 0 if the request wasn't admitted.
	ID uint64
	// Forecast is set for prefills, whether admitted or not.
	Forecast backlog.Forecast
	// NoMemory says that the engine lacks memory for the request. A prefill with AllowLate is
	// admitted nevertheless, without memory.
	NoMemory bool
}

// Tracker holds the counts of the engines that this host owns, and the limiters of runners. It
// is safe for concurrent use.
type Tracker struct {
	clock state.Clock
	log   *slog.Logger

	mu      sync.Mutex
	nextID  uint64
	engines map[state.InstanceID]*engine
	// estimators holds the estimator of each service.
	estimators map[string]*backlog.Estimator
	limiters   map[state.InstanceID]*limiter
	parts      partUses
	// contentions holds the shares of the customers of each service.
	contentions map[string]*serviceContention
	// fleetSpeeds is nil if the fleet measures no speeds.
	fleetSpeeds SpeedSource
	// memoryRefusals counts the reservations refused for lack of memory.
	memoryRefusals uint64
}

// engine is the work in progress at one engine.
type engine struct {
	// queue is nil until the first request for a prefill.
	queue *backlog.Queue
	// inSlowPeriod says that the last prefill ended in a slow period.
	inSlowPeriod bool
	reservations map[uint64]reservation
	// tokens is the memory that the reservations hold.
	tokens int
	usedAt time.Time
	// contention is that of the engine's service, and prefillAt when a prefill was last requested;
	// nil and zero until then.
	contention *serviceContention
	prefillAt  time.Time
}

// reservation is one admitted request.
type reservation struct {
	prefill   bool
	tokens    int
	expiresAt time.Time
}

// NewTracker returns a tracker without counts.
func NewTracker(clock state.Clock, log *slog.Logger) *Tracker {
	return &Tracker{
		clock: clock, log: log, engines: map[state.InstanceID]*engine{}, estimators: map[string]*backlog.Estimator{}, limiters: map[state.InstanceID]*limiter{},
		parts: partUses{}, contentions: map[string]*serviceContention{},
	}
}

// Enter admits a request to the engine, unless the engine has too much work in progress for it.
func (t *Tracker) Enter(req Request) Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e := t.engine(req.Engine, now)
	e.expire(now)
	if req.Prefill != nil {
		return t.enterPrefill(e, req, now)
	}
	if len(e.reservations) >= req.MaxInFlight {
		return Response{}
	}
	if !e.hasMemory(req) {
		t.memoryRefusals++
		return Response{NoMemory: true}
	}
	return Response{ID: t.reserve(e, reservation{tokens: req.MemoryTokens, expiresAt: now.Add(req.TTL)})}
}

// enterPrefill admits a prefill if its forecast meets the request's conditions.
func (t *Tracker) enterPrefill(e *engine, req Request, now time.Time) Response {
	p := req.Prefill
	t.parts.record(now, p.Service, p.Prompt.Parts)
	if e.queue == nil {
		e.queue = backlog.NewQueue(t.estimator(p.Service))
	}
	e.queue.UseEstimator(t.estimator(p.Service))
	t.applyFleetSpeed(e, req.Engine)
	c := t.contention(p.Service)
	e.contention, e.prefillAt = c, now
	prompt := p.Prompt
	prompt.Class, prompt.AheadOfShare = p.Class, t.aheadOfShare(c, e, p.Class.Customer, now)
	out := Response{Forecast: e.queue.Forecast(now, prompt, p.MaxFinish), NoMemory: !e.hasMemory(req)}
	if out.NoMemory && !p.AllowLate {
		t.memoryRefusals++
		return out
	}
	if (p.RequireCached && out.Forecast.UncachedTime > 0) || out.Forecast.Wait > p.MaxWait || (out.Forecast.Deferred() && !p.AllowLate) {
		return out
	}
	r := reservation{prefill: true, tokens: req.MemoryTokens, expiresAt: now.Add(req.TTL)}
	if out.NoMemory {
		r.tokens = 0
	}
	out.ID = t.reserve(e, r)
	cost := e.queue.Admit(now, out.ID, prompt, out.Forecast, p.MaxFinish, p.MemoryTokens)
	c.shares.Add(now, p.Class.Customer, cost, out.Forecast.Outcome)
	return out
}

// reserve adds a reservation and returns its ID.
func (t *Tracker) reserve(e *engine, r reservation) uint64 {
	t.nextID++
	e.reservations[t.nextID] = r
	e.tokens += r.tokens
	return t.nextID
}

// estimator returns the estimator of a service, and creates it if there is none; t.mu is held.
func (t *Tracker) estimator(service string) *backlog.Estimator {
	out := t.estimators[service]
	if out == nil {
		out = backlog.NewEstimator()
		t.estimators[service] = out
	}
	return out
}

// Remaining predicts when the prefill of a reservation ends.
func (t *Tracker) Remaining(engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[engine]
	if e == nil || e.queue == nil {
		return backlog.Forecast{}, backlog.Unknown
	}
	return e.queue.Remaining(t.clock.Now(), id)
}

// Leave ends a reservation. done says that the work was completed, so that its duration is a
// sample of the engine's speed. Unknown reservations, such as those of an earlier run of this
// host, are ignored.
func (t *Tracker) Leave(engine state.InstanceID, id uint64, done bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[engine]
	if e == nil {
		return
	}
	if _, known := e.reservations[id]; known {
		t.release(e, engine, id, done)
	}
}

// engine returns the engine's count, and creates it if there is none; t.mu is held. Creating one
// removes the engines that were idle for idleTTL.
func (t *Tracker) engine(id state.InstanceID, now time.Time) *engine {
	e := t.engines[id]
	if e == nil {
		for other, old := range t.engines {
			if now.Sub(old.usedAt) > idleTTL {
				delete(t.engines, other)
			}
		}
		e = &engine{reservations: map[uint64]reservation{}}
		t.engines[id] = e
	}
	e.usedAt = now
	return e
}

// expire ends the reservations whose TTL has passed without a reported end.
func (e *engine) expire(now time.Time) {
	for id, r := range e.reservations {
		if now.After(r.expiresAt) {
			e.release(now, id, false)
		}
	}
}

// release ends a reservation, or only its prefill if that is done and the request decodes at the same
// engine.
func (e *engine) release(now time.Time, id uint64, done bool) {
	r := e.reservations[id]
	if r.prefill {
		e.queue.Remove(now, id, done)
	}
	if r.prefill && done && r.tokens > 0 {
		r.prefill = false
		e.reservations[id] = r
		return
	}
	e.tokens -= r.tokens
	delete(e.reservations, id)
}
