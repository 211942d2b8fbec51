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

// network joins the books of some hosts; lost ones don't answer.
type network struct {
	books map[string]*Book
	lost  map[string]bool
	// ignorant hosts know no permits.
	ignorant map[string]bool
	asked    []string
}

func (n *network) Enter(_ context.Context, addr string, a Ask) (Answer, error) {
	n.asked = append(n.asked, addr)
	if n.lost[addr] {
		return Answer{}, errors.New("no answer")
	}
	return n.books[addr].Enter(a), nil
}

func (n *network) Remaining(_ context.Context, addr string, engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress, error) {
	if n.lost[addr] {
		return backlog.Forecast{}, backlog.InProgress, errors.New("no answer")
	}
	f, progress := n.books[addr].Remaining(engine, id)
	return f, progress, nil
}

func (n *network) Leave(_ context.Context, addr string, engine state.InstanceID, id uint64, done bool) error {
	if n.lost[addr] {
		return errors.New("no answer")
	}
	n.books[addr].Leave(engine, id, done)
	return nil
}

func (n *network) Permit(ctx context.Context, addr string, a PermitAsk) (Permit, error) {
	n.asked = append(n.asked, addr)
	if n.ignorant[addr] {
		return Permit{}, errors.New("unknown kind of request")
	}
	if n.lost[addr] {
		<-ctx.Done()
		return Permit{}, errors.New("no answer")
	}
	return n.books[addr].Permit(a, Part{Share: shareOfRank(a.Rank)}), nil
}

// fleet returns the gates of hosts of the given classes.
func fleet(t *testing.T, classes ...int) (*network, []*Gate) {
	t.Helper()
	n := &network{books: map[string]*Book{}, lost: map[string]bool{}, ignorant: map[string]bool{}}
	var hosts []state.Peer
	for i, class := range classes {
		hosts = append(hosts, state.Peer{Addr: fmt.Sprint("host-", i), Class: class})
	}
	var gates []*Gate
	for _, h := range hosts {
		n.books[h.Addr] = NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		g, err := NewGate(GateOptions{
			Book: n.books[h.Addr], Peers: n, Self: h.Addr, Hosts: func() []state.Peer { return hosts },
			Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		gates = append(gates, g)
	}
	return n, gates
}

func TestHostsShareOneCountForEachEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, gates := fleet(t, 1, 1, 1, 1, 1, 1, 1, 1)
		for engine := range 20 {
			given := 0
			var last *Place
			for _, g := range gates {
				if v := g.Enter(t.Context(), ask(fmt.Sprint("engine-", engine))); v.Place != nil {
					given++
					last = v.Place
				}
			}
			is.Equal(given, slots)
			last.Cancel()
			synctest.Wait()
			v := gates[0].Enter(t.Context(), ask(fmt.Sprint("engine-", engine)))
			is.True(v.Place != nil) // the end was told to the owner
			is.True(!v.Own)
		}
	})
}

func TestStrongHostsKeepTheCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, c := range []struct {
			classes []int
			owners  int
		}{
			{[]int{1, 1, 9, 9, 9, 9, 1}, 4},
			{[]int{1, 1, 1, 9}, 4}, // too few of the best class
		} {
			_, gates := fleet(t, c.classes...)
			owners := map[string]bool{}
			for engine := range 200 {
				owners[gates[0].Owner(named(fmt.Sprint("engine-", engine)))] = true
			}
			is.Equal(len(owners), c.owners)
		}
	})
}

func TestOwnersAreFewInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, gates := fleet(t, make([]int, 320)...)
		owners := map[string]bool{}
		for engine := range 1800 {
			owners[gates[7].Owner(named(fmt.Sprint("engine-", engine)))] = true
		}
		is.Equal(len(owners), maxOwners)
	})
}

func TestOthersStepInForTheFirstHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, gates := fleet(t, 1, 1, 1, 1, 1, 1)
		among := func() (count int, of map[string]bool) {
			of = map[string]bool{}
			for _, g := range gates {
				if g.Among(2) {
					of[g.o.Self] = true
				}
			}
			return len(of), of
		}
		count, first := among()
		is.Equal(count, 2)
		for addr := range first {
			n.lost[addr] = true
		}
		for i := range 50 { // all notice that they don't answer
			for _, g := range gates {
				g.Enter(t.Context(), ask(fmt.Sprint("engine-", i)))
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

func TestLostOwnerIsReplacedAndTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, gates := fleet(t, 1, 1, 1, 1, 1, 1)
		owner := gates[0].Owner(named("engine"))
		asker := gates[0]
		if owner == asker.o.Self {
			asker = gates[1]
		}
		n.lost[owner] = true
		v := asker.Enter(t.Context(), ask("engine"))
		is.True(v.Place != nil) // another host keeps the count meanwhile
		is.True(asker.Owner(named("engine")) != owner)
		n.lost[owner] = false
		time.Sleep(avoidFirst + time.Millisecond)
		is.Equal(asker.Owner(named("engine")), owner)
		v = asker.Enter(t.Context(), ask("engine"))
		is.True(v.Place != nil)
		is.True(!v.Own)
		is.Equal(len(asker.avoided), 0)
	})
}

func TestOwnerThatStaysAwayIsAskedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, gates := fleet(t, 1, 1)
		for _, g := range gates {
			n.lost[g.o.Self] = true
		}
		other := gates[1].o.Self
		engine := ""
		for i := 0; engine == ""; i++ {
			if name := fmt.Sprint("engine-", i); gates[0].Owner(named(name)) == other {
				engine = name
			}
		}
		for range 600 {
			gates[0].Enter(t.Context(), ask(engine))
			time.Sleep(100 * time.Millisecond)
		}
		is.True(len(n.asked) <= 9) // 0.5, 1, 2, 4, 8 and then every 16 s of a minute
	})
}

// A caller who leaves says nothing of the owner.
func TestCancelledAskBlamesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, gates := fleet(t, 1, 1)
		for addr := range n.books {
			n.lost[addr] = true
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for i := range 10 {
			gates[0].Enter(ctx, ask(fmt.Sprint("engine-", i)))
		}
		is.Equal(len(gates[0].avoided), 0)
	})
}

// A host that knows no others, or reaches none, counts its own work and says so.
func TestHostAloneCountsItsOwnWork(t *testing.T) {
	is := is.New(t)
	_, gates := fleet(t, 1)
	gates[0].o.Hosts = func() []state.Peer { return nil }
	for range slots {
		v := gates[0].Enter(t.Context(), ask("engine"))
		is.True(v.Place != nil)
		is.True(v.Own)
	}
	v := gates[0].Enter(t.Context(), ask("engine"))
	is.True(v.Place == nil)
	v.Place.Done() // nothing to end
	_, progress := v.Place.Remaining(t.Context())
	is.Equal(progress, backlog.Unknown)
}

func TestRemainingTimeIsAskedOfTheOwner(t *testing.T) {
	is := is.New(t)
	n, gates := fleet(t, 1, 1, 1, 1)
	for i := range 20 {
		v := gates[0].Enter(t.Context(), readAsk(fmt.Sprint("engine-", i)))
		_, progress := v.Place.Remaining(t.Context())
		is.Equal(progress, backlog.InProgress)
		if v.Place.owner != gates[0].o.Self {
			n.lost[v.Place.owner] = true
			_, progress = v.Place.Remaining(t.Context())
			is.Equal(progress, backlog.Unknown) // an owner that is lost says nothing of the engine
			n.lost[v.Place.owner] = false
		}
	}
}
