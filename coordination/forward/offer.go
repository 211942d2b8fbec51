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
	// maxAsked bounds the engines whose counts are asked for one prompt: with two
	// thirds of them full, four in five prompts find room at one of four.
	maxAsked = 4
	// shortWait is the predicted wait with which an engine is taken without asking
	// others: twenty round trips to an owner of another failure domain (2 ms each).
	shortWait = 40 * time.Millisecond
	// anyTime puts no bound on a forecast.
	anyTime = math.MaxInt32 * time.Millisecond
)

// offer is what an engine's owner predicted.
type offer struct {
	runner *placement.Runner
	occupancy.Result
}

// cost is what choosing the engine costs if it fetches parts from source: the time
// until the prompt is read, and once more that of the reading itself, by which those
// that come after wait longer.
func (o offer) cost(r *Request, p prompt, source offer) time.Duration {
	f := o.Forecast
	saved := time.Duration(0)
	if missing := p.shared() - f.CachedAtStart; source.Forecast.CachedTokens > f.CachedAtStart {
		found := source.Forecast.CachedTokens - f.CachedAtStart
		saved = time.Duration(float64(f.UncachedTime)*float64(found)/float64(missing)) - moving(r, found, source.runner, o.runner)
	}
	return 2*(f.Finish-saved) - f.Wait
}

// takeTurn finds the engine at which the prompt is read soonest: the session's own if
// hardly anything waits there and all shared parts are kept, else the best of those that
// are asked. What another of them keeps is fetched. A prompt that would be read after
// its caller has left is refused.
func (d *Dispatcher) takeTurn(ctx context.Context, r *Request, rec *record, tried []state.InstanceID) (turn, error) {
	p := promptWork(r.Generation)
	limit := d.readBy(r).Sub(d.o.Clock.Now())
	var offers []offer
	asked := slices.Clone(tried)
	for range maxAsked {
		runner := d.o.Placer.ChooseForPrefill(r.Service, r.Generation.Session(), asked)
		if runner == nil {
			break
		}
		ask := d.readingAsk(r, runner, backlog.Prompt(p), shortWait, limit)
		ask.Prefill.RequireCached = true
		o := offer{runner, d.o.Gate.Enter(ctx, ask)}
		if o.Reservation != nil {
			return turnAt(o, nil), nil
		}
		rec.addStep(runner.Instance, "place", outcomeFull, o.Forecast.Finish, nil)
		offers = append(offers, o)
		asked = append(asked, runner.Instance.ID)
	}
	if len(offers) == 0 {
		return turn{kind: TurnOwn}, nil
	}
	source := slices.MaxFunc(offers, func(a, b offer) int { return cmp.Compare(a.Forecast.CachedTokens, b.Forecast.CachedTokens) })
	best := slices.MinFunc(offers, func(a, b offer) int { return cmp.Compare(a.cost(r, p, source), b.cost(r, p, source)) })
	if err := d.hopeless(r, rec, best); err != nil {
		return turn{}, err
	}
	work := backlog.Prompt(p)
	var from *placement.Runner
	if kept := source.Forecast.CachedTokens; kept > best.Forecast.CachedAtStart {
		from = source.runner
		work.FetchableTokens = kept
		work.FetchMS = state.InMillis(moving(r, kept, from, best.runner))
	}
	ask := d.readingAsk(r, best.runner, work, anyTime, limit)
	ask.Prefill.AllowLate = true
	best.Result = d.o.Gate.Enter(ctx, ask)
	return turnAt(best, from), nil
}

// hopeless refuses a prompt that would be read after its caller has left, and tells the
// caller when it would be read in time.
func (d *Dispatcher) hopeless(r *Request, rec *record, best offer) error {
	left := d.prefillTimeLeft(r)
	if best.LocalOnly || !best.Forecast.Reliable || best.Forecast.Finish < left {
		return nil
	}
	d.o.Log.LogAttrs(context.Background(), slog.LevelInfo, "request is hopeless", slog.String("request_id", r.ID),
		slog.Any("instance", best.runner.Instance.ID), slog.Duration("predicted", best.Forecast.Finish),
		slog.Duration("left", left))
	return d.refuseOverloaded(r, rec, max(best.Forecast.Finish-r.Route.Objective, shortWait))
}

// readBy is when a prompt should be read so that the first event is in time.
func (d *Dispatcher) readBy(r *Request) time.Time {
	return r.ArrivedAt.Add(r.Route.Objective - d.firstEvents.mean(r.Service))
}

// answerBy is when the first event is of no use any more: its caller has left.
func (d *Dispatcher) answerBy(r *Request) time.Time {
	if r.Route.CallerSilence <= 0 {
		return r.Deadline
	}
	if by := r.ArrivedAt.Add(r.Route.CallerSilence); by.Before(r.Deadline) {
		return by
	}
	return r.Deadline
}

// prompt is a prompt's work at an engine that keeps nothing of it.
type prompt backlog.Prompt

func promptWork(g *Generation) prompt {
	p := prompt{OwnTokens: g.OwnTokens()}
	for _, part := range g.Parts[:max(0, len(g.Parts)-1)] {
		p.Parts = append(p.Parts, backlog.Part{ID: xxhash.Sum64String(part.ID), Tokens: part.Tokens})
	}
	return p
}

// shared is the size of the parts before the prompt's own.
func (p prompt) shared() int {
	out := 0
	for _, part := range p.Parts {
		out += part.Tokens
	}
	return out
}

// farMove is how much longer memory moves between failure domains.
const farMove = 2

// moveTime is the time in which the memory of tokens moves within a failure domain.
func moveTime(r *Request, tokens int) time.Duration {
	if r.Engine == nil || r.Engine.LinkBits <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(r.Engine.KVTokenBytes) * 8
	return time.Duration(bits / r.Engine.LinkBits * float64(time.Second))
}

// moving is the time in which the memory of tokens moves from one engine to another.
func moving(r *Request, tokens int, from, to *placement.Runner) time.Duration {
	took := moveTime(r, tokens)
	if from.Instance.FailureDomain != to.Instance.FailureDomain {
		took *= farMove
	}
	return took
}

// readingAsk asks for a place at which the prompt is read.
func (d *Dispatcher) readingAsk(r *Request, at *placement.Runner, w backlog.Prompt, wait, limit time.Duration) occupancy.Request {
	reading := &occupancy.Prefill{Service: r.Service, Prompt: w, MaxWait: wait, MaxFinish: limit}
	if r.Engine != nil {
		reading.MemoryTokens = r.Engine.KVTokens
	}
	return occupancy.Request{Engine: at.Instance.ID, Prefill: reading, TTL: d.timeLeft(r)}
}
