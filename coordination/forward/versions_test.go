package forward

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/origin"
	"github.com/thymerack/thymerack/state"
)

// listVersions lists decode engines of the versions, as many as named each, in place of all other instances.
func (w *world) listVersions(counts map[string]int) {
	var list []state.Instance
	for version, n := range counts {
		for i := range n {
			name := fmt.Sprint("d-", version, "-", i)
			list = append(list, state.Instance{ID: state.InstanceID{Name: name}, Service: "model", Addr: name + ":1", FailureDomain: "d1", Role: state.RoleDecode, Slots: engineSlots, Version: version})
		}
	}
	w.fleet.Update(list)
}

// Guards against a stream that goes on at another version of its runners' software than the one that began it.
func TestStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	is := is.New(t)
	for range 60 {
		w := newWorld(t, plenty,
			reply{status: 200, events: true, body: "id: 1\ndata: a\n\n", readErr: errors.New("reset")},
			reply{status: 503, notRun: true},
			reply{status: 200, events: true, body: "id: 2\ndata: b\n\n"})
		w.listVersions(map[string]int{"v1": 3, "v1.1": 3, "v1.2": 3})
		r := modelRequest(500, true)
		r.Route.MaxAttempts = 3
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		_, err = readAll(answer.Stream)
		is.NoErr(err)
		for _, a := range w.up.attempts {
			is.Equal(a.Instance.Version, w.up.attempts[0].Instance.Version)
		}
	}
}

// Guards against a stream that goes on at another version since its own has no other runner, or that waits for
// one: it ends at once.
func TestStreamEndsIfNoOtherRunnerHasItsVersion(t *testing.T) {
	is := is.New(t)
	for range 20 {
		w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 1\ndata: a\n\n", readErr: errors.New("reset")})
		w.listVersions(map[string]int{"v1": 1, "v1.1": 1})
		answer, err := w.Forward(t.Context(), modelRequest(500, true))
		is.NoErr(err)
		got, err := readAll(answer.Stream)
		is.True(errors.Is(err, ErrStreamInterrupted))
		is.Equal(got, "id: 1\ndata: a\n\n")
		is.Equal(len(w.up.attempts), 1)
	}
}

// Guards against requests that are kept to the version of a run that gave no event.
func TestAnyVersionMayBeTriedBeforeTheFirstEvent(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{err: errSent}, reply{status: 200, events: true, body: "id: 1\ndata: a\n\n"})
	w.listVersions(map[string]int{"v1": 1, "v1.1": 1})
	answer, err := w.Forward(t.Context(), modelRequest(500, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.True(w.up.attempts[0].Instance.Version != w.up.attempts[1].Instance.Version)
}

// Guards against a KV cache that is copied to an engine of another version, at which its run can't go on.
func TestBackupsStayAtTheirVersion(t *testing.T) {
	is := is.New(t)
	for range 20 {
		w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 1\ndata: a\n\n"})
		w.listVersions(map[string]int{"v1": 2, "v1.1": 2, "v1.2": 1})
		r := modelRequest(500, false)
		r.Engine = &state.EngineSpec{Slots: engineSlots, Backups: true, KVTokens: 1 << 20}
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		_, err = readAll(answer.Stream)
		is.NoErr(err)
		a := w.up.attempts[0]
		if a.Instance.Version == "v1.2" {
			is.True(a.Backup == nil)
			continue
		}
		is.True(a.Backup != nil && a.Backup.Version == a.Instance.Version)
	}
}

// Guards against a stream that a caller takes up being run at any version, although it isn't known which one began
// it: it is refused as not run.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 2\ndata: b\n\n"})
	w.listVersions(map[string]int{"v1": 2, "v1.1": 2})
	r := modelRequest(500, true)
	r.LastEventID, r.Resumes = "1", "nobody-knows"
	_, err := w.Forward(t.Context(), r)
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.True(refusal.NotRun)
	is.True(refusal.RetryAfter > 0)
	is.Equal(len(w.up.attempts), 0)
}

// Guards against a stream that its caller takes up going on at another version than the one that began it, at the first
// attempt and at those after it.
func TestResumedStreamGoesOnAtItsVersion(t *testing.T) {
	is := is.New(t)
	for range 40 {
		w := newWorld(t, plenty, reply{err: errUnsent}, reply{status: 503, notRun: true}, reply{status: 200, events: true, body: "id: 2\ndata: b\n\n"})
		w.listVersions(map[string]int{"v1": 3, "v1.1": 3})
		w.origins.Begin(origin.Record{ID: "first", Service: "model", Version: "v1.1"})
		r := modelRequest(500, true)
		r.LastEventID, r.Resumes, r.Route.MaxAttempts = "1", "first", 3
		answer, err := w.Forward(t.Context(), r)
		is.NoErr(err)
		_, err = readAll(answer.Stream)
		is.NoErr(err)
		is.Equal(len(w.up.attempts), 3)
		for _, a := range w.up.attempts {
			is.Equal(a.Instance.Version, "v1.1")
		}
		is.Equal(w.origins.began[r.ID].Version, "v1.1") // it may be named in its turn
	}
}

