package forward

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// backupRequest is an at-most-once request to engines that copy runs to backups.
func backupRequest() *Request {
	r := atMostOnceRequest()
	r.Engine.Backups, r.Engine.KVTokens = true, 100_000
	r.Route.EventGap = 250 * time.Millisecond
	r.Deadline = r.ArrivedAt.Add(10 * time.Second) // outlasts a silence
	return r
}

// firstEvents is what the first run of a stream sends, and laterEvents what a resumed run
// sends.
const (
	firstEvents = "id: 1\ndata: x\n\n"
	laterEvents = "id: 2\ndata: y\n\n"
)

// forwardWithBackup forwards a backupRequest, whose first run follows the first reply, calls
// prepare and reads the stream to its end.
func forwardWithBackup(t *testing.T, prepare func(w *world, first state.InstanceID), replies ...reply) (w *world, got string, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(t, plenty, replies...)
		answer, failed := w.Forward(t.Context(), backupRequest())
		if failed != nil {
			t.Fatal(failed)
		}
		prepare(w, w.up.attempts[0].Instance.ID)
		got, err = readAll(answer.Stream)
	})
	return w, got, err
}

// An engine becomes unavailable in the middle of a stream: the run resumes from its backup
// as soon as the engine has been silent for longer than a sound one.
func TestRunResumesWhenEngineIsUnavailable(t *testing.T) {
	is := is.New(t)
	var silentAt time.Time
	w, got, err := forwardWithBackup(t, func(w *world, first state.InstanceID) {
		silentAt = time.Now()
		w.up.setUnresponsive(first)
		w.up.setOnSend(func() { is.True(time.Since(silentAt) <= soundSilence+probeTimeout) })
	}, reply{status: 200, events: true, body: firstEvents, stall: time.Minute}, reply{status: 200, events: true, body: laterEvents})
	is.NoErr(err)
	is.Equal(got, firstEvents+laterEvents)
	a := w.up.attempts
	is.Equal(a[1].Instance, a[0].Backup)
	is.Equal(*a[1].Source, KVSource{Instance: a[0].Backup, Handle: "r1"})
	is.Equal(a[1].LastEventID, "1")
	is.True(a[1].Backup != nil && a[1].Backup.ID != a[1].Instance.ID) // the second engine may be lost as well
}

// Guards against a stream that waits for its dead connection to be given up: the engine is there, and answers
// by another path, so that the run is stopped at once and goes on from its memory.
func TestRunResumesWhenItsLinkIsLost(t *testing.T) {
	is := is.New(t)
	var silentAt time.Time
	w, got, err := forwardWithBackup(t, func(w *world, _ state.InstanceID) {
		silentAt = time.Now()
		w.up.setMove("h9", nil)
		w.up.setOnSend(func() { is.True(time.Since(silentAt) <= 250*time.Millisecond) })
	}, reply{status: 200, events: true, body: firstEvents, stall: time.Minute, linkLost: true}, reply{status: 200, events: true, body: laterEvents})
	is.NoErr(err)
	is.Equal(got, firstEvents+laterEvents)
	a := w.up.attempts
	is.Equal(*a[1].Source, KVSource{Instance: a[0].Instance, Handle: "h9"})
	is.Equal(a[1].LastEventID, "1")
}

// The former engine's answer about the run decides whether and from where it resumes.
func TestRunResumesOnlyAfterFormerRunEnded(t *testing.T) {
	for name, c := range map[string]struct {
		handle      string
		err         error
		unavailable bool
		resumes     bool
	}{
		"stopped, with its KV cache": {handle: "h9", resumes: true},
		"no such run any more":       {resumes: true},
		"unreachable":                {unavailable: true, resumes: true},
		"reset, but answers probes":  {err: errSent},
		"refused, so it may run on":  {err: errors.New("answered 409")},
		"no connection available":    {err: &SendError{Withheld: true, Cause: errors.New("busy")}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, got, err := forwardWithBackup(t, func(w *world, first state.InstanceID) {
				w.up.setMove(c.handle, c.err)
				if c.unavailable {
					w.up.setUnresponsive(first)
				}
			}, reply{status: 200, events: true, body: firstEvents, readErr: errSent}, reply{status: 200, events: true, body: laterEvents})
			if !c.resumes {
				is.Equal(err, ErrStreamInterrupted)
				is.Equal(len(w.up.attempts), 1)
				return
			}
			is.NoErr(err)
			is.Equal(got, firstEvents+laterEvents)
			a := w.up.attempts
			want := KVSource{Instance: a[0].Backup, Handle: "r1"}
			if c.handle != "" {
				want = KVSource{Instance: a[0].Instance, Handle: c.handle}
			}
			is.Equal(*a[1].Source, want)
			is.Equal(a[1].Instance, a[0].Backup)
		})
	}
}

