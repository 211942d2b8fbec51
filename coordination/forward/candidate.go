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
	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

const (
	// maxPrefillCandidates bounds the engines whose owners are queried for one prompt: with two
	// thirds of the engines full, four in five prompts find one with capacity among four.
	maxPrefillCandidates = 4
	// shortQueueWait is the predicted queue wait up to which an engine is taken without
	// querying others: twenty round trips to an owner in another failure domain (2 ms each).
	shortQueueWait = 40 * time.Millisecond
	// unboundedWait accepts any predicted queue wait.
	unboundedWait = math.MaxInt32 * time.Millisecond
)

// candidate is an engine with its owner's answer: the forecast for the prompt, and the place
// there if one was given.
type candidate struct {
	runner *placement.Runner
	occupancy.Result
}

// cost is the cost of choosing the engine if it fetches parts of the prompt from source: the
// time until the prefill ends, plus the compute time once more, by which later prompts in the
// queue are delayed.
func (c candidate) cost(r *Request, p coldPrompt, source candidate) time.Duration {
	f := c.Forecast
	saved := time.Duration(0)
	if missing := p.sharedTokens() - f.CachedAtStart; source.Forecast.CachedTokens > f.CachedAtStart {
		fetchable := source.Forecast.CachedTokens - f.CachedAtStart
		saved = time.Duration(float64(f.UncachedTime)*float64(fetchable)/float64(missing)) - transferTime(r, fetchable, source.runner, c.runner)
	}
	return 2*(f.Finish-saved) - f.Wait
}

// reservePrefill reserves a place at an engine for the prompt's prefill. Candidates are queried
// in the session's order; the first with a short queue and all shared parts cached is taken.
// Otherwise the one of least cost is taken, and fetches the shared parts that another candidate
// has cached. If the service's prefixes are local, engines of other domains cost more and are never
// taken at once; see localRoute. A prompt whose prefill would end after its caller has left is
// refused. The reservation has no runner if there is no engine to query.
func (d *Dispatcher) reservePrefill(ctx context.Context, r *Request, rec *record, tried []state.InstanceID) (reservation, error) {
	p := newColdPrompt(r.Generation)
	limit := d.prefillTarget(r).Sub(d.o.Clock.Now())
	route := d.localRoute(r)
	var candidates []candidate
	excluded := slices.Clone(tried)
	for range maxPrefillCandidates {
		runner := d.o.Placer.ChooseForPrefill(rec.prefillPool(r), r.Generation.Session(), excluded)
		if runner == nil {
			break
		}
		ask := d.prefillAsk(r, runner, backlog.Prompt(p), route.maxWait(runner), limit)
		ask.Prefill.RequireCached = true
		ask = d.withMixedMemory(r, rec, ask)
		c := candidate{runner, d.o.Gate.Enter(ctx, ask)}
		if c.Reservation != nil {
			return d.placed(r, rec, route, newReservation(c, nil)), nil
		}
		rec.addStep(runner.Instance, "place", refusalOutcome(c), c.Forecast.Finish, nil)
		candidates = append(candidates, c)
		if route.copies(candidates, p) {
			break
		}
		excluded = append(excluded, runner.Instance.ID)
	}
	if len(candidates) == 0 {
		return reservation{kind: ReservationLocal}, nil
	}
	source := slices.MaxFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.Forecast.CachedTokens, b.Forecast.CachedTokens) })
	best := route.choose(withRoom(candidates), r, p, source)
	if err := d.refuseIfCallerTimesOut(r, rec, best); err != nil {
		return reservation{}, err
	}
	work := backlog.Prompt(p)
	var from *placement.Runner
	if kept := source.Forecast.CachedTokens; kept > best.Forecast.CachedAtStart {
		from = source.runner
		work.FetchableTokens = kept
		work.FetchMS = state.InMillis(transferTime(r, kept, from, best.runner))
	}
	ask := d.prefillAsk(r, best.runner, work, unboundedWait, limit)
	ask.Prefill.AllowLate = true
	best.Result = d.o.Gate.Enter(ctx, d.withMixedMemory(r, rec, ask))
	return d.placed(r, rec, route, newReservation(best, from)), nil
}

