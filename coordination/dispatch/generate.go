package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// resumeFactor times MaxAttempts bounds the attempts of a request that has given
// tokens.
const resumeFactor = 4

// Completion is a model request.
type Completion struct {
	Model     string
	Prompt    upstream.Prompt
	MaxTokens int
	// PromptTokens and ExpectedOutput are estimates.
	PromptTokens   int
	ExpectedOutput int
	Prefixes       []uint64
}

// Sink takes the tokens of an answer in order, each once.
type Sink interface {
	// Tokens returns the tokens taken so far.
	Tokens() []string
	Append(token string)
	// Finish marks the answer whole; reason is "stop" or "length".
	Finish(reason string)
}

// generation is the state of one model request on its way. It makes turns, each
// of which is one attempt, or two when prompt and output go apart.
type generation struct {
	d     *Dispatcher
	r     *Request
	c     *Completion
	sink  Sink
	grant Grant
	// attempts counts the attempts that were started.
	attempts int
	// failures counts the failed turns since the last token.
	failedRounds int
	// spent counts the turns that a begun answer may have cost an engine.
	resumeRounds int
	// together is set once prompt and output have failed apart.
	splitFailed bool
	// failed names the runners that have failed this request.
	failedRunners []string
}

// Generate serves a model request into sink. It returns nil once the answer is
// whole, or a *Refusal. A stream that breaks is resumed elsewhere from the
// tokens already given. The deadline ends a request that has given nothing yet;
// an answer that the caller is already receiving is finished.
func (d *Dispatcher) Generate(ctx context.Context, r *Request, c *Completion, sink Sink) error {
	if refusal := d.checkQuarantine(r); refusal != nil {
		d.record(r, state.DecisionAdmit, "refused", refusal.Message, nil)
		return markNotRun(0, refusal)
	}
	grant, err := d.o.Admitter.Admit(ctx, r, c.work(0))
	if err != nil {
		d.record(r, state.DecisionAdmit, "refused", err.Error(), nil)
		return err
	}
	defer grant.Done()
	g := &generation{d: d, r: r, c: c, sink: sink, grant: grant}
	err = g.run(ctx)
	g.recordEnd(err)
	return err
}

func (g *generation) recordEnd(err error) {
	if err != nil {
		g.d.record(g.r, state.DecisionAnswer, "failed", err.Error(), nil)
		return
	}
	g.d.o.Quarantine.Answered(g.r.Digest)
	g.d.record(g.r, state.DecisionAnswer, "whole", fmt.Sprintf("%d tokens given", len(g.sink.Tokens())), nil)
}

// work is the load of the request once given tokens are there already.
func (c *Completion) work(given int) snapshot.Work {
	return snapshot.Work{
		Requests:      1,
		PrefillTokens: int64(c.PromptTokens + given),
		DecodeTokens:  int64(max(c.ExpectedOutput-given, 1)),
	}
}

func (g *generation) run(ctx context.Context) error {
	g.d.o.Retries.CountRequest(g.r.Service)
	for {
		before := len(g.sink.Tokens())
		err := g.runRound(ctx)
		if err == nil {
			return nil
		}
		if len(g.sink.Tokens()) > before {
			g.failedRounds = 0
		}
		pause, refusal := g.afterFailure(ctx, err)
		if refusal != nil {
			return refusal
		}
		g.d.record(g.r, state.DecisionRetry, "another attempt", err.Error(), nil)
		if g.d.o.Clock.Sleep(ctx, pause) != nil {
			return g.refuseCancelled(ctx)
		}
	}
}

// next decides what follows a failed turn: another one after a pause, or a
// refusal.
func (g *generation) afterFailure(ctx context.Context, err error) (time.Duration, *Refusal) {
	if ctx.Err() != nil {
		return 0, g.refuseCancelled(ctx)
	}
	g.failedRounds++
	if len(g.sink.Tokens()) > 0 {
		return g.resume(err)
	}
	return g.retry(err)
}

