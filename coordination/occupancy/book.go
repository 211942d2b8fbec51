// Package occupancy counts, at one host for each engine, what all hosts have under
// way there, so that a host knows of the others' work before it adds its own.
//
// The owner of an engine's count is chosen by rendezvous hashing over the hosts'
// addresses. Counts and forecasts only help to place requests: while an owner is lost,
// new or known to some hosts only, requests are placed less well, and no answer is
// wrong.
package occupancy

import (
	"log/slog"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/state"
)

// idleTTL is how long an engine that nobody asks for is remembered.
const idleTTL = time.Minute

// Request is a request for a place at an engine.
type Request struct {
	Engine state.InstanceID
	// MaxInFlight bounds the places in requests, of work that isn't a reading.
	MaxInFlight int
	// Prefill is the prompt that is to be read; nil for other work.
	Prefill *Prefill
	// TTL is how long the place is kept if its end isn't told.
	TTL time.Duration
}

// Prefill is a prompt that is to be read at an engine.
type Prefill struct {
	// Service is that of the engine; engines of one service have like speeds.
	Service string
	Prompt  backlog.Prompt
	// MemoryTokens is the engine's memory in tokens.
	MemoryTokens int
	// MaxWait is the longest predicted wait with which a place is wanted.
	MaxWait time.Duration
	// MaxFinish is when the prompt should have been read, and Late says that a place is
	// wanted also if it is predicted to be read later.
	MaxFinish time.Duration
	AllowLate bool
	// RequireCached says that a place is wanted only where all shared parts are kept.
	RequireCached bool
}

// Response is an owner's answer to an Ask.
type Response struct {
	// ID names the place; 0 if none was given.
	ID uint64
	// Forecast is set for readings, given a place or not.
	Forecast backlog.Forecast
}

// Tracker holds the counts that this host keeps. It is safe for concurrent use.
type Tracker struct {
	clock state.Clock
	log   *slog.Logger

	mu      sync.Mutex
	nextID  uint64
	engines map[state.InstanceID]*engine
	// estimators are by service.
	estimators map[string]*backlog.Estimator
	limiters   map[state.InstanceID]*limiter
}

// engine is what is under way at one engine.
type engine struct {
	// queue is nil until a reading is asked for.
	queue        *backlog.Queue
	reservations map[uint64]reservation
	usedAt       time.Time
}

// reservation is one place that was given.
type reservation struct {
	prefill   bool
	expiresAt time.Time
}

// NewTracker returns an empty book.
func NewTracker(clock state.Clock, log *slog.Logger) *Tracker {
	return &Tracker{clock: clock, log: log, engines: map[state.InstanceID]*engine{}, estimators: map[string]*backlog.Estimator{}, limiters: map[state.InstanceID]*limiter{}}
}

// Enter gives a place at the engine, or none if as much is under way there as is
// done in time.
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
	return Response{ID: t.reserve(e, reservation{expiresAt: now.Add(req.TTL)})}
}

// enterPrefill gives a place for a reading.
func (t *Tracker) enterPrefill(e *engine, req Request, now time.Time) Response {
	r := req.Prefill
	if e.queue == nil {
		e.queue = backlog.NewQueue(t.estimator(r.Service))
	}
	out := Response{Forecast: e.queue.Forecast(now, r.Prompt, r.MaxFinish)}
	late := out.Forecast.Rank >= backlog.Classes
	if (r.RequireCached && out.Forecast.UncachedTime > 0) || out.Forecast.Wait > r.MaxWait || (late && !r.AllowLate) {
		return out
	}
	out.ID = t.reserve(e, reservation{prefill: true, expiresAt: now.Add(req.TTL)})
	e.queue.Add(now, out.ID, r.Prompt, out.Forecast.Rank, r.MemoryTokens)
	return out
}

func (t *Tracker) reserve(e *engine, r reservation) uint64 {
	t.nextID++
	e.reservations[t.nextID] = r
	return t.nextID
}

func (t *Tracker) estimator(service string) *backlog.Estimator {
	out := t.estimators[service]
	if out == nil {
		out = backlog.NewEstimator()
		t.estimators[service] = out
	}
	return out
}

// Remaining predicts when the reading of a place ends.
func (t *Tracker) Remaining(engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[engine]
	if e == nil || e.queue == nil {
		return backlog.Forecast{}, backlog.Unknown
	}
	return e.queue.Remaining(t.clock.Now(), id)
}

// Leave ends a place. done says that the work was done, so that its time tells how
// loaded the engine is. An unknown place, such as one of an earlier run of this
// host, is passed over.
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

// release ends a known place, and logs when the engine begins or ceases to be slow.
func (t *Tracker) release(e *engine, name state.InstanceID, id uint64, done bool) {
	slow := e.slow()
	e.release(t.clock.Now(), id, done)
	if e.slow() != slow {
		t.log.Info("engine's speed changed", "instance", name, "slow", !slow, "factor", e.queue.Factor(), "waiting", e.queue.Len())
	}
}

// slow reports whether the engine reads far more slowly than the others.
func (e *engine) slow() bool { return e.queue != nil && e.queue.Slow() }

// engine returns the engine's count; b.mu is held. A new one drops those that
// nobody has asked for lately.
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

// expire ends the places whose hosts have told no end in time.
func (e *engine) expire(now time.Time) {
	for id, r := range e.reservations {
		if now.After(r.expiresAt) {
			e.release(now, id, false)
		}
	}
}

func (e *engine) release(now time.Time, id uint64, done bool) {
	if e.reservations[id].prefill {
		e.queue.Remove(now, id, done)
	}
	delete(e.reservations, id)
}
