package backpressure

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

// counts counts advices by kind.
type counts map[Kind]int

// ObserveAdvice implements Observer.
func (c counts) ObserveAdvice(_ string, k Kind) { c[k]++ }

// world is a registry with what it logs and counts.
type world struct {
	*Registry
	log    *bytes.Buffer
	counts counts
	told   []Notice
	left   int
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{log: &bytes.Buffer{}, counts: counts{}}
	var err error
	w.Registry, err = New(Options{Clock: clocktest.Bubble{}, Log: slog.New(slog.NewTextHandler(w.log, nil)), Observer: w.counts, Broadcast: func(n Notice) { w.told = append(w.told, n) }, OnLeaving: func() { w.left++ }})
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// hear takes an answer to a request that was sent just now.
func (w *world) hear(i *state.Instance, a Advice) { w.Record(i, time.Now(), a, true) }

func instance(name string, born int64) *state.Instance {
	return &state.Instance{ID: state.InstanceID{Name: name, Born: born}, Service: "s"}
}

// Each change of what a host believes of a runner is a line and a count; what is only said
// again is neither.
func TestChangesAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		i := instance("a", 1)
		for range 3 {
			w.hear(i, Advice{Limited: true, Limit: 8.4, Leaving: true, Backoff: time.Second, Unreadable: []Field{{"limit", "x"}}})
		}
		is.Equal(w.Count(), Counts{Limited: 1, Leaving: 1, BackingOff: 1})
		for _, line := range []string{"runner names a limit", "runner says that it leaves", "runner asks for rest", "not readable"} {
			is.Equal(strings.Count(w.log.String(), line), 1)
		}
		is.Equal(w.counts[KindLimit], 1)
		is.Equal(w.counts[KindUnreadable], 3)
		time.Sleep(2 * time.Second)
		w.hear(i, Advice{})
		is.Equal(w.Count(), Counts{Leaving: 1}) // leaving has no end
		is.Equal(strings.Count(w.log.String(), "names no limit any more"), 1)
	})
}

// Answers overtake each other: one that was asked for before the limit was heard lifts nothing.
func TestLimitIsLiftedByANewerAnswerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		i := instance("a", 1)
		early := time.Now()
		time.Sleep(time.Second)
		w.hear(i, Advice{Limited: true, Limit: 8})
		time.Sleep(time.Second)
		w.Record(i, early, Advice{}, true)
		is.Equal(w.Count().Limited, 1)
		w.Record(i, time.Now(), Advice{}, false) // a call of the system's own
		is.Equal(w.Count().Limited, 1)
		w.hear(i, Advice{Unreadable: []Field{{"limit", "-"}}})
		is.Equal(w.Count().Limited, 1)
		w.hear(i, Advice{})
		is.Equal(w.Count().Limited, 0)
	})
}

// A later, shorter rest doesn't shorten what was asked before.
func TestLongestRestHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		i := instance("a", 1)
		w.hear(i, Advice{Backoff: 3 * time.Second})
		time.Sleep(time.Second)
		w.hear(i, Advice{Backoff: time.Second})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(w.Count().BackingOff, 1)
		is.Equal(w.OpensAt(i.ID), w.BackoffUntil(i.ID))
		is.True(w.BackoffUntil(i.ID).After(time.Now().Add(499 * time.Millisecond)))
		time.Sleep(time.Second)
		is.Equal(w.Count().BackingOff, 0)
	})
}

// A later run under the same name has asked nothing.
func TestRunsAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.hear(instance("a", 1), Advice{Leaving: true})
		is.True(w.Leaving(state.InstanceID{Name: "a", Born: 1}))
		is.True(!w.Leaving(state.InstanceID{Name: "a", Born: 2}))
	})
}

