// Package occupancy counts, at one host for each engine, what all hosts have under
// way there, so that a host knows of the others' work before it adds its own.
//
// The keeper of an engine's count is chosen by rendezvous hashing over the hosts'
// addresses. Counts only help to place requests: while a keeper is lost, new or
// known to some hosts only, requests are placed less well, and no answer is wrong.
package occupancy

import (
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/throttle"
	"github.com/thymerack/thymerack/state"
)

const (
	// startLimit is an engine's bound before anything is known: four prompts of
	// some 28 ms fill three fifths of the shortest objective of today's sheets.
	startLimit = 4
	// forgetAfter is how long an engine that nobody asks for is remembered.
	forgetAfter = time.Minute
)

// Ask is a request for a place at an engine.
type Ask struct {
	// Engine is the instance's id.
	Engine string
	// Most is a fixed bound in requests; 0 leaves the bound to the times seen, with
	// Size and Target.
	Most int
	// Size is the work in tokens.
	Size float64
	// Target is the time in which work of mean size should be done.
	Target time.Duration
	// Keep is how long the place is kept if its end isn't told.
	Keep time.Duration
}

// Book holds the counts that this host keeps. It is safe for concurrent use.
type Book struct {
	clock state.Clock

	mu      sync.Mutex
	nextID  uint64
	engines map[string]*engine
}

// engine is what is under way at one engine.
type engine struct {
	limiter *throttle.Limiter
	places  map[uint64]held
	askedAt time.Time
}

// held is one place that was given.
type held struct {
	// ticket is nil under a fixed bound.
	ticket *throttle.Ticket
	until  time.Time
}

// NewBook returns an empty book.
func NewBook(clock state.Clock) *Book { return &Book{clock: clock, engines: map[string]*engine{}} }

// Enter gives a place at the engine, or none if as much is under way there as is
// done in time.
func (b *Book) Enter(a Ask) (id uint64, given bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	e := b.engine(a.Engine, now)
	e.expire(now)
	var ticket *throttle.Ticket
	if a.Most > 0 {
		if len(e.places) >= a.Most {
			return 0, false
		}
	} else if ticket = e.limiter.Acquire(a.Size, a.Target); ticket == nil {
		return 0, false
	}
	b.nextID++
	e.places[b.nextID] = held{ticket, now.Add(a.Keep)}
	return b.nextID, true
}

// Leave ends a place. done says that the work was done, so that its time tells how
// loaded the engine is. An unknown place, such as one of an earlier run of this
// host, is passed over.
func (b *Book) Leave(engine string, id uint64, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[engine]
	if e == nil {
		return
	}
	place, known := e.places[id]
	if !known {
		return
	}
	delete(e.places, id)
	if done {
		place.ticket.Done()
	} else {
		place.ticket.Cancel()
	}
}

// engine returns the engine's count; b.mu is held. A new one drops those that
// nobody has asked for lately.
func (b *Book) engine(id string, now time.Time) *engine {
	e := b.engines[id]
	if e == nil {
		for other, old := range b.engines {
			if now.Sub(old.askedAt) > forgetAfter {
				delete(b.engines, other)
			}
		}
		e = &engine{limiter: throttle.New(throttle.Options{Clock: b.clock, Start: startLimit}), places: map[uint64]held{}}
		b.engines[id] = e
	}
	e.askedAt = now
	return e
}

// expire ends the places whose hosts have told no end in time.
func (e *engine) expire(now time.Time) {
	for id, p := range e.places {
		if now.After(p.until) {
			delete(e.places, id)
			p.ticket.Cancel()
		}
	}
}
