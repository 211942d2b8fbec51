package occupancy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

// fakePeers connects the trackers of several hosts. Unreachable hosts don't answer.
type fakePeers struct {
	trackers    map[string]*Tracker
	unreachable map[string]bool
	// withoutPermits are hosts of a version that doesn't know permits.
	withoutPermits map[string]bool
	calls          []string
}

func (n *fakePeers) Enter(_ context.Context, addr string, req Request) (Response, error) {
	n.calls = append(n.calls, addr)
	if n.unreachable[addr] {
		return Response{}, errors.New("no answer")
	}
	return n.trackers[addr].Enter(req), nil
}

func (n *fakePeers) Remaining(_ context.Context, addr string, engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress, error) {
	if n.unreachable[addr] {
		return backlog.Forecast{}, backlog.InProgress, errors.New("no answer")
	}
	f, progress := n.trackers[addr].Remaining(engine, id)
	return f, progress, nil
}

func (n *fakePeers) Leave(_ context.Context, addr string, engine state.InstanceID, id uint64, done bool) error {
	if n.unreachable[addr] {
		return errors.New("no answer")
	}
	n.trackers[addr].Leave(engine, id, done)
	return nil
}

func (n *fakePeers) Permit(ctx context.Context, addr string, req PermitRequest) (Permit, error) {
	n.calls = append(n.calls, addr)
	if n.withoutPermits[addr] {
		return Permit{}, errors.New("unknown kind of request")
	}
	if n.unreachable[addr] {
		<-ctx.Done()
		return Permit{}, errors.New("no answer")
	}
	return n.trackers[addr].Permit(req, LimitShare{Fraction: shareOfRank(req.Rank)}), nil
}

// newGates returns the gates of hosts of the given classes, and the peers that connect them.
func newGates(t *testing.T, classes ...int) (*fakePeers, []*Gate) {
	t.Helper()
	n := &fakePeers{trackers: map[string]*Tracker{}, unreachable: map[string]bool{}, withoutPermits: map[string]bool{}}
	var hosts []state.Peer
	for i, class := range classes {
		hosts = append(hosts, state.Peer{Addr: fmt.Sprint("host-", i), Class: class})
	}
	var gates []*Gate
	for _, h := range hosts {
		n.trackers[h.Addr] = NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		g, err := NewGate(GateOptions{
			Tracker: n.trackers[h.Addr], Peers: n, Self: h.Addr, Hosts: func() []state.Peer { return hosts },
			Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		gates = append(gates, g)
	}
	return n, gates
}

func TestHostsShareOneCountPerEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, gates := newGates(t, 1, 1, 1, 1, 1, 1, 1, 1)
		for engine := range 20 {
			admitted := 0
			var last *Reservation
			for _, g := range gates {
				if v := g.Enter(t.Context(), slotRequest(fmt.Sprint("engine-", engine))); v.Reservation != nil {
					admitted++
					last = v.Reservation
				}
			}
			is.Equal(admitted, slots)
			last.Cancel()
			synctest.Wait()
			v := gates[0].Enter(t.Context(), slotRequest(fmt.Sprint("engine-", engine)))
			is.True(v.Reservation != nil) // the end was reported to the owner
			is.True(!v.LocalOnly)
		}
	})
}

func TestHostsOfHighestClassOwnCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, c := range []struct {
			classes []int
			owners  int
		}{
			{[]int{1, 1, 9, 9, 9, 9, 1}, 4},
			{[]int{1, 1, 1, 9}, 4}, // fewer than minOwners hosts of the best class
		} {
			_, gates := newGates(t, c.classes...)
			owners := map[string]bool{}
			for engine := range 200 {
				owners[gates[0].Owner(instanceID(fmt.Sprint("engine-", engine)))] = true
			}
			is.Equal(len(owners), c.owners)
		}
	})
}

func TestOwnersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, gates := newGates(t, make([]int, 320)...)
		owners := map[string]bool{}
		for engine := range 1800 {
			owners[gates[7].Owner(instanceID(fmt.Sprint("engine-", engine)))] = true
		}
		is.Equal(len(owners), maxOwners)
	})
}

func TestNextHostsReplaceUnreachableFirstHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, gates := newGates(t, 1, 1, 1, 1, 1, 1)
		among := func() (count int, of map[string]bool) {
			of = map[string]bool{}
			for _, g := range gates {
				if g.IsAmongFirst(2) {
					of[g.o.Self] = true
				}
			}
			return len(of), of
		}
		count, first := among()
		is.Equal(count, 2)
		for addr := range first {
			n.unreachable[addr] = true
		}
		for i := range 50 { // all hosts notice that they don't answer
			for _, g := range gates {
				g.Enter(t.Context(), slotRequest(fmt.Sprint("engine-", i)))
			}
		}
		_, second := among()
		count = 0
		for addr := range second {
			if !first[addr] {
				count++
			}
		}
		is.True(count >= 2)
	})
}

func TestUnreachableOwnerIsReplacedUntilItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, gates := newGates(t, 1, 1, 1, 1, 1, 1)
		owner := gates[0].Owner(instanceID("engine"))
		requester := gates[0]
		if owner == requester.o.Self {
			requester = gates[1]
		}
		n.unreachable[owner] = true
		v := requester.Enter(t.Context(), slotRequest("engine"))
		is.True(v.Reservation != nil) // another host owns the count meanwhile
		is.True(requester.Owner(instanceID("engine")) != owner)
		n.unreachable[owner] = false
		time.Sleep(minBackoff + time.Millisecond)
		is.Equal(requester.Owner(instanceID("engine")), owner)
		v = requester.Enter(t.Context(), slotRequest("engine"))
		is.True(v.Reservation != nil)
		is.True(!v.LocalOnly)
		is.Equal(len(requester.backoffs), 0)
	})
}

func TestOwnerBackoffGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, gates := newGates(t, 1, 1)
		for _, g := range gates {
			n.unreachable[g.o.Self] = true
		}
		other := gates[1].o.Self
		engine := ""
		for i := 0; engine == ""; i++ {
			if name := fmt.Sprint("engine-", i); gates[0].Owner(instanceID(name)) == other {
				engine = name
			}
		}
		for range 600 {
			gates[0].Enter(t.Context(), slotRequest(engine))
			time.Sleep(100 * time.Millisecond)
		}
		is.True(len(n.calls) <= 9) // 0.5, 1, 2, 4, 8 and then every 16 s of a minute
	})
}

// A request that is cancelled by its caller is no failure of the owner.
func TestCancelledRequestCausesNoBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, gates := newGates(t, 1, 1)
		for addr := range n.trackers {
			n.unreachable[addr] = true
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for i := range 10 {
			gates[0].Enter(ctx, slotRequest(fmt.Sprint("engine-", i)))
		}
		is.Equal(len(gates[0].backoffs), 0)
	})
}

// A host that knows no other hosts counts only its own work and reports that as LocalOnly.
func TestIsolatedHostCountsItsOwnWork(t *testing.T) {
	is := is.New(t)
	_, gates := newGates(t, 1)
	gates[0].o.Hosts = func() []state.Peer { return nil }
	for range slots {
		v := gates[0].Enter(t.Context(), slotRequest("engine"))
		is.True(v.Reservation != nil)
		is.True(v.LocalOnly)
	}
	v := gates[0].Enter(t.Context(), slotRequest("engine"))
	is.True(v.Reservation == nil)
	v.Reservation.Done() // nothing to end
	_, progress := v.Reservation.Remaining(t.Context())
	is.Equal(progress, backlog.Unknown)
}

func TestRemainingTimeComesFromOwner(t *testing.T) {
	is := is.New(t)
	n, gates := newGates(t, 1, 1, 1, 1)
	for i := range 20 {
		v := gates[0].Enter(t.Context(), prefillRequest(fmt.Sprint("engine-", i)))
		_, progress := v.Reservation.Remaining(t.Context())
		is.Equal(progress, backlog.InProgress)
		if v.Reservation.owner != gates[0].o.Self {
			n.unreachable[v.Reservation.owner] = true
			_, progress = v.Reservation.Remaining(t.Context())
			is.Equal(progress, backlog.Unknown) // the progress is unknown while the owner is unreachable
			n.unreachable[v.Reservation.owner] = false
		}
	}
}
