package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/claim"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// callAtMostOnce serves an at-most-once call: it claims the key, sends the call and records
// the outcome. Once claimed, the call continues until it is recorded even if its caller
// leaves, so that a later request with the key gets the outcome.
func (d *Dispatcher) callAtMostOnce(ctx context.Context, r *Request, c upstream.Call, grant Grant) (upstream.Answer, error) {
	if err := d.checkRunnerAvailable(r); err != nil {
		defer grant.Done()
		return d.answerWithoutRunner(ctx, r, err)
	}
	held, outcome, err := d.claimKey(ctx, r)
	switch {
	case err != nil:
		grant.Done()
		refusal := refuseClaim(err)
		d.record(r, state.DecisionClaim, "refused", refusal.Message, nil)
		return upstream.Answer{}, refusal
	case outcome != nil:
		grant.Done()
		d.record(r, state.DecisionClaim, string(outcome.Claim.State), "the key was used before", nil)
		return outcomeOf(outcome.Claim)
	}
	d.record(r, state.DecisionClaim, "claimed", "the key is new", nil)
	h := &claimedCall{d: d, r: r, c: c, claim: held, answered: make(chan upstream.Answer, 1), result: make(chan callResult, 1)}
	h.c.Key = r.Key
	h.start(context.WithoutCancel(ctx), grant)
	return h.wait(ctx)
}

// claimKey claims the key, at the latest by the deadline.
func (d *Dispatcher) claimKey(ctx context.Context, r *Request) (*claim.Held, *claim.Outcome, error) {
	ctx, stop := d.withDeadline(ctx, r)
	defer stop()
	return d.o.Claimer.Begin(ctx, claim.Call{Key: r.Key, Customer: r.Customer, Fingerprint: r.Fingerprint, First: r.First})
}

// checkRunnerAvailable returns a refusal if there is no runner, which saves the write of a
// claim.
func (d *Dispatcher) checkRunnerAvailable(r *Request) error {
	_, err := d.o.Router.Pick(d.o.Keeper.View(), Query{Request: r, Part: Whole, Work: callWork})
	return err
}

// answerWithoutRunner returns the recorded outcome if the call has run before, and otherwise
// the refusal cause.
func (d *Dispatcher) answerWithoutRunner(ctx context.Context, r *Request, cause error) (upstream.Answer, error) {
	if r.First {
		return upstream.Answer{}, markNotRun(0, cause)
	}
	ctx, stop := d.withTimeout(ctx, min(d.timeLeft(r), d.o.RecordTimeout))
	defer stop()
	found, err := d.o.Claimer.Show(ctx, r.Key)
	if err != nil || found.Customer != r.Customer || found.Fingerprint != r.Fingerprint {
		return upstream.Answer{}, refuseBeforeClaim(r, cause)
	}
	d.record(r, state.DecisionClaim, string(found.State), "the key was used before", nil)
	return outcomeOf(found)
}

// refuseBeforeClaim corrects a refusal that was made before the key was claimed. Unless the
// caller states that it never sent the key before, an earlier call with the key may have run,
// so the refusal must not say "not run".
func refuseBeforeClaim(r *Request, err error) error {
	if !r.NotRepeatable || r.First {
		return err
	}
	return ClearNotRun(err)
}

// claimedCall is a call whose key this host has claimed.
type claimedCall struct {
	d     *Dispatcher
	r     *Request
	c     upstream.Call
	claim *claim.Held
	// answered receives the answer as soon as the call has run, before it is recorded.
	answered chan upstream.Answer
	// result receives the result once it is recorded, or left to the claimer to record.
	result chan callResult
}

// callResult is the result of a claimed call.
type callResult struct {
	answer upstream.Answer
	err    error
}

// start runs the call in the background. Its grant is released when the call ends.
func (h *claimedCall) start(ctx context.Context, grant Grant) {
	h.d.running.Add(1)
	go func() {
		defer h.d.running.Add(-1)
		defer grant.Done()
		a, err := h.run(ctx)
		h.result <- callResult{a, err}
	}()
}

// wait waits for the result until the deadline. A call that is still running then continues,
// so that its outcome is recorded, and the caller is told to send the same key again. An
// answer that isn't recorded yet is returned all the same.
func (h *claimedCall) wait(ctx context.Context) (upstream.Answer, error) {
	ctx, stop := h.d.withDeadline(ctx, h.r)
	defer stop()
	select {
	case got := <-h.result:
		return got.answer, got.err
	case <-ctx.Done():
	}
	select {
	case got := <-h.result:
		return got.answer, got.err
	case a := <-h.answered:
		return a, nil
	default:
		return upstream.Answer{}, &Refusal{Reason: ReasonRunning, Message: "the call is still running past its deadline; ask again with the same key", RetryAfter: time.Second}
	}
}

