package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

func instanceID(name string) state.InstanceID { return state.InstanceID{Name: name} }

func newFleet(domain string, n int, role state.Role) *Fleet {
	f := NewFleet(Options{Clock: clocktest.Bubble{}, FailureDomain: domain})
	var list []state.Instance
	for i := range n {
		list = append(list, state.Instance{ID: instanceID(fmt.Sprintf("e%02d", i)), Service: "s", FailureDomain: fmt.Sprint("d", i%3), Role: role})
	}
	f.Update(list)
	return f
}

// A restarted runner keeps its name but not its load: it starts without failures, and late
// results of the former run don't change it.
func TestRestartedRunnerHasNewLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := NewFleet(Options{Clock: clocktest.Bubble{}})
		run := func(born int64) state.Instance {
			return state.Instance{ID: state.InstanceID{Name: "e", Born: born}, Service: "s", Role: state.RoleDecode}
		}
		f.Update([]state.Instance{run(1)})
		before := f.Runners("s")[0]
		end := before.Begin()
		before.RecordConnectionFailure()
		f.ExpectRole([]state.InstanceID{run(1).ID}, state.RolePrefill, time.Minute)
		f.Update([]state.Instance{run(2)})
		is.True(!f.Accepts(run(1).ID)) // a runner chosen before gets no more requests
		is.True(f.Accepts(run(2).ID))
		after := f.Runners("s")[0]
		before.RecordConnectionFailure()
		f.ExpectRole([]state.InstanceID{run(1).ID}, state.RolePrefill, time.Minute)
		end()
		is.True(!after.Suspect(time.Now()))
		is.Equal(after.FailureRate(time.Now()), 0.0)
		is.Equal(after.InFlight(), int64(0))
		is.Equal(sessionScore("x", before), sessionScore("x", after)) // sessions stay with the name
	})
}

func TestReplacedByInstanceAtSameAddress(t *testing.T) {
	is := is.New(t)
	f := NewFleet(Options{Clock: clocktest.Bubble{}})
	at := func(name string, born int64, addr string) state.Instance {
		return state.Instance{ID: state.InstanceID{Name: name, Born: born}, Service: "s", Addr: addr}
	}
	run := at("e", 1, "a:1")
	f.Update([]state.Instance{run, at("f", 1, "b:1")})
	is.True(!f.Replaced(&run)) // still listed itself
	f.Update([]state.Instance{at("f", 1, "b:1")})
	is.True(!f.Replaced(&run)) // nothing is listed at its address
	f.Update([]state.Instance{at("e", 2, "a:1")})
	is.True(f.Replaced(&run))
	f.Update([]state.Instance{at("g", 1, "a:1")})
	is.True(f.Replaced(&run))
}

func TestHostsChooseSamePrefillEngineForSession(t *testing.T) {
	is := is.New(t)
	a, b := newFleet("d0", 9, state.RolePrefill), newFleet("d1", 9, state.RolePrefill)
	sessionsOf := map[state.InstanceID]int{}
	const sessions = 900
	for i := range sessions {
		session := fmt.Sprint("session-", i)
		x := a.ChooseForPrefill(Pool{Service: "s"}, session, nil)
		y := b.ChooseForPrefill(Pool{Service: "s"}, session, nil)
		is.Equal(x.Instance.ID, y.Instance.ID)
		sessionsOf[x.Instance.ID]++
	}
	for _, n := range sessionsOf {
		is.True(n > sessions/9/2 && n < sessions/9*2) // spread evenly
	}
}

func TestOnlySessionsOfRemovedEngineMove(t *testing.T) {
	is := is.New(t)
	f, withoutLast := newFleet("d0", 9, state.RolePrefill), newFleet("d0", 8, state.RolePrefill)
	for i := range 500 {
		session := fmt.Sprint("session-", i)
		before := f.ChooseForPrefill(Pool{Service: "s"}, session, nil)
		after := withoutLast.ChooseForPrefill(Pool{Service: "s"}, session, nil)
		if before.Instance.ID != instanceID("e08") {
			is.Equal(before.Instance.ID, after.Instance.ID)
		}
	}
}

func TestOverloadedSessionEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFleet("d0", 9, state.RolePrefill)
	preferred := f.ChooseForPrefill(Pool{Service: "s"}, "x", nil)
	for range 10 {
		preferred.Begin()
	}
	chosen := f.ChooseForPrefill(Pool{Service: "s"}, "x", nil)
	is.True(chosen.Instance.ID != preferred.Instance.ID)
	again := f.ChooseForPrefill(Pool{Service: "s"}, "x", []state.InstanceID{chosen.Instance.ID})
	is.True(again.Instance.ID != chosen.Instance.ID)
}

func TestDecodePrefersOwnFailureDomain(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", 9, state.RoleDecode)
	for i := range 50 {
		for _, session := range []string{"", fmt.Sprint(i)} {
			is.Equal(f.ChooseForDecode(Pool{Service: "s"}, session, "", nil).Instance.FailureDomain, "d1")
		}
	}
	for _, r := range f.Runners("s") {
		if r.Instance.FailureDomain == "d1" {
			for range 20 {
				r.Begin()
			}
		}
	}
	for _, session := range []string{"", "x"} {
		is.True(f.ChooseForDecode(Pool{Service: "s"}, session, "", nil).Instance.FailureDomain != "d1") // the preference has a limit
	}
}

func TestChoiceMatchesRole(t *testing.T) {
	is := is.New(t)
	f := newFleet("d0", 3, state.RoleDecode)
	chosen := f.ChooseForPrefill(Pool{Service: "s"}, "x", nil)
	is.True(chosen == nil)
	is.True(f.ChooseForDecode(Pool{Service: "s"}, "x", "", nil) != nil)
	is.True(f.ChooseForDecode(Pool{Service: "s"}, "x", "", []state.InstanceID{instanceID("e00"), instanceID("e01"), instanceID("e02")}) == nil)
	is.True(f.ChooseForCall(Pool{Service: "other"}, nil) == nil)
}

// Engines that change their role refuse all requests for some seconds, so they are avoided
// before the first refusal.
func TestEngineExpectedToChangeRoleIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("d0", 3, state.RoleDecode)
		f.ExpectRole([]state.InstanceID{instanceID("e00"), instanceID("e01"), instanceID("gone")}, state.RolePrefill, 8*time.Second)
		for range 20 {
			chosen := f.ChooseForDecode(Pool{Service: "s"}, "", "", nil)
			is.Equal(chosen.Instance.ID, instanceID("e02"))
			chosen.RecordSuccess(time.Millisecond)
		}
		changing := f.ChooseForDecode(Pool{Service: "s"}, "", "", []state.InstanceID{instanceID("e02")}) // chosen if nothing else is left
		is.True(changing != nil)
		changing.RecordSuccess(time.Millisecond) // a request accepted before the change
		is.Equal(f.ChooseForDecode(Pool{Service: "s"}, "", "", nil).Instance.ID, instanceID("e02"))

		f.Update([]state.Instance{
			{ID: instanceID("e00"), Service: "s", Role: state.RolePrefill}, {ID: instanceID("e01"), Service: "s", Role: state.RoleDecode}, {ID: instanceID("e02"), Service: "s", Role: state.RoleDecode},
		})
		prefiller := f.ChooseForPrefill(Pool{Service: "s"}, "", nil)
		is.Equal(prefiller.Instance.ID, instanceID("e00"))
		is.True(!prefiller.Suspect(time.Now()))
		is.Equal(f.ChooseForDecode(Pool{Service: "s"}, "", "", nil).Instance.ID, instanceID("e02"))
		time.Sleep(8*time.Second + time.Millisecond) // the order to e01 was lost
		is.True(!f.ChooseForDecode(Pool{Service: "s"}, "", "", []state.InstanceID{instanceID("e02")}).Suspect(time.Now()))
	})
}

func TestDrainingInstanceIsNeverChosen(t *testing.T) {
	is := is.New(t)
	f := newFleet("d0", 2, "")
	f.Update([]state.Instance{{ID: instanceID("e00"), Service: "s", Draining: true}, {ID: instanceID("e01"), Service: "s"}})
	is.True(!f.Accepts(instanceID("e00")))
	is.True(f.Accepts(instanceID("e01")))
	for range 20 {
		is.Equal(f.ChooseForCall(Pool{Service: "s"}, nil).Instance.ID, instanceID("e01"))
	}
}

