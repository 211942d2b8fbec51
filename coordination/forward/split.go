package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thymerack/thymerack/state"
)

// hasLongPrompt reports whether the prompt is read at an engine of its own, if the service has
// such engines, and counts as a prompt in any case.
func (d *Dispatcher) hasLongPrompt(r *Request) bool {
	return r.Generation != nil && r.LastEventID == "" && r.Generation.PromptTokens >= d.o.SplitTokens
}

// prefill has the prompt read in its turn and returns where its KV cache is.
// Without one the engine that generates reads the prompt itself. The first reading that
// an engine takes is free; others draw on the budget.
func (d *Dispatcher) prefill(ctx context.Context, r *Request, rec *record) (*KVSource, error) {
	var tried []state.InstanceID
	for len(tried) < maxPrefillAttempts {
		if d.checkDeadline(ctx, r, rec) != nil || !d.chargeRetries(r, rec) {
			return nil, nil
		}
		if err := d.generates(r, rec); err != nil {
			return nil, err
		}
		t, err := d.takeTurn(ctx, r, rec, tried)
		if err != nil {
			return nil, err
		}
		d.noteTurn(rec, WorkRead, t.kind)
		if t.runner == nil {
			return nil, nil
		}
		if !d.permitted(ctx, t.runner.Instance, "prefill", rec, 0) {
			t.end(false)
			continue
		}
		if err := d.checkBeforeSend(ctx, r, rec); err != nil {
			t.end(false)
			return nil, err
		}
		tried = append(tried, t.runner.Instance.ID)
		source := d.prefillAt(ctx, r, t, rec)
		t.end(source != nil)
		if source != nil {
			return source, nil
		}
		if d.timeLeft(r) > 0 && d.prefillTimeLeft(r) <= 0 {
			return nil, d.refuseOverloaded(r, rec, t.forecast.Finish)
		}
	}
	return nil, nil
}

// prefillTimeLeft is the time in which the prompt must be read so that its caller is still
// there at the first event.
func (d *Dispatcher) prefillTimeLeft(r *Request) time.Duration {
	return d.answerBy(r).Sub(d.o.Clock.Now()) - d.firstEvents.mean(r.Service) - refusalMargin
}

// refusalMargin is the way of a refusal to a caller that is about to leave: 3 ms one way
// on today's sheets, and as much as the host may be held up.
const refusalMargin = 50 * time.Millisecond

// refuseOverloaded refuses a prompt that was not read while its caller waits, so that the caller
// may come back. It hasn't run.
func (d *Dispatcher) refuseOverloaded(r *Request, rec *record, after time.Duration) error {
	if rec.mayHaveRun {
		return nil
	}
	return &Refusal{Reason: ReasonOverload, NotRun: true, RetryAfter: d.addJitter(after)}
}

// addJitter spreads those that are told to come back over half of the time more, so that
// they don't meet.
func (d *Dispatcher) addJitter(after time.Duration) time.Duration {
	return after + time.Duration(rand.Float64()*retryAfterJitter*float64(after))
}

// retryAfterJitter is the part of the time to a return over which returns are spread: callers
// that were refused in one burst would make the next one otherwise.
const retryAfterJitter = 0.5

// maxPrefillAttempts bounds the engines that one prompt is sent to for reading.
const maxPrefillAttempts = 2

func (d *Dispatcher) prefillAt(ctx context.Context, r *Request, t turn, rec *record) *KVSource {
	const operation = "prefill"
	runner := t.runner
	rec.predicted = t.forecast.Finish
	defer func() { rec.predicted = 0 }()
	if !d.o.Placer.Has(runner.Instance.ID) {
		return nil
	}
	a := &Attempt{Request: r, Instance: runner.Instance, TimeLeft: d.timeLeft(r), PrefillOnly: true, Rank: t.forecast.Rank, FetchFrom: d.prefixSource(r, t)}
	requestCtx := ctx
	ctx, p := d.patience(ctx, r, t)
	defer p.end()
	started := d.o.Clock.Now()
	done := runner.Begin()
	defer done()
	resp, err := d.send(ctx, a)
	var body []byte
	if err == nil {
		if body, err = readBody(resp); err != nil {
			resp.Abort()
		}
	}
	took := d.o.Clock.Now().Sub(started)
	if err != nil {
		sendErr := asSendError(err)
		if sendErr.Sent {
			rec.countPrefill(false)
		}
		// Reading a prompt runs nothing, so a lost response breaks no promise. That
		// a prompt isn't read in its time says nothing of an engine that reads others.
		if (ctx.Err() == nil || p.dark.Load()) && !sendErr.Withheld {
			runner.Broken()
			d.o.Outliers.Silent(runner.Instance.ID)
			if sendErr.Sent {
				d.reportSuspect(requestCtx, r, runner, rec, took, false)
			}
		}
		rec.addStep(a.Instance, operation, outcomeUnknown, took, err)
		return nil
	}
	resp.Finish()
	rec.countPrefill(resp.Head().Status != statusOK)
	if resp.Head().Status != statusOK {
		if ctx.Err() == nil {
			d.noteRefusal(runner, resp.Head())
		}
		rec.addStep(a.Instance, operation, outcomeNotRun, took, &statusError{resp.Head().Status})
		return nil
	}
	handle, err := d.o.Upstream.PrefillHandle(body)
	if err != nil {
		runner.Failed()
		rec.addStep(a.Instance, operation, outcomeFailed, took, err)
		return nil
	}
	runner.Answered(took)
	if t.forecast.Known {
		d.o.Observer.PrefillDone(r.Service, t.forecast.Finish, took)
	}
	rec.addStep(a.Instance, operation, outcomePrefill, took, nil)
	rec.promptKV = &KVSource{a.Instance, handle}
	return rec.promptKV
}

// decodeDomain is the failure domain in which the answer should be generated: that of
// the engine that keeps the prompt's memory if moving it between domains takes longer
// than the request's way there; "" for the host's own.
func decodeDomain(r *Request, source *KVSource) string {
	if source == nil || moveTime(r, r.Generation.PromptTokens)*(farMove-1) < domainRoundTrip {
		return ""
	}
	return source.Instance.FailureDomain
}

// domainRoundTrip is the time of a round trip between failure domains: 1.8 to 2.8 ms on
// today's sheets.
const domainRoundTrip = 3 * time.Millisecond

// prefixSource is the address of an engine that may keep shared parts of the prompt which
// the turn's doesn't: the one that is known to, or the one that generates for the
// session; "" if there is none.
func (d *Dispatcher) prefixSource(r *Request, t turn) string {
	if t.source != nil {
		return t.source.Instance.Addr
	}
	decoder := d.o.Placer.Decode(r.Service, r.Generation.Session(), t.runner.Instance.FailureDomain, nil)
	if decoder == nil {
		return ""
	}
	return decoder.Instance.Addr
}

const statusOK = 200
