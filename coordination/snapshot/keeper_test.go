package snapshot

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
)

// engine returns an engine's entry in the platform's list.
func engine(name, incarnation string, s state.ListedState) state.Listed {
	return state.Listed{Name: name, Kind: state.ListedEngine, State: s, Incarnation: incarnation, Service: "llm"}
}

// Guards against a request that is sent to an engine whose drain was ordered between
// the choice of the runner and Enter, and against a Ticket that is counted out twice.
func TestEnterRejectsARunnerDrainedAfterTheChoice(t *testing.T) {
	is := is.New(t)
	k := NewKeeper()
	k.SetListed([]state.Listed{engine("e1", "1", state.ListedLive)})
	chosen := k.View().Runner("e1")
	before := k.Enter(chosen, Work{Requests: 1})
	is.True(before != nil)

	k.SetOrder(state.Order{Engine: "e1", Fence: 1, State: state.OrderDraining})
	is.True(k.Enter(chosen, Work{Requests: 1}) == nil)
	is.Equal(k.Draining(), []DrainStatus{{Engine: "e1", Fence: 1, InFlight: 1}})

	before.Done()
	before.Done()
	is.Equal(k.Draining(), []DrainStatus{{Engine: "e1", Fence: 1, InFlight: 0}})
}

// Guards against a drain that is acknowledged while requests are in flight, because
// the engine was missing from the platform's list for a while and its counts were lost.
func TestInFlightCountsSurviveAGapInTheList(t *testing.T) {
	is := is.New(t)
	k := NewKeeper()
	list := []state.Listed{engine("e1", "1", state.ListedLive)}
	k.SetListed(list)
	ticket := k.Enter(k.View().Runner("e1"), Work{Requests: 1})
	is.True(ticket != nil)
	k.SetListed(nil)
	k.SetOrder(state.Order{Engine: "e1", Fence: 1, State: state.OrderDraining})
	is.Equal(k.Draining()[0].InFlight, int64(1)) // while the engine isn't listed
	k.SetListed(list)
	is.Equal(k.Draining()[0].InFlight, int64(1)) // after it is listed again
}

// Orders of a lower fence, configurations of the same or a lower version and older
// load reports don't replace newer ones: updates may arrive out of order.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	is := is.New(t)
	k := NewKeeper()
	k.SetListed([]state.Listed{engine("e1", "1", state.ListedLive)})
	k.SetOrder(state.Order{Engine: "e1", Fence: 2, State: state.OrderDraining})
	k.SetOrder(state.Order{Engine: "e1", Fence: 1, State: state.OrderIdle})
	is.True(!k.View().Runner("e1").TakesWork())

	is.True(k.SetConfig(&state.Config{Version: 5}))
	is.True(!k.SetConfig(&state.Config{Version: 5}))
	is.True(!k.SetConfig(&state.Config{Version: 4}))
	is.Equal(k.View().Config.Version, uint64(5))

	k.SetLoad(state.LoadReport{Engine: "e1", TakenAt: time.Unix(2, 0), DecodeRunning: 2})
	k.SetLoad(state.LoadReport{Engine: "e1", TakenAt: time.Unix(1, 0), DecodeRunning: 1})
	is.Equal(k.View().Runner("e1").Load.DecodeRunning, int64(2))
}

// A peer's report that an upstream is leaving isn't undone by a platform list that
// still shows the same incarnation as live.
func TestLeavingHoldsUntilAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	k := NewKeeper()
	k.SetListed([]state.Listed{engine("e1", "1", state.ListedLive)})
	k.MarkLeaving("e1", "1") // reported by a peer before the platform's list shows it here
	k.SetListed([]state.Listed{engine("e1", "1", state.ListedLive)})
	is.True(!k.View().Runner("e1").TakesWork())
	k.SetListed([]state.Listed{engine("e1", "2", state.ListedLive)})
	is.True(k.View().Runner("e1").TakesWork())
}
