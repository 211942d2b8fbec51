package forward

import (
	"context"
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// evacuation is the moving of a run off an engine that leaves. The fields are set before
// done is closed.
type evacuation struct {
	done chan struct{}
	// to is the engine at which the run goes on and source its memory; nil if it couldn't be
	// moved.
	to     *state.Instance
	source *KVSource
}

// evacuateTimeout bounds the moving of a run: the memory of the longest ones moves within a
// few milliseconds, and with an engine whose link is slow the run may as well stay until
// its end.
const evacuateTimeout = 200 * time.Millisecond

// leaves reports whether a run that may run once is at an engine that is about to go: it
// drains for some seconds, or two when it is taken back, and cuts what takes longer. Streams
// of rostering's questions take four seconds at the mean.
func (d *Dispatcher) leaves(a *Attempt) bool {
	return a.Request.runsOnce() && !d.o.Placer.Accepts(a.Instance.ID) && d.o.Placer.Runner(a.Instance.ID) != nil
}

// evacuate stops the run, has its memory copied to another engine and cuts the response, so
// that the stream goes on there. It is tried once for each run: one that can't be moved, or may
// not be sent once more, stays where it is, and goes on from its backup if it is cut there.
func (d *Dispatcher) evacuate(ctx context.Context, w *watch, a *Attempt, resp Response) {
	e := &evacuation{done: make(chan struct{})}
	if !w.evacuated.CompareAndSwap(nil, e) {
		return
	}
	defer close(e.done)
	runner := d.o.Placer.ChooseForBackup(a.Request.Service, a.Instance, slices.Concat(w.tried, []state.InstanceID{a.Instance.ID}))
	if runner == nil || !d.o.Budget.AllowMove(a.Request.Service) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	handle, err := d.o.Upstream.Move(ctx, a.Instance, a.Request.ID, runner.Instance)
	if err != nil || handle == "" {
		d.o.Log.Info("run not moved off a leaving engine", "request_id", a.Request.ID, "instance", a.Instance.ID, "to", runner.Instance.ID, "cause", errText(err))
		return
	}
	e.to, e.source = runner.Instance, &KVSource{Instance: a.Instance, Handle: handle}
	resp.Abort()
}

func errText(err error) string {
	if err == nil {
		return "the engine has no such run"
	}
	return err.Error()
}

// moved returns where the present run was moved to, waiting for a move under way; nil if it
// wasn't.
func (s *Stream) moved() *evacuation {
	if s.watch == nil {
		return nil
	}
	e := s.watch.evacuated.Load()
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
