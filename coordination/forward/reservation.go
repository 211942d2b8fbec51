package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
)

// ReservationKind is how a phase of a model request was queued at its engine.
type ReservationKind string

// The kinds of reservation.
const (
	// ReservationShared is counted over all hosts, and predicted to be served in time.
	ReservationShared ReservationKind = "counted"
	// ReservationLocal is counted at this host only: the owner of the engine's count could not
	// be reached.
	ReservationLocal ReservationKind = "own"
	// ReservationDeferred is predicted to be late, belongs to a customer that is ahead of its share,
	// or found no free slot, and is queued behind other work.
	ReservationDeferred ReservationKind = "deferred"
)

// Phase is a phase of a model request that reserves a place at an engine.
type Phase string

// The phases of a model request.
const (
	// PhasePrefill is the prefill of a long prompt.
	PhasePrefill Phase = "read"
	// PhaseGenerate is a request with a short prompt, whose prefill and decode run at one
	// engine.
	PhaseGenerate Phase = "generate"
)

// reservation is a place for a phase of a request at an engine.
type reservation struct {
	kind ReservationKind
	// runner is the reserved engine, or nil if there is none; prefixSource is an engine that
	// has cached shared parts which runner lacks, or nil.
	runner, prefixSource *placement.Runner
	// place is nil if no owner gave one.
	place    *occupancy.Reservation
	forecast backlog.Forecast
	// holdsMemory is set if the place holds memory at the engine until the end of the run, after
	// the prefill has ended.
	holdsMemory bool
}

// release gives the place back. done reports that the prefill completed, so that its duration
// is a valid sample of the engine's load.
func (res reservation) release(done bool) {
	if done {
		res.place.Done()
		return
	}
	res.place.Cancel()
}

func newReservation(c candidate, source *placement.Runner) reservation {
	res := reservation{kind: ReservationShared, runner: c.runner, prefixSource: source, place: c.Reservation, forecast: c.Forecast}
	switch {
	case c.LocalOnly:
		res.kind = ReservationLocal
	case c.Forecast.Deferred():
		res.kind = ReservationDeferred
	}
	return res
}

// choice is a runner for one attempt, with its reservation if it has one.
type choice struct {
	*placement.Runner
	reservation reservation
	// forPrefill is set if the reservation covers the prefill only, and ends with it.
	forPrefill bool
	// permitted is set if the runner's rate limit has already granted a permit.
	permitted bool
}

// rank is the attempt's rank in the queue of its runner. A stream that goes on isn't deferred: its caller has a part of it,
// and the engines of its version may be few.
func (c choice) rank(r *Request, rec *record) int {
	rank := min(max(0, r.Priority()), defaultRank)
	switch {
	case c.forPrefill:
		return c.reservation.forecast.Rank
	case c.reservation.kind == ReservationDeferred && rec.version == "":
		return min(deferredRank+rank, maxRank)
	default:
		return rank
	}
}

// The ranks that engines accept are 0 to maxRank; a lower rank is served first.
const (
	// defaultRank is the rank of requests that name none, and deferredRank the first one behind
	// it.
	defaultRank  = 5
	deferredRank = defaultRank + 1
	maxRank      = 9
)

// begin counts the attempt as in flight at its runner.
func (c choice) begin() *inFlight {
	return &inFlight{done: c.Runner.Begin(), reservation: c.reservation, forPrefill: c.forPrefill}
}

// release gives back the place of a choice that isn't used, if it has one.
func (c choice) release() {
	if c.Runner != nil {
		c.reservation.release(false)
	}
}

// fetchFrom is the address of the engine that has cached shared parts; "" if none is known.
func (c choice) fetchFrom() string {
	if c.reservation.prefixSource == nil {
		return ""
	}
	return c.reservation.prefixSource.Instance.Addr
}

// inFlight is an attempt that is counted at its runner and holds its reservation.
type inFlight struct {
	// done removes the attempt from the runner's count.
	done        func()
	reservation reservation
	// forPrefill is that of the choice.
	forPrefill bool
	// once guards the release of the reservation, and memoryOnce that of the memory which it holds
	// after the prefill; answered is set in between.
	once, memoryOnce sync.Once
	answered         atomic.Bool
}

// markAnswered ends a reservation for the prefill: the first part of the answer has arrived.
func (s *inFlight) markAnswered() {
	if s.forPrefill {
		s.once.Do(func() {
			s.reservation.release(true)
			s.answered.Store(true)
		})
	}
}