// What a run asked outlives its entry in the list for a while: entries of living runners go
// missing around an outage of the store. After that it is forgotten.
func TestRunsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		i := instance("a", 1)
		w.hear(i, Advice{Leaving: true})
		for range 5 {
			time.Sleep(keepUnlisted / 2)
			w.UpdateListed([]state.Instance{*i})
		}
		w.UpdateListed(nil)
		time.Sleep(keepUnlisted / 2)
		w.UpdateListed(nil)
		is.True(w.Leaving(i.ID))
		time.Sleep(keepUnlisted)
		w.UpdateListed(nil)
		is.True(!w.Leaving(i.ID))
		for n := range mostRuns + 10 {
			w.hear(instance(fmt.Sprint("run-", n), 1), Advice{Leaving: true})
		}
		is.Equal(len(*w.runs.Load()), mostRuns)
	})
}

// What a runner asks of all hosts is told to them when it changes, and again while it holds; a
// rest concerns one host.
func TestChangesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		i := instance("a", 1)
		for range 41 { // in 4 s
			w.hear(i, Advice{Limited: true, Limit: 8.4, Backoff: time.Second})
			time.Sleep(100 * time.Millisecond)
		}
		limit := Notice{i.ID, "s", KindLimit, 8.4}
		is.Equal(w.told, []Notice{limit, limit, limit})
		w.told = nil
		for n := range 20 { // a limit that changes with each answer, in 1 s
			w.hear(i, Advice{Limited: true, Limit: float64(n)})
			time.Sleep(50 * time.Millisecond)
		}
		is.True(len(w.told) <= 5)
		w.told = nil
		w.hear(i, Advice{Leaving: true})
		w.hear(i, Advice{Leaving: true})
		is.Equal(w.told, []Notice{{i.ID, "s", KindLifted, 0}, {i.ID, "s", KindLeaving, 0}})
		is.Equal(w.left, 1)
	})
}

// Another host's word counts, but for what this host has just heard itself, and isn't told on.
func TestOthersWordCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		i := instance("a", 1)
		w.HandleNotice(Notice{i.ID, "s", KindLimit, 8})
		rate, limited := w.Limit(i.ID)
		is.True(limited)
		is.Equal(rate, 8.0)
		time.Sleep(time.Second)
		w.hear(i, Advice{Limited: true, Limit: 9})
		w.told = nil
		w.HandleNotice(Notice{i.ID, "s", KindLimit, 8})
		w.HandleNotice(Notice{i.ID, "s", KindLifted, 0})
		rate, _ = w.Limit(i.ID)
		is.Equal(rate, 9.0) // its own word
		time.Sleep(time.Second)
		w.HandleNotice(Notice{i.ID, "s", KindLifted, 0})
		_, limited = w.Limit(i.ID)
		is.True(!limited)
		w.HandleNotice(Notice{i.ID, "s", KindLeaving, 0})
		is.True(w.Leaving(i.ID))
		w.HandleNotice(Notice{i.ID, "s", "something new", 0})
		is.Equal(len(w.told), 0)
	})
}

// After a rest one request at a time finds out whether the runner takes work again.
func TestOneRequestTriesAfterARest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		i := instance("a", 1)
		is.True(w.AllowTrial(i.ID)) // it never rested
		w.hear(i, Advice{Backoff: time.Second})
		is.True(w.AwaitsTrial(i.ID))
		time.Sleep(2 * time.Second)
		is.True(w.OpensAt(i.ID).IsZero())
		sentAt := time.Now()
		is.True(w.AllowTrial(i.ID))
		is.True(!w.AllowTrial(i.ID))
		is.True(!w.OpensAt(i.ID).IsZero()) // it isn't chosen meanwhile
		time.Sleep(trialFor)
		is.True(w.AllowTrial(i.ID)) // the first one was lost
		w.Record(i, sentAt.Add(-2*time.Second), Advice{}, true)
		is.True(w.AwaitsTrial(i.ID)) // asked for before the rest
		w.Record(i, sentAt, Advice{}, true)
		is.True(!w.AwaitsTrial(i.ID))
		is.True(w.OpensAt(i.ID).IsZero())
		is.True(w.AllowTrial(i.ID))
		is.True(w.AllowTrial(i.ID))
	})
}
