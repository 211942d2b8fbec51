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

// callWork is the load of one call of a plain service.
var callWork = snapshot.Work{Requests: 1}

// minServerError is the lowest HTTP status by which a service reports its own failure. Only an
// answer below it is reported to the quarantine as answered.
const minServerError = 500

// errForeignAnswer means that the answer of a service belongs to another attempt.
var errForeignAnswer = errors.New("the answer carries another attempt's id and was discarded")

// Call serves one call of a plain service. Its error is a *Refusal. If ctx has a deadline no
// later than the request's, the dispatcher needs no timer of its own.
func (d *Dispatcher) Call(ctx context.Context, r *Request, c upstream.Call) (upstream.Answer, error) {
	// An at-most-once call isn't refused here, because it may have run before: its record
	// is read first, and startAttempt refuses the call if it would be sent.
	if refusal := d.checkQuarantine(r); refusal != nil && !r.NotRepeatable {
		d.record(r, state.DecisionAdmit, "refused", refusal.Message, nil)
		return upstream.Answer{}, markNotRun(0, refusal)
	}
	grant, err := d.o.Admitter.Admit(ctx, r, callWork)
	if err != nil {
		d.record(r, state.DecisionAdmit, "refused", err.Error(), nil)
		return upstream.Answer{}, refuseBeforeClaim(r, err)
	}
	if r.NotRepeatable {
		return d.callAtMostOnce(ctx, r, c, grant)
	}
	defer grant.Done()
	return d.callRepeatable(ctx, r, c)
}

// withTimeout returns a context that ends after the given time of the dispatcher's clock.
func (d *Dispatcher) withTimeout(ctx context.Context, after time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	go func() {
		if d.o.Clock.Sleep(ctx, after) == nil {
			stop()
		}
	}()
	return ctx, stop
}

// withDeadline returns a context that ends at the request's deadline. If ctx itself ends by
// then, it is returned unchanged, which saves a goroutine per call.
func (d *Dispatcher) withDeadline(ctx context.Context, r *Request) (context.Context, context.CancelFunc) {
	if end, ok := ctx.Deadline(); ok && !end.After(r.Deadline) {
		return ctx, func() {}
	}
	return d.withTimeout(ctx, d.timeLeft(r))
}

// isCancelled reports whether the caller cancelled ctx before its deadline.
func isCancelled(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// timeLeft returns the time until the request's deadline; negative after it.
func (d *Dispatcher) timeLeft(r *Request) time.Duration { return r.Deadline.Sub(d.o.Clock.Now()) }

// callRepeatable makes attempts until one succeeds, the deadline passes or the retries are
// used up.
func (d *Dispatcher) callRepeatable(ctx context.Context, r *Request, c upstream.Call) (upstream.Answer, error) {
	d.o.Retries.CountRequest(r.Service)
	callCtx, stop := d.withDeadline(ctx, r)
	defer stop()
	var failedRunners []string
	for attempt := 1; ; attempt++ {
		a, name, err := d.callAt(callCtx, r, c, failedRunners)
		if err == nil {
			return a, nil
		}
		failedRunners = append(failedRunners, name)
		pause := d.o.Retries.Backoff(attempt)
		if refusal := d.refuseCall(ctx, r, attempt, pause, err); refusal != nil {
			return upstream.Answer{}, refusal
		}
		d.o.Meter.Count(CountRetries, 1)
		d.record(r, state.DecisionRetry, "another attempt", err.Error(), nil)
		if d.o.Clock.Sleep(ctx, pause) != nil {
			return upstream.Answer{}, refuseCancelledCall(ctx)
		}
	}
}

// refuseCall returns the refusal after a failed attempt, or nil if another attempt follows
// after the pause. attempt is the number of attempts made; ctx is the caller's.
func (d *Dispatcher) refuseCall(ctx context.Context, r *Request, attempt int, pause time.Duration, err error) error {
	var refusal *Refusal
	switch {
	case isCancelled(ctx):
		return refuseCancelledCall(ctx)
	case errors.As(err, &refusal):
		return markNotRun(attempt-1, refusal)
	case ctx.Err() != nil || pause >= d.timeLeft(r):
		return &Refusal{Reason: ReasonDeadline, Message: "no upstream answered in time; allow more time or come back later", RetryAfter: time.Second, Cause: err}
	case attempt >= d.o.MaxAttempts || !d.o.Retries.Allow(r.Service):
		return &Refusal{Reason: ReasonUpstream, Message: fmt.Sprintf("the call failed at %d upstreams; try again later", attempt), RetryAfter: time.Second, Cause: err}
	}
	return nil
}

func refuseCancelledCall(ctx context.Context) *Refusal {
	return &Refusal{Reason: ReasonCancelled, Message: "the call was cancelled because its caller went away; send it again", Cause: ctx.Err()}
}

// callAt makes one attempt at a runner chosen by the router, other than the failed ones, and
// returns the runner's name.
func (d *Dispatcher) callAt(ctx context.Context, r *Request, c upstream.Call, failedRunners []string) (upstream.Answer, string, error) {
	q := Query{Request: r, Part: Whole, Work: callWork, Exclude: failedRunners}
	e, err := d.startAttempt(q)
	if err != nil {
		return upstream.Answer{}, "", err
	}
	name := e.Runner.Name
	d.record(r, state.DecisionRoute, name, e.Why, e.Candidates)
	c.Attempt = d.o.NewID()
	a, err := d.send(ctx, e, r, c)
	if err == nil && a.Attempt != "" && a.Attempt != c.Attempt {
		d.o.Meter.Count(CountForeignAnswers, 1)
		err = &upstream.SendError{Upstream: name, MaybeSent: true, Cause: errForeignAnswer}
	}
	e.end(ctx, d.o.Clock, err)
	if err != nil {
		d.reportBroken(ctx, r, e, err, false)
		return a, name, err
	}
	if a.Status < minServerError {
		d.o.Quarantine.ReportAnswered(r.Digest)
	}
	return a, name, nil
}

// send sends the call, unless its deadline has passed, for example because this host was
// suspended.
func (d *Dispatcher) send(ctx context.Context, e *activeAttempt, r *Request, c upstream.Call) (upstream.Answer, error) {
	if d.timeLeft(r) <= 0 {
		return upstream.Answer{}, &upstream.SendError{Upstream: e.Runner.Name, Cause: errDeadline}
	}
	return d.o.Services.Call(ctx, e.Runner.Upstream, c)
}
