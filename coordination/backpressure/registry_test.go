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
	r := &testRegistry{log: &bytes.Buffer{}, counts: countingObserver{}}
	var err error
	r.Registry, err = New(Options{Clock: clocktest.Bubble{}, Log: slog.New(slog.NewTextHandler(r.log, nil)), Observer: r.counts, Broadcast: func(n Notice) { r.broadcast = append(r.broadcast, n) }, OnLeaving: func() { r.leavingCalls++ }})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// recordNow takes an answer to a request that was sent just now.
func (r *testRegistry) recordNow(i *state.Instance, a Advice) { r.Record(i, time.Now(), a, true) }

func instance(name string, born int64) *state.Instance {
	return &state.Instance{ID: state.InstanceID{Name: name, Born: born}, Service: "s"}
}

// Each change of what a host believes of a runner is a line and a count; what is only said
// again is neither.
func TestOnlyChangesAreLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRegistry(t)
		i := instance("a", 1)
		for range 3 {
			r.recordNow(i, Advice{Limited: true, Limit: 8.4, Leaving: true, Backoff: time.Second, Unreadable: []Field{{"limit", "x"}}})
		}
		is.Equal(r.Count(), Counts{Limited: 1, Leaving: 1, BackingOff: 1})
		for _, line := range []string{"runner names a limit", "runner says that it leaves", "runner asks for rest", "not readable"} {
			is.Equal(strings.Count(r.log.String(), line), 1)
		}
		is.Equal(r.counts[KindLimit], 1)
		is.Equal(r.counts[KindUnreadable], 3)
		time.Sleep(2 * time.Second)
		r.recordNow(i, Advice{})
		is.Equal(r.Count(), Counts{Leaving: 1}) // leaving has no end
		is.Equal(strings.Count(r.log.String(), "names no limit any more"), 1)
	})
}

// Answers overtake each other: one that was asked for before the limit was heard lifts nothing.
func TestOnlyANewerAnswerLiftsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRegistry(t)
		i := instance("a", 1)
		beforeLimit := time.Now()
		time.Sleep(time.Second)
		r.recordNow(i, Advice{Limited: true, Limit: 8})
		time.Sleep(time.Second)
		r.Record(i, beforeLimit, Advice{}, true)
		is.Equal(r.Count().Limited, 1)
		r.Record(i, time.Now(), Advice{}, false) // a call of the system's own
		is.Equal(r.Count().Limited, 1)
		r.recordNow(i, Advice{Unreadable: []Field{{"limit", "-"}}})
		is.Equal(r.Count().Limited, 1)
		r.recordNow(i, Advice{})
		is.Equal(r.Count().Limited, 0)
	})
}

// A later, shorter rest doesn't shorten what was asked before.
func TestShorterBackoffDoesNotReplaceLongerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRegistry(t)
		i := instance("a", 1)
		r.recordNow(i, Advice{Backoff: 3 * time.Second})
		time.Sleep(time.Second)
		r.recordNow(i, Advice{Backoff: time.Second})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(r.Count().BackingOff, 1)
		is.Equal(r.OpensAt(i.ID), r.BackoffUntil(i.ID))
		is.True(r.BackoffUntil(i.ID).After(time.Now().Add(499 * time.Millisecond)))
		time.Sleep(time.Second)
		is.Equal(r.Count().BackingOff, 0)
	})
}

// A later run under the same name has asked nothing.
func TestRestartedRunnerHasNoAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRegistry(t)
		r.recordNow(instance("a", 1), Advice{Leaving: true})
		is.True(r.Leaving(state.InstanceID{Name: "a", Born: 1}))
		is.True(!r.Leaving(state.InstanceID{Name: "a", Born: 2}))
	})
}

