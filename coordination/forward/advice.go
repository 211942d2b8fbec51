package forward

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// Advice holds the backpressure that runners request in their responses.
type Advice interface {
	// Limit is the rate that a runner accepts from all hosts together, in requests per second.
	// limited is false if the runner names no limit.
	Limit(id state.InstanceID) (rate float64, limited bool)
	// CloseUntil records that a runner's limit leaves no capacity for this host until the given
	// time. The placer doesn't choose the runner before then.
	CloseUntil(id state.InstanceID, until time.Time)
	// BackoffUntil is the end of the backoff that a runner requested from this host; zero if none
	// is in force.
	BackoffUntil(id state.InstanceID) time.Time
	// PausedUntil is BackoffUntil or, after the backoff, the end of the trial request that
	// follows it.
	PausedUntil(id state.InstanceID) time.Time
	// AwaitsTrial reports whether a runner has accepted no request since it requested a backoff.
	// AllowTrial reports whether a request may be sent to it now: such a runner gets one trial
	// request at a time.
	AwaitsTrial(id state.InstanceID) bool
	AllowTrial(id state.InstanceID) bool
}

const (
	// permitValidity is how long after its scheduled time a permit may be used. A host that was
	// paused or suspended for longer requests a new one, since the unused capacity has gone to
	// others.
	permitValidity = 250 * time.Millisecond
	// minLimitPause is the shortest time for which an exhausted limit closes a runner, so that
	// a request doesn't retry immediately.
	minLimitPause = time.Millisecond
	// answerReserve is the part of an objective that is kept for a short answer and its
	// transmission.
	answerReserve = 50 * time.Millisecond
	// resumeWait is how long a broken stream waits for a runner that resumes it. Callers
	// abandon a stream after two seconds without an event.
	resumeWait = time.Second
)

// acquirePermit reports whether a request may be sent to a runner: the runner's backoff is
// over, and its limit, if there is one, grants a permit within wait. part names the step in the
// request's record.
func (d *Dispatcher) acquirePermit(ctx context.Context, i *state.Instance, part string, rec *record, wait time.Duration) bool {
	if !d.o.Advice.AllowTrial(i.ID) {
		rec.addStep(i, part, outcomeLimited, 0, nil)
		return false
	}
	rate, limited := d.o.Advice.Limit(i.ID)
	if !limited {
		return true
	}
	requestedAt := d.o.Clock.Now()
	p := d.o.Gate.Permit(ctx, occupancy.PermitRequest{Runner: i.ID, Rate: rate, MaxWait: max(0, wait)})
	if !p.Granted {
		d.o.Advice.CloseUntil(i.ID, d.o.Clock.Now().Add(max(p.Wait, minLimitPause)))
		rec.addStep(i, part, outcomeLimited, 0, nil)
		return false
	}
	if p.Wait > 0 && d.o.Clock.Sleep(ctx, p.Wait) != nil {
		return false
	}
	return d.o.Clock.Now().Sub(requestedAt) <= p.Wait+permitValidity
}

// ErrRunnerClosed is the cause of a SendError for a request that was withheld because its
// runner leaves or requested a backoff.
var ErrRunnerClosed = errors.New("the runner leaves or wants rest; choose another")

// errOtherVersion is the cause of a SendError for a stream that was withheld from a runner of another version.
var errOtherVersion = errors.New("the runner's software has another version than the one that began the stream; choose a runner of that version")

// errUnnotedVersion is the cause of a SendError for a stream that was withheld from a runner whose version has lost its note.
var errUnnotedVersion = errors.New("the store has no note of the version of the runner's software; choose a runner of a noted version")

// send is the only path from an attempt to a runner. The runner's state is checked again when
// the request is about to leave: connecting may have taken a while, or the host may have been
// paused.
func (d *Dispatcher) send(ctx context.Context, a *Attempt, rec *record) (Response, error) {
	a.Permit = func() error {
		if !d.o.Placer.Accepts(a.Instance.ID) || d.inBackoff(a.Instance) {
			return ErrRunnerClosed
		}
		if !a.PrefillOnly && !rec.mayRunAt(a.Instance) {
			return errOtherVersion
		}
		if !a.PrefillOnly && !d.mayBeginAt(a.Instance, rec) {
			return errUnnotedVersion
		}
		if a.Instance.Unconfirmed {
			d.o.Observer.SentToUnconfirmed(a.Request.Service)
		}
		return nil
	}
	resp, err := d.o.Upstream.Send(ctx, a)
	if a.Tunnel != "" {
		rec.tunnels = append(rec.tunnels, a.Tunnel)
	}
	return resp, err
}

