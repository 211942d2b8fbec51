package forward

import (
	"context"
	"slices"
	"sync"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
)

// Turn is how a part of a model request got its place among the others.
type Turn string

// The turns.
const (
	// TurnCounted work has a place among that of all hosts which its engine is
	// predicted to do in time.
	TurnCounted Turn = "counted"
	// TurnOwn work is counted at this host alone; the owner of the engine's count
	// could not be asked.
	TurnOwn Turn = "own"
	// TurnDeferred work is predicted to be late or found all slots taken, and is put
	// behind the others.
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
	// runner is the engine to read at, or nil if there is none; source is one that
	// keeps shared parts which runner lacks, or nil.
	runner, source *placement.Runner
	place          *occupancy.Reservation
	forecast       backlog.Forecast
}

// end counts the prompt out; done says that it was read.
func (t turn) end(done bool) {
	if done {
		t.place.Done()
		return
	}
	t.place.Cancel()
}

func turnAt(o offer, source *placement.Runner) turn {
	t := turn{kind: TurnCounted, runner: o.runner, source: source, place: o.Reservation, forecast: o.Forecast}
	switch {
	case o.LocalOnly:
		t.kind = TurnOwn
	case o.Forecast.Rank >= backlog.Classes:
		t.kind = TurnDeferred
	}
	return t
}

// choice is a runner for one sending, with its place there if it has one.
type choice struct {
	*placement.Runner
	turn turn
	// reads is set if the place is for reading the prompt and ends with that.
	reads bool
	// permitted is set if the runner's limit was asked already.
	permitted bool
}

// rank is the order of the sending at its runner.
func (c choice) rank(r *Request) int {
	rank := min(max(0, r.Priority()), usualRank)
	switch {
	case c.reads:
		return c.turn.forecast.Rank
	case c.turn.kind == TurnDeferred:
		return min(deferredRank+rank, lowestRank)
	default:
		return rank
	}
}

// The ranks that engines know; a lower one goes first.
const (
	// usualRank is that of requests which name none, deferredRank the first behind it.
	usualRank    = 5
	deferredRank = usualRank + 1
	lowestRank   = 9
)

// begin counts the sending in.
func (c choice) begin() *sending {
	return &sending{done: c.Runner.Begin(), turn: c.turn, reads: c.reads}
}

// giveBack ends the place of a choice that isn't used; it may have none.
func (c choice) giveBack() {
	if c.Runner != nil {
		c.turn.end(false)
	}
}

// fetchFrom is the address of the engine that keeps shared parts; "" if none is known.
func (c choice) fetchFrom() string {
	if c.turn.source == nil {
		return ""
	}
	return c.turn.source.Instance.Addr
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
func (d *Dispatcher) takeReadingPlace(ctx context.Context, r *Request, rec *record) (choice, error) {
	t, err := d.takeTurn(ctx, r, rec, rec.tried)
	if err != nil {
		return choice{}, err
	}
	d.noteTurn(rec, WorkRead, t.kind)
	return choice{Runner: t.runner, turn: t, reads: true}, nil
}

// takeSlot looks for an engine with a free slot to generate after a prompt that was read
// apart, beginning with the session's. A full engine would put back an answer of a less
// urgent route in the middle to make room, which then pauses for some hundred milliseconds.
// When all that are asked are full the session's own gets it all the same.
func (d *Dispatcher) takeSlot(ctx context.Context, r *Request, rec *record) choice {
	free, full := d.findSlot(ctx, r, rec, r.Generation.Session(), decodeDomain(r, rec.promptKV))
	switch {
	case free.Reservation != nil:
		return choice{Runner: free.runner, turn: turn{kind: TurnCounted, runner: free.runner, place: free.Reservation}}
	case len(full) > 0:
		return choice{Runner: full[0]}
	default:
		return choice{}
	}
}

// takePlace looks for an engine with a free slot for a request that generates at
// length. When all that are asked are full it goes behind the others at the first,
// where it starts once nothing newer wants the slot.
func (d *Dispatcher) takePlace(ctx context.Context, r *Request, rec *record) choice {
	free, full := d.findSlot(ctx, r, rec, "", "")
	for _, runner := range full {
		rec.addStep(runner.Instance, "place", outcomeFull, 0, nil)
	}
	switch {
	case free.Reservation != nil:
		return d.generateAt(free.runner, turnAt(free, nil), rec)
	case len(full) > 0:
		return d.generateAt(full[0], turn{kind: TurnDeferred}, rec)
	default:
		return choice{}
	}
}

// findSlot asks engines that generate for a free slot, in the session's order and those of
// the failure domain near first. free has a place unless none was found, and full are the
// engines that had none, as they were asked.
func (d *Dispatcher) findSlot(ctx context.Context, r *Request, rec *record, session, near string) (free offer, full []*placement.Runner) {
	asked := slices.Clone(rec.tried)
	for range maxPlacesAsked {
		runner := d.o.Placer.ChooseForDecode(r.Service, session, near, asked)
		if runner == nil {
			break
		}
		v := d.o.Gate.Enter(ctx, occupancy.Request{Engine: runner.Instance.ID, MaxInFlight: max(1, runner.Instance.Slots), TTL: d.timeLeft(r)})
		if v.Reservation != nil {
			return offer{runner, v}, full
		}
		full = append(full, runner)
		asked = append(asked, runner.Instance.ID)
	}
	return offer{}, full
}

// maxPlacesAsked bounds the engines that are asked for a free slot: with two thirds of them
// full, one request in sixty finds none free at ten.
const maxPlacesAsked = 10

func (d *Dispatcher) generateAt(runner *placement.Runner, t turn, rec *record) choice {
	d.noteTurn(rec, WorkGenerate, t.kind)
	return choice{Runner: runner, turn: t}
}

func (d *Dispatcher) noteTurn(rec *record, w Work, t Turn) {
	rec.turn = t
	d.o.Observer.Admitted(w, t)
}
