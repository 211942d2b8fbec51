package forward

import (
	"context"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// evacuation is the move of a run off a draining engine. Its fields are set before done is
// closed.
type evacuation struct {
	done chan struct{}
	// to is the engine at which the run resumes, and source its KV cache; both are nil if the
	// run couldn't be moved.
	to     *state.Instance
	source *KVSource
}

// evacuateTimeout bounds the move of a run: the KV caches of the longest runs transfer within a
// few milliseconds, and a run whose engine has a slow link may as well stay there until it
// ends.
const evacuateTimeout = 200 * time.Millisecond

// needsEvacuation reports whether an at-most-once run is at a draining engine. An engine drains
// for some seconds, or for two if it is a spot engine that is reclaimed, and cuts runs that
// take longer. Streams for the rostering application's short prompts take four seconds on
// average.
func (d *Dispatcher) needsEvacuation(a *Attempt) bool {
	return a.Request.runsAtMostOnce() && !d.o.Placer.Accepts(a.Instance.ID) && d.o.Placer.Runner(a.Instance.ID) != nil
}

// evacuate stops the run, has its KV cache copied to another engine and cuts the response, so
// that the stream resumes there. It is tried once per run: a run that can't be moved, or must
// not be sent once more, stays at its engine, and resumes from its backup if it is cut there. It reports whether the
// run was moved.
func (d *Dispatcher) evacuate(ctx context.Context, w *streamWatch) bool {
	a := w.attempt
	w.evacuationTried = true
	runner := d.o.Placer.ChooseForBackup(placement.Pool{Service: a.Request.Service, Version: a.Instance.Version}, a.Instance, append(slices.Clone(w.rec.tried), a.Instance.ID))
	return runner != nil && chargeRetriesTo(d.o.Budget.AllowMove, a.Request, w.rec) && d.move(ctx, w, runner.Instance)
}

// move stops the run and has it continue at another engine. It reports whether it does.
func (d *Dispatcher) move(ctx context.Context, w *streamWatch, to *state.Instance) bool {
	a, e := w.attempt, &evacuation{done: make(chan struct{})}
	w.evacuation.Store(e)
	defer close(e.done)
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	var backup *KVSource
	if a.Backup != nil && d.o.Placer.Accepts(a.Backup.ID) {
		backup = &KVSource{Instance: a.Backup, Handle: a.Request.ID}
	}
	at, source, err := d.stop(ctx, a.Request, a.Instance, to, backup)
	if err != nil {
		d.o.Log.Info("run not moved", "request_id", a.Request.ID, "instance", a.Instance.ID, "to", to.ID, "cause", err.Error())
		return false
	}
	e.to, e.source = at, source
	w.resp.Abort()
	return true
}

// awaitEvacuation returns the evacuation of the current run, waiting for one under way; nil if
// the run wasn't moved.
func (s *Stream) awaitEvacuation() *evacuation {
	if s.watch == nil {
		return nil
	}
	e := s.watch.evacuation.Load()
	if e == nil {
		return nil
	}
	select {
	case <-e.done:
	case <-s.ctx.Done():
		return nil
	}
	if e.source == nil {
		return nil
	}
	return e
}
