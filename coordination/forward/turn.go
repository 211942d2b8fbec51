package forward

import (
	"context"
	"slices"
	"sync"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
)

// ReservationKind is how a part of a model request got its place among the others.
type ReservationKind string

// The turns.
const (
	// ReservationShared work has a place among that of all hosts which its engine is
	// predicted to do in time.
	ReservationShared ReservationKind = "counted"
	// ReservationLocal work is counted at this host alone; the owner of the engine's count
	// could not be asked.
	ReservationLocal ReservationKind = "own"
	// ReservationDeferred work is predicted to be late or found all slots taken, and is put
	// behind the others.
	ReservationDeferred ReservationKind = "deferred"
)

// Phase is a part of a model request.
type Phase string

// The parts of a model request that take turns.
const (
	// PhasePrefill is the reading of a long prompt at an engine of its own.
	PhasePrefill Phase = "read"
	// PhaseGenerate is a request with a short prompt, read where it generates.
	PhaseGenerate Phase = "generate"
)

// reservation is a prompt's reservation at an engine.
type reservation struct {
	kind ReservationKind
	// runner is the engine to read at, or nil if there is none; prefixSource is one that
	// keeps shared parts which runner lacks, or nil.
	runner, prefixSource *placement.Runner
	place                *occupancy.Place
	forecast             backlog.Forecast
}

// release counts the prompt out; done says that it was read.
func (t reservation) release(done bool) {
	if done {
		t.place.Done()
		return
	}
	t.place.Cancel()
}

func newReservation(o candidate, source *placement.Runner) reservation {
	t := reservation{kind: ReservationShared, runner: o.runner, prefixSource: source, place: o.Place, forecast: o.Forecast}
	switch {
	case o.Own:
		t.kind = ReservationLocal
	case o.Forecast.Rank >= backlog.Classes:
		t.kind = ReservationDeferred
	}
	return t
}

// choice is a runner for one sending, with its place there if it has one.
type choice struct {
	*placement.Runner
	reservation reservation
	// forPrefill is set if the place is for reading the prompt and ends with that.
	forPrefill bool
	// permitted is set if the runner's limit was asked already.
	permitted bool
}

// rank is the order of the sending at its runner.
func (c choice) rank(r *Request) int {
	rank := min(max(0, r.Priority()), defaultRank)
	switch {
	case c.forPrefill:
		return c.reservation.forecast.Rank
	case c.reservation.kind == ReservationDeferred:
		return min(deferredRank+rank, maxRank)
	default:
		return rank
	}
}

// The ranks that engines know; a lower one goes first.
const (
	// defaultRank is that of requests which name none, deferredRank the first behind it.
	defaultRank  = 5
	deferredRank = defaultRank + 1
	maxRank      = 9
)

// begin counts the sending in.
func (c choice) begin() *inFlight {
	return &inFlight{done: c.Runner.Begin(), reservation: c.reservation, forPrefill: c.forPrefill}
}

// release ends the place of a choice that isn't used; it may have none.
func (c choice) release() {
	if c.Runner != nil {
		c.reservation.release(false)
	}
}

// fetchFrom is the address of the engine that keeps shared parts; "" if none is known.
func (c choice) fetchFrom() string {
	if c.reservation.prefixSource == nil {
		return ""
	}
	return c.reservation.prefixSource.Instance.Addr
}

// inFlight is one inFlight that is counted in at its runner and at its place.
type inFlight struct {
	done        func()
	reservation reservation
	forPrefill  bool
	once        sync.Once
}

// markAnswered notes the first part of the answer.
func (s *inFlight) markAnswered() {
	if s.forPrefill {
		s.once.Do(func() { s.reservation.release(true) })
	}
}

// end counts the sending out. It may be called twice.
func (s *inFlight) end() {
	s.done()
	s.once.Do(func() { s.reservation.release(false) })
}

// chooseMixedEngine looks for an engine that reads a long prompt in time and generates
// as well, as takeTurn does for engines that only read.
func (d *Dispatcher) chooseMixedEngine(ctx context.Context, r *Request, rec *record) (choice, error) {
	t, err := d.reservePrefill(ctx, r, rec, rec.tried)
	if err != nil {
		return choice{}, err
	}
	d.noteReservation(rec, PhasePrefill, t.kind)
	return choice{Runner: t.runner, reservation: t, forPrefill: true}, nil
}

// chooseDecodeEngine looks for an engine with a free slot to generate after a prompt that was read
// apart, beginning with the session's. A full engine would put back an answer of a less
// urgent route in the middle to make room, which then pauses for some hundred milliseconds.
// When all that are asked are full the session's own gets it all the same.
func (d *Dispatcher) chooseDecodeEngine(ctx context.Context, r *Request, rec *record) choice {
	free, full := d.findFreeSlot(ctx, r, rec, r.Generation.Session(), generateNear(r, rec.cached))
	switch {
	case free.Place != nil:
		return choice{Runner: free.runner, reservation: reservation{kind: ReservationShared, runner: free.runner, place: free.Place}}
	case len(full) > 0:
		return choice{Runner: full[0]}
	default:
		return choice{}
	}
}

// chooseShortPromptEngine looks for an engine with a free slot for a request that generates at
// length. When all that are asked are full it goes behind the others at the first,
// where it starts once nothing newer wants the slot.
func (d *Dispatcher) chooseShortPromptEngine(ctx context.Context, r *Request, rec *record) choice {
	free, full := d.findFreeSlot(ctx, r, rec, "", "")
	for _, runner := range full {
		rec.add(runner.Instance, "place", outcomeFull, 0, nil)
	}
	switch {
	case free.Place != nil:
		return d.generateChoice(free.runner, newReservation(free, nil), rec)
	case len(full) > 0:
		return d.generateChoice(full[0], reservation{kind: ReservationDeferred}, rec)
	default:
		return choice{}
	}
}

// findFreeSlot asks engines that generate for a free slot, in the session's order and those of
// the failure domain near first. free has a place unless none was found, and full are the
// engines that had none, as they were asked.
func (d *Dispatcher) findFreeSlot(ctx context.Context, r *Request, rec *record, session, near string) (free candidate, full []*placement.Runner) {
	excluded := slices.Clone(rec.tried)
	for range maxSlotCandidates {
		runner := d.o.Placer.Decode(r.Service, session, near, excluded)
		if runner == nil {
			break
		}
		v := d.o.Gate.Enter(ctx, occupancy.Ask{Engine: runner.Instance.ID, Most: max(1, runner.Instance.Slots), Keep: d.left(r)})
		if v.Place != nil {
			return candidate{runner, v}, full
		}
		full = append(full, runner)
		excluded = append(excluded, runner.Instance.ID)
	}
	return candidate{}, full
}

// maxSlotCandidates bounds the engines that are asked for a free slot: with two thirds of them
// full, one request in sixty finds none free at ten.
const maxSlotCandidates = 10

func (d *Dispatcher) generateChoice(runner *placement.Runner, t reservation, rec *record) choice {
	d.noteReservation(rec, PhaseGenerate, t.kind)
	return choice{Runner: runner, reservation: t}
}

func (d *Dispatcher) noteReservation(rec *record, w Phase, t ReservationKind) {
	rec.turn = t
	d.o.Observer.Turn(w, t)
}