// Guards against a stream whose version has no runner left being kept waiting, or its caller being told to come back.
func TestStreamWhoseVersionIsGoneIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, plenty)
		w.listVersions(map[string]int{"v1.1": 3})
		w.origins.Begin(origin.Record{ID: "first", Service: "model", Version: "v1"})
		r := modelRequest(500, true)
		r.LastEventID, r.Resumes = "1", "first"
		started := time.Now()
		_, err := w.Forward(t.Context(), r)
		var refusal *Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, ReasonVersionGone)
		is.True(refusal.NotRun)
		is.Equal(refusal.RetryAfter, time.Duration(0))
		is.Equal(time.Since(started), time.Duration(0))
	})
}

// Guards against a stream being recorded at the version of a run that gave no event: the last beginning counts.
func TestVersionIsThatOfTheRunThatGaveTheFirstEvent(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{err: errSent}, reply{status: 200, events: true, body: "id: 1\ndata: a\n\n"})
	w.listVersions(map[string]int{"v1": 1, "v1.1": 1})
	r := modelRequest(500, true)
	answer, err := w.Forward(t.Context(), r)
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.origins.began[r.ID], origin.Record{ID: r.ID, Service: "model", Version: w.up.attempts[1].Instance.Version, Attempt: 2})
}

// Guards against a record of a run that gave no event: a replica that missed the later record, since it was cut off or stood still, would
// have the stream go on at the version of that run.
func TestRunsWithoutAnEventLeaveNoRecord(t *testing.T) {
	for name, first := range map[string]reply{
		"not run": {status: 503, notRun: true}, "broke off": {err: errSent}, "nothing was sent": {err: errUnsent},
		"ended before its first event": {status: 200, events: true, body: ": c\n\n", readErr: ErrUnframed}, "inside its first event": {status: 200, events: true, body: "id: 1\n", readErr: errSent},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, first, reply{status: 200, events: true, body: "id: 1\ndata: a\n\n"})
			w.listVersions(map[string]int{"v1": 1, "v1.1": 1})
			o := &recordingOrigins{fakeOrigins: w.origins}
			w.o.Origins = o
			answer, err := w.Forward(t.Context(), modelRequest(500, true))
			is.NoErr(err)
			_, err = readAll(answer.Stream)
			is.NoErr(err)
			is.Equal(len(w.up.attempts), 2)
			is.Equal(len(o.records), 1)
			is.Equal(o.records[0].Version, w.up.attempts[1].Instance.Version)
		})
	}
}

// Guards against a stream that goes on at a later run of a runner under the same name, which may have another version: the
// run is asked first.
func TestStreamGoesOnAtTheRunThatIsListed(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 1\ndata: a\n\n", readErr: errors.New("reset")}, reply{status: 200, events: true, body: "id: 2\ndata: b\n\n"})
			var list []state.Instance
			for _, name := range []string{"a", "b"} {
				list = append(list, state.Instance{ID: state.InstanceID{Name: name, Born: 7}, Service: "model", Addr: name + ":1", FailureDomain: "d1", Role: state.RoleDecode, Slots: engineSlots, Version: "v1"})
			}
			w.fleet.Update(list)
			answer, err := w.Forward(t.Context(), modelRequest(500, true))
			is.NoErr(err)
			for _, i := range list {
				if restarted && i.ID != w.up.attempts[0].Instance.ID {
					w.up.setUnresponsive(i.ID)
				}
			}
			_, err = readAll(answer.Stream)
			is.Equal(errors.Is(err, ErrStreamInterrupted), restarted)
			is.Equal(len(w.up.attempts) == 1, restarted)
		})
	}
}

// Guards against a stream that goes on being queued behind all new ones where every engine of its version is full: it has
// fewer engines to choose from.
func TestStreamThatGoesOnIsNotDeferred(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 2\ndata: b\n\n"})
	w.listVersions(map[string]int{"v1": 1})
	full := backlog.Forecast{Outcome: contention.Deferred}
	w.gate.refusal = []backlog.Forecast{full, full, full}
	r := modelRequest(500, true)
	r.LastEventID, r.Resumes, r.Route.Priority = "1", "first", 1
	answer, err := w.Forward(t.Context(), r)
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(w.up.attempts[0].Rank, 1)
}

