package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thymerack/thymerack/state"
)

// long reports whether the prompt is read at an engine of its own, if the service has
// such engines, and counts as a prompt in any case.
func (d *Dispatcher) long(r *Request) bool {
	return r.Generation != nil && r.LastEventID == "" && r.Generation.PromptTokens >= d.o.SplitTokens
}

// readPrompt has the prompt read in its turn and returns where its KV cache is.
// Without one the engine that generates reads the prompt itself. The first reading that
// an engine takes is free; others draw on the budget.
func (d *Dispatcher) readPrompt(ctx context.Context, r *Request, rec *record) (*KVSource, error) {
	var tried []state.InstanceID
	for len(tried) < maxPrefills {
		if d.over(ctx, r, rec) != nil || !d.pay(r, rec) {
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
		if err := d.barred(ctx, r, rec); err != nil {
			t.end(false)
			return nil, err
		}
		tried = append(tried, t.runner.Instance.ID)
		source := d.prefillAt(ctx, r, t, rec)
		t.end(source != nil)
		if source != nil {
			return source, nil
		}
		if d.left(r) > 0 && d.readLeft(r) <= 0 {
			return nil, d.giveUp(r, rec, t.forecast.Finish)
		}
	}
	return nil, nil
}

// readLeft is the time in which the prompt must be read so that its caller is still
// there at the first event.
func (d *Dispatcher) readLeft(r *Request) time.Duration {
	return d.answerBy(r).Sub(d.o.Clock.Now()) - d.leads.of(r.Service) - givenUpMargin
}

// givenUpMargin is the way of a refusal to a caller that is about to leave: 3 ms one way
// on today's sheets, and as much as the host may be held up.
const givenUpMargin = 50 * time.Millisecond

// giveUp refuses a prompt that was not read while its caller waits, so that the caller
// may come back. It hasn't run.
func (d *Dispatcher) giveUp(r *Request, rec *record, after time.Duration) error {
	if rec.mayHaveRun {
		return nil
	}
	return &Refusal{Reason: ReasonOverload, NotRun: true, RetryAfter: d.spread(after)}
}

// spread spreads those that are told to come back over half of the time more, so that
// they don't meet.
func (d *Dispatcher) spread(after time.Duration) time.Duration {
	return after + time.Duration(rand.Float64()*spreadReturns*float64(after))
}

// spreadReturns is the part of the time to a return over which returns are spread: callers
// that were refused in one burst would make the next one otherwise.
const spreadReturns = 0.5

// maxPrefills bounds the engines that one prompt is sent to for reading.
const maxPrefills = 2

func (d *Dispatcher) prefillAt(ctx context.Context, r *Request, t turn, rec *record) *KVSource {
	const part = "prefill"
	runner := t.runner
	rec.predicted = t.forecast.Finish
	defer func() { rec.predicted = 0 }()
	if !d.o.Placer.Has(runner.Instance.ID) {
		return nil
	}
	a := &Attempt{Request: r, Instance: runner.Instance, Left: d.left(r), PrefillOnly: true, Rank: t.forecast.Rank, FetchFrom: d.keepsParts(r, t)}
	outer := ctx
	ctx, p := d.patience(ctx, r, t)
	defer p.end()
	started := d.o.Clock.Now()
	done := runner.Begin()
	defer done()
	resp, err := d.send(ctx, a)
	var body []byte
	if err == nil {
		if body, err = readWhole(resp); err != nil {
			resp.Cut()
		}
	}
	took := d.o.Clock.Now().Sub(started)
	if err != nil {
		failed := sendError(err)
		if failed.Sent {
			rec.notePrefill(false)
		}
		// Reading a prompt runs nothing, so a lost response breaks no promise. That
		// a prompt isn't read in its time says nothing of an engine that reads others.
		if (ctx.Err() == nil || p.dark.Load()) && !failed.Withheld {
			runner.Broken()
			d.o.Outliers.ReportSilent(runner.Instance.ID)
			if failed.Sent {
				d.noteWork(outer, r, runner, rec, took, false)
			}
		}
		rec.add(a.Instance, part, outcomeUnknown, took, err)
		return nil
	}
	resp.Finish()
	rec.notePrefill(resp.Head().Status != statusOK)
	if resp.Head().Status != statusOK {
		if ctx.Err() == nil {
			d.noteRefused(runner, resp.Head())
		}
		rec.add(a.Instance, part, outcomeNotRun, took, &statusError{resp.Head().Status})
		return nil
	}
	handle, err := d.o.Upstream.PrefillHandle(body)
	if err != nil {
		runner.Failed()
		rec.add(a.Instance, part, outcomeFailed, took, err)
		return nil
	}
	runner.Answered(took)
	if t.forecast.Known {
		d.o.Observer.Read(r.Service, t.forecast.Finish, took)
	}
	rec.add(a.Instance, part, outcomePrefill, took, nil)
	rec.cached = &KVSource{a.Instance, handle}
	return rec.cached
}

// generateNear is the failure domain in which the answer should be generated: that of
// the engine that keeps the prompt's memory if moving it between domains takes longer
// than the request's way there; "" for the host's own.
func generateNear(r *Request, source *KVSource) string {
	if source == nil || moveTime(r, r.Generation.PromptTokens)*(farMove-1) < domainRoundTrip {
		return ""
	}
	return source.Instance.FailureDomain
}

// domainRoundTrip is the time of a round trip between failure domains: 1.8 to 2.8 ms on
// today's sheets.
const domainRoundTrip = 3 * time.Millisecond

// keepsParts is the address of an engine that may keep shared parts of the prompt which
// the turn's doesn't: the one that is known to, or the one that generates for the
// session; "" if there is none.
func (d *Dispatcher) keepsParts(r *Request, t turn) string {
	if t.source != nil {
		return t.source.Instance.Addr
	}
	generates := d.o.Placer.Decode(r.Service, r.Generation.Session(), t.runner.Instance.FailureDomain, nil)
	if generates == nil {
		return ""
	}
	return generates.Instance.Addr
}

const statusOK = 200