// The backup is missing, or its engine is lost too: the stream ends cut, and nothing more is
// sent.
func TestStreamEndsWithoutUsableBackup(t *testing.T) {
	for name, second := range map[string]reply{
		"no backup":         {status: 503, notRun: true},
		"both engines lost": {err: errSent},
		"another status":    {status: 500},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, _, err := forwardWithBackup(t, func(*world, state.InstanceID) {}, reply{status: 200, events: true, body: firstEvents, readErr: errSent}, second)
			is.Equal(err, ErrStreamInterrupted)
			is.Equal(len(w.up.attempts), 2)
		})
	}
}

// A slow engine that answers probes keeps its run.
func TestSlowEngineKeepsItsRun(t *testing.T) {
	is := is.New(t)
	w, got, err := forwardWithBackup(t, func(*world, state.InstanceID) {}, reply{status: 200, events: true, body: firstEvents, stall: 2 * time.Second})
	is.NoErr(err)
	is.Equal(got, firstEvents)
	is.Equal(len(w.up.attempts), 1)
	is.Equal(len(w.up.moveRequests), 0)
}

// Before the first event it isn't known whether the run has begun, so the request isn't sent
// again.
func TestRunWithoutAnEventIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, events: true, readErr: errSent})
	_, err := w.Forward(t.Context(), backupRequest())
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.True(!refusal.NotRun)
	is.Equal(len(w.up.attempts), 1)
}

// Backups take memory at another engine, so repeatable runs have none.
func TestRepeatableRunsHaveNoBackup(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, generated)
	r := backupRequest()
	r.Route.Resumable = true
	answer, err := w.Forward(t.Context(), r)
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.True(w.up.attempts[0].Backup == nil)
}

// Where memory runs out before the slots do, backups would evict running requests, so none are
// made. The mean prompt size is learned from requests.
func TestBackupsNeedSpareMemory(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty)
	r := backupRequest() // 16 slots, 100,000 tokens: 3,125 for each slot and backup
	for _, c := range []struct {
		tokens    int
		hasBackup bool
	}{{200, true}, {9000, false}, {200, true}} {
		for range 300 {
			w.sizes.observe(r.Service, c.tokens)
		}
		is.Equal(w.backupEngine(r, w.fleet.Runners("model")[0].Instance, nil) != nil, c.hasBackup)
	}
}

// A repeatable stream also leaves an engine that becomes unavailable in the middle.
func TestRepeatableStreamLeavesUnavailableEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, prefilled, reply{status: 200, events: true, body: firstEvents, stall: time.Minute}, reply{status: 200, events: true, body: laterEvents})
		r := modelRequest(9000, true)
		r.Route.EventGap = 250 * time.Millisecond
		r.Deadline = r.ArrivedAt.Add(r.Route.Timeout)
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		w.up.setUnresponsive(w.up.attempts[1].Instance.ID)
		silentAt := time.Now()
		got, err := readAll(answer.Stream)
		is.NoErr(err)
		is.Equal(got, firstEvents+laterEvents)
		is.True(time.Since(silentAt) <= soundSilence+r.Route.EventGap)
		is.Equal(w.outliers.silent[0], w.up.attempts[1].Instance.ID)
	})
}

// A runner that answers "misdirected" is reported, so that all hosts learn that it may have
// been replaced.
func TestMisdirectedRequestIsReported(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: statusMisdirected, notRun: true})
	_, err := w.Forward(t.Context(), atMostOnceRequest())
	is.True(err != nil)
	is.Equal(w.outliers.silent, []state.InstanceID{w.up.attempts[0].Instance.ID})
}

// Guards against a stream that is given up although its engine has stopped the run and keeps its memory: the backup's
// engine was full.
func TestRunResumesAtItsEngineIfItsCopyIsRefused(t *testing.T) {
	is := is.New(t)
	w, got, err := forwardWithBackup(t, func(w *world, _ state.InstanceID) {
		w.up.setMove("", &NotCopiedError{Handle: "h9"})
	}, reply{status: 200, events: true, body: firstEvents, readErr: errSent}, reply{status: 200, events: true, body: laterEvents})
	is.NoErr(err)
	is.Equal(got, firstEvents+laterEvents)
	a := w.up.attempts
	is.Equal(a[1].Instance, a[0].Instance)
	is.Equal(*a[1].Source, KVSource{Instance: a[0].Instance, Handle: "h9"})
}