// notingOrigins has a version noted when a stream waits for it, or never.
type notingOrigins struct {
	*fakeOrigins
	note   func()
	waited int
}

func (o *notingOrigins) AwaitNoted(context.Context, string) bool {
	o.waited++
	if o.note == nil {
		return false
	}
	o.note()
	return true
}

// Guards against a stream that begins at a version which leaves no trace if all hosts lose their memory, so that its caller takes it
// up at another version; and against one that waits although its caller can't, or that is refused for ever.
func TestStreamBeginsAtANotedVersion(t *testing.T) {
	for name, c := range map[string]struct {
		resumable bool
		before    []string // noted versions
		after     []string // those noted when a stream waits
		want      string   // the only version at which streams begin; "" for any
		waits     bool
	}{
		"one of two is noted":       {true, []string{"v1"}, nil, "v1", false},
		"both are noted":            {true, []string{"v1", "v2"}, nil, "", false},
		"none is noted at first":    {true, nil, []string{"v2"}, "v2", true},
		"none is ever noted":        {true, nil, nil, "", true},
		"the caller can't go on":    {false, []string{"v1"}, nil, "", false},
		"noted versions have ended": {true, []string{"v0"}, []string{"v1"}, "v1", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			seen := map[string]bool{}
			for range 60 {
				w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 1\ndata: a\n\n"})
				w.listVersions(map[string]int{"v1": 3, "v2": 3})
				w.fleet.SetNoted("model", c.before)
				origins := &notingOrigins{fakeOrigins: w.origins}
				if c.after != nil {
					origins.note = func() { w.fleet.SetNoted("model", c.after) }
				}
				w.o.Origins = origins
				r := modelRequest(500, true)
				r.Route.Resumable = c.resumable
				answer, err := w.Forward(t.Context(), r)
				is.NoErr(err)
				_, err = readAll(answer.Stream)
				is.NoErr(err)
				seen[w.up.attempts[0].Instance.Version] = true
				is.Equal(origins.waited > 0, c.waits)
			}
			if c.want == "" {
				is.Equal(len(seen), 2)
			} else {
				is.True(len(seen) == 1 && seen[c.want])
			}
		})
	}
}

// Guards against a stream that waits for a runner of a noted version and begins at one of a version that has come meanwhile and isn't noted.
func TestStreamThatWaitedBeginsAtANotedVersion(t *testing.T) {
	for name, c := range map[string]struct {
		listed map[string]int // the list after the further version has come
		noted  []string       // the versions that are noted when the stream waits for that
		want   string
	}{
		"the noted version goes on": {map[string]int{"v1": 1, "v2": 3}, nil, "v1"},
		"the noted version leaves":  {map[string]int{"v2": 3}, []string{"v2"}, "v2"},
	} {
		for range 20 { // a choice among all versions takes any of the four runners
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				t.Log(name)
				w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 1\ndata: a\n\n"})
				w.listVersions(map[string]int{"v1": 1})
				w.fleet.SetNoted("model", []string{"v1"})
				origins := &notingOrigins{fakeOrigins: w.origins}
				if c.noted != nil {
					origins.note = func() { w.fleet.SetNoted("model", c.noted) }
				}
				w.o.Origins = origins
				w.receiveAdvice(backpressure.Advice{Backoff: 100 * time.Millisecond}, "d-v1-0")
				time.AfterFunc(50*time.Millisecond, func() { w.listVersions(c.listed) })
				answer, err := w.Forward(t.Context(), modelRequest(200, true))
				is.NoErr(err)
				_, err = readAll(answer.Stream)
				is.NoErr(err)
				is.Equal(w.up.attempts[0].Instance.Version, c.want)
				is.Equal(origins.waited > 0, c.noted != nil)
			})
		}
	}
}

// Guards against a stream that begins at a version whose note was lost between the choice of its runner and the sending: the store was
// restored from an older copy.
func TestStreamIsWithheldFromAVersionWithoutANote(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plenty, reply{status: 200, events: true, body: "id: 1\ndata: a\n\n"})
	w.listVersions(map[string]int{"v1": 3})
	w.fleet.SetNoted("model", []string{"v1"})
	origins := &notingOrigins{fakeOrigins: w.origins, note: func() { w.fleet.SetNoted("model", []string{"v1"}) }}
	w.o.Origins = origins
	connected := 0
	w.up.onConnect = func(*Attempt) {
		if connected++; connected == 1 {
			w.fleet.SetNoted("model", nil)
		}
	}
	answer, err := w.Forward(t.Context(), modelRequest(200, true))
	is.NoErr(err)
	_, err = readAll(answer.Stream)
	is.NoErr(err)
	is.Equal(connected, 2)
	is.Equal(len(w.up.attempts), 1)
	is.Equal(origins.waited, 1)
}
