package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// hasLongPrompt reports whether the prompt is large enough for a separate prefill. If the
// service has no prefill engines, such a request is still admitted by its predicted prefill time.
func (d *Dispatcher) hasLongPrompt(r *Request) bool {
	return r.Generation != nil && r.LastEventID == "" && r.Generation.PromptTokens >= d.o.SplitTokens
}

// prefill has a prefill engine compute the prompt and returns where its KV cache is. If it
// returns nil, the decode engine computes the prompt itself. The first prefill that an engine
// accepts is free; others are taken from the retry budget.
func (d *Dispatcher) prefill(ctx context.Context, r *Request, rec *record) (*KVSource, error) {
	var tried []state.InstanceID
	for len(tried) < maxPrefillAttempts {
		if d.checkDeadline(ctx, r, rec) != nil || !d.chargeRetries(r, rec) {
			return nil, nil
		}
		if err := d.checkDecodeInTime(r, rec); err != nil {
			return nil, err
		}
		t, err := d.reservePrefill(ctx, r, rec, tried)
		if err != nil {
			return nil, err
		}
		d.noteReservation(rec, PhasePrefill, t.kind)
		if t.runner == nil {
			return nil, nil
		}
		d.noteOrder(r, rec, t.forecast)
		if !d.acquirePermit(ctx, t.runner.Instance, "prefill", rec, 0) {
			t.release(false)
			continue
		}
		if err := d.checkBeforeSend(ctx, r, rec); err != nil {
			t.release(false)
			return nil, err
		}
		tried = append(tried, t.runner.Instance.ID)
		source := d.prefillAt(ctx, r, t, rec)
		t.release(source != nil)
		if source != nil {
			return source, nil
		}
		if d.timeLeft(r) > 0 && d.prefillTimeLeft(r) <= 0 {
			return nil, d.refuseOverloaded(r, rec, t.forecast.Finish)
		}
	}
	return nil, nil
}

// prefillTimeLeft returns the time in which the prefill must end for the caller to be still
// there at the first event.
func (d *Dispatcher) prefillTimeLeft(r *Request) time.Duration {
	return d.firstEventDeadline(r).Sub(d.o.Clock.Now()) - d.firstEvents.mean(r.Service) - refusalMargin
}

// refusalMargin is reserved for a refusal to reach a caller that is about to leave: 3 ms one way
// on the network, and the rest for delays of this host.
const refusalMargin = 50 * time.Millisecond

// refuseOverloaded refuses a request whose prompt can't be computed while its caller waits. The
// caller may retry it, since it hasn't run. It returns nil if the request may have run.
func (d *Dispatcher) refuseOverloaded(r *Request, rec *record, after time.Duration) error {
	if rec.mayHaveRun {
		return nil
	}
	return &Refusal{Reason: ReasonOverload, NotRun: true, RetryAfter: d.addJitter(after)}
}

// addJitter lengthens the time after which a caller may retry by a random share of it.
func (d *Dispatcher) addJitter(after time.Duration) time.Duration {
	return after + time.Duration(rand.Float64()*retryAfterJitter*float64(after))
}

// retryAfterJitter is the largest share that addJitter adds: callers that were refused in one
// burst would otherwise return in one burst.
const retryAfterJitter = 0.5

// maxPrefillAttempts bounds the engines to which one prompt is sent for a separate prefill.
const maxPrefillAttempts = 2

// prefillAt has the chosen engine compute the prompt, and returns nil if it doesn't.
func (d *Dispatcher) prefillAt(ctx context.Context, r *Request, t reservation, rec *record) *KVSource {
	const operation = "prefill"
	runner := t.runner
	rec.predicted = t.forecast.Finish
	defer func() { rec.predicted = 0 }()
	if !d.o.Placer.Accepts(runner.Instance.ID) {
		return nil
	}
	a := &Attempt{Request: r, Instance: runner.Instance, TimeLeft: d.timeLeft(r), PrefillOnly: true, Rank: t.forecast.Rank, FetchFrom: d.prefixSource(r, t)}
	requestCtx := ctx
	ctx, p := d.watchPrefill(ctx, r, t)
	defer p.stop()
	started := d.o.Clock.Now()
	done := runner.Begin()
	defer done()
	resp, err := d.send(ctx, a, rec)
	var body []byte
	if err == nil {
		if body, err = d.readPrefill(r, rec, resp); err != nil {
			resp.Abort()
		}
	}
	took := d.o.Clock.Now().Sub(started)
	if err != nil {
		sendErr := asSendError(err)
		if sendErr.Sent {
			rec.countPrefill(false)
		}
		// A prefill doesn't run the request, so that a lost response breaks no guarantee. An engine
		// that completes other prompts isn't at fault for one that isn't computed in time.
		if (ctx.Err() == nil || p.unavailable.Load()) && !sendErr.Withheld {
			runner.RecordConnectionFailure()
			d.o.Outliers.ReportSilent(runner.Instance.ID)
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
		runner.RecordFailure()
		rec.addStep(a.Instance, operation, outcomeFailed, took, err)
		return nil
	}
	runner.RecordSuccess(took)
	if t.forecast.Reliable {
		d.o.Observer.PrefillDone(r.Service, t.forecast.Finish, took)
	}
	rec.addStep(a.Instance, operation, outcomePrefill, took, nil)
	rec.promptKV = &KVSource{a.Instance, handle}
	return rec.promptKV
}

// decodeDomain returns the failure domain in which the answer should be generated: that of the
// engine that has the prompt's KV cache, if transferring the cache between domains takes longer
// than sending the request there; "" for the host's own domain.
func decodeDomain(r *Request, source *KVSource) string {
	if source == nil || localTransferTime(r, r.Generation.PromptTokens)*(crossDomainFactor-1) < domainRoundTrip {
		return ""
	}
	return source.Instance.FailureDomain
}

// domainRoundTrip is the round trip time between failure domains: 1.8 to 2.8 ms at the known
// sites.
const domainRoundTrip = 3 * time.Millisecond

// prefixSource returns the address of an engine that may have cached shared parts of the prompt
// which the chosen engine lacks: the one that is known to have them, or else the one that
// generates for the session; "" if there is none.
func (d *Dispatcher) prefixSource(r *Request, t reservation) string {
	if t.prefixSource != nil {
		return t.prefixSource.Instance.Addr
	}
	decoder := d.o.Placer.ChooseForDecode(placement.Pool{Service: r.Service}, r.Generation.Session(), t.runner.Instance.FailureDomain, nil)
	if decoder == nil {
		return ""
	}
	return decoder.Instance.Addr
}

const statusOK = 200