// What a run asked outlives its entry in the list for a while: entries of living runners go
// missing around an outage of the store. After that it is forgotten.
func TestUnlistedRunsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRegistry(t)
		i := instance("a", 1)
		r.recordNow(i, Advice{Leaving: true})
		for range 5 {
			time.Sleep(unlistedTTL / 2)
			r.UpdateListed([]state.Instance{*i})
		}
		r.UpdateListed(nil)
		time.Sleep(unlistedTTL / 2)
		r.UpdateListed(nil)
		is.True(r.Leaving(i.ID))
		time.Sleep(unlistedTTL)
		r.UpdateListed(nil)
		is.True(!r.Leaving(i.ID))
		for n := range maxRuns + 10 {
			r.recordNow(instance(fmt.Sprint("run-", n), 1), Advice{Leaving: true})
		}
		is.Equal(len(*r.runs.Load()), maxRuns)
	})
}

// What a runner asks of all hosts is told to them when it changes, and again while it holds; a
// rest concerns one host.
func TestAdviceIsBroadcastOnChangeAndRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRegistry(t)
		i := instance("a", 1)
		for range 41 { // in 4 s
			r.recordNow(i, Advice{Limited: true, Limit: 8.4, Backoff: time.Second})
			time.Sleep(100 * time.Millisecond)
		}
		limit := Notice{i.ID, "s", KindLimit, 8.4}
		is.Equal(r.broadcast, []Notice{limit, limit, limit})
		r.broadcast = nil
		for n := range 20 { // a limit that changes with each answer, in 1 s
			r.recordNow(i, Advice{Limited: true, Limit: float64(n)})
			time.Sleep(50 * time.Millisecond)
		}
		is.True(len(r.broadcast) <= 5)
		r.broadcast = nil
		r.recordNow(i, Advice{Leaving: true})
		r.recordNow(i, Advice{Leaving: true})
		is.Equal(r.broadcast, []Notice{{i.ID, "s", KindLifted, 0}, {i.ID, "s", KindLeaving, 0}})
		is.Equal(r.leavingCalls, 1)
	})
}

// Another host's word counts, but for what this host has just heard itself, and isn't told on.
func TestNoticesOfOtherHostsApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRegistry(t)
		i := instance("a", 1)
		r.HandleNotice(Notice{i.ID, "s", KindLimit, 8})
		rate, limited := r.Limit(i.ID)
		is.True(limited)
		is.Equal(rate, 8.0)
		time.Sleep(time.Second)
		r.recordNow(i, Advice{Limited: true, Limit: 9})
		r.broadcast = nil
		r.HandleNotice(Notice{i.ID, "s", KindLimit, 8})
		r.HandleNotice(Notice{i.ID, "s", KindLifted, 0})
		rate, _ = r.Limit(i.ID)
		is.Equal(rate, 9.0) // its own word
		time.Sleep(time.Second)
		r.HandleNotice(Notice{i.ID, "s", KindLifted, 0})
		_, limited = r.Limit(i.ID)
		is.True(!limited)
		r.HandleNotice(Notice{i.ID, "s", KindLeaving, 0})
		is.True(r.Leaving(i.ID))
		r.HandleNotice(Notice{i.ID, "s", "something new", 0})
		is.Equal(len(r.broadcast), 0)
	})
}

// After a rest one request at a time finds out whether the runner takes work again.
func TestOneTrialRequestAfterBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRegistry(t)
		i := instance("a", 1)
		is.True(r.AllowTrial(i.ID)) // it never rested
		r.recordNow(i, Advice{Backoff: time.Second})
		is.True(r.AwaitsTrial(i.ID))
		time.Sleep(2 * time.Second)
		is.True(r.OpensAt(i.ID).IsZero())
		sentAt := time.Now()
		is.True(r.AllowTrial(i.ID))
		is.True(!r.AllowTrial(i.ID))
		is.True(!r.OpensAt(i.ID).IsZero()) // it isn't chosen meanwhile
		time.Sleep(trialTimeout)
		is.True(r.AllowTrial(i.ID)) // the first one was lost
		r.Record(i, sentAt.Add(-2*time.Second), Advice{}, true)
		is.True(r.AwaitsTrial(i.ID)) // asked for before the rest
		r.Record(i, sentAt, Advice{}, true)
		is.True(!r.AwaitsTrial(i.ID))
		is.True(r.OpensAt(i.ID).IsZero())
		is.True(r.AllowTrial(i.ID))
		is.True(r.AllowTrial(i.ID))
	})
}