func TestRunnerIsAvoidedAfterConnectionFailureAndUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("d0", 2, "")
		broken := f.Runners("s")[0]
		broken.RecordConnectionFailure()
		for range 20 {
			is.True(f.ChooseForCall(Pool{Service: "s"}, nil).Instance.ID != broken.Instance.ID)
		}
		is.Equal(f.ChooseForCall(Pool{Service: "s"}, []state.InstanceID{f.Runners("s")[1].Instance.ID}), broken) // chosen if nothing else is left
		time.Sleep(suspectMinBackoff + 20*failureHalfLife)
		is.True(!broken.Suspect(time.Now()))
		other := f.Runners("s")[1]
		for range 5 {
			other.Begin()
		}
		is.Equal(f.ChooseForCall(Pool{Service: "s"}, nil), broken)
	})
}

func TestConnectionFailureBackoffGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoad(clocktest.Bubble{})
		for range 20 {
			l.RecordConnectionFailure()
		}
		is.True(l.Suspect(time.Now().Add(suspectMaxBackoff - time.Millisecond)))
		is.True(!l.Suspect(time.Now().Add(suspectMaxBackoff)))
		l.RecordSuccess(time.Millisecond)
		is.True(!l.Suspect(time.Now()))
	})
}

func TestRunnerIsAvoidedBrieflyAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("d0", 9, state.RoleDecode)
		preferred := f.ChooseForDecode(Pool{Service: "s"}, "x", "", nil)
		preferred.RecordRefusal() // its role has changed, which the list doesn't show yet
		for range 20 {
			is.True(f.ChooseForDecode(Pool{Service: "s"}, "x", "", nil) != preferred)
		}
		time.Sleep(refusalMinBackoff + 20*failureHalfLife)
		is.Equal(f.ChooseForDecode(Pool{Service: "s"}, "x", "", nil), preferred)
	})
}

func TestFailingRunnerCostsMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("d0", 2, "")
		failing, healthy := f.Runners("s")[0], f.Runners("s")[1]
		for i := range 20 {
			if i%2 == 0 {
				failing.RecordFailure()
			} else {
				failing.RecordSuccess(initialLatency)
			}
			healthy.RecordSuccess(initialLatency)
		}
		healthy.Begin() // one more in flight than at the other
		is.Equal(f.ChooseForCall(Pool{Service: "s"}, nil), healthy)
	})
}

// Other hosts' report that a runner is unresponsive counts until it is withdrawn or expires,
// unless this host got a response from the runner just before.
func TestRunnerReportedUnresponsiveIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("d0", 2, "")
		reported, other := f.Runner(instanceID("e00")), f.Runner(instanceID("e01"))
		f.ApplyReport(instanceID("e00"), time.Second)
		f.ApplyReport(instanceID("gone"), time.Second)
		for range 20 {
			is.Equal(f.ChooseForCall(Pool{Service: "s"}, nil).Instance.ID, other.Instance.ID)
		}
		f.ApplyReport(instanceID("e00"), 0)
		is.True(!reported.Suspect(time.Now()))
		other.RecordSuccess(time.Millisecond)
		f.ApplyReport(instanceID("e01"), time.Second)
		is.True(!other.Suspect(time.Now()))
		f.ApplyReport(instanceID("e00"), time.Second)
		time.Sleep(time.Second)
		is.True(!reported.Suspect(time.Now()))
		is.Equal(f.ServiceSize(instanceID("e00")), 2)
		is.Equal(f.ServiceSize(instanceID("gone")), 0)
	})
}

// All spot engines of a failure domain are lost together, so the backup of a spot engine is not
// placed at another one there. Backups of other engines stay in the domain.
func TestBackupAvoidsSharedSpotFailure(t *testing.T) {
	for _, spot := range []bool{true, false} {
		is := is.New(t)
		f := NewFleet(Options{Clock: clocktest.Bubble{}, FailureDomain: "d0"})
		var list []state.Instance
		for i := range 9 {
			list = append(list, state.Instance{ID: instanceID(fmt.Sprint("e", i)), Service: "s", FailureDomain: fmt.Sprint("d", i%3), Role: state.RoleDecode, Spot: spot})
		}
		f.Update(list)
		for range 50 {
			sameDomain := f.ChooseForBackup(Pool{Service: "s"}, &list[0], []state.InstanceID{list[0].ID}).Instance.FailureDomain == "d0"
			is.Equal(sameDomain, !spot)
		}
		f.Update(list[:1])
		is.True(f.ChooseForBackup(Pool{Service: "s"}, &list[0], []state.InstanceID{list[0].ID}) == nil)
	}
}
