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
const readShare = 0.5

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
	started := d.o.Clock.Now()
	done := runner.Begin()
	defer done()
	resp, err := d.o.Upstream.Send(ctx, a)
	took := d.o.Clock.Now().Sub(started)
	if err != nil {
		// Reading a prompt runs nothing, so a lost response breaks no promise.
		d.noteBroken(ctx, runner)
		rec.add(a.Instance, part, outcomeUnknown, took, err)
		return nil, true
	}
	body, err := readWhole(resp)
	if err != nil {
		resp.Cut()
		d.noteBroken(ctx, runner)
		rec.add(a.Instance, part, outcomeUnknown, took, err)
		return nil, true
	}
	resp.Finish()
	if resp.Head().Status != statusOK {
		runner.Failed()
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
	return &KVSource{Addr: a.Instance.Addr, Handle: handle}, false
}

const statusOK = 200
