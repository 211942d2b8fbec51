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

func (p *fakePeers) Enter(_ context.Context, addr string, req Request) (Response, error) {
	p.calls = append(p.calls, addr)
	if p.unreachable[addr] {
		return Response{}, errors.New("no answer")
	}
	return p.trackers[addr].Enter(req), nil
}

func (p *fakePeers) Remaining(_ context.Context, addr string, engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress, error) {
	if p.unreachable[addr] {
		return backlog.Forecast{}, backlog.InProgress, errors.New("no answer")
	}
	f, progress := p.trackers[addr].Remaining(engine, id)
	return f, progress, nil
}

func (p *fakePeers) Leave(_ context.Context, addr string, engine state.InstanceID, id uint64, done bool) error {
	if p.unreachable[addr] {
		return errors.New("no answer")
	}
	p.trackers[addr].Leave(engine, id, done)
	return nil
}

func (p *fakePeers) Permit(ctx context.Context, addr string, req PermitRequest) (Permit, error) {
	p.calls = append(p.calls, addr)
	if p.withoutPermits[addr] {
		return Permit{}, errors.New("unknown kind of request")
	}
	if p.unreachable[addr] {
		<-ctx.Done()
		return Permit{}, errors.New("no answer")
	}
	return p.trackers[addr].Permit(req, LimitShare{Fraction: shareOfRank(req.Rank)}), nil
}

// newGates returns the gates of hosts of the given classes, and the peers that connect them.
func newGates(t *testing.T, classes ...int) (*fakePeers, []*Gate) {
	t.Helper()
	peers := &fakePeers{trackers: map[string]*Tracker{}, unreachable: map[string]bool{}, withoutPermits: map[string]bool{}}
	var hosts []state.Peer
	for i, class := range classes {
		hosts = append(hosts, state.Peer{Addr: fmt.Sprint("host-", i), Class: class})
	}
	var gates []*Gate
	for _, h := range hosts {
		peers.trackers[h.Addr] = NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		g, err := NewGate(GateOptions{
			Tracker: peers.trackers[h.Addr], Peers: peers, Self: h.Addr, Hosts: func() []state.Peer { return hosts },
			Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		gates = append(gates, g)
	}
	return peers, gates
}

func TestHostsShareOneCountPerEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, gates := newGates(t, 1, 1, 1, 1, 1, 1, 1, 1)
		for engine := range 20 {
			admitted := 0
			var last *Reservation
			for _, g := range gates {
				if result := g.Enter(t.Context(), slotRequest(fmt.Sprint("engine-", engine))); result.Reservation != nil {
					admitted++
					last = result.Reservation
				}
			}
			is.Equal(admitted, slots)
			last.Cancel()
			synctest.Wait()
			result := gates[0].Enter(t.Context(), slotRequest(fmt.Sprint("engine-", engine)))
			is.True(result.Reservation != nil) // the end was reported to the owner
			is.True(!result.LocalOnly)
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
		peers, gates := newGates(t, 1, 1, 1, 1, 1, 1)
		firstHosts := func() (count int, hosts map[string]bool) {
			hosts = map[string]bool{}
			for _, g := range gates {
				if g.IsAmongFirst(2) {
					hosts[g.o.Self] = true
				}
			}
			return len(hosts), hosts
		}
		count, first := firstHosts()
		is.Equal(count, 2)
		for addr := range first {
			peers.unreachable[addr] = true
		}
		for i := range 50 { // all hosts notice that they don't answer
			for _, g := range gates {
				g.Enter(t.Context(), slotRequest(fmt.Sprint("engine-", i)))
			}
		}
		_, second := firstHosts()
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
		peers, gates := newGates(t, 1, 1, 1, 1, 1, 1)
		owner := gates[0].Owner(instanceID("engine"))
		requester := gates[0]
		if owner == requester.o.Self {
			requester = gates[1]
		}
		peers.unreachable[owner] = true
		result := requester.Enter(t.Context(), slotRequest("engine"))
		is.True(result.Reservation != nil) // another host owns the count meanwhile
		is.True(requester.Owner(instanceID("engine")) != owner)
		peers.unreachable[owner] = false
		time.Sleep(minBackoff + time.Millisecond)
		is.Equal(requester.Owner(instanceID("engine")), owner)
		result = requester.Enter(t.Context(), slotRequest("engine"))
		is.True(result.Reservation != nil)
		is.True(!result.LocalOnly)
		is.Equal(len(requester.backoffs), 0)
	})
}

func TestOwnerBackoffGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers, gates := newGates(t, 1, 1)
		for _, g := range gates {
			peers.unreachable[g.o.Self] = true
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
		is.True(len(peers.calls) <= 9) // 0.5, 1, 2, 4, 8 and then every 16 s of a minute
	})
}

// A request that is cancelled by its caller is no failure of the owner.
func TestCancelledRequestCausesNoBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers, gates := newGates(t, 1, 1)
		for addr := range peers.trackers {
			peers.unreachable[addr] = true
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
		result := gates[0].Enter(t.Context(), slotRequest("engine"))
		is.True(result.Reservation != nil)
		is.True(result.LocalOnly)
	}
	result := gates[0].Enter(t.Context(), slotRequest("engine"))
	is.True(result.Reservation == nil)
	result.Reservation.Done() // nothing to end
	_, progress := result.Reservation.Remaining(t.Context())
	is.Equal(progress, backlog.Unknown)
}

func TestRemainingTimeComesFromOwner(t *testing.T) {
	is := is.New(t)
	peers, gates := newGates(t, 1, 1, 1, 1)
	for i := range 20 {
		result := gates[0].Enter(t.Context(), prefillRequest(fmt.Sprint("engine-", i)))
		_, progress := result.Reservation.Remaining(t.Context())
		is.Equal(progress, backlog.InProgress)
		if result.Reservation.owner != gates[0].o.Self {
			peers.unreachable[result.Reservation.owner] = true
			_, progress = result.Reservation.Remaining(t.Context())
			is.Equal(progress, backlog.Unknown) // the progress is unknown while the owner is unreachable
			peers.unreachable[result.Reservation.owner] = false
		}
	}
}