// refuseIfCallerTimesOut returns a refusal if the prefill is predicted to end after the caller has
// left, and the request can't have run. The refusal says after which time a retry is predicted
// to succeed. A forecast that rests on this host's own count or on too few samples refuses
// nothing, and neither does a rank for the customer's share: the prompt is computed if those before it
// stop arriving. A late prompt whose caller stays isn't refused, since its rank is after all that are in
// time, and a late answer is worth more to the caller than none.
func (d *Dispatcher) refuseIfCallerTimesOut(r *Request, rec *record, best candidate) error {
	left := d.prefillTimeLeft(r)
	if best.LocalOnly || best.Forecast.Outcome == contention.Deferred || !best.Forecast.Reliable || best.Forecast.Finish < left {
		return nil
	}
	d.o.Log.LogAttrs(context.Background(), slog.LevelInfo, "predicted prefill exceeds the caller's remaining time", slog.String("request_id", r.ID),
		slog.Any("instance", best.runner.Instance.ID), slog.Duration("predicted", best.Forecast.Finish),
		slog.Duration("left", left))
	return d.refuseOverloaded(r, rec, max(best.Forecast.Finish-r.Route.Objective, shortQueueWait))
}

// prefillTarget is the time by which the prefill must end for the first event to meet the
// route's objective.
func (d *Dispatcher) prefillTarget(r *Request) time.Time {
	return r.ArrivedAt.Add(r.Route.Objective - d.firstEvents.mean(r.Service))
}

// firstEventDeadline is the time from which the first event is useless: its caller has
// disconnected or the request's deadline has passed.
func (d *Dispatcher) firstEventDeadline(r *Request) time.Time {
	if r.Route.CallerSilence <= 0 {
		return r.Deadline
	}
	if by := r.ArrivedAt.Add(r.Route.CallerSilence); by.Before(r.Deadline) {
		return by
	}
	return r.Deadline
}

// coldPrompt is the prefill work of a prompt at an engine that has cached none of it.
type coldPrompt backlog.Prompt

func newColdPrompt(g *Generation) coldPrompt {
	p := coldPrompt{OwnTokens: g.OwnTokens()}
	for _, part := range g.Parts[:max(0, len(g.Parts)-1)] {
		p.Parts = append(p.Parts, backlog.Part{ID: xxhash.Sum64String(part.ID), Tokens: part.Tokens})
	}
	return p
}

// sharedTokens is the number of tokens in the parts before the prompt's own.
func (p coldPrompt) sharedTokens() int {
	out := 0
	for _, part := range p.Parts {
		out += part.Tokens
	}
	return out
}

// crossDomainFactor is how many times longer a KV cache transfer takes between failure domains
// than within one.
const crossDomainFactor = 2

// localTransferTime is the time to transfer the KV cache of tokens within a failure domain; 0
// if the link speed is unknown.
func localTransferTime(r *Request, tokens int) time.Duration {
	if r.Engine == nil || r.Engine.LinkBits <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(r.Engine.KVTokenBytes) * 8
	return time.Duration(bits / r.Engine.LinkBits * float64(time.Second))
}

// transferTime is the time to transfer the KV cache of tokens from one engine to another.
func transferTime(r *Request, tokens int, from, to *placement.Runner) time.Duration {
	took := localTransferTime(r, tokens)
	if from.Instance.FailureDomain != to.Instance.FailureDomain {
		took *= crossDomainFactor
	}
	return took
}

// prefillAsk returns the request for a prefill place at an engine. wait is the longest queue
// wait that is accepted, and limit the time left until prefillTarget.
func (d *Dispatcher) prefillAsk(r *Request, at *placement.Runner, w backlog.Prompt, wait, limit time.Duration) occupancy.Request {
	prefill := &occupancy.Prefill{Service: r.Service, Prompt: w, MaxWait: wait, MaxFinish: limit, Class: r.Contention}
	if r.Engine != nil {
		prefill.MemoryTokens = r.Engine.KVTokens
	}
	return occupancy.Request{Engine: at.Instance.ID, Prefill: prefill, TTL: d.timeLeft(r)}
}
