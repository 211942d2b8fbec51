// Package embed_test shows the decisions in use without the daemon.
package embed_test

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/thymerack/thymerack/coordination/claim"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
)

// clock is the machine's clock as a state.Clock.
type clock struct{}

func (clock) Now() time.Time { return time.Now() }

func (clock) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// A call that may not be repeated runs once, whichever host is asked again.
func Example_claims() {
	platform := storetest.NewPlatform(time.Second) // your store.Store goes here
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	newHost := func(name string) *claim.Claimer {
		c, err := claim.New(claim.Options{
			Store: platform.Client(name), Clock: clock{},
			Host: state.HostID{Name: name, Incarnation: uuid.NewString()},
		})
		if err != nil {
			panic(err)
		}
		go func() { _ = c.Run(ctx) }()
		return c
	}
	first, second := newHost("a"), newHost("b")
	call := claim.Call{Key: uuid.Must(uuid.NewV7()).String(), Customer: "depot", Fingerprint: 1}

	held, _, err := first.Begin(ctx, call)
	if err != nil {
		panic(err)
	}
	fmt.Println("the first host may send the call:", held != nil)
	if err := held.Done(ctx, state.RecordedAnswer{Status: 200, Body: []byte("confirmed")}); err != nil {
		panic(err)
	}

	held, outcome, err := second.Begin(ctx, call)
	if err != nil {
		panic(err)
	}
	fmt.Println("the second host may send it:", held != nil)
	fmt.Printf("it is told: %s, %s\n", outcome.Claim.State, outcome.Claim.Answer.Body)
	// Output:
	// the first host may send the call: true
	// the second host may send it: false
	// it is told: done, confirmed
}

// An acknowledged zero stays zero: a request that chose an engine before its
// drain is turned away after it.
func Example_drain() {
	keeper := snapshot.NewKeeper()
	keeper.SetListed([]state.Listed{{Name: "e1", Kind: state.ListedEngine, State: state.ListedLive, Service: "llm"}})
	chosen := keeper.View().Runner("e1")

	ticket := keeper.Enter(chosen, snapshot.Work{Requests: 1})
	keeper.SetOrder(state.Order{Engine: "e1", Fence: 1, State: state.OrderDraining})
	fmt.Println("in flight at the drain:", keeper.Draining()[0].InFlight)

	late := keeper.Enter(chosen, snapshot.Work{Requests: 1})
	fmt.Println("a later request gets in:", late != nil)

	ticket.Done()
	fmt.Println("to be acknowledged now:", keeper.Draining()[0].InFlight)
	// Output:
	// in flight at the drain: 1
	// a later request gets in: false
	// to be acknowledged now: 0
}
