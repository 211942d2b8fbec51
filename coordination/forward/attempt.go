package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// attempt sends the request to one runner. It returns an answer, or the outcome of an attempt
// without one.
func (d *Dispatcher) attempt(ctx context.Context, a *Attempt, c choice, rec *record, source *KVSource) (*Answer, outcome) {
	runner, sent := c.Runner, c.begin()
	if !c.permitted && !d.acquirePermit(ctx, a.Instance, "run", rec, 0) {
		sent.end()
		return nil, outcomeLimited
	}
	rec.exclude(a.Instance)
	if !d.o.Placer.Accepts(a.Instance.ID) {
		sent.end()
		return nil, outcomeUnsent
	}
	if !d.confirmReachable(ctx, a, runner, rec) {
		sent.end()
		return nil, outcomeUnsent
	}
	a.Backup = d.backupEngine(a.Request, a.Instance, rec.tried)
	a.TimeLeft = d.timeLeft(a.Request)
	started := d.o.Clock.Now()
	attemptCtx, firstWatch := d.watchFirstEvent(ctx, a, rec, source)
	resp, err := d.send(attemptCtx, a, rec)
	took := d.o.Clock.Now().Sub(started)
	if err != nil {
		result := d.noteSendError(ctx, a, runner, rec, "run", took, err)
		sent.end()
		return d.endUnbegun(a, firstWatch, rec, result)
	}
	rec.countAttempt()
	head := resp.Head()
	if head.EventStream && head.Status < firstErrorStatus && !head.NotRun {
		rec.mayHaveRun = true
		return d.openStream(ctx, a, runner, rec, resp, sent, started, firstWatch)
	}
	if head.NotRun {
		resp.Finish()
		sent.end()
		rec.refused = true
		d.noteRefusal(runner, head)
		rec.addStep(a.Instance, "run", outcomeNotRun, took, &statusError{head.Status})
		return d.endUnbegun(a, firstWatch, rec, outcomeNotRun)
	}
	if other := firstWatch.finish(rec, true); other != nil {
		resp.Abort()
		sent.end()
		firstWatch.cancel()
		rec.addStep(a.Instance, "run", outcomeUnknown, took, errReplaced)
		return other, outcomeAnswered
	}
	rec.mayHaveRun = true
	d.noteStarted(a.Request, rec, started)
	return d.readAnswer(ctx, plainRun{attempt: a, runner: runner, resp: resp, sent: sent, started: started, cancel: firstWatch.cancel}, rec)
}

// endUnbegun ends an attempt that got no answer. It returns the answer that the watch has brought instead, if there is
// one.
func (d *Dispatcher) endUnbegun(a *Attempt, watch *firstEventWatch, rec *record, result outcome) (*Answer, outcome) {
	other := watch.finish(rec, false)
	watch.cancel()
	if other == nil {
		return nil, result
	}
	return other, outcomeAnswered
}

// firstErrorStatus is the lowest HTTP status that isn't a success.
const firstErrorStatus = 300

var errUnsigned = errors.New("the response has no signature of its runner; it was dropped")

// noteSendError records an attempt that got no response, and returns its outcome.
func (d *Dispatcher) noteSendError(ctx context.Context, a *Attempt, runner *placement.Runner, rec *record, operation string, took time.Duration, err error) outcome {
	sendErr := asSendError(err)
	if !sendErr.Withheld {
		d.noteBrokenConnection(ctx, runner)
	}
	if !sendErr.Sent {
		rec.addStep(a.Instance, operation, outcomeUnsent, took, err)
		return outcomeUnsent
	}
	rec.countAttempt()
	rec.mayHaveRun = true
	if a.Request.Generation == nil {
		// A plain service starts a request at once, so that only the answer was lost. An engine may
		// have queued the request without computing a token.
		d.noteStarted(a.Request, rec, d.o.Clock.Now().Add(-took))
	}
	d.reportSuspect(ctx, a.Request, runner, rec, took, false)
	rec.addStep(a.Instance, operation, outcomeUnknown, took, err)
	return outcomeUnknown
}

// noteBrokenConnection counts a broken connection against the runner, unless the caller
// cancelled the request.
func (d *Dispatcher) noteBrokenConnection(ctx context.Context, runner *placement.Runner) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		runner.RecordConnectionFailure()
		d.o.Outliers.ReportSilent(runner.Instance.ID)
	}
}

const (
	// crashNoticeDelay bounds the time until hosts learn that a runner has ended: three round
	// trips between failure domains.
	crashNoticeDelay = 10 * time.Millisecond
)

// reportSuspect reports a request that broke off at the runner, which may have crashed because
// of it. took is the time since it was sent; answering is set if part of the answer had
// arrived. Nothing is reported if this host or the caller ended the attempt. Nor is a retry that
// broke off within crashNoticeDelay: if two runners end together, the request may have been
// retried at the second one before its end was known.
func (d *Dispatcher) reportSuspect(ctx context.Context, r *Request, runner *placement.Runner, rec *record, took time.Duration, answering bool) {
	if ctx.Err() != nil || (took < crashNoticeDelay && rec.brokeOff()) {
		return
	}
	d.o.Crashes.ReportBroken(runner.Instance, quarantine.Suspect{
		Digest: rec.digests[0], Parts: rec.digests[1:], RequestID: r.ID, SentAt: d.o.Clock.Now().Add(-took), LongRunning: answering && took >= quarantine.LongRunningAfter,
	})
}

// reportAnswered reports a request whose answer is complete, which clears it of the suspicion that it crashes its
// runners. If the answer ended with its connection the runner may have crashed with it, so a suspect is cleared
// only if the runner answers a probe afterwards.
func (d *Dispatcher) reportAnswered(ctx context.Context, i *state.Instance, rec *record) {
	if rec.lastEnd == EndFramed {
		d.reportInnocent(rec.digests)
		return
	}
	if !slices.ContainsFunc(rec.digests, d.o.Quarantine.Suspected) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		if d.alive(ctx, i) {
			d.reportInnocent(rec.digests)
		}
	}()
}

// reportInnocent reports digests that a runner has outlived.
func (d *Dispatcher) reportInnocent(digests []quarantine.Digest) {
	for _, digest := range digests {
		d.o.Quarantine.ReportAnswered(digest)
	}
}

// noteRefusal counts a refusal against the runner, unless the runner asked for a backoff: then it
// hasn't failed, and isn't chosen until the backoff ends. A runner that a request was misdirected
// to is also reported as silent, so that it is probed: the intended run may have ended, and
// another one may use its address.
func (d *Dispatcher) noteRefusal(runner *placement.Runner, head *Head) {
	if d.inBackoff(runner.Instance) {
		return
	}
	runner.RecordRefusal()
	if head.Status == statusMisdirected {
		d.o.Outliers.ReportSilent(runner.Instance.ID)
	}
}

// statusMisdirected is the status of a runner that isn't the intended one, or has another role.
const statusMisdirected = 421

// responseReader makes a Response an io.Reader.
type responseReader struct{ Response }
