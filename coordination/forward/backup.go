package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

const (
	// resumeReserve is the part of a promised pause that is kept for probing a silent engine
	// and for the first event from another one.
	resumeReserve = probeTimeout + 20*time.Millisecond
	// soundSilence is how long a sound engine may be silent and work on. A silent engine can't be asked to stop a run, so that another
	// one that takes the run earlier would run it beside the first. Callers wait for 2 s at least.
	soundSilence = time.Second
	// minSilence is the shortest silence after which an engine is probed; it is above the step
	// times of busy engines (5 to 60 ms).
	minSilence = 80 * time.Millisecond
	// maxMoves bounds how often one run is resumed from a backup.
	maxMoves = 2
	// backupPromptsPerSlot is how many prompts of mean size must fit into an engine's memory
	// for each slot before backups are made. With less, memory runs out before the slots do:
	// backups evict running requests, and more streams are late or lost than backups save.
	backupPromptsPerSlot = 2
	// sizeGain is the weight of a size in the moving mean of its service.
	sizeGain = 0.02
)

// sizeMeans holds the moving mean of sizes by service. The zero value is ready to use.
type sizeMeans struct {
	mu   sync.Mutex
	mean map[string]float64 // by service
}

func (s *sizeMeans) observe(service string, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == nil {
		s.mean = map[string]float64{}
	}
	mean, known := s.mean[service]
	if !known {
		mean = float64(size)
	}
	s.mean[service] = mean + sizeGain*(float64(size)-mean)
}

func (s *sizeMeans) of(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mean[service]
}

// hasBackupMemory reports whether the service's engines have memory to spare for backups.
func (d *Dispatcher) hasBackupMemory(r *Request) bool {
	e := r.Engine
	return e != nil && e.Backups && e.Slots > 0 && float64(e.KVTokens) >= backupPromptsPerSlot*d.sizes.of(r.Service)*float64(e.Slots)
}

// backupEngine is the engine to which the KV cache of an at-most-once run is copied, so that
// the run can resume there if its engine is lost; nil if there is none.
func (d *Dispatcher) backupEngine(r *Request, at *state.Instance, tried []state.InstanceID) *state.Instance {
	if !r.runsAtMostOnce() || !d.hasBackupMemory(r) {
		return nil
	}
	runner := d.o.Placer.ChooseForBackup(placement.Pool{Service: r.Service, Version: at.Version}, at, append(slices.Clone(tried), at.ID))
	if runner == nil {
		return nil
	}
	return runner.Instance
}

// maxSilence is how long an engine may send nothing before it is probed.
func maxSilence(r *Request) time.Duration { return max(minSilence, r.Route.EventGap-resumeReserve) }

// streamWatch watches the run of a stream that can continue elsewhere. If its engine is silent for longer than a sound one and doesn't
// answer a probe, the run is continued at another engine.
type streamWatch struct {
	d       *Dispatcher
	attempt *Attempt
	runner  *placement.Runner
	resp    Response
	cancel  context.CancelFunc
	// done is closed once the watch has ended. rec is its own until then.
	done chan struct{}
	rec  *record
	// mayRepeat says that the request may be repeated at another engine; otherwise it continues from its backup.
	mayRepeat bool
	// evacuation is the last move of the run to another engine; nil if none was tried. evacuationTried is set once the
	// run was to be moved off a draining engine.
	evacuation      atomic.Pointer[evacuation]
	evacuationTried bool

	takeovers takeovers
	// successor is the run that has taken the place of this one. It is guarded by the lock of takeovers, as are
	// lastReceivedAt and lastID, of the last bytes and the last whole event that were received.
	successor      *run
	lastReceivedAt time.Time
	lastID         string
	// over is set once the stream is complete.
	over bool
	// moves counts the attempts to continue from the backup.
	moves int
}

