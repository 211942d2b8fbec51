package member_test

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/member"
	"github.com/thymerack/thymerack/coordination/member/membertest"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// plan is a planner's change of one engine, as the orders section has it: CAS to
// draining, list the members, wait for all, CAS to issued, change, CAS to settled.
func (r *run) plan(h *membertest.Host, engine string) {
	if !r.lockPlan(engine) {
		return
	}
	defer r.unlockPlan(engine)
	o, version, ok := r.move(h, engine, state.OrderDraining, nil)
	if !ok {
		return
	}
	defer r.move(h, engine, state.OrderIdle, func(now state.Order) bool { return now.State == state.OrderDraining && now.Fence == o.Fence })
	members, err := member.List(h.Context, h.Store)
	if err != nil || !r.await(h, members, o) {
		return
	}
	r.truth.change(engine, h)
	defer r.truth.settle(engine)
	_, issued, ok := r.move(h, engine, state.OrderIssued, func(now state.Order) bool { return now.Fence == o.Fence })
	if ok && issued > version {
		_ = clocktest.Bubble{}.Sleep(h.Context, changeTime)
		r.truth.settle(engine)
		r.move(h, engine, state.OrderSettled, nil)
	}
}

// lockPlan lets one planner at a time work on an engine: races between planners
// are the order package's affair.
func (r *run) lockPlan(engine string) bool {
	r.truth.mu.Lock()
	defer r.truth.mu.Unlock()
	if r.planning[engine] {
		return false
	}
	r.planning[engine] = true
	return true
}

func (r *run) unlockPlan(engine string) {
	r.truth.mu.Lock()
	defer r.truth.mu.Unlock()
	r.planning[engine] = false
}

// await waits until nobody who may have work is missing.
func (r *run) await(h *membertest.Host, members []state.Member, o state.Order) bool {
	for range drainTimeout / (250 * time.Millisecond) {
		missing := 0
		for _, id := range h.Complete(members, o.Engine, o.Fence) {
			if h.GoneFor(id) <= h.GoneBound() {
				missing++
			}
		}
		if missing == 0 {
			return true
		}
		if (clocktest.Bubble{}).Sleep(h.Context, 250*time.Millisecond) != nil {
			return false
		}
		h.Wait()
	}
	return false
}

// move changes an order by CAS, if it passes the test; a lost answer is read back.
func (r *run) move(h *membertest.Host, engine string, to state.OrderState, test func(state.Order) bool) (state.Order, uint64, bool) {
	for range 5 {
		var o state.Order
		object, err := h.Store.Get(h.Context, store.KindOrder, engine)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return o, 0, false
		}
		if err == nil {
			_ = json.Unmarshal(object.Value, &o)
		}
		if test != nil && !test(o) {
			return o, 0, false
		}
		o.Engine, o.Fence, o.State = engine, o.Fence+1, to
		value, _ := json.Marshal(o)
		version, err := h.Store.Put(h.Context, store.KindOrder, engine, object.Version, value)
		if err == nil {
			return o, version, true
		}
		if !store.IsUnknownOutcome(err) {
			return o, 0, false
		}
		if back, err := h.Store.Get(h.Context, store.KindOrder, engine); err == nil && string(back.Value) == string(value) {
			return o, back.Version, true
		}
	}
	return state.Order{}, 0, false
}