// run makes attempts until one may have been sent, and records the outcome.
func (h *claimedCall) run(ctx context.Context) (upstream.Answer, error) {
	var failedRunners []string
	for attempt := 1; ; attempt++ {
		a, name, err := h.d.callAt(ctx, h.r, h.c, failedRunners)
		if err == nil {
			h.answered <- a
			h.recordDone(ctx, a)
			return a, nil
		}
		var refusal *Refusal
		if !upstream.NeverSent(err) && !errors.As(err, &refusal) {
			h.recordUnknown(ctx)
			return a, &Refusal{Reason: ReasonUnknown, Message: "the call was sent and its outcome is not known; check at the service before you use a new key", Cause: err}
		}
		failedRunners = append(failedRunners, name)
		if refusal != nil || attempt >= h.d.o.MaxAttempts || h.d.timeLeft(h.r) <= 0 {
			return a, h.recordNotRun(ctx, err)
		}
	}
}

func (h *claimedCall) recordDone(ctx context.Context, a upstream.Answer) {
	ctx, stop := h.d.withTimeout(ctx, h.d.o.RecordTimeout)
	defer stop()
	err := h.claim.Done(ctx, state.RecordedAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body})
	if err != nil {
		h.d.record(h.r, state.DecisionClaim, "done", "the call ran; its record could not be written yet: "+err.Error(), nil)
	}
}

func (h *claimedCall) recordUnknown(ctx context.Context) {
	ctx, stop := h.d.withTimeout(ctx, h.d.o.RecordTimeout)
	defer stop()
	if err := h.claim.Unknown(ctx); err != nil {
		h.d.record(h.r, state.DecisionClaim, "unknown", "the record could not be written yet: "+err.Error(), nil)
	}
}

// recordNotRun records that the call didn't run, and returns the refusal. It says "not run"
// only once that is recorded: before that, another host could still consider the call running.
func (h *claimedCall) recordNotRun(ctx context.Context, cause error) error {
	ctx, stop := h.d.withTimeout(ctx, h.d.o.RecordTimeout)
	defer stop()
	if err := h.claim.NotRun(ctx); err != nil {
		h.d.record(h.r, state.DecisionClaim, "unknown", "nothing was sent, but that could not be recorded: "+err.Error(), nil)
		return &Refusal{Reason: ReasonUnknown, Message: "the call's outcome could not be recorded; ask again with the same key", RetryAfter: time.Second, Cause: cause}
	}
	return &Refusal{Reason: ReasonNoUpstream, Message: "no upstream could be reached in time and the call did not run; come back with a new key", RetryAfter: time.Second, NotRun: true, Cause: cause}
}

// outcomeOf returns the answer or refusal for a key that was used before.
func outcomeOf(c state.Claim) (upstream.Answer, error) {
	switch c.State {
	case state.ClaimDone:
		return recordedAnswer(c.Answer)
	case state.ClaimNotRun:
		return upstream.Answer{}, &Refusal{Reason: ReasonNotRun, Message: "the call with this key did not run and never will; use a new key to try again", NotRun: true}
	case state.ClaimClaimed:
		return upstream.Answer{}, &Refusal{Reason: ReasonRunning, Message: "the call with this key is still running; ask again with the same key", RetryAfter: time.Second}
	default:
		return upstream.Answer{}, &Refusal{Reason: ReasonUnknown, Message: "the call with this key may have run and its outcome is lost; check at the service before you use a new key"}
	}
}

// recordedAnswer returns the recorded answer of a call that ran.
func recordedAnswer(a *state.RecordedAnswer) (upstream.Answer, error) {
	if a == nil || a.Truncated {
		return upstream.Answer{}, &Refusal{Reason: ReasonAnswerLost, Message: "the call with this key ran, but its answer was too large to keep; read the result at the service"}
	}
	return upstream.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
}

// refuseClaim returns the refusal for an error of Claimer.Begin.
func refuseClaim(err error) *Refusal {
	var key *claim.KeyError
	if errors.As(err, &key) {
		return &Refusal{Reason: ReasonKey, Message: key.Error(), Cause: err}
	}
	var notRun *claim.NotRunError
	if errors.As(err, &notRun) {
		return &Refusal{Reason: ReasonPlatformDown, Message: notRun.Error(), RetryAfter: notRun.RetryAfter, NotRun: true, Cause: err}
	}
	var unsure *claim.UnsureError
	if errors.As(err, &unsure) {
		return &Refusal{Reason: ReasonUnknown, Message: unsure.Error(), RetryAfter: unsure.RetryAfter, Cause: err}
	}
	return &Refusal{Reason: ReasonUnknown, Message: "it is not known whether the call was claimed; ask again with the same key", RetryAfter: time.Second, Cause: err}
}
