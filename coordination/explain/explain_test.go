package explain

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// newRecorder returns a recorder of host h1 that keeps so many records and writes batches of at
// most so many bytes.
func newRecorder(t *testing.T, p *storetest.Platform, keep, bytes int) *Recorder {
	t.Helper()
	r, err := New(Options{
		Store: p.Client("h1"), Clock: clocktest.Bubble{}, Host: "h1", MaxRecords: keep,
		FlushInterval: 5 * time.Second, MaxBatchBytes: bytes, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against records lost with the process: those of two consecutive runs of a host are found
// in the store.
func TestRecordsOutliveTheHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		ctx, stop := context.WithCancel(t.Context())
		for run := range 2 {
			r := newRecorder(t, p, 100, 1<<20)
			done := make(chan error)
			runCtx, end := context.WithCancel(ctx)
			go func() { done <- r.Run(runCtx) }()
			r.Record(state.Decision{At: time.Now(), Subject: "r1", Chosen: fmt.Sprint(run), Why: "because"})
			time.Sleep(6 * time.Second)
			end()
			<-done
		}
		stop()
		found, err := Search(t.Context(), p.Client("operator"), "h1", "r1", time.Time{}, 5*time.Second)
		is.NoErr(err)
		is.Equal(len(found), 2)
		is.Equal(found[0].Chosen, "0")
		is.Equal(found[1].Chosen, "1")
	})
}

// Guards against records lost in a failed flush: they are written by the next one, up to the bound
// on records, and those beyond are counted as dropped.
func TestOutageKeepsRecordsForTheNextFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := storetest.NewPlatform(time.Second)
		r := newRecorder(t, p, 3, 1<<20)
		p.SetScript(func(storetest.Call) storetest.Fault { return storetest.Refuse })
		for i := range 5 {
			r.Record(state.Decision{At: time.Now(), Subject: fmt.Sprint(i)})
		}
		is.True(store.IsUnavailable(r.Flush(t.Context())))
		p.SetScript(nil)
		is.NoErr(r.Flush(t.Context()))
		objects, _, err := p.Client("operator").List(t.Context(), store.KindExplain)
		is.NoErr(err)
		batch, err := Decode(objects[0].Value)
		is.NoErr(err)
		is.Equal(len(batch.Decisions), 3)
		is.Equal(batch.Dropped, 2)
		is.Equal(len(r.Find("4")), 1)
		is.Equal(len(r.Find("0")), 0)
	})
}
