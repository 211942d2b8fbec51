package forward

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

const (
	// maxPrefillCandidates bounds the engines whose counts are asked for one prompt: with two
	// thirds of them full, four in five prompts find room at one of four.
	maxPrefillCandidates = 4
	// shortQueueWait is the predicted wait with which an engine is taken without asking
	// others: twenty round trips to an owner of another failure domain (2 ms each).
	shortQueueWait = 40 * time.Millisecond
	// unboundedWait puts no bound on a forecast.
	unboundedWait = math.MaxInt32 * time.Millisecond
)

// candidate is what an engine's owner predicted.
type candidate struct {
	runner *placement.Runner
	occupancy.Verdict
}

// cost is what choosing the engine costs if it fetches parts from source: the time
// until the prompt is read, and once more that of the reading itself, by which those
// that come after wait longer.
func (o candidate) cost(r *Request, p coldPrompt, source candidate) time.Duration {
	f := o.Forecast
	saved := time.Duration(0)
	if missing := p.sharedTokens() - f.Coming; source.Forecast.Kept > f.Coming {
		fetchable := source.Forecast.Kept - f.Coming
		saved = time.Duration(float64(f.Cold)*float64(fetchable)/float64(missing)) - transferTime(r, fetchable, source.runner, o.runner)
	}
	return 2*(f.Finish-saved) - f.Wait
}

// reservePrefill finds the engine at which the prompt is read soonest: the session's own if
// hardly anything waits there and all shared parts are kept, else the best of those that
// are asked. What another of them keeps is fetched. A prompt that would be read after
// its caller has left is refused.
func (d *Dispatcher) reservePrefill(ctx context.Context, r *Request, rec *record, tried []state.InstanceID) (reservation, error) {
	p := newColdPrompt(r.Generation)
	limit := d.prefillTarget(r).Sub(d.o.Clock.Now())
	var offers []candidate
	excluded := slices.Clone(tried)
	for range maxPrefillCandidates {
		runner := d.o.Placer.Prefill(r.Service, r.Generation.Session(), excluded)
		if runner == nil {
			break
		}
		ask := d.prefillAsk(r, runner, backlog.Work(p), shortQueueWait, limit)
		ask.Reading.Warm = true
		o := candidate{runner, d.o.Gate.Enter(ctx, ask)}
		if o.Place != nil {
			return newReservation(o, nil), nil
		}
		rec.add(runner.Instance, "place", outcomeFull, o.Forecast.Finish, nil)
		offers = append(offers, o)
		excluded = append(excluded, runner.Instance.ID)
	}
	if len(offers) == 0 {
		return reservation{kind: ReservationLocal}, nil
	}
	source := slices.MaxFunc(offers, func(a, b candidate) int { return cmp.Compare(a.Forecast.Kept, b.Forecast.Kept) })
	best := slices.MinFunc(offers, func(a, b candidate) int { return cmp.Compare(a.cost(r, p, source), b.cost(r, p, source)) })
	if err := d.refuseIfOverdue(r, rec, best); err != nil {
		return reservation{}, err
	}
	work := backlog.Work(p)
	var from *placement.Runner
	if kept := source.Forecast.Kept; kept > best.Forecast.Coming {
		from = source.runner
		work.Fetched = kept
		work.FetchMS = state.InMillis(transferTime(r, kept, from, best.runner))
	}
	ask := d.prefillAsk(r, best.runner, work, unboundedWait, limit)
	ask.Reading.Late = true
	best.Verdict = d.o.Gate.Enter(ctx, ask)
	return newReservation(best, from), nil
}

// refuseIfOverdue refuses a prompt that would be read after its caller has left, and tells the
// caller when it would be read in time.
func (d *Dispatcher) refuseIfOverdue(r *Request, rec *record, best candidate) error {
	left := d.readLeft(r)
	if best.Own || !best.Forecast.Known || best.Forecast.Finish < left {
		return nil
	}
	d.o.Log.LogAttrs(context.Background(), slog.LevelInfo, "request is hopeless", slog.String("request_id", r.ID),
		slog.Any("instance", best.runner.Instance.ID), slog.Duration("predicted", best.Forecast.Finish),
		slog.Duration("left", left))
	return d.giveUp(r, rec, max(best.Forecast.Finish-r.Route.Objective, shortQueueWait))
}

// prefillTarget is when a prompt should be read so that the first event is in time.
func (d *Dispatcher) prefillTarget(r *Request) time.Time {
	return r.ArrivedAt.Add(r.Route.Objective - d.leads.of(r.Service))
}

// firstEventDeadline is when the first event is of no use any more: its caller has left.
func (d *Dispatcher) firstEventDeadline(r *Request) time.Time {
	if r.Route.CallerSilence <= 0 {
		return r.Deadline
	}
	if by := r.ArrivedAt.Add(r.Route.CallerSilence); by.Before(r.Deadline) {
		return by
	}
	return r.Deadline
}

// coldPrompt is a coldPrompt's work at an engine that keeps nothing of it.
type coldPrompt backlog.Work

func newColdPrompt(g *Generation) coldPrompt {
	p := coldPrompt{Own: g.OwnTokens()}
	for _, part := range g.Parts[:max(0, len(g.Parts)-1)] {
		p.Shared = append(p.Shared, backlog.Part{ID: xxhash.Sum64String(part.ID), Tokens: part.Tokens})
	}
	return p
}

// sharedTokens is the size of the parts before the prompt's own.
func (p coldPrompt) sharedTokens() int {
	out := 0
	for _, part := range p.Shared {
		out += part.Tokens
	}
	return out
}

// crossDomainFactor is how much longer memory moves between failure domains.
const crossDomainFactor = 2

// localTransferTime is the time in which the memory of tokens moves within a failure domain.
func localTransferTime(r *Request, tokens int) time.Duration {
	if r.Engine == nil || r.Engine.LinkBits <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(r.Engine.KVTokenBytes) * 8
	return time.Duration(bits / r.Engine.LinkBits * float64(time.Second))
}

// transferTime is the time in which the memory of tokens moves from one engine to another.
func transferTime(r *Request, tokens int, from, to *placement.Runner) time.Duration {
	took := localTransferTime(r, tokens)
	if from.Instance.FailureDomain != to.Instance.FailureDomain {
		took *= crossDomainFactor
	}
	return took
}

// prefillAsk asks for a place at which the prompt is read.
func (d *Dispatcher) prefillAsk(r *Request, at *placement.Runner, w backlog.Work, wait, limit time.Duration) occupancy.Ask {
	reading := &occupancy.Reading{Service: r.Service, Work: w, MaxWait: wait, Limit: limit}
	if r.Engine != nil {
		reading.Memory = r.Engine.KVTokens
	}
	return occupancy.Ask{Engine: at.Instance.ID, Reading: reading, Keep: d.left(r)}
}
