package forward

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// backupRequest is a question that may run once, at engines that back runs up.
func backupRequest() *Request {
	r := atMostOnceRequest()
	r.Engine.Backups, r.Engine.KVTokens = true, 100_000
	r.Route.EventGap = 250 * time.Millisecond
	return r
}

// firstEvents is the first half of a stream, and laterEvents what a run that goes on sends.
const (
	firstEvents = "id: 1\ndata: x\n\n"
	laterEvents = "id: 2\ndata: y\n\n"
)

// forwardWithBackup forwards a question whose first run sends what the first reply says.
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

// An engine falls silent in the middle of answers: each run goes on from its backup within
// the pause that its caller was promised.
func TestRunResumesWhenEngineIsUnavailable(t *testing.T) {
	is := is.New(t)
	var silentAt time.Time
	w, got, err := forwardWithBackup(t, func(w *world, first state.InstanceID) {
		silentAt = time.Now()
		w.up.setDark(first)
		w.up.noted = func() { is.True(time.Since(silentAt) <= 250*time.Millisecond+probeTimeout) }
	}, reply{status: 200, events: true, body: firstEvents, stall: time.Minute}, reply{status: 200, events: true, body: laterEvents})
	is.NoErr(err)
	is.Equal(got, firstEvents+laterEvents)
	a := w.up.attempts
	is.Equal(a[1].Instance, a[0].Backup)
	is.Equal(*a[1].Source, KVSource{Instance: a[0].Backup, Handle: "r1"})
	is.Equal(a[1].LastEventID, "1")
	is.True(a[1].Backup != nil && a[1].Backup.ID != a[1].Instance.ID) // it may be lost as well
}

// What the former engine says of the run decides whether and from where it goes on.
func TestRunResumesOnlyAfterFormerRunEnded(t *testing.T) {
	for name, c := range map[string]struct {
		handle      string
		err         error
		unavailable bool
		resumes     bool
	}{
		"stopped, with its memory":  {handle: "h9", resumes: true},
		"no such run any more":      {resumes: true},
		"out of reach":              {unavailable: true, resumes: true},
		"reset, but it answers":     {err: errSent},
		"refused, so it may go on":  {err: errors.New("answered 409")},
		"no connection to ask with": {err: &SendError{Withheld: true, Cause: errors.New("busy")}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, got, err := forwardWithBackup(t, func(w *world, first state.InstanceID) {
				w.up.moveHandle, w.up.moveErr = c.handle, c.err
				if c.unavailable {
					w.up.setDark(first)
				}
			}, reply{status: 200, events: true, body: firstEvents, readErr: errSent}, reply{status: 200, events: true, body: laterEvents})
			if !c.resumes {
				is.Equal(err, ErrStreamCut)
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

// The copy isn't there, or its engine is lost too: the stream ends cut, and nothing runs.
func TestStreamEndsWithoutUsableBackup(t *testing.T) {
	for name, second := range map[string]reply{
		"no copy":        {status: 503, notRun: true},
		"both ends lost": {err: errSent},
		"another status": {status: 500},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, _, err := forwardWithBackup(t, func(*world, state.InstanceID) {}, reply{status: 200, events: true, body: firstEvents, readErr: errSent}, second)
			is.Equal(err, ErrStreamCut)
			is.Equal(len(w.up.attempts), 2)
		})
	}
}

// An engine that is only slow answers when it is asked, and keeps its run.
func TestSlowEngineKeepsItsRun(t *testing.T) {
	is := is.New(t)
	w, got, err := forwardWithBackup(t, func(*world, state.InstanceID) {}, reply{status: 200, events: true, body: firstEvents, stall: 2 * time.Second})
	is.NoErr(err)
	is.Equal(got, firstEvents)
	is.Equal(len(w.up.attempts), 1)
	is.Equal(len(w.up.moved), 0)
}

// Before the first event nobody knows whether the run has begun, and it isn't sent again.
func TestRunWithoutAnEventIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, events: true, readErr: errSent})
	_, err := w.Forward(t.Context(), backupRequest())
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.True(!refusal.NotRun)
	is.Equal(len(w.up.attempts), 1)
}

// Backups cost memory at another engine: runs that may be repeated have none.
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

// Where memory runs out before the slots do, copies would push out what runs: there are
// none. The size of prompts is learnt.
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

// A stream that may be repeated is also left when its engine falls silent in the middle.
func TestRepeatableStreamLeavesUnavailableEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty, promptRead, reply{status: 200, events: true, body: firstEvents, stall: time.Minute}, reply{status: 200, events: true, body: laterEvents})
		r := modelRequest(9000, true)
		r.Route.EventGap = 250 * time.Millisecond
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		w.up.setDark(w.up.attempts[1].Instance.ID)
		silentAt := time.Now()
		got, err := readAll(answer.Stream)
		is.NoErr(err)
		is.Equal(got, firstEvents+laterEvents)
		is.True(time.Since(silentAt) <= r.Route.EventGap)
		is.Equal(w.silent.ids[0], w.up.attempts[1].Instance.ID)
	})
}

// A runner that is another than was meant is asked for, so that all learn it.
func TestMisdirectedRequestIsReported(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: statusMisdirected, notRun: true})
	_, err := w.Forward(t.Context(), atMostOnceRequest())
	is.True(err != nil)
	is.Equal(w.silent.ids, []state.InstanceID{w.up.attempts[0].Instance.ID})
}
