package order

import (
	"context"
	"fmt"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// The violations of invariants that a simulation reports.
const (
	conflictingOrders     = "conflicting orders"
	answerCutOff          = "an answer was cut by a planned change"
	orderWithoutAuthority = "an order without authority had an effect"
	unfinishedChange      = "a change didn't finish after all faults ended"
)

// receivedOrder is an order as an engine receives it.
type receivedOrder struct {
	fence  uint64
	target state.Target
}

// lateOrder is an order that is still on its way to an engine.
type lateOrder struct {
	receivedOrder
	arrivesBy time.Time
}

// fakeEngine accepts all orders, or, if checksFence is set, only those with a fence not
// below the highest so far. It reports violations of the invariants.
type fakeEngine struct {
	sim         *simulation
	name        string
	checksFence bool
	// hidesInFlight makes the engine show no requests in flight, so that only the
	// acknowledgements protect them.
	hidesInFlight bool
	hung          bool
	changing      bool
	target        state.Target
	highestFence  uint64
	// accepted are all accepted orders; restarts don't clear them.
	accepted []receivedOrder
	running  map[*request]bool
	late     []lateOrder
}

func (e *fakeEngine) shown() upstream.Shown {
	s := upstream.Shown{Target: e.target, Fence: e.highestFence, Changing: e.changing, At: e.sim.now}
	if !e.checksFence {
		s.Fence = 0
	}
	if !e.hidesInFlight {
		s.InFlight = len(e.running)
	}
	return s
}

// receive checks the invariants and applies an order, unless its fence is stale.
func (e *fakeEngine) receive(g receivedOrder) error {
	if e.checksFence && g.fence < e.highestFence {
		e.sim.stats["order refused by fence"]++
		return upstream.ErrStaleFence
	}
	e.highestFence = max(e.highestFence, g.fence)
	for _, o := range e.accepted {
		if o.fence > g.fence && !o.target.Equal(g.target) {
			e.sim.report(conflictingOrders, fmt.Sprintf("%s took %v@%d after %v@%d", e.name, g.target.Role, g.fence, o.target.Role, o.fence))
		}
	}
	e.accepted = append(e.accepted, g)
	if e.target.Equal(g.target) {
		return nil
	}
	e.sim.stats["engine changed"]++
	if o, err := e.sim.orderOf(e.name); err != nil || o.State != state.OrderIssued || !o.Desired.Equal(g.target) {
		e.sim.report(orderWithoutAuthority, fmt.Sprintf("%s changed to %v@%d while the order is %s %v@%d", e.name, g.target.Role, g.fence, o.State, o.Desired.Role, o.Fence))
	}
	if len(e.running) > 0 {
		e.sim.report(answerCutOff, fmt.Sprintf("%s changed to %v@%d with %d requests running", e.name, g.target.Role, g.fence, len(e.running)))
	}
	e.target = g.target
	e.changing = true
	e.endRequests()
	return nil
}

func (e *fakeEngine) endRequests() {
	for r := range e.running {
		r.end()
	}
}

// crash restarts the engine. An engine that checks fences keeps its highest fence.
func (e *fakeEngine) crash() {
	e.endRequests()
	e.late = nil
	e.changing, e.hung = false, false
	e.target = targets[0]
	if !e.checksFence {
		e.highestFence = 0
	}
}

// deliverLate makes the engine receive its late order i.
func (e *fakeEngine) deliverLate(i int) {
	g := e.late[i].receivedOrder
	e.late = append(e.late[:i], e.late[i+1:]...)
	_ = e.receive(g)
}

// request is a request that was counted as in flight at an engine.
type request struct {
	id       int
	host     *host
	engine   *fakeEngine
	ticket   interface{ Done() }
	deadline time.Time
}

// arrive makes the request reach its engine.
func (r *request) arrive() {
	if r.engine.changing {
		r.engine.sim.report(answerCutOff, fmt.Sprintf("a request reached %s during a change", r.engine.name))
	}
	r.engine.running[r] = true
}

func (r *request) end() {
	delete(r.engine.running, r)
	delete(r.host.requests, r)
	r.ticket.Done()
}

// orderOf reads an engine's order from the platform, without faults.
func (w *simulation) orderOf(engine string) (state.Order, error) {
	w.platform.SetScript(nil)
	obj, err := w.platform.Client("oracle").Get(context.Background(), store.KindOrder, engine)
	if err != nil {
		return state.Order{}, err
	}
	return decode(obj)
}