// startWatch starts to watch the current run of the stream, if it can continue elsewhere.
func (s *Stream) startWatch() {
	s.stopWatch()
	r := s.a.Request
	mayRepeat := r.Generation != nil && r.Route.Repeatable() && s.rec.attempts < r.Route.MaxAttempts
	if s.eof || s.a.Backup == nil && !mayRepeat {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	w := &streamWatch{
		d: s.d, attempt: s.a, runner: s.runner, resp: s.resp, cancel: cancel, done: make(chan struct{}), rec: s.rec.fork(),
		mayRepeat: mayRepeat, lastReceivedAt: s.d.o.Clock.Now(), lastID: s.lastID,
	}
	s.watch = w
	go func() {
		defer close(w.done)
		w.supervise(ctx, s.ctx)
	}()
}

// stopWatch ends the watch and waits for it. A run that was to continue the stream and hasn't been adopted is aborted.
func (s *Stream) stopWatch() {
	w := s.watch
	if w == nil {
		return
	}
	s.watch = nil
	w.cancel()
	<-w.done
	s.rec.merge(w.rec, w.takeovers.replaced)
	if w.successor != nil {
		w.successor.abort()
	}
}

// takeSuccessor returns the run that has taken the place of the current one, waiting for a takeover in progress; nil if
// there is none.
func (s *Stream) takeSuccessor() *run {
	w := s.watch
	if w == nil {
		return nil
	}
	w.takeovers.await()
	w.takeovers.mu.Lock()
	defer w.takeovers.mu.Unlock()
	next := w.successor
	w.successor = nil
	return next
}

// receive takes what the run has brought by calling take, which reports whether the run goes on. It reports false if
// another run has taken its place.
func (w *streamWatch) receive(s *Stream, take func() bool) bool {
	return w.takeovers.goOn(func() bool {
		goesOn := take()
		if goesOn {
			w.runner.MarkResponsive()
			w.lastReceivedAt = w.d.o.Clock.Now()
		}
		w.lastID, w.over = s.lastID, s.eof
		return goesOn
	})
}

// silentFor returns how long the run has brought nothing.
func (w *streamWatch) silentFor() time.Duration {
	w.takeovers.mu.Lock()
	defer w.takeovers.mu.Unlock()
	return w.d.o.Clock.Now().Sub(w.lastReceivedAt)
}

// supervise evacuates the run from a draining engine, and has it continued elsewhere if its engine is silent for longer than a
// sound one and doesn't answer a probe, or if the link to it is lost. The context of a continued run is streamCtx.
func (w *streamWatch) supervise(ctx, streamCtx context.Context) {
	limit, kept := maxSilence(w.attempt.Request), false
	for ctx.Err() == nil {
		if !w.evacuationTried && w.d.needsEvacuation(w.attempt) {
			if w.d.evacuate(ctx, w) {
				return
			}
		}
		if left := limit - w.silentFor(); left > 0 {
			_ = w.d.o.Clock.Sleep(ctx, left)
			continue
		}
		silent := !w.runner.RespondedWithin(probeTimeout) && !w.d.alive(ctx, w.attempt.Instance)
		if ctx.Err() != nil {
			return
		}
		// An engine whose link is lost answers by another path, but not over this connection.
		lost := w.resp.LinkLost()
		if left := soundSilence - w.silentFor(); !lost && left > 0 {
			_ = w.d.o.Clock.Sleep(ctx, min(limit, left))
			continue
		}
		if silent || lost {
			if w.replace(ctx, streamCtx, limit, silent) {
				return
			}
			if !kept {
				kept = true
				w.d.o.Observer.SilentRun(w.attempt.Request.Service, SilentRunKept)
				w.d.o.Log.Info("run of a silent engine kept", "request_id", w.attempt.Request.ID, "instance", w.attempt.Instance.ID, "silent_for", w.silentFor(), "link_lost", lost, "sendings", w.rec.LogValue())
			}
		}
		_ = w.d.o.Clock.Sleep(ctx, limit)
	}
}

// replace has the run continued elsewhere, and reports whether the watch ends by that. silent says that the engine
// doesn't answer probes.
func (w *streamWatch) replace(ctx, streamCtx context.Context, limit time.Duration, silent bool) bool {
	if !w.mayRepeat && !silent {
		return w.stopLost(ctx)
	}
	c := continuation{d: w.d, rec: w.rec, from: w.attempt}
	// The other run outlives the watch if it takes the place of this one.
	streamCtx, cancel := context.WithCancel(streamCtx)
	unlink := context.AfterFunc(ctx, cancel)
	takeoverCtx, t := w.takeovers.begin(streamCtx, func() bool {
		c.lastID = w.lastID
		return c.lastID != "" && !w.over && w.d.o.Clock.Now().Sub(w.lastReceivedAt) >= limit
	})
	if t == nil {
		unlink()
		cancel()
		return false
	}
	next := w.continueRun(takeoverCtx, c)
	ready := false
	if next != nil {
		next.cancel = joinCancels(next.cancel, cancel)
		next.readAhead(w.d.o.Buffers.MaxAnswerBytes())
		ready = next.awaitFirstEvent(takeoverCtx, w.d.o.Clock)
	}
	ready = unlink() && ready
	if w.takeovers.end(t, ready, func() { w.successor = next }) {
		w.noteReplaced(next)
		w.resp.Abort()
		return true
	}
	if next != nil {
		w.rec.addStep(next.attempt.Instance, "resume", outcomeAborted, w.d.o.Clock.Now().Sub(next.started), takeoverCtx.Err())
		next.abort()
	}
	cancel()
	return false
}

// noteReplaced records that another run is about to take the place of this one.
func (w *streamWatch) noteReplaced(next *run) {
	r := w.attempt.Request
	w.d.o.Observer.SilentRun(r.Service, SilentRunReplaced)
	w.d.o.Log.Info("run of a silent engine replaced", "request_id", r.ID, "instance", w.attempt.Instance.ID, "by", next.attempt.Instance.ID, "silent_for", w.silentFor())
}

// joinCancels returns a function that calls both.
func joinCancels(a, b context.CancelFunc) context.CancelFunc {
	return func() {
		a()
		b()
	}
}

// continueRun starts the run that is to replace this one; nil if no engine accepts it.
func (w *streamWatch) continueRun(ctx context.Context, c continuation) *run {
	if w.mayRepeat {
		return c.elsewhere(ctx)
	}
	backup := w.attempt.Backup
	if w.moves >= maxMoves || !w.mayMove() {
		return nil
	}
	w.moves++
	return c.fromCopy(ctx, backup, &KVSource{Instance: backup, Handle: w.attempt.Request.ID})
}

// mayMove reports whether an at-most-once run may be sent to the engine that has its backup, and takes the move from
// the budget.
func (w *streamWatch) mayMove() bool {
	r := w.attempt.Request
	return w.rec.moves < maxMoves && w.d.o.Placer.Accepts(w.attempt.Backup.ID) && w.d.checkQuarantine(r, w.rec) == nil && w.d.timeLeft(r) >= minRetryTime && chargeRetriesTo(w.d.o.Budget.AllowMove, r, w.rec)
}

// stopLost moves an at-most-once run whose engine answers by another path. The run is kept if the engine doesn't stop it.
func (w *streamWatch) stopLost(ctx context.Context) bool {
	w.takeovers.mu.Lock()
	begun := w.lastID != ""
	w.takeovers.mu.Unlock()
	if !begun || w.attempt.Backup == nil || w.moves >= maxMoves || !w.mayMove() {
		return false
	}
	w.moves++
	return w.d.move(ctx, w, w.attempt.Backup)
}

// resumeFromBackup resumes an at-most-once run at the engine that has its backup. The former
// engine is asked to stop the run: an engine that doesn't answer at all is lost with its run,
// and one that has no such run has ended it. After any other answer the run may still be active
// there, and isn't resumed.
func (s *Stream) resumeFromBackup(cause error) bool {
	r, from, backup := s.a.Request, s.a, s.a.Backup
	moved := s.awaitEvacuation()
	s.closeRun()
	if moved != nil {
		return s.resumeAfterMove(moved)
	}
	s.noteBrokenRun()
	s.rec.addStep(from.Instance, "run", outcomeUnknown, s.d.o.Clock.Now().Sub(s.started), cause)
	if backup == nil || s.lastID == "" || s.rec.moves >= maxMoves || !s.d.o.Placer.Accepts(backup.ID) {
		return false
	}
	if !s.mayResume() {
		return false
	}
	s.rec.moves++
	at, source := s.stopRun(from.Instance, &KVSource{Instance: backup, Handle: r.ID})
	return at != nil && s.adopt(s.continuation().fromCopy(s.ctx, at, source))
}

// mayResume reports whether the request may be sent to one more engine, and takes the move from
// the budget.
func (s *Stream) mayResume() bool {
	r := s.a.Request
	return s.d.checkQuarantine(r, s.rec) == nil && s.d.checkDeadline(s.ctx, r, s.rec) == nil && chargeRetriesTo(s.d.o.Budget.AllowMove, r, s.rec)
}

// resumeAfterMove resumes the run at the engine that it was moved to.
func (s *Stream) resumeAfterMove(e *evacuation) bool {
	s.rec.addStep(s.a.Instance, "run", outcomeMoved, s.d.o.Clock.Now().Sub(s.started), nil)
	return s.lastID != "" && s.mayResume() && s.adopt(s.continuation().fromCopy(s.ctx, e.to, e.source))
}

// stopRun asks the former engine of a run that broke off to stop it, and returns the engine at which it continues and
// where its KV cache is; nil if the run may still be active.
func (s *Stream) stopRun(from *state.Instance, backup *KVSource) (at *state.Instance, source *KVSource) {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	started := s.d.o.Clock.Now()
	at, source, err := s.d.stop(ctx, s.a.Request, from, backup.Instance, backup)
	if errors.Is(err, errNoSuchRun) || (err != nil && runnerUnresponsive(err) && !s.d.alive(s.ctx, from)) {
		return backup.Instance, backup
	}
	if err != nil {
		s.rec.addStep(from, "move", outcomeUnknown, s.d.o.Clock.Now().Sub(started), err)
	}
	return at, source
}

// stop asks an engine to stop a run and to copy its KV cache to another one. It returns the engine at which the run
// continues and the cache from which it does. backup is a copy that an engine has, or nil. After an error the run may be
// active.
func (d *Dispatcher) stop(ctx context.Context, r *Request, from, to *state.Instance, backup *KVSource) (at *state.Instance, source *KVSource, err error) {
	handle, err := d.o.Upstream.Move(ctx, from, r.ID, to)
	var notCopied *NotCopiedError
	switch {
	case err == nil && handle != "":
		return to, &KVSource{Instance: from, Handle: handle}, nil
	case errors.As(err, &notCopied) && d.o.Placer.Accepts(from.ID):
		return from, &KVSource{Instance: from, Handle: notCopied.Handle}, nil
	case notCopied != nil && backup != nil:
		return backup.Instance, backup, nil
	case err == nil:
		return nil, nil, errNoSuchRun
	default:
		return nil, nil, err
	}
}

// errNoSuchRun means that an engine has no run of the request: it has ended.
var errNoSuchRun = errors.New("the engine has no such run")