// inBackoff reports whether a backoff that the runner requested from this host is in force.
func (d *Dispatcher) inBackoff(i *state.Instance) bool {
	return !d.o.Advice.BackoffUntil(i.ID).IsZero()
}

// remainingPart is the part of the request that a runner still has to do, after the separate
// prefill if there is one.
func (d *Dispatcher) remainingPart(r *Request, rec *record) placement.Phase {
	switch {
	case r.Generation == nil:
		return placement.PhaseCall
	case d.hasLongPrompt(r) && !rec.separatePrefill:
		return placement.PhasePrefill
	default:
		return placement.PhaseDecode
	}
}

// pickRunner chooses a runner for the next attempt. If all are closed, it waits for the first
// that opens, until by at the latest, and otherwise refuses the request.
func (d *Dispatcher) pickRunner(ctx context.Context, r *Request, rec *record, by time.Time) (choice, error) {
	for {
		c, err := d.choose(ctx, r, rec)
		if err != nil {
			return c, err
		}
		if c.Runner == nil && !rec.restoreSkipped() {
			break
		}
		if c.Runner != nil && !d.skipUnproven(c.Runner.Instance, rec) {
			return c, nil
		}
		c.release()
	}
	runner, err := d.awaitRunner(ctx, r, rec, d.remainingPart(r, rec), by)
	return choice{Runner: runner, permitted: true}, err
}

// skipUnproven excludes a runner whose backoff has only just ended, for a request that a runner
// has already rejected, while there are other runners: such a request would use up its attempts
// on trials.
func (d *Dispatcher) skipUnproven(i *state.Instance, rec *record) bool {
	if !rec.refused || !d.o.Advice.AwaitsTrial(i.ID) {
		return false
	}
	rec.exclude(i)
	rec.skipped = append(rec.skipped, i.ID)
	return true
}

// awaitRunner waits for a runner that accepts such work, until by at the latest, and acquires
// the permit that the runner's limit requires.
func (d *Dispatcher) awaitRunner(ctx context.Context, r *Request, rec *record, p placement.Phase, by time.Time) (*placement.Runner, error) {
	for {
		pool := rec.pool(r)
		if p == placement.PhasePrefill {
			pool = rec.prefillPool(r)
		}
		runner, at := d.o.Placer.EarliestAvailable(pool, p, rec.tried)
		if runner == nil {
			return nil, d.refuse(r, rec, ReasonNoRunner)
		}
		if at.After(by) {
			return nil, d.refuseUntil(rec, runner.Instance, at)
		}
		if err := d.checkDeadline(ctx, r, rec); err != nil {
			return nil, err
		}
		if pause := d.o.Advice.PausedUntil(runner.Instance.ID); !pause.IsZero() {
			wait := pause.Sub(d.o.Clock.Now())
			rec.addStep(runner.Instance, "wait", outcomeClosed, wait, nil)
			if d.o.Clock.Sleep(ctx, wait) != nil {
				return nil, d.checkDeadline(ctx, r, rec)
			}
			d.restrictToNoted(ctx, r, rec)
			continue
		}
		if d.acquirePermit(ctx, runner.Instance, "wait", rec, by.Sub(d.o.Clock.Now())) {
			return runner, nil
		}
	}
}

// refuseUntil refuses a request that no runner accepts before at. first is the runner that
// accepts it then.
func (d *Dispatcher) refuseUntil(rec *record, first *state.Instance, at time.Time) error {
	wait := at.Sub(d.o.Clock.Now())
	rec.addStep(first, "wait", outcomeClosed, wait, nil)
	return &Refusal{Reason: ReasonBackpressure, NotRun: !rec.mayHaveRun, RetryAfter: d.addJitter(wait)}
}

// startDeadline is the latest time at which a request that waits for a runner can be sent and
// still be answered in time.
func (d *Dispatcher) startDeadline(r *Request) time.Time {
	if r.Route.Objective <= 0 {
		return r.Deadline.Add(-answerReserve)
	}
	return r.ArrivedAt.Add(r.Route.Objective - answerReserve)
}

// checkDecodeInTime refuses a request that no engine would decode in time after its prefill.
func (d *Dispatcher) checkDecodeInTime(r *Request, rec *record) error {
	runner, at := d.o.Placer.EarliestAvailable(rec.pool(r), placement.PhaseDecode, rec.tried)
	if runner == nil || !at.After(d.startDeadline(r)) {
		return nil
	}
	return d.refuseUntil(rec, runner.Instance, at)
}