// repeat decides for a request that has given nothing. It is refused as soon as
// no further turn can be made in time, and further turns are taken from the
// service's retry budget.
func (g *generation) retry(err error) (time.Duration, *Refusal) {
	left := g.timeLeft()
	pause := g.d.o.Retries.Backoff(g.failedRounds)
	var refusal *Refusal
	switch {
	case left <= 0:
		return 0, &Refusal{Reason: ReasonDeadline, Message: "the deadline passed before an upstream answered; allow more time or come back later", RetryAfter: time.Second, Cause: err}
	case errors.As(err, &refusal):
		return 0, refusal
	case g.failedRounds >= g.d.o.MaxAttempts:
		return 0, &Refusal{Reason: ReasonUpstream, Message: fmt.Sprintf("the request failed at %d upstreams; try again", g.failedRounds), RetryAfter: time.Second, Cause: err}
	case pause >= left:
		return 0, &Refusal{Reason: ReasonDeadline, Message: "an upstream failed and the deadline leaves no time for another; allow more time or come back later", RetryAfter: time.Second, Cause: err}
	case !g.d.o.Retries.Allow(g.r.Service):
		return 0, &Refusal{Reason: ReasonUpstream, Message: "the upstream failed and the service's retry budget is spent; try again later", RetryAfter: time.Second, Cause: err}
	}
	g.d.o.Meter.Count(CountRetries, 1)
	return pause, nil
}

// resume decides for an answer that has begun. The caller would otherwise hold
// half of it, so neither the deadline nor the retry budget ends it; it waits for
// a runner until the deadline, and the attempts that may cost an engine work are
// bounded by themselves.
func (g *generation) resume(err error) (time.Duration, *Refusal) {
	var refusal *Refusal
	noRunner := errors.As(err, &refusal)
	if isQuarantined(err) {
		return 0, refusal
	}
	if noRunner {
		g.failedRunners = nil // the runners that failed may be well again
	}
	free := noRunner || upstream.NeverSent(err)
	if !free || g.timeLeft() <= 0 {
		g.resumeRounds++
	}
	if g.resumeRounds >= resumeFactor*g.d.o.MaxAttempts {
		return 0, &Refusal{Reason: ReasonUpstream, Message: fmt.Sprintf("the answer broke off after %d tokens and could not be resumed; send the request again", len(g.sink.Tokens())), RetryAfter: time.Second, Cause: err}
	}
	g.d.o.Meter.Count(CountResumptions, 1)
	return g.d.o.Retries.Backoff(g.failedRounds), nil
}

// left is the time to the deadline; negative once it has passed.
func (g *generation) timeLeft() time.Duration { return g.r.Deadline.Sub(g.d.o.Clock.Now()) }

func (g *generation) refuseCancelled(ctx context.Context) *Refusal {
	return &Refusal{Reason: ReasonCancelled, Message: "the request was cancelled because its caller went away; send it again", Cause: ctx.Err()}
}

// enter starts an attempt and records the choice.
func (g *generation) startAttempt(q Query, whyPrefix string) (*activeAttempt, error) {
	e, err := g.d.startAttempt(q)
	if err != nil {
		return nil, markNotRun(g.attempts, err)
	}
	g.attempts++
	g.d.record(g.r, state.DecisionRoute, e.Runner.Name, whyPrefix+e.Why, e.Candidates)
	return e, nil
}

// neverRun marks a refusal that came before any attempt as "not run".
func markNotRun(attempts int, err error) error {
	var refusal *Refusal
	if attempts > 0 || !errors.As(err, &refusal) {
		return err
	}
	marked := *refusal
	marked.NotRun = true
	return &marked
}

func (g *generation) query(part Part, w snapshot.Work) Query {
	return Query{Request: g.r, Part: part, Model: g.c.Model, Work: w, Prefixes: g.c.Prefixes, Exclude: g.failedRunners}
}

func (g *generation) engineRequest(attempt string, e *activeAttempt, given []string, kv upstream.KV) upstream.Generate {
	return upstream.Generate{
		Attempt: attempt, Model: g.c.Model, Prompt: g.c.Prompt, MaxTokens: g.c.MaxTokens,
		Priority: e.Priority, Given: given, KV: kv,
	}
}

// firstLimit is how long an engine may take to the first token, and whether the
// deadline sets it. It may take half of the time left: a prompt can wait behind
// others.
func (g *generation) firstTokenTimeout() (limit time.Duration, byDeadline bool) {
	left := g.timeLeft()
	limit = max(g.d.o.StallTimeout, left/2)
	if len(g.sink.Tokens()) == 0 && left < limit {
		return left, true
	}
	return limit, false
}
