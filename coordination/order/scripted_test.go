package order

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// newScripted returns a simulation of two hosts and one engine whose calls the test
// orders itself.
func newScripted(t *testing.T, checks bool, mut mutation) (*fuzzRun, *fakeEngine, *host, *host) {
	e := &fakeEngine{name: "engine", checksFence: checks, hidesInFlight: true}
	w := newSimulation(2, []*fakeEngine{e}, mut)
	t.Cleanup(w.close)
	return &fuzzRun{simulation: w}, e, w.hosts[0], w.hosts[1]
}

// requestChange requests a change at h and lets all hosts learn of it.
func (r *fuzzRun) requestChange(h *host, e *fakeEngine, target int) {
	h.spawn(func(ctx context.Context) {
		_, _ = h.requester.Request(ctx, e.name, testService, targets[target], "operator", "test")
	}).runTo("")
	r.exchangeAll()
}

// finishChange runs the planner of h until the change has settled, without faults.
func (r *fuzzRun) finishChange(h *host, e *fakeEngine) {
	for range 6 {
		r.runPlanner(h)
		e.changing = false
		r.advance(testResendInterval)
	}
}

// An engine that ignores fences reaches the desired state, crashes and restarts in
// another state. Only then does the first holder, paused since its write, send its
// order. If the order were settled before that holder has released it, the late order
// would cut off answers of the restarted engine or contradict a later order.
func TestOrderOfPausedHolderCutsNoAnswer(t *testing.T) {
	for _, m := range []struct {
		name      string
		mutation  mutation
		violation string
	}{
		{"no mutation", mutation{}, ""},
		{"settled while another host may send", mutation{planner: plannerMutation{ignoreReleases: true}}, orderWithoutAuthority},
	} {
		t.Run(m.name, func(t *testing.T) {
			is := is.New(t)
			r, e, a, b := newScripted(t, false, m.mutation)
			r.requestChange(a, e, 1)
			paused := r.planStep(a, e)
			paused.runTo("send")
			r.finishChange(b, e)
			is.True(e.target.Equal(targets[1])) // the successor's order has taken effect
			e.crash()
			if runner := a.keeper.View().Runner(e.name); runner.TakesWork() {
				e.running[&request{host: a, engine: e, ticket: a.enter(runner)}] = true
			}
			paused.runTo("")
			is.Equal(r.violation, m.violation)
			r.finishChange(b, e)
			o, err := r.orderOf(e.name)
			is.NoErr(err)
			is.True(o.TakesWork()) // it takes requests again once the first holder has released the order
		})
	}
}

// An engine that checks fences shows the desired state because of the first holder's
// order. The successor must still send its order with a higher fence before it
// settles. Otherwise the engine would later accept the order that the first holder
// sends again with the old fence.
func TestSettledEngineHasTheFence(t *testing.T) {
	for _, m := range []struct {
		name      string
		mutation  mutation
		violation string
	}{
		{"no mutation", mutation{}, ""},
		{"settled without the fence", mutation{planner: plannerMutation{ignoreShownFence: true}}, orderWithoutAuthority},
	} {
		t.Run(m.name, func(t *testing.T) {
			is := is.New(t)
			r, e, a, b := newScripted(t, true, m.mutation)
			r.requestChange(a, e, 1)
			first := r.planStep(a, e)
			first.runTo("send")
			first.resume(arrivesLate)
			first.runTo("")
			r.advance(testResendInterval)
			second := r.planStep(a, e)
			second.runTo("send")
			e.deliverLate(0)
			e.changing = false
			takeover := r.planStep(b, e)
			takeover.runTo("send")
			takeover.resume(refused)
			takeover.runTo("")
			r.finishChange(b, e)
			o, err := r.orderOf(e.name)
			is.NoErr(err)
			is.True(o.TakesWork()) // settled
			e.crash()
			second.runTo("")
			is.Equal(r.violation, m.violation)
		})
	}
}

// The write of settled fails and is still on its way when the engine crashes. The
// holder is about to send the order again and is paused; now the write takes effect,
// and the engine gets requests. A holder must not send an order again after a read of
// a version that its own failed write may still replace.
func TestNoResendWhileFailedSettleMayArrive(t *testing.T) {
	for _, m := range []struct {
		checks    bool
		mutation  mutation
		violation string
	}{
		{true, mutation{}, ""},
		{false, mutation{}, ""},
		{true, mutation{planner: plannerMutation{sendAfterFailure: true}}, orderWithoutAuthority},
		{false, mutation{planner: plannerMutation{sendAfterFailure: true}}, orderWithoutAuthority},
	} {
		is := is.New(t)
		r, e, a, _ := newScripted(t, m.checks, m.mutation)
		r.requestChange(a, e, 1)
		first := r.planStep(a, e)
		first.runTo("send")
		first.resume(answerLost)
		first.runTo("")
		e.changing = false
		r.advance(testMaxDeliveryDelay)
		settling := r.planStep(a, e)
		settling.runTo("put order")
		settling.resume(arrivesLate)
		settling.runTo("")
		e.crash()
		resending := r.planStep(a, e)
		resending.runTo("send")
		r.late[0]()
		r.exchangeAll()
		if runner := a.keeper.View().Runner(e.name); runner.TakesWork() {
			e.running[&request{host: a, engine: e, ticket: a.enter(runner)}] = true
		}
		resending.runTo("")
		is.Equal(r.violation, m.violation)
	}
}
