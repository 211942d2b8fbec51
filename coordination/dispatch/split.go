package dispatch

import (
	"context"
	"errors"
	"fmt"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// runRound makes one attempt, or two if prefill and decode are split. If one of the two
// fails, the next round uses a single engine if there is one for both. That round counts as
// a retry like any other, so that an outage of one role can't double the load of the others.
// If there is no runner for one of the two, that part has cost nothing, and the request goes
// to a single engine at once.
func (g *generation) runRound(ctx context.Context) error {
	given := g.sink.Tokens()
	if !g.shouldSplit(given) {
		return g.generate(ctx, Whole, upstream.KV{}, given)
	}
	kv, err := g.prefill(ctx, given)
	if err == nil {
		err = g.generate(ctx, Decode, kv, given)
	}
	if err == nil {
		return nil
	}
	g.splitFailed = true
	if ctx.Err() == nil {
		g.d.o.Meter.Count(CountSplitFailures, 1)
	}
	var refusal *Refusal
	if errors.As(err, &refusal) && !isQuarantined(err) {
		return g.generate(ctx, Whole, upstream.KV{}, given)
	}
	return err
}

// shouldSplit reports whether prefill and decode should run at separate engines: always if
// no engine does both, and otherwise if that completes the answer sooner.
func (g *generation) shouldSplit(given []string) bool {
	var prefill, decode, whole bool
	for _, r := range g.d.o.Keeper.View().RunnersOf(g.r.Service) {
		if !r.TakesWork() {
			continue
		}
		switch r.Target.Role {
		case state.RolePrefill:
			prefill = true
		case state.RoleDecode:
			decode = true
		default:
			whole = true
		}
	}
	if !prefill || !decode {
		return false
	}
	if !whole {
		return true
	}
	return !g.splitFailed && len(given) == 0 && g.prefersSplit()
}

// prefersSplit reports whether the router prefers the split path. If the router can't
// predict that, long prompts are split.
func (g *generation) prefersSplit() bool {
	chooser, ok := g.d.o.Router.(PathChooser)
	if !ok {
		return g.c.PromptTokens >= g.d.o.SplitPromptTokens
	}
	return chooser.PreferSplit(g.d.o.Keeper.View(), g.query(Whole, g.c.work(0)))
}

// prefill computes the KV cache of the prompt and the given tokens at a prefill engine.
func (g *generation) prefill(ctx context.Context, given []string) (upstream.KV, error) {
	work := snapshot.Work{Requests: 1, PrefillTokens: int64(g.c.PromptTokens + len(given))}
	e, err := g.startAttempt(g.query(Prefill, work), "prompt: ")
	if err != nil {
		return upstream.KV{}, err
	}
	limit, byDeadline := g.firstTokenTimeout()
	prefillCtx, stop := g.d.withTimeout(ctx, limit)
	defer stop()
	attempt := g.d.o.NewID()
	kv, err := g.d.o.Engines.Prefill(prefillCtx, e.Runner.Upstream, g.engineRequest(attempt, e, given, upstream.KV{}))
	ended := prefillCtx.Err() != nil
	if err != nil && ended && byDeadline && ctx.Err() == nil {
		err = errDeadline
	}
	e.end(ctx, g.d.o.Clock, err)
	if err == nil {
		g.d.o.Meter.Count(CountSplitPrefills, 1)
		return kv, nil
	}
	g.d.reportBroken(ctx, g.r, e, err, false)
	if ended {
		g.d.cancelAttempt(e.Runner.Upstream, attempt)
	}
	g.failedRunners = append(g.failedRunners, e.Runner.Name)
	return upstream.KV{}, fmt.Errorf("prefill at %s: %w", e.Runner.Name, err)
}

// generate makes one attempt to decode the output from kv, or, if part is Whole, to run
// prefill and decode at one engine.
func (g *generation) generate(ctx context.Context, part Part, kv upstream.KV, given []string) error {
	work := g.c.work(len(given))
	if part == Decode {
		work.PrefillTokens = 0
	}
	e, err := g.startAttempt(g.query(part, work), "")
	if err != nil && part == Whole && !isQuarantined(err) {
		// A decode engine can also prefill, only more slowly.
		e, err = g.startAttempt(g.query(Decode, work), "no mixed engine: ")
	}
	if err != nil {
		return err
	}
	p := &pump{g: g, e: e}
	attempt := g.d.o.NewID()
	err = p.run(ctx, g.engineRequest(attempt, e, given, kv))
	e.end(ctx, g.d.o.Clock, err)
	if err == nil {
		return nil
	}
	g.d.reportBroken(ctx, g.r, e, err, p.lastToken.Load() != 0)
	if p.mayStillRun(ctx, err) {
		g.d.cancelAttempt(e.Runner.Upstream, attempt)
	}
	g.failedRunners = append(g.failedRunners, e.Runner.Name)
	return fmt.Errorf("attempt at %s: %w", e.Runner.Name, err)
}
