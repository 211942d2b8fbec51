package forward

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// Advice is what runners ask of this host.
type Advice interface {
	// Limit is how many requests a second a runner takes of all hosts together, if it names
	// a limit.
	Limit(id state.InstanceID) (rate float64, limited bool)
	// Closed notes that a limit leaves nothing for this host until then. The placer doesn't
	// choose the runner meanwhile.
	Closed(id state.InstanceID, until time.Time)
	// RestsUntil is the end of the rest that a runner asked this host for; zero if there is
	// none now.
	RestsUntil(id state.InstanceID) time.Time
	// PausedUntil is RestsUntil, or the end of the trial that follows it.
	PausedUntil(id state.InstanceID) time.Time
	// Unproven reports whether a runner has taken nothing since it asked for rest, and Try asks
	// to send it something: one request at a time finds out.
	Unproven(id state.InstanceID) bool
	Try(id state.InstanceID) bool
}

const (
	// permitFor is how long after its time a permit may be used. A host that was held up or
	// suspended longer asks again: others have got what it didn't use.
	permitFor = 250 * time.Millisecond
	// leastClosed is the shortest time for which a used up limit closes a runner, so that a
	// request doesn't ask again at once.
	leastClosed = time.Millisecond
	// answerTime is kept of an objective for the answer: a short one and its way.
	answerTime = 50 * time.Millisecond
	// resumeWait is how long a stream that broke off waits for a runner that takes it.
	// Callers give one up after two seconds without an event.
	resumeWait = time.Second
)

// permitted reports whether a request may be sent to a runner, by the rest that is over and the
// limit that it names. It waits for the latter so long at most.
func (d *Dispatcher) permitted(ctx context.Context, i *state.Instance, part string, rec *record, wait time.Duration) bool {
	if !d.o.Advice.Try(i.ID) {
		rec.addStep(i, part, outcomeLimited, 0, nil)
		return false
	}
	rate, limited := d.o.Advice.Limit(i.ID)
	if !limited {
		return true
	}
	asked := d.o.Clock.Now()
	p := d.o.Gate.Permit(ctx, occupancy.PermitRequest{Runner: i.ID, Rate: rate, MaxWait: max(0, wait)})
	if !p.Granted {
		d.o.Advice.Closed(i.ID, d.o.Clock.Now().Add(max(p.Wait, leastClosed)))
		rec.addStep(i, part, outcomeLimited, 0, nil)
		return false
	}
	if p.Wait > 0 && d.o.Clock.Sleep(ctx, p.Wait) != nil {
		return false
	}
	return d.o.Clock.Now().Sub(asked) <= p.Wait+permitFor
}

// ErrRunnerCloses is the cause of a SendError that was withheld since its runner takes nothing
// any more.
var ErrRunnerCloses = errors.New("the runner leaves or wants rest; choose another")

// send is the only way of an attempt to a runner. The runner is looked at once more when the
// request is about to leave: a connection may have taken a while, or the host stood still.
func (d *Dispatcher) send(ctx context.Context, a *Attempt) (Response, error) {
	a.Permit = func() error {
		if !d.o.Placer.Accepts(a.Instance.ID) || d.rests(a.Instance) {
			return ErrRunnerCloses
		}
		return nil
	}
	return d.o.Upstream.Send(ctx, a)
}

// rests reports whether a runner wants nothing from this host now.
func (d *Dispatcher) rests(i *state.Instance) bool { return !d.o.Advice.RestsUntil(i.ID).IsZero() }

// part is what a runner does for the request after its prompt was read apart, if it is.
func (d *Dispatcher) part(r *Request, rec *record) placement.Phase {
	switch {
	case r.Generation == nil:
		return placement.PhaseCall
	case d.hasLongPrompt(r) && !rec.separatePrefill:
		return placement.PhasePrefill
	default:
		return placement.PhaseDecode
	}
}

// pick chooses a runner for the next sending. If all are closed it waits for the first that
// opens until by at most, and refuses the request otherwise.
func (d *Dispatcher) pick(ctx context.Context, r *Request, rec *record, by time.Time) (choice, error) {
	for {
		c, err := d.choose(ctx, r, rec)
		if err != nil {
			return c, err
		}
		if c.Runner == nil && !rec.restoreSkipped() {
			break
		}
		if c.Runner != nil && !d.passOver(c.Runner.Instance, rec) {
			return c, nil
		}
		c.giveBack()
	}
	runner, err := d.awaitOpening(ctx, r, rec, d.part(r, rec), by)
	return choice{Runner: runner, permitted: true}, err
}

// passOver keeps a request that a runner has turned away from one whose rest has only just
// ended, while there are others: it would use up its attempts on trials.
func (d *Dispatcher) passOver(i *state.Instance, rec *record) bool {
	if !rec.refused || !d.o.Advice.Unproven(i.ID) {
		return false
	}
	rec.exclude(i)
	rec.skipped = append(rec.skipped, i.ID)
	return true
}

// awaitOpening waits for a runner that takes such work, until by at most, and takes the permit
// that its limit asks for.
func (d *Dispatcher) awaitOpening(ctx context.Context, r *Request, rec *record, p placement.Phase, by time.Time) (*placement.Runner, error) {
	for {
		runner, at := d.o.Placer.EarliestAvailable(r.Service, p, rec.tried)
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
			continue
		}
		if d.permitted(ctx, runner.Instance, "wait", rec, by.Sub(d.o.Clock.Now())) {
			return runner, nil
		}
	}
}

// refuseUntil refuses a request that no runner takes before a time; first is the one that does
// then.
func (d *Dispatcher) refuseUntil(rec *record, first *state.Instance, at time.Time) error {
	wait := at.Sub(d.o.Clock.Now())
	rec.addStep(first, "wait", outcomeClosed, wait, nil)
	return &Refusal{Reason: ReasonBackpressure, NotRun: !rec.mayHaveRun, RetryAfter: d.addJitter(wait)}
}

// usefulBy is the last moment at which a request that waits for a runner is answered in time.
func (d *Dispatcher) usefulBy(r *Request) time.Time {
	if r.Route.Objective <= 0 {
		return r.Deadline.Add(-answerTime)
	}
	return r.ArrivedAt.Add(r.Route.Objective - answerTime)
}

// generates refuses a request that no engine takes in time after its prompt was read.
func (d *Dispatcher) generates(r *Request, rec *record) error {
	runner, at := d.o.Placer.EarliestAvailable(r.Service, placement.PhaseDecode, rec.tried)
	if runner == nil || !at.After(d.usefulBy(r)) {
		return nil
	}
	return d.refuseUntil(rec, runner.Instance, at)
}
