package forward

import (
	"context"

	"github.com/thymerack/thymerack/coordination/placement"
)

// long reports whether the prompt is read at an engine of its own, if the service has
// such engines, and counts as a prompt in any case.
func (d *Dispatcher) long(r *Request) bool {
	return r.Generation != nil && r.LastEventID == "" && r.Generation.PromptTokens >= d.o.SplitTokens
}

// readPrompt has the prompt read in its turn and returns where its KV cache is.
// Without one the engine that generates reads the prompt itself.
func (d *Dispatcher) readPrompt(ctx context.Context, r *Request, rec *record) *KVSource {
	rec.size = d.sizes.class(r.Route.Name, r.Generation.OwnTokens())
	t := d.takeTurn(ctx, r, rec)
	d.noteTurn(rec, WorkRead, t.kind)
	return d.prefill(ctx, r, rec, t)
}

// prefill has the prompt read, at the engine of its turn first. The first reading
// that an engine takes is free; others draw on the budget.
func (d *Dispatcher) prefill(ctx context.Context, r *Request, rec *record, t turn) *KVSource {
	var tried []string
	for try := 0; try < maxPrefills; try++ {
		if d.over(ctx, r, rec) != nil {
			break
		}
		if !d.pay(r, rec) {
			break
		}
		if t.runner == nil {
			t.runner, t.home = d.o.Placer.Prefill(r.Service, r.Generation.Session(), tried)
		}
		if t.runner == nil {
			break
		}
		tried = append(tried, t.runner.Instance.ID)
		source, retry := d.prefillAt(ctx, r, t, rec)
		t.end(source != nil)
		if source != nil || !retry {
			return source
		}
		t = turn{kind: t.kind}
	}
	t.end(false)
	return nil
}

// maxPrefills bounds the engines that one prompt is sent to for reading.
const maxPrefills = 2

func (d *Dispatcher) prefillAt(ctx context.Context, r *Request, t turn, rec *record) (source *KVSource, retry bool) {
	const part = "prefill"
	runner := t.runner
	if !d.o.Placer.Has(runner.Instance.ID) {
		return nil, true
	}
	deferred := t.kind == TurnDeferred
	a := &Attempt{Request: r, Instance: runner.Instance, Left: d.left(r), PrefillOnly: true, Deferred: deferred, Size: rec.size, FetchFrom: d.keepsParts(r, t.home)}
	ctx, stop := d.patience(ctx, r, deferred)
	defer stop()
	started := d.o.Clock.Now()
	done := runner.Begin()
	defer done()
	resp, err := d.o.Upstream.Send(ctx, a)
	var body []byte
	if err == nil {
		if body, err = readWhole(resp); err != nil {
			resp.Cut()
		}
	}
	took := d.o.Clock.Now().Sub(started)
	if err != nil {
		if sendError(err).Sent {
			rec.notePrefill(false)
		}
		// Reading a prompt runs nothing, so a lost response breaks no promise. That
		// a deferred prompt isn't read in its time says nothing of the engine.
		if !deferred || ctx.Err() == nil {
			d.noteBroken(ctx, runner)
		}
		rec.add(a.Instance, part, outcomeUnknown, took, err)
		return nil, true
	}
	resp.Finish()
	rec.notePrefill(resp.Head().Status != statusOK)
	if resp.Head().Status != statusOK {
		if !deferred {
			runner.Refused()
		}
		rec.add(a.Instance, part, outcomeNotRun, took, &statusError{resp.Head().Status})
		return nil, true
	}
	handle, err := d.o.Upstream.PrefillHandle(body)
	if err != nil {
		runner.Failed()
		rec.add(a.Instance, part, outcomeFailed, took, err)
		return nil, true
	}
	runner.Answered(took)
	rec.add(a.Instance, part, outcomePrefill, took, nil)
	rec.cached = &KVSource{a.Instance, handle}
	return rec.cached, false
}

// keepsParts is the address of an engine that may keep shared parts of the prompt:
// the session's own, or the one that generates for it; "" if there is none.
func (d *Dispatcher) keepsParts(r *Request, home *placement.Runner) string {
	if home == nil {
		home = d.o.Placer.Decode(r.Service, r.Generation.Session(), nil)
	}
	if home == nil {
		return ""
	}
	return home.Instance.Addr
}

// patience bounds the wait for a prompt that should be read in time: after it the
// engine counts as dark and another is tried.
func (d *Dispatcher) patience(ctx context.Context, r *Request, deferred bool) (context.Context, context.CancelFunc) {
	if deferred || r.Route.Objective <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, patienceShare*r.Route.Objective)
}

// patienceShare times the objective is longer than a prompt of the largest size
// waits at an engine that reads in time, and leaves two thirds of the shortest
// deadline (2 s for an objective of 200 ms) for another engine.
const patienceShare = 3

const statusOK = 200
