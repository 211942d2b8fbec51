package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/throttle"
	"github.com/thymerack/thymerack/state"
)

// Turn is how a part of a model request got its place among the others.
type Turn string

// The turns.
const (
	// TurnCounted work has a place among that of all hosts which its engine does in
	// time.
	TurnCounted Turn = "counted"
	// TurnOwn work is within this host's own bound, if there is one; the keeper of
	// the engine's count could not be asked.
	TurnOwn Turn = "own"
	// TurnDeferred work came beyond what is done in time and is put behind the
	// others.
	TurnDeferred Turn = "deferred"
)

// Work is a part of a model request.
type Work string

// The parts of a model request that take turns.
const (
	// WorkRead is the reading of a long prompt at an engine of its own.
	WorkRead Work = "read"
	// WorkGenerate is a request with a short prompt, read where it generates.
	WorkGenerate Work = "generate"
)

// turn is a prompt's turn at an engine.
type turn struct {
	kind Turn
	// runner is the engine to read at, home the session's own if that is another;
	// both are nil if any engine will do.
	runner, home *placement.Runner
	// place and ticket are what is to be ended; at most one is set.
	place  *occupancy.Place
	ticket *throttle.Ticket
}

// end counts the prompt out; done says that it was read.
func (t turn) end(done bool) {
	if done {
		t.place.Done()
		t.ticket.Done()
		return
	}
	t.place.Cancel()
	t.ticket.Cancel()
}

// maxAsked bounds the engines whose counts are asked for one prompt: with two
// thirds of them full, four in five prompts find room at one of four.
const maxAsked = 4

// takeTurn looks for an engine that reads the prompt in time: the session's own
// first, then the next by the session's order.
func (d *Dispatcher) takeTurn(ctx context.Context, r *Request, rec *record) turn {
	var home *placement.Runner
	next := func(asked []string) *placement.Runner {
		runner, own := d.o.Placer.Prefill(r.Service, r.Generation.Session(), asked)
		if home == nil {
			home = runner
			if own != nil {
				home = own
			}
		}
		return runner
	}
	size := func(*placement.Runner) occupancy.Ask {
		return occupancy.Ask{Size: float64(r.Generation.OwnTokens()), Target: readTarget(r.Route)}
	}
	runner, place, verdict := d.findRoom(ctx, r, rec, rec.tried, next, size)
	switch verdict {
	case occupancy.Given:
		return turn{kind: TurnCounted, runner: runner, home: otherThan(home, runner), place: place}
	case occupancy.Unknown:
		return d.ownTurn(r)
	default:
		return turn{kind: TurnDeferred}
	}
}

// findRoom asks for a place at one engine after the other, as next names them, until
// one has room or its count can't be asked. The verdict is Full if none is found among
// maxAsked. size says what a place at an engine is for; tried engines are not asked.
func (d *Dispatcher) findRoom(ctx context.Context, r *Request, rec *record, tried []string,
	next func(asked []string) *placement.Runner, size func(*placement.Runner) occupancy.Ask,
) (*placement.Runner, *occupancy.Place, occupancy.Verdict) {
	asked := slices.Clone(tried)
	for range maxAsked {
		runner := next(asked)
		if runner == nil {
			break
		}
		ask := size(runner)
		ask.Engine, ask.Keep = runner.Instance.ID, d.left(r)
		began := d.o.Clock.Now()
		place, verdict := d.o.Gate.Enter(ctx, ask)
		if verdict != occupancy.Full {
			return runner, place, verdict
		}
		rec.add(runner.Instance, "place", outcomeFull, d.o.Clock.Now().Sub(began), nil)
		asked = append(asked, runner.Instance.ID)
	}
	return nil, nil, occupancy.Full
}

// otherThan is home, or nil if it is the runner itself.
func otherThan(home, runner *placement.Runner) *placement.Runner {
	if home.Instance.ID == runner.Instance.ID {
		return nil
	}
	return home
}

// ownTurn bounds the prompt by this host's own.
func (d *Dispatcher) ownTurn(r *Request) turn {
	ticket := d.limiter(r.Route).Acquire(float64(r.Generation.OwnTokens()), readTarget(r.Route))
	if ticket == nil {
		return turn{kind: TurnDeferred}
	}
	return turn{kind: TurnOwn, ticket: ticket}
}

