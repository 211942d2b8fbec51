package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// keeperWithRoles returns a keeper with one engine of each given role. Each engine
// reports 1000 prompt tokens per second and decode steps of 10 ms.
func keeperWithRoles(roles ...state.Role) *snapshot.Keeper {
	k := snapshot.NewKeeper()
	var list []state.Listed
	for i := range roles {
		list = append(list, state.Listed{Name: fmt.Sprint("e", i), Kind: state.ListedEngine, State: state.ListedLive, Incarnation: "1", Service: "llm"})
	}
	k.SetListed(list)
	for i, role := range roles {
		k.SetLoad(state.LoadReport{
			Engine: list[i].Name, TakenAt: time.Unix(1, 0), Shown: state.Target{Role: role},
			PrefillTokensPerSecond: 1000, DecodeStepMillis: 10,
		})
	}
	return k
}

// newFleetCapacity returns a FleetCapacity that shares the fleet among a number of
// hosts.
func newFleetCapacity(t *testing.T, k *snapshot.Keeper, hosts int) *FleetCapacity {
	t.Helper()
	f, err := NewFleetCapacity(FleetCapacityOptions{
		Clock: &manualClock{}, View: k.View, Hosts: func() int { return hosts },
		Batch: 10, PrefillBacklog: time.Second, PrefillRoleBacklog: 2 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestCapacityIsTheHostsShareOfTheFleet(t *testing.T) {
	is := is.New(t)
	k := keeperWithRoles(state.RolePrefill, state.RoleDecode, state.RoleMixed, state.RoleMixed)
	capacity := newFleetCapacity(t, k, 2).Capacity("llm")
	is.Equal(capacity.Runners, 4)
	is.Equal(capacity.Requests, int64(3*10/2))        // three engines decode
	is.Equal(capacity.PrefillTokens, int64(4*1000/2)) // 2 s of the prefill engine, 1 s of each mixed one
	is.Equal(capacity.PrefillPerSecond, 3*1000/2.0)   // three engines prefill
	is.Equal(capacity.DecodePerSecond, 3*10/0.01/2.0) // in full batches
	is.Equal(capacity.TokenInterval, 10*time.Millisecond)
}

func TestCapacityExcludesDrainingAndLeavingRunners(t *testing.T) {
	is := is.New(t)
	k := keeperWithRoles(state.RoleMixed, state.RoleMixed, state.RoleMixed)
	f := newFleetCapacity(t, k, 1)
	k.MarkLeaving("e0", "1")
	k.SetOrder(state.Order{Engine: "e1", Fence: 1, State: state.OrderDraining})
	is.Equal(f.Capacity("llm").Runners, 1)
	k.SetHealth("e2", false)
	is.Equal(f.Capacity("llm").Runners, 0)
	is.Equal(f.Capacity("unknown").Runners, 0)
}

func TestFreeCapacityIsSharedAmongHosts(t *testing.T) {
	is := is.New(t)
	k := keeperWithRoles(state.RoleMixed, state.RoleMixed)
	k.View().Runner("e0").InFlight.Add(snapshot.Work{Requests: 4, PrefillTokens: 600})
	k.SetPeerWork(time.Unix(2, 0), map[string]snapshot.Work{"e1": {Requests: 8, PrefillTokens: 5000}})
	capacity := newFleetCapacity(t, k, 2).Capacity("llm")
	is.Equal(capacity.Requests, int64(10))
	is.Equal(capacity.FreeRequests, int64(20-12)/2)
	is.Equal(capacity.PrefillTokens, int64(1000))
	is.Equal(capacity.FreePrefillTokens, int64(0)) // the peers exceed the target
	is.Equal(capacity.InFlight, snapshot.Work{Requests: 4, PrefillTokens: 600})
}
