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
	// goOnTime is what is left of a promised pause for asking a silent engine and for the
	// first event of another one.
	goOnTime = askTimeout + 20*time.Millisecond
	// leastSilence is the shortest silence after which an engine is asked, above the
	// steps of busy engines (5 to 60 ms).
	leastSilence = 80 * time.Millisecond
	// mostMoves bounds the engines at which a run goes on.
	mostMoves = 2
	// roomForBackups is how many mean prompts' memory an engine has for each slot where
	// backups are made. With less, memory runs out before the slots do: copies push out
	// what runs, and more streams are late or lost than backups save.
	roomForBackups = 2
	// sizeGain is the weight of a prompt in the mean size of a service's.
	sizeGain = 0.02
)

// sizes learns the mean size of the prompts of each service, in tokens. The zero value is
// ready.
type sizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

func (s *sizes) note(service string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == nil {
		s.mean = map[string]float64{}
	}
	mean, known := s.mean[service]
	if !known {
		mean = float64(tokens)
	}
	s.mean[service] = mean + sizeGain*(float64(tokens)-mean)
}

func (s *sizes) of(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mean[service]
}

// hasRoomForBackups reports whether the service's engines have memory to spare.
func (d *Dispatcher) hasRoomForBackups(r *Request) bool {
	e := r.Engine
	return e != nil && e.Backups && e.Slots > 0 && float64(e.KVTokens) >= roomForBackups*d.sizes.of(r.Service)*float64(e.Slots)
}

// backupFor is the engine to which the memory of a run that may run once is copied, so
// that the run can go on there when its engine is lost; nil if there is none.
func (d *Dispatcher) backupFor(r *Request, at *state.Instance, tried []state.InstanceID) *state.Instance {
	if !r.runsOnce() || !d.hasRoomForBackups(r) {
		return nil
	}
	runner := d.o.Placer.ChooseForBackup(r.Service, at, append(slices.Clone(tried), at.ID))
	if runner == nil {
		return nil
	}
	return runner.Instance
}

// silence is how long an engine may send nothing before it is asked.
func silence(r *Request) time.Duration { return max(leastSilence, r.Route.EventGap-goOnTime) }

// watch looks after a stream that can go on elsewhere: one whose engine is silent and
// doesn't answer is cut, so that it does within the pause that its caller was promised.
type watch struct {
	// heard is when the last bytes arrived, in nanoseconds since begun.
	heard atomic.Int64
	// dark is set once the engine was asked and didn't answer.
	dark atomic.Bool
	// evacuated is the move of the run off an engine that leaves; nil if it wasn't tried.
	evacuated atomic.Pointer[evacuation]
	// tried are the engines at which the run doesn't go on.
	tried []state.InstanceID
	begun time.Time
	stop  context.CancelFunc
}

// startWatch begins to look after the present run of the stream, if it can go on elsewhere.
func (s *Stream) startWatch() {
	s.stopWatch()
	r := s.a.Request
	mayRepeat := r.Generation != nil && r.Route.Repeatable() && s.rec.attempts < r.Route.MaxAttempts
	if s.a.Backup == nil && !mayRepeat {
		return
	}
	ctx, stop := context.WithCancel(s.ctx)
	w := &watch{begun: s.d.o.Clock.Now(), stop: stop, tried: slices.Clone(s.rec.tried)}
	s.watch = w
	go s.d.lookAfter(ctx, w, s.a, s.runner, s.resp)
}

func (s *Stream) stopWatch() {
	if s.watch != nil {
		s.watch.stop()
		s.watch = nil
	}
}

// noteHeard tells the watch that bytes arrived.
func (s *Stream) noteHeard() {
	if s.watch != nil {
		s.runner.MarkResponsive()
		s.watch.heard.Store(int64(s.d.o.Clock.Now().Sub(s.watch.begun)))
	}
}

// lookAfter asks the engine whenever its run is silent for too long, and cuts the response
// of one that doesn't answer.
func (d *Dispatcher) lookAfter(ctx context.Context, w *watch, a *Attempt, runner *placement.Runner, resp Response) {
	patience := silence(a.Request)
	for {
		if w.evacuated.Load() == nil && d.leaves(a) {
			d.evacuate(ctx, w, a, resp)
		}
		left := w.begun.Add(time.Duration(w.heard.Load()) + patience).Sub(d.o.Clock.Now())
		if left > 0 {
			if d.o.Clock.Sleep(ctx, left) != nil {
				return
			}
			continue
		}
		if !runner.RespondedWithin(askTimeout) && !d.alive(ctx, a.Instance) && ctx.Err() == nil {
			w.dark.Store(true)
			resp.Abort()
			return
		}
		if d.o.Clock.Sleep(ctx, patience) != nil {
			return
		}
	}
}

// goOn lets a run that may run once go on at the engine that has its backup. Its former
// engine is asked to stop it: one that answers nothing at all is lost with its run, and one
// that has no such run has ended it. One that says anything else may still be at it.
func (s *Stream) goOn(cause error) bool {
	r, from, backup := s.a.Request, s.a, s.a.Backup
	moved, dark := s.moved(), s.watch != nil && s.watch.dark.Load()
	s.closeRun()
	if moved != nil {
		return s.goOnAt(moved)
	}
	s.noteBrokenRun()
	s.rec.addStep(from.Instance, "run", outcomeUnknown, s.d.o.Clock.Now().Sub(s.started), cause)
	if backup == nil || s.lastID == "" || s.failovers >= mostMoves || !s.d.o.Placer.Accepts(backup.ID) {
		return false
	}
	if !s.mayGoOn() {
		return false
	}
	s.failovers++
	source := &KVSource{Instance: backup, Handle: r.ID}
	if !dark {
		var ended bool
		if source, ended = s.stopRun(from.Instance, source); !ended {
			return false
		}
	}
	return s.resumeFrom(backup, source)
}

// mayGoOn reports whether the request may be sent to one more engine.
func (s *Stream) mayGoOn() bool {
	r := s.a.Request
	return s.d.checkQuarantine(r, s.rec) == nil && s.d.checkDeadline(s.ctx, r, s.rec) == nil && chargeRetriesTo(s.d.o.Budget.AllowMove, r, s.rec)
}

// goOnAt goes on where the run was moved to.
func (s *Stream) goOnAt(e *evacuation) bool {
	s.rec.addStep(s.a.Instance, "run", outcomeMoved, s.d.o.Clock.Now().Sub(s.started), nil)
	s.rec.charged++ // before the move
	return s.lastID != "" && s.mayGoOn() && s.resumeFrom(e.to, e.source)
}

// stopRun asks the former engine to stop its run and returns where its memory is. ended is
// false if the run may go on there.
func (s *Stream) stopRun(from *state.Instance, backup *KVSource) (source *KVSource, ended bool) {
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
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

// resumeFrom goes on at an engine from a copy of the run's memory.
func (s *Stream) resumeFrom(at *state.Instance, source *KVSource) bool {
	runner := s.d.o.Placer.Runner(at.ID)
	if runner == nil {
		return false
	}
	a := &Attempt{Request: s.a.Request, Instance: at, Source: source, LastEventID: s.lastID, Backup: s.d.backupFor(s.a.Request, at, s.rec.tried)}
	return s.resumeWith(a, choice{Runner: runner})
}
