package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/state"
)

// StaleFenceError says that an order carried an old fence.
type StaleFenceError struct {
	// Fence is the order's, Highest the highest accepted one.
	Fence, Highest uint64
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("the order's fence %d is below %d; drop it and read the order object again", e.Fence, e.Highest)
}

// change is an order being carried out.
type change struct {
	target state.Target
	timer  *time.Timer
}

// Order takes an order and returns at once; Show tells when it is carried out.
// A target other than the present one kills what runs. Errors are
// *StaleFenceError and *RequestError.
func (e *Engine) Order(r engineapi.OrderRequest) (engineapi.Shown, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Engine != e.o.Name || !r.Target.Role.Valid() || r.Target.Model == "" {
		return engineapi.Shown{}, &RequestError{fmt.Sprintf("the order names engine %q, role %q, model %q; this is engine %q",
			r.Engine, r.Target.Role, r.Target.Model, e.o.Name)}
	}
	stale := r.Fence < e.fence
	if stale && e.o.ChecksFence {
		e.stats.RefusedOrders++
		return engineapi.Shown{}, &StaleFenceError{r.Fence, e.fence}
	}
	e.fence = max(e.fence, r.Fence)
	accepted := AcceptedOrder{At: time.Now(), Fence: r.Fence, Nonce: r.Nonce, Target: r.Target, Stale: stale}
	accepted.Contradicts = e.change != nil && !e.change.target.Equal(r.Target)
	if !e.heading().Equal(r.Target) {
		accepted.Killed = e.begin(r.Target)
	}
	e.stats.Orders = append(e.stats.Orders, accepted)
	return e.show(), nil
}

// heading is what the engine is or is about to be; e.mu is held.
func (e *Engine) heading() state.Target {
	if e.change != nil {
		return e.change.target
	}
	return e.target
}

// begin starts a change and returns the number of sequences that it killed.
func (e *Engine) begin(t state.Target) int {
	if e.change != nil {
		e.change.timer.Stop()
	}
	victims := e.queue.all()
	for _, s := range victims {
		e.end(s, Killed)
	}
	takes := e.changeTime(t)
	if e.faults.crashInChange {
		time.AfterFunc(takes/2, func() { e.o.Exit(crashCode) })
	}
	c := &change{target: t}
	c.timer = time.AfterFunc(takes, func() { e.complete(c) })
	e.change = c
	return len(victims)
}

// changeTime is how long it takes to become t.
func (e *Engine) changeTime(t state.Target) time.Duration {
	var takes time.Duration
	if t.Role != e.target.Role {
		takes += e.o.RoleChange
	}
	if t.Model != e.target.Model {
		takes += e.o.ModelLoad
	}
	if !slices.Equal(t.Adapters, e.target.Adapters) {
		takes += e.o.AdapterLoad
	}
	return takes
}

// complete ends a change, unless another took its place.
func (e *Engine) complete(c *change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.change != c {
		return
	}
	e.change = nil
	e.target = c.target
	e.cache.clear()
	e.kv.clear()
}

// Show returns what the engine is at this moment.
func (e *Engine) Show() engineapi.Shown {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.show()
}

func (e *Engine) show() engineapi.Shown {
	return engineapi.Shown{
		Engine:      e.o.Name,
		Incarnation: e.incarnation,
		Target:      e.target,
		Fence:       e.fence,
		Changing:    e.change != nil,
		InFlight:    e.queue.size(),
	}
}
