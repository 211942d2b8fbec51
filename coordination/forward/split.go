package forward

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/throttle"
	"github.com/thymerack/thymerack/state"
)

// splits reports whether the request's prompt is read at an engine of its own.
func (d *Dispatcher) splits(r *Request) bool {
	return r.Generation != nil && r.LastEventID == "" && r.Generation.PromptTokens >= d.o.SplitTokens
}

// readPrompt has the prompt read, behind other prompts if this host has as many
// in flight as are read in time.
func (d *Dispatcher) readPrompt(ctx context.Context, r *Request, rec *record) *KVSource {
	ticket := d.limiter(r.Route).Acquire(float64(r.Generation.OwnTokens()))
	r.Deferred = ticket == nil
	d.o.Observer.Prompt(r.Deferred)
	source := d.prefill(ctx, r, rec)
	if source == nil {
		ticket.Cancel()
	} else {
		ticket.Done()
	}
	return source
}

// limiter returns the bound of a route's prompts.
func (d *Dispatcher) limiter(r *state.Route) *throttle.Limiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.limiters[r.Name]
	if l == nil {
		target := time.Duration(float64(r.Objective) * readShare)
		l = throttle.New(throttle.Options{Clock: d.o.Clock, Target: target})
		d.limiters[r.Name] = l
	}
	return l
}

// readShare is the part of the objective in which a prompt should be read; the
// rest is for the first token (5 ms and a step of some 30 ms) and the way.
const readShare = 0.6

// prefill has the prompt read and returns where its KV cache is. Without one the
// engine that generates reads the prompt itself. The first reading that an
// engine accepts is free; others draw on the attempts and the budget.
func (d *Dispatcher) prefill(ctx context.Context, r *Request, rec *record) *KVSource {
	var tried []string
	for try := 0; try < maxPrefills; try++ {
		if d.over(ctx, r, rec) != nil {
			return nil
		}
		if try > 0 && !d.o.Budget.Allow(r.Service) {
			return nil
		}
		runner, home := d.o.Placer.Prefill(r.Service, r.Generation.Session(), tried)
		if runner == nil {
			return nil
		}
		tried = append(tried, runner.Instance.ID)
		source, retry := d.prefillAt(ctx, r, runner, home, rec)
		if source != nil || !retry {
			return source
		}
	}
	return nil
}

// maxPrefills bounds the engines that one prompt is sent to for reading.
const maxPrefills = 2

func (d *Dispatcher) prefillAt(ctx context.Context, r *Request, runner, home *placement.Runner, rec *record) (source *KVSource, retry bool) {
	const part = "prefill"
	if !d.o.Placer.Has(runner.Instance.ID) {
		return nil, true
	}
	a := &Attempt{Request: r, Instance: runner.Instance, Left: d.left(r), PrefillOnly: true}
	if home != nil {
		a.FetchFrom = home.Instance.Addr
	} else if x := d.o.Placer.Decode(r.Service, r.Generation.Session(), nil); x != nil {
		a.FetchFrom = x.Instance.Addr
	}
	ctx, stop := d.patience(ctx, r)
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
		// Reading a prompt runs nothing, so a lost response breaks no promise. That
		// a deferred prompt isn't read in its time says nothing of the engine.
		if !r.Deferred || ctx.Err() == nil {
			d.noteBroken(ctx, runner)
		}
		rec.add(a.Instance, part, outcomeUnknown, took, err)
		return nil, true
	}
	resp.Finish()
	if resp.Head().Status != statusOK {
		runner.Refused()
		rec.add(a.Instance, part, outcomeNotRun, took, nil)
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
	rec.cached = &cached{a.Instance, handle}
	return &KVSource{Addr: a.Instance.Addr, Handle: handle}, false
}

// patience bounds the wait for a prompt that should be read in time: after it the
// engine counts as dark and another is tried.
func (d *Dispatcher) patience(ctx context.Context, r *Request) (context.Context, context.CancelFunc) {
	if r.Deferred || r.Route.Objective <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, patienceShare*r.Route.Objective)
}

// patienceShare times the objective is longer than a prompt of the largest size
// waits at an engine that reads in time, and leaves two thirds of the shortest
// deadline (2 s for an objective of 200 ms) for another engine.
const patienceShare = 3

const statusOK = 200
