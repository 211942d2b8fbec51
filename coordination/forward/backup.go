package forward

import (
	"context"
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

// streamWatch watches a stream that can resume elsewhere. The response of an engine that is
// silent and doesn't answer a probe is cut, so that the stream resumes within the pause that
// its caller was promised.
type streamWatch struct {
	// lastReceived is when the last bytes arrived, in nanoseconds since startedAt.
	lastReceived atomic.Int64
	// unavailable is set once the engine was probed and didn't answer.
	unavailable atomic.Bool
	// evacuation is the move of the run off a draining engine; nil if none was tried.
	evacuation atomic.Pointer[evacuation]
	// tried are the engines at which the run must not resume, and retry is taken before the run is cut.
	tried     []state.InstanceID
	retry     *prepaidRetry
	startedAt time.Time
	cancel    context.CancelFunc
}

// startWatch starts to watch the current run of the stream, if it can resume elsewhere.
func (s *Stream) startWatch() {
	s.stopWatch()
	r := s.a.Request
	mayRepeat := r.Generation != nil && r.Route.Repeatable() && s.rec.attempts < r.Route.MaxAttempts
	if s.a.Backup == nil && !mayRepeat {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	w := &streamWatch{startedAt: s.d.o.Clock.Now(), cancel: cancel, tried: slices.Clone(s.rec.tried), retry: s.d.prepaid(r, s.rec, s.rec.deliveries)}
	s.watch = w
	go s.d.superviseRun(ctx, w, s.a, s.runner, s.resp)
}

func (s *Stream) stopWatch() {
	if s.watch != nil {
		s.watch.cancel()
		s.watch = nil
	}
}

// noteReceived records for the watch that bytes arrived.
func (s *Stream) noteReceived() {
	if s.watch != nil {
		s.runner.MarkResponsive()
		s.watch.lastReceived.Store(int64(s.d.o.Clock.Now().Sub(s.watch.startedAt)))
	}
}

// superviseRun evacuates the run from a draining engine, probes an engine whose run is silent
// for too long, and cuts the response of one that doesn't answer, or whose link is lost, if the run can be repeated.
func (d *Dispatcher) superviseRun(ctx context.Context, w *streamWatch, a *Attempt, runner *placement.Runner, resp Response) {
	limit, kept := maxSilence(a.Request), false
	for {
		if w.evacuation.Load() == nil && d.needsEvacuation(a) {
			d.evacuate(ctx, w, a, resp)
		}
		left := w.startedAt.Add(time.Duration(w.lastReceived.Load()) + limit).Sub(d.o.Clock.Now())
		if left > 0 {
			if d.o.Clock.Sleep(ctx, left) != nil {
				return
			}
			continue
		}
		silent := !runner.RespondedWithin(probeTimeout) && !d.alive(ctx, a.Instance)
		if ctx.Err() != nil {
			return
		}
		// An engine whose link is lost answers by another path, but not over this connection.
		if lost := resp.LinkLost(); silent || lost {
			if w.retry.take() {
				w.unavailable.Store(silent)
				resp.Abort()
				return
			}
			if !kept {
				kept = true
				d.o.Log.Info("run without a sign of its engine is kept, since no retry is left", "request_id", a.Request.ID, "instance", a.Instance.ID, "link_lost", lost)
			}
		}
		if d.o.Clock.Sleep(ctx, limit) != nil {
			return
		}
	}
}

// resumeFromBackup resumes an at-most-once run at the engine that has its backup. The former
// engine is asked to stop the run: an engine that doesn't answer at all is lost with its run,
// and one that has no such run has ended it. After any other answer the run may still be active
// there, and isn't resumed.
func (s *Stream) resumeFromBackup(cause error) bool {
	r, from, backup := s.a.Request, s.a, s.a.Backup
	moved, unavailable := s.awaitEvacuation(), s.watch != nil && s.watch.unavailable.Load()
	s.closeRun()
	if moved != nil {
		return s.resumeAfterMove(moved)
	}
	s.noteBrokenRun()
	s.rec.addStep(from.Instance, "run", outcomeUnknown, s.d.o.Clock.Now().Sub(s.started), cause)
	if backup == nil || s.lastID == "" || s.failovers >= maxMoves || !s.d.o.Placer.Accepts(backup.ID) {
		return false
	}
	if !s.mayResume() {
		return false
	}
	s.failovers++
	source := &KVSource{Instance: backup, Handle: r.ID}
	if !unavailable {
		var ended bool
		if source, ended = s.stopRun(from.Instance, source); !ended {
			return false
		}
	}
	return s.resumeFromCopy(backup, source)
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
	s.rec.charged++ // by evacuate
	return s.lastID != "" && s.mayResume() && s.resumeFromCopy(e.to, e.source)
}

// stopRun asks the former engine to stop the run and returns where its KV cache is. ended is
// false if the run may still be active there.
func (s *Stream) stopRun(from *state.Instance, backup *KVSource) (source *KVSource, ended bool) {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	started := s.d.o.Clock.Now()
	handle, err := s.d.o.Upstream.Move(ctx, from, s.a.Request.ID, backup.Instance)
	switch {
	case err == nil && handle != "":
		return &KVSource{Instance: from, Handle: handle}, true
	case err == nil:
		return backup, true
	case runnerUnresponsive(err) && !s.d.alive(s.ctx, from):
		return backup, true
	default:
		s.rec.addStep(from, "move", outcomeUnknown, s.d.o.Clock.Now().Sub(started), err)
		return nil, false
	}
}

// resumeFromCopy resumes the run at an engine from a copy of its KV cache.
func (s *Stream) resumeFromCopy(at *state.Instance, source *KVSource) bool {
	runner := s.d.o.Placer.Runner(at.ID)
	if runner == nil {
		return false
	}
	a := &Attempt{Request: s.a.Request, Instance: at, Source: source, LastEventID: s.lastID, Backup: s.d.backupEngine(s.a.Request, at, s.rec.tried)}
	return s.resumeWith(a, choice{Runner: runner})
}