// limiter returns this host's bound of a route's prompts.
func (d *Dispatcher) limiter(r *state.Route) *throttle.Limiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.limiters[r.Name]
	if l == nil {
		l = throttle.New(throttle.Options{Clock: d.o.Clock, Start: ownLimit})
		d.limiters[r.Name] = l
	}
	return l
}

// ownLimit is the first bound of a host's own prompts: it has one or two in flight
// in a calm minute.
const ownLimit = 8

// readTarget is the time in which a prompt of mean size should be read.
func readTarget(r *state.Route) time.Duration {
	return time.Duration(float64(r.Objective) * readShare)
}

// readShare is the part of the objective in which a prompt of mean size should be
// read. The bound settles where half of the prompts take that long and the slowest
// tenth twice as long; 0.6 and 0.45 served fewer in time (docs/MEASUREMENTS.md).
const readShare = 0.4

// choice is a runner for one sending, with its place there if it has one.
type choice struct {
	*placement.Runner
	turn turn
	// reads is set if the place is for reading the prompt and ends with that.
	reads bool
}

// deferred reports whether the sending goes behind the others.
func (c choice) deferred() bool { return c.turn.kind == TurnDeferred }

// begin counts the sending in.
func (c choice) begin() *sending {
	return &sending{done: c.Runner.Begin(), turn: c.turn, reads: c.reads}
}

// fetchFrom is the address of the session's own engine if another was chosen; "".
func (c choice) fetchFrom() string {
	if c.turn.home == nil {
		return ""
	}
	return c.turn.home.Instance.Addr
}

// sending is one sending that is counted in at its runner and at its place.
type sending struct {
	done  func()
	turn  turn
	reads bool
	once  sync.Once
}

// answered notes the first part of the answer.
func (s *sending) answered() {
	if s.reads {
		s.once.Do(func() { s.turn.end(true) })
	}
}

// end counts the sending out. It may be called twice.
func (s *sending) end() {
	s.done()
	s.once.Do(func() { s.turn.end(false) })
}

// takeReadingPlace looks for an engine that reads a long prompt in time and generates
// as well, as takeTurn does for engines that only read.
func (d *Dispatcher) takeReadingPlace(ctx context.Context, r *Request, rec *record) choice {
	rec.size = d.sizes.class(r.Route.Name, r.Generation.OwnTokens())
	t := d.takeTurn(ctx, r, rec)
	d.noteTurn(rec, WorkRead, t.kind)
	c := choice{Runner: t.runner, turn: t, reads: true}
	if c.Runner == nil {
		c.Runner, _ = d.o.Placer.Prefill(r.Service, r.Generation.Session(), rec.tried)
	}
	if c.Runner == nil {
		t.end(false)
	}
	return c
}

// takePlace looks for an engine with a free slot for a request that generates at
// length. When all that are asked are full it goes behind the others at the first,
// where it starts once nothing newer wants the slot.
func (d *Dispatcher) takePlace(ctx context.Context, r *Request, rec *record) choice {
	var first *placement.Runner
	next := func(asked []string) *placement.Runner {
		runner := d.o.Placer.Decode(r.Service, "", asked)
		if first == nil {
			first = runner
		}
		return runner
	}
	slots := func(runner *placement.Runner) occupancy.Ask {
		return occupancy.Ask{Most: max(1, runner.Instance.Slots)}
	}
	runner, place, verdict := d.findRoom(ctx, r, rec, rec.tried, next, slots)
	switch {
	case first == nil:
		return choice{}
	case verdict == occupancy.Given:
		return d.generateAt(runner, turn{kind: TurnCounted, place: place}, rec)
	case verdict == occupancy.Unknown:
		return d.generateAt(runner, turn{kind: TurnOwn}, rec)
	default:
		return d.generateAt(first, turn{kind: TurnDeferred}, rec)
	}
}

func (d *Dispatcher) generateAt(runner *placement.Runner, t turn, rec *record) choice {
	d.noteTurn(rec, WorkGenerate, t.kind)
	return choice{Runner: runner, turn: t}
}

func (d *Dispatcher) noteTurn(rec *record, w Work, t Turn) {
	rec.turn = t
	d.o.Observer.Turn(w, t)
}
