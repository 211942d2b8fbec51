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

// resumeFactor times MaxAttempts bounds the rounds in which a started answer is resumed.
const resumeFactor = 4

// Completion is the content of a model request.
type Completion struct {
	Model     string
	Prompt    upstream.Prompt
	MaxTokens int
	// PromptTokens and ExpectedOutput are estimates, in tokens.
	PromptTokens   int
	ExpectedOutput int
	// Prefixes are the hashes of increasingly long prefixes of the prompt.
	Prefixes []uint64
}

// Sink receives the tokens of an answer, in order and each once.
type Sink interface {
	// Tokens returns the tokens received so far.
	Tokens() []string
	Append(token string)
	// Finish completes the answer; reason is "stop" or "length".
	Finish(reason string)
}

// generation is the state of a model request in progress. It runs in rounds, each of which
// is one attempt, or two if prefill and decode are split.
type generation struct {
	d     *Dispatcher
	r     *Request
	c     *Completion
	sink  Sink
	grant Grant
	// attempts counts the attempts started.
	attempts int
	// failedRounds counts the failed rounds since the last token.
	failedRounds int
	// resumeRounds counts the failed rounds of a started answer that may have cost an engine
	// work, and all of them after the deadline.
	resumeRounds int
	// splitFailed is set when a split prefill or decode has failed. From then on the request
	// is split only if no engine does both.
	splitFailed bool
	// failedRunners names the runners that failed this request.
	failedRunners []string
}

// Generate serves a model request into sink. It returns nil once the answer is complete, or
// a *Refusal. An interrupted stream is resumed at another engine from the tokens already
// delivered. The deadline ends a request that has delivered no token; an answer that the
// caller is already receiving is completed.
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

// recordEnd records the outcome of the request, and reports a complete answer to the
// quarantine.
func (g *generation) recordEnd(err error) {
	if err != nil {
		g.d.record(g.r, state.DecisionAnswer, "failed", err.Error(), nil)
		return
	}
	g.d.o.Quarantine.ReportAnswered(g.r.Digest)
	g.d.record(g.r, state.DecisionAnswer, "whole", fmt.Sprintf("%d tokens given", len(g.sink.Tokens())), nil)
}

// work returns the load of the request after the given number of tokens was delivered. A
// resumed answer prefills those too.
func (c *Completion) work(given int) snapshot.Work {
	return snapshot.Work{
		Requests:      1,
		PrefillTokens: int64(c.PromptTokens + given),
		DecodeTokens:  int64(max(c.ExpectedOutput-given, 1)),
	}
}

// run runs rounds until the answer is complete or the request is refused.
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

// afterFailure decides what follows a failed round: another one after a pause, or a refusal.
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

// retry decides for a request that has delivered no token. It is refused as soon as no
// further round can start before the deadline. Further rounds use up the service's retry
// budget.
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

// resume decides for a started answer. Its caller would be left with an incomplete answer,
// so neither the deadline nor the retry budget ends it. Until the deadline it may wait for a
// runner; the rounds that may cost an engine work are bounded by resumeFactor.
func (g *generation) resume(err error) (time.Duration, *Refusal) {
	var refusal *Refusal
	noRunner := errors.As(err, &refusal)
	if isQuarantined(err) {
		return 0, refusal
	}
	if noRunner {
		g.failedRunners = nil // the failed runners may have recovered
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

// timeLeft returns the time until the deadline; negative after it.
func (g *generation) timeLeft() time.Duration { return g.r.Deadline.Sub(g.d.o.Clock.Now()) }

func (g *generation) refuseCancelled(ctx context.Context) *Refusal {
	return &Refusal{Reason: ReasonCancelled, Message: "the request was cancelled because its caller went away; send it again", Cause: ctx.Err()}
}

// startAttempt starts an attempt and records the choice, its reason prefixed by whyPrefix. A
// refusal before the first attempt is marked as "not run".
func (g *generation) startAttempt(q Query, whyPrefix string) (*activeAttempt, error) {
	e, err := g.d.startAttempt(q)
	if err != nil {
		return nil, markNotRun(g.attempts, err)
	}
	g.attempts++
	g.d.record(g.r, state.DecisionRoute, e.Runner.Name, whyPrefix+e.Why, e.Candidates)
	return e, nil
}

// markNotRun marks a refusal as "not run" if no attempt was made before it.
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

// firstTokenTimeout returns how long an engine may take until the first token, and whether
// that is the time until the deadline. It is half of the time left, but at least the stall
// timeout, since a prompt may wait behind others.
func (g *generation) firstTokenTimeout() (limit time.Duration, byDeadline bool) {
	left := g.timeLeft()
	limit = max(g.d.o.StallTimeout, left/2)
	if len(g.sink.Tokens()) == 0 && left < limit {
		return left, true
	}
	return limit, false
}
