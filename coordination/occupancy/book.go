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

// forgetAfter is how long an engine that nobody asks for is remembered.
const forgetAfter = time.Minute

// Ask is a request for a place at an engine.
type Ask struct {
	Engine state.InstanceID
	// Most bounds the places in requests, of work that isn't a reading.
	Most int
	// Reading is the prompt that is to be read; nil for other work.
	Reading *Reading
	// Keep is how long the place is kept if its end isn't told.
	Keep time.Duration
}

// Reading is a prompt that is to be read at an engine.
type Reading struct {
	// Service is that of the engine; engines of one service have like speeds.
	Service string
	Work    backlog.Prompt
	// Memory is the engine's memory in tokens.
	Memory int
	// MaxWait is the longest predicted wait with which a place is wanted.
	MaxWait time.Duration
	// Limit is when the prompt should have been read, and Late says that a place is
	// wanted also if it is predicted to be read later.
	Limit time.Duration
	Late  bool
	// Warm says that a place is wanted only where all shared parts are kept.
	Warm bool
}

// Answer is an owner's answer to an Ask.
type Answer struct {
	// ID names the place; 0 if none was given.
	ID uint64
	// Forecast is set for readings, given a place or not.
	Forecast backlog.Forecast
}

// Book holds the counts that this host keeps. It is safe for concurrent use.
type Book struct {
	clock state.Clock
	log   *slog.Logger

	mu      sync.Mutex
	nextID  uint64
	engines map[state.InstanceID]*engine
	// estimators are by service.
	estimators map[string]*backlog.Estimator
	permits    map[state.InstanceID]*permits
}

// engine is what is under way at one engine.
type engine struct {
	// queue is nil until a reading is asked for.
	queue   *backlog.Queue
	places  map[uint64]held
	askedAt time.Time
}

// held is one place that was given.
type held struct {
	reading bool
	until   time.Time
}

// NewBook returns an empty book.
func NewBook(clock state.Clock, log *slog.Logger) *Book {
	return &Book{clock: clock, log: log, engines: map[state.InstanceID]*engine{}, estimators: map[string]*backlog.Estimator{}, permits: map[state.InstanceID]*permits{}}
}

// Enter gives a place at the engine, or none if as much is under way there as is
// done in time.
func (b *Book) Enter(a Ask) Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	e := b.engine(a.Engine, now)
	e.expire(now)
	if a.Reading != nil {
		return b.read(e, a, now)
	}
	if len(e.places) >= a.Most {
		return Answer{}
	}
	return Answer{ID: b.place(e, held{until: now.Add(a.Keep)})}
}

// read gives a place for a reading.
func (b *Book) read(e *engine, a Ask, now time.Time) Answer {
	r := a.Reading
	if e.queue == nil {
		e.queue = backlog.NewQueue(b.estimator(r.Service))
	}
	out := Answer{Forecast: e.queue.Forecast(now, r.Work, r.Limit)}
	late := out.Forecast.Rank >= backlog.Classes
	if (r.Warm && out.Forecast.UncachedTime > 0) || out.Forecast.Wait > r.MaxWait || (late && !r.Late) {
		return out
	}
	out.ID = b.place(e, held{reading: true, until: now.Add(a.Keep)})
	e.queue.Add(now, out.ID, r.Work, out.Forecast.Rank, r.Memory)
	return out
}

func (b *Book) place(e *engine, h held) uint64 {
	b.nextID++
	e.places[b.nextID] = h
	return b.nextID
}

func (b *Book) estimator(service string) *backlog.Estimator {
	out := b.estimators[service]
	if out == nil {
		out = backlog.NewEstimator()
		b.estimators[service] = out
	}
	return out
}

// Remaining predicts when the reading of a place ends.
func (b *Book) Remaining(engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[engine]
	if e == nil || e.queue == nil {
		return backlog.Forecast{}, backlog.Unknown
	}
	return e.queue.Remaining(b.clock.Now(), id)
}

// Leave ends a place. done says that the work was done, so that its time tells how
// loaded the engine is. An unknown place, such as one of an earlier run of this
// host, is passed over.
func (b *Book) Leave(engine state.InstanceID, id uint64, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[engine]
	if e == nil {
		return
	}
	if _, known := e.places[id]; known {
		b.end(e, engine, id, done)
	}
}

// end ends a known place, and logs when the engine begins or ceases to be slow.
func (b *Book) end(e *engine, name state.InstanceID, id uint64, done bool) {
	slow := e.slow()
	e.end(b.clock.Now(), id, done)
	if e.slow() != slow {
		b.log.Info("engine's speed changed", "instance", name, "slow", !slow, "factor", e.queue.Factor(), "waiting", e.queue.Len())
	}
}

// slow reports whether the engine reads far more slowly than the others.
func (e *engine) slow() bool { return e.queue != nil && e.queue.Slow() }

// engine returns the engine's count; b.mu is held. A new one drops those that
// nobody has asked for lately.
func (b *Book) engine(id state.InstanceID, now time.Time) *engine {
	e := b.engines[id]
	if e == nil {
		for other, old := range b.engines {
			if now.Sub(old.askedAt) > forgetAfter {
				delete(b.engines, other)
			}
		}
		e = &engine{places: map[uint64]held{}}
		b.engines[id] = e
	}
	e.askedAt = now
	return e
}

// expire ends the places whose hosts have told no end in time.
func (e *engine) expire(now time.Time) {
	for id, p := range e.places {
		if now.After(p.until) {
			e.end(now, id, false)
		}
	}
}

func (e *engine) end(now time.Time, id uint64, done bool) {
	if e.places[id].reading {
		e.queue.Remove(now, id, done)
	}
	delete(e.places, id)
}
