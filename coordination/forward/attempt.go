package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/quarantine"
)

// attempt sends the request to one runner. It returns an answer, or how the attempt
// ended without one.
func (d *Dispatcher) attempt(ctx context.Context, a *Attempt, c choice, rec *record) (*Answer, outcome) {
	runner, sent := c.Runner, c.begin()
	if !c.permitted && !d.permitted(ctx, a.Instance, "run", rec, 0) {
		sent.end()
		return nil, outcomeLimited
	}
	rec.exclude(a.Instance)
	if !d.o.Placer.Has(a.Instance.ID) {
		sent.end()
		return nil, outcomeUnsent
	}
	if !d.reached(ctx, a, runner, rec) {
		sent.end()
		return nil, outcomeUnsent
	}
	a.Backup = d.backupFor(a.Request, a.Instance, rec.tried)
	a.Left = d.left(a.Request)
	started := d.o.Clock.Now()
	running, first := d.awaitFirst(ctx, a, rec)
	resp, err := d.send(running, a)
	took := d.o.Clock.Now().Sub(started)
	if err != nil {
		first.cancel()
		sent.end()
		return nil, d.sendFailed(ctx, a, runner, rec, "run", took, err)
	}
	rec.noteRun()
	head := resp.Head()
	if head.Events && head.Status < statusFailed && !head.NotRun {
		rec.mayHaveRun = true
		return d.openStream(ctx, a, runner, rec, resp, sent, started, first)
	}
	defer first.cancel()
	if head.NotRun {
		drain(resp)
		sent.end()
		rec.turnedAway = true
		d.noteRefused(runner, head)
		rec.add(a.Instance, "run", outcomeNotRun, took, &statusError{head.Status})
		return nil, outcomeNotRun
	}
	rec.mayHaveRun = true
	d.noteBegan(a.Request, rec, started)
	defer sent.end()
	body, err := readWhole(resp)
	took = d.o.Clock.Now().Sub(started)
	if err == nil && head.Status < statusFailed && !head.Sealed {
		err = errUnsealed
	}
	if err != nil {
		resp.Cut()
		d.noteBroken(ctx, runner)
		d.noteWork(ctx, a.Request, runner, rec, took, true)
		rec.add(a.Instance, "run", outcomeUnknown, took, err)
		return nil, outcomeUnknown
	}
	resp.Finish()
	sent.answered()
	if head.Status >= 500 {
		runner.Failed()
		rec.add(a.Instance, "run", outcomeFailed, took, nil)
	} else {
		runner.Answered(took)
		d.o.Quarantine.ReportAnswered(rec.digest)
		rec.add(a.Instance, "run", outcomeAnswered, took, nil)
	}
	return &Answer{Head: head, Body: body}, outcomeAnswered
}

// statusFailed is the first status that is no success.
const statusFailed = 300

var errUnsealed = errors.New("the response has no signature of its runner; it was dropped")

// sendFailed notes an attempt without a response.
func (d *Dispatcher) sendFailed(ctx context.Context, a *Attempt, runner *placement.Runner, rec *record, part string, took time.Duration, err error) outcome {
	failed := sendError(err)
	if !failed.Withheld {
		d.noteBroken(ctx, runner)
	}
	if !failed.Sent {
		rec.add(a.Instance, part, outcomeUnsent, took, err)
		return outcomeUnsent
	}
	rec.noteRun()
	rec.mayHaveRun = true
	if a.Request.Generation == nil {
		// A plain service begins at once, so that its answer is what was lost; an engine may
		// have held the request for long without a token.
		d.noteBegan(a.Request, rec, d.o.Clock.Now().Add(-took))
	}
	d.noteWork(ctx, a.Request, runner, rec, took, false)
	rec.add(a.Instance, part, outcomeUnknown, took, err)
	return outcomeUnknown
}

// noteBroken counts a broken connection against the runner, unless the caller
// broke it off.
func (d *Dispatcher) noteBroken(ctx context.Context, runner *placement.Runner) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		runner.Broken()
		d.o.Outliers.Silent(runner.Instance.ID)
	}
}

const (
	// movedWithin is the time in which the news that a runner has ended may still be on its
	// way: three round trips between failure domains.
	movedWithin = 10 * time.Millisecond
)

// noteWork notes that the request broke off at the runner, which may have crashed under
// it, so long after it was sent; answering says that a part of the answer had arrived. That
// this host or the caller broke it off says nothing, nor that one of two runners which ended
// together was asked after the other, before its end was known.
func (d *Dispatcher) noteWork(ctx context.Context, r *Request, runner *placement.Runner, rec *record, took time.Duration, answering bool) {
	if ctx.Err() != nil || (took < movedWithin && rec.broke()) {
		return
	}
	d.o.Crashes.Broke(runner.Instance, quarantine.Suspect{
		Digest: rec.digest, RequestID: r.ID, SentAt: d.o.Clock.Now().Add(-took), LongRunning: answering && took >= quarantine.LongRunningAfter,
	})
}

// noteRefused counts a refusal against the runner, unless it asked for rest: it is passed over
// until then, and has not failed. One that is not the run that was meant is asked for: it may be
// gone, with another at its address.
func (d *Dispatcher) noteRefused(runner *placement.Runner, head *Head) {
	if d.rests(runner.Instance) {
		return
	}
	runner.Refused()
	if head.Status == statusMisdirected {
		d.o.Outliers.Silent(runner.Instance.ID)
	}
}

// statusMisdirected is the answer of a runner that isn't the one that was meant, or has
// another role.
const statusMisdirected = 421

// readWhole reads a body to its end.
func readWhole(resp Response) ([]byte, error) {
	return io.ReadAll(readerOf{resp})
}

// readerOf is a Response as an io.Reader.
type readerOf struct{ Response }

// drain ends a response whose body nobody wants.
func drain(resp Response) {
	if _, err := io.Copy(io.Discard, readerOf{resp}); err != nil {
		resp.Cut()
		return
	}
	resp.Finish()
}
