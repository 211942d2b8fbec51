package order

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// scripted is a world of two hosts and one engine, driven by hand.
func scripted(t *testing.T, checks bool, weak weakness) (*fuzzRun, *fakeEngine, *host, *host) {
	e := &fakeEngine{name: "engine", checks: checks, hidesWork: true}
	w := newWorld(2, []*fakeEngine{e}, weak)
	t.Cleanup(w.close)
	return &fuzzRun{world: w}, e, w.hosts[0], w.hosts[1]
}

func (r *fuzzRun) ask(h *host, e *fakeEngine, target int) {
	h.spawn(func(ctx context.Context) {
		_, _ = h.desk.Request(ctx, e.name, testService, targets[target], "operator", "a wish")
	}).runTo("")
	r.spread()
}

// finishBy lets one planner bring the change to its end.
func (r *fuzzRun) finishBy(h *host, e *fakeEngine) {
	for range 6 {
		r.drive(h)
		e.changing = false
		r.advance(testResend)
	}
}

// An engine that ignores fences settles, serves, crashes and starts as something
// else; only then does the first holder, paused since its write, give its order.
// Were the order settled before that holder has let go, the order would cut the
// answers of the new start, or contradict a later order.
func TestOrderOfPausedHolderFindsNoWork(t *testing.T) {
	for _, m := range []struct {
		name  string
		weak  weakness
		found string
	}{
		{"whole", weakness{}, ""},
		{"settled while another may send", weakness{planner: plannerMutation{ignoreReleases: true}}, noAuthority},
	} {
		t.Run(m.name, func(t *testing.T) {
			is := is.New(t)
			r, e, a, b := scripted(t, false, m.weak)
			r.ask(a, e, 1)
			paused := r.planStep(a, e)
			paused.runTo("send")
			r.finishBy(b, e)
			is.True(e.target.Equal(targets[1])) // the successor has finished the order
			e.crash()
			if runner := a.keeper.View().Runner(e.name); runner.TakesWork() {
				e.running[&request{host: a, engine: e, ticket: a.enter(runner)}] = true
			}
			paused.runTo("")
			is.Equal(r.found, m.found)
			r.finishBy(b, e)
			o, err := r.orderOf(e.name)
			is.NoErr(err)
			is.True(o.TakesWork()) // it is taken into service once the holder has let go
		})
	}
}

// An engine that checks fences shows the desired state because of the first
// holder's order. The successor must still bring its own fence there, or the
// first holder's second order, with the old fence, would be obeyed later.
func TestSettledEngineHasTheFence(t *testing.T) {
	for _, m := range []struct {
		name  string
		weak  weakness
		found string
	}{
		{"whole", weakness{}, ""},
		{"settled without the fence", weakness{planner: plannerMutation{ignoreShownFence: true}}, noAuthority},
	} {
		t.Run(m.name, func(t *testing.T) {
			is := is.New(t)
			r, e, a, b := scripted(t, true, m.weak)
			r.ask(a, e, 1)
			first := r.planStep(a, e)
			first.runTo("send")
			first.resume(arrivesLate)
			first.runTo("")
			r.advance(testResend)
			second := r.planStep(a, e)
			second.runTo("send")
			e.deliver(0)
			e.changing = false
			takeover := r.planStep(b, e)
			takeover.runTo("send")
			takeover.resume(refused)
			takeover.runTo("")
			r.finishBy(b, e)
			o, err := r.orderOf(e.name)
			is.NoErr(err)
			is.True(o.TakesWork()) // settled
			e.crash()
			second.runTo("")
			is.Equal(r.found, m.found)
		})
	}
}

// The write of settled fails and is still on its way when the engine crashes. The
// holder gives the order again and is paused; now the write arrives, and the
// engine gets work. An order must not be given on the strength of a read that an
// own failed write may still overtake.
func TestLateSettleFindsNoOrderOnItsWay(t *testing.T) {
	for _, m := range []struct {
		checks bool
		weak   weakness
		found  string
	}{
		{true, weakness{}, ""},
		{false, weakness{}, ""},
		{true, weakness{planner: plannerMutation{sendAfterFailure: true}}, noAuthority},
		{false, weakness{planner: plannerMutation{sendAfterFailure: true}}, noAuthority},
	} {
		is := is.New(t)
		r, e, a, _ := scripted(t, m.checks, m.weak)
		r.ask(a, e, 1)
		first := r.planStep(a, e)
		first.runTo("send")
		first.resume(answerLost)
		first.runTo("")
		e.changing = false
		r.advance(testLinger)
		settling := r.planStep(a, e)
		settling.runTo("put order")
		settling.resume(arrivesLate)
		settling.runTo("")
		e.crash()
		again := r.planStep(a, e)
		again.runTo("send")
		r.late[0]()
		r.spread()
		if runner := a.keeper.View().Runner(e.name); runner.TakesWork() {
			e.running[&request{host: a, engine: e, ticket: a.enter(runner)}] = true
		}
		again.runTo("")
		is.Equal(r.found, m.found)
	}
}
