package connlease

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/state"
)

const (
	// callTimeout bounds a request to a lender.
	callTimeout = Interval
	// waitTimeout bounds the time for which a caller's request waits for a lease: several round trips between failure
	// domains (2.8 ms each) behind bodies on a slow link (7 ms each).
	waitTimeout = 25 * time.Millisecond
)

// Peers calls the tables of other hosts at their peer addresses.
type Peers interface {
	Lend(ctx context.Context, addr string, req Request) (Response, error)
}

// Run keeps the leases until ctx ends.
func (t *Table) Run(ctx context.Context, peers Peers) {
	var calls conc.WaitGroup
	defer calls.Wait()
	round := func(all bool) {
		for _, ask := range t.Plan(all) {
			calls.Go(func() {
				bounded, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				resp, err := peers.Lend(bounded, ask.Addr, ask.Request)
				t.Settle(ask, resp, err)
			})
		}
	}
	calls.Go(func() {
		for t.o.Clock.Sleep(ctx, Interval) == nil {
			round(true)
		}
	})
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.kick:
			round(false)
		}
	}
}

// AcquireSoon is Acquire for a request that may wait for one lease.
func (t *Table) AcquireSoon(ctx context.Context, i *state.Instance) bool {
	if t.Acquire(i) {
		return true
	}
	settled := t.Borrow(i)
	if settled == nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	select {
	case <-settled:
	case <-bounded.Done():
	}
	return ctx.Err() == nil && t.Acquire(i)
}
