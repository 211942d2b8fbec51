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

// countingObserver countingObserver advices by kind.
type countingObserver map[Kind]int

// ObserveAdvice implements Observer.
func (c countingObserver) ObserveAdvice(_ string, k Kind) { c[k]++ }

// testRegistry is a registry with what it logs and counts.
type testRegistry struct {
	*Registry
	log          *bytes.Buffer
	counts       countingObserver
	broadcast    []Notice
	leavingCalls int
}

func newTestRegistry(t *testing.T) *testRegistry {
	t.Helper()
	w := &testRegistry{log: &bytes.Buffer{}, counts: countingObserver{}}
	var err error
	w.Registry, err = New(Options{Clock: clocktest.Bubble{}, Log: slog.New(slog.NewTextHandler(w.log, nil)), Observer: w.counts, Broadcast: func(n Notice) { w.broadcast = append(w.broadcast, n) }, OnLeaving: func() { w.leavingCalls++ }})
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// recordNow takes an answer to a request that was sent just now.
func (w *testRegistry) recordNow(i *state.Instance, a Advice) { w.Record(i, time.Now(), a, true) }

func instance(name string, born int64) *state.Instance {
	return &state.Instance{ID: state.InstanceID{Name: name, Born: born}, Service: "s"}
}

// Each change of what a host believes of a runner is a line and a count; what is only said
// again is neither.
func TestOnlyChangesAreLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestRegistry(t)
		i := instance("a", 1)
		for range 3 {
			w.recordNow(i, Advice{Limited: true, Limit: 8.4, Leaving: true, Backoff: time.Second, Unreadable: []Field{{"limit", "x"}}})
		}
		is.Equal(w.Count(), Counts{Limited: 1, Leaving: 1, BackingOff: 1})
		for _, line := range []string{"runner names a limit", "runner says that it leaves", "runner asks for rest", "not readable"} {
			is.Equal(strings.Count(w.log.String(), line), 1)
		}
		is.Equal(w.counts[KindLimit], 1)
		is.Equal(w.counts[KindUnreadable], 3)
		time.Sleep(2 * time.Second)
		w.recordNow(i, Advice{})
		is.Equal(w.Count(), Counts{Leaving: 1}) // leaving has no end
		is.Equal(strings.Count(w.log.String(), "names no limit any more"), 1)
	})
}

// Answers overtake each other: one that was asked for before the limit was heard lifts nothing.
func TestOnlyANewerAnswerLiftsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestRegistry(t)
		i := instance("a", 1)
		beforeLimit := time.Now()
		time.Sleep(time.Second)
		w.recordNow(i, Advice{Limited: true, Limit: 8})
		time.Sleep(time.Second)
		w.Record(i, beforeLimit, Advice{}, true)
		is.Equal(w.Count().Limited, 1)
		w.Record(i, time.Now(), Advice{}, false) // a call of the system's own
		is.Equal(w.Count().Limited, 1)
		w.recordNow(i, Advice{Unreadable: []Field{{"limit", "-"}}})
		is.Equal(w.Count().Limited, 1)
		w.recordNow(i, Advice{})
		is.Equal(w.Count().Limited, 0)
	})
}

// A later, shorter rest doesn't shorten what was asked before.
func TestShorterBackoffDoesNotReplaceLongerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestRegistry(t)
		i := instance("a", 1)
		w.recordNow(i, Advice{Backoff: 3 * time.Second})
		time.Sleep(time.Second)
		w.recordNow(i, Advice{Backoff: time.Second})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(w.Count().BackingOff, 1)
		is.Equal(w.OpensAt(i.ID), w.BackoffUntil(i.ID))
		is.True(w.BackoffUntil(i.ID).After(time.Now().Add(499 * time.Millisecond)))
		time.Sleep(time.Second)
		is.Equal(w.Count().BackingOff, 0)
	})
}

// A later run under the same name has asked nothing.
func TestRestartedRunnerHasNoAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestRegistry(t)
		w.recordNow(instance("a", 1), Advice{Leaving: true})
		is.True(w.Leaving(state.InstanceID{Name: "a", Born: 1}))
		is.True(!w.Leaving(state.InstanceID{Name: "a", Born: 2}))
	})
}

// What a run asked outlives its entry in the list for a while: entries of living runners go
// missing around an outage of the store. After that it is forgotten.
func TestUnlistedRunsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestRegistry(t)
		i := instance("a", 1)
		w.recordNow(i, Advice{Leaving: true})
		for range 5 {
			time.Sleep(unlistedTTL / 2)
			w.UpdateListed([]state.Instance{*i})
		}
		w.UpdateListed(nil)
		time.Sleep(unlistedTTL / 2)
		w.UpdateListed(nil)
		is.True(w.Leaving(i.ID))
		time.Sleep(unlistedTTL)
		w.UpdateListed(nil)
		is.True(!w.Leaving(i.ID))
		for n := range maxRuns + 10 {
			w.recordNow(instance(fmt.Sprint("run-", n), 1), Advice{Leaving: true})
		}
		is.Equal(len(*w.runs.Load()), maxRuns)
	})
}

// What a runner asks of all hosts is told to them when it changes, and again while it holds; a
// rest concerns one host.
func TestAdviceIsBroadcastOnChangeAndRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestRegistry(t)
		i := instance("a", 1)
		for range 41 { // in 4 s
			w.recordNow(i, Advice{Limited: true, Limit: 8.4, Backoff: time.Second})
			time.Sleep(100 * time.Millisecond)
		}
		limit := Notice{i.ID, "s", KindLimit, 8.4}
		is.Equal(w.broadcast, []Notice{limit, limit, limit})
		w.broadcast = nil
		for n := range 20 { // a limit that changes with each answer, in 1 s
			w.recordNow(i, Advice{Limited: true, Limit: float64(n)})
			time.Sleep(50 * time.Millisecond)
		}
		is.True(len(w.broadcast) <= 5)
		w.broadcast = nil
		w.recordNow(i, Advice{Leaving: true})
		w.recordNow(i, Advice{Leaving: true})
		is.Equal(w.broadcast, []Notice{{i.ID, "s", KindLifted, 0}, {i.ID, "s", KindLeaving, 0}})
		is.Equal(w.leavingCalls, 1)
	})
}

// Another host's word counts, but for what this host has just heard itself, and isn't told on.
func TestNoticesOfOtherHostsApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestRegistry(t)
		i := instance("a", 1)
		w.HandleNotice(Notice{i.ID, "s", KindLimit, 8})
		rate, limited := w.Limit(i.ID)
		is.True(limited)
		is.Equal(rate, 8.0)
		time.Sleep(time.Second)
		w.recordNow(i, Advice{Limited: true, Limit: 9})
		w.broadcast = nil
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
		is.Equal(len(w.broadcast), 0)
	})
}

// After a rest one request at a time finds out whether the runner takes work again.
func TestOneTrialRequestAfterBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestRegistry(t)
		i := instance("a", 1)
		is.True(w.AllowTrial(i.ID)) // it never rested
		w.recordNow(i, Advice{Backoff: time.Second})
		is.True(w.AwaitsTrial(i.ID))
		time.Sleep(2 * time.Second)
		is.True(w.OpensAt(i.ID).IsZero())
		sentAt := time.Now()
		is.True(w.AllowTrial(i.ID))
		is.True(!w.AllowTrial(i.ID))
		is.True(!w.OpensAt(i.ID).IsZero()) // it isn't chosen meanwhile
		time.Sleep(trialTimeout)
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