// end removes the attempt from the runner's count and releases the reservation. It may be
// called twice.
func (s *inFlight) end() {
	s.done()
	s.once.Do(func() { s.reservation.release(false) })
	if s.answered.Load() && s.reservation.holdsMemory {
		s.memoryOnce.Do(s.reservation.place.Cancel)
	}
}

// chooseMixedEngine chooses an engine that prefills a long prompt in time and decodes it as
// well, by the same rules as reservePrefill for engines that only prefill.
func (d *Dispatcher) chooseMixedEngine(ctx context.Context, r *Request, rec *record) (choice, error) {
	res, err := d.reservePrefill(ctx, r, rec, rec.tried)
	if err != nil {
		return choice{}, err
	}
	res.holdsMemory = d.knowsMemory(r)
	d.noteReservation(rec, PhasePrefill, res.kind)
	if res.runner != nil {
		d.noteOrder(r, rec, res.forecast)
	}
	return choice{Runner: res.runner, reservation: res, forPrefill: true}, nil
}

// chooseDecodeEngine chooses an engine with a free slot and memory to decode after a separate prefill,
// in the session's order. A full engine would preempt a running stream of a less urgent route to
// make room, which pauses that stream for some hundred milliseconds. If all queried engines are
// full, the session's engine is chosen without a place.
func (d *Dispatcher) chooseDecodeEngine(ctx context.Context, r *Request, rec *record) choice {
	free, full := d.findFreeSlot(ctx, r, rec, r.Generation.Session(), decodeDomain(r, rec.promptKV))
	for _, c := range full {
		if c.NoMemory {
			rec.addStep(c.runner.Instance, "place", outcomeNoMemory, 0, nil)
		}
	}
	switch {
	case free.Reservation != nil:
		return choice{Runner: free.runner, reservation: reservation{kind: ReservationShared, runner: free.runner, place: free.Reservation}}
	case len(full) > 0:
		return choice{Runner: full[0].runner}
	default:
		return choice{}
	}
}

// chooseShortPromptEngine chooses an engine with a free slot for a request with a short prompt.
// If all queried engines are full, the request is deferred at the first one, where it starts
// once no newer request takes the slot.
func (d *Dispatcher) chooseShortPromptEngine(ctx context.Context, r *Request, rec *record) choice {
	free, full := d.findFreeSlot(ctx, r, rec, "", "")
	for _, c := range full {
		rec.addStep(c.runner.Instance, "place", refusalOutcome(c), 0, nil)
	}
	switch {
	case free.Reservation != nil:
		return d.generateChoice(free.runner, newReservation(free, nil), rec)
	case len(full) > 0:
		return d.generateChoice(full[0].runner, reservation{kind: ReservationDeferred}, rec)
	default:
		return choice{}
	}
}

// findFreeSlot queries decode engines for a free slot and memory, in the session's order and those of
// the failure domain near first. free has a place unless none was found; full are the engines
// without a free slot or memory, in the order of the queries.
func (d *Dispatcher) findFreeSlot(ctx context.Context, r *Request, rec *record, session, near string) (free candidate, full []candidate) {
	excluded := slices.Clone(rec.tried)
	for range maxSlotCandidates {
		runner := d.o.Placer.ChooseForDecode(rec.pool(r), session, near, excluded)
		if runner == nil {
			break
		}
		ask := occupancy.Request{Engine: runner.Instance.ID, MaxInFlight: max(1, runner.Instance.Slots), TTL: d.timeLeft(r)}
		v := d.o.Gate.Enter(ctx, d.withMemory(r, ask))
		if v.Reservation != nil {
			return candidate{runner, v}, full
		}
		full = append(full, candidate{runner, v})
		excluded = append(excluded, runner.Instance.ID)
	}
	return candidate{}, full
}

// maxSlotCandidates bounds the engines that are queried for a free slot: with two thirds of
// them full, one request in sixty finds no free slot among ten.
const maxSlotCandidates = 10

// generateChoice returns the choice of a runner for PhaseGenerate and records its reservation.
func (d *Dispatcher) generateChoice(runner *placement.Runner, res reservation, rec *record) choice {
	d.noteReservation(rec, PhaseGenerate, res.kind)
	return choice{Runner: runner, reservation: res}
}

func (d *Dispatcher) noteReservation(rec *record, phase Phase, kind ReservationKind) {
	rec.turn = kind
	d.o.Observer.Admitted(phase, kind)
}
