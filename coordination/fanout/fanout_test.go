package fanout

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/state"
)

// fleetSize is the size that the brief gives as where this is going.
const fleetSize = 320

// withFleet plays a test on a fleet that has settled.
func withFleet(t *testing.T, n int, run func(is *is.I, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		f.start()
		defer f.end()
		time.Sleep(10 * time.Second)
		if stale := f.staleHosts(kindThings, "r0", "ready"); len(stale) > 0 {
			t.Fatalf("not started: %s", summarize(stale))
		}
		run(is.New(t), f)
	})
}

// One change costs a call of each relay, not of each host, and is known everywhere at once.
func TestCallsAtTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	withFleet(t, fleetSize, func(is *is.I, f *fleet) {
		relays := len(f.relays())
		is.Equal(relays, testDomains*relaysPerDomain)
		f.takeCallCount()
		for i := range 10 {
			f.write(kindConfig, "main", fmt.Sprint(i+2))
			time.Sleep(100 * time.Millisecond)
			is.Equal(f.staleHosts(kindConfig, "main", fmt.Sprint(i+2)), nil)
		}
		f.remove(kindThings, "r7")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.staleHosts(kindThings, "r7", ""), nil)
		time.Sleep(20 * time.Second)
		is.True(f.takeCallCount() <= relays*(11+2*2)) // the changes, and two ends of each waiting watch
	})
}

// Domains with a handful of hosts need no relays: all of their hosts follow the store.
func TestSmallFleetFollowsTheStore(t *testing.T) {
	withFleet(t, 2*testDomains, func(is *is.I, f *fleet) {
		is.Equal(len(f.relays()), 2*testDomains)
	})
}

// Whatever happens to relays, every host that reaches the store has a change within the
// bound, counted from the change; those that don't have it from a peer.
func TestChangesAreKnownInTimeThoughRelaysFail(t *testing.T) {
	for name, inject := range map[string]func(f *fleet){
		"one relay of each domain is killed": func(f *fleet) {
			for i, h := range f.relays() {
				if i%2 == 0 {
					f.set(f.unresponsive, h.self.Addr, true)
				}
			}
		},
		"all relays of a domain are lost at once": func(f *fleet) {
			for _, h := range f.relays() {
				if h.self.FailureDomain == "d1" {
					f.set(f.unresponsive, h.self.Addr, true)
				}
			}
		},
		"all relays are lost at once": func(f *fleet) {
			for _, h := range f.relays() {
				f.set(f.unresponsive, h.self.Addr, true)
			}
		},
		"a relay is cut off from the store": func(f *fleet) { f.set(f.partitioned, f.relays()[0].self.Addr, true) },
		"a domain's relays are cut off from the store": func(f *fleet) {
			for _, h := range f.relays() {
				if h.self.FailureDomain == "d2" {
					f.set(f.partitioned, h.self.Addr, true)
				}
			}
		},
		"the store turns a third away": func(f *fleet) {
			for i, h := range f.hosts {
				f.set(f.refused, h.self.Addr, i%3 == 0)
			}
		},
		"the store turns all relays away": func(f *fleet) {
			for _, h := range f.relays() {
				f.set(f.refused, h.self.Addr, true)
			}
		},
		"the store forgets its history": func(f *fleet) { f.store.Forget() },
		"relays leave": func(f *fleet) {
			for _, h := range f.relays() {
				h.Leave()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, fleetSize, func(is *is.I, f *fleet) {
				inject(f)
				f.write(kindConfig, "main", "2")
				f.remove(kindThings, "r3")
				time.Sleep(propagationBound - time.Second)
				is.Equal(f.staleHosts(kindConfig, "main", "2"), nil)
				is.Equal(f.staleHosts(kindThings, "r3", ""), nil)
				time.Sleep(20 * time.Second)
				f.write(kindConfig, "main", "3")
				time.Sleep(propagationBound - time.Second)
				is.Equal(f.staleHosts(kindConfig, "main", "3"), nil)
			})
		})
	}
}

// The store drops its history and cuts all waiting watches: the relays ask again at once,
// and the others stay with them.
func TestCutWatchesAreNoLossOfTheStore(t *testing.T) {
	withFleet(t, fleetSize, func(is *is.I, f *fleet) {
		f.takeCallCount()
		f.dropWatches()
		time.Sleep(5 * time.Second)
		is.Equal(len(f.relays()), testDomains*relaysPerDomain)
		is.True(f.takeCallCount() <= 4*len(kinds)*testDomains*relaysPerDomain)
		f.write(kindConfig, "main", "2")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.staleHosts(kindConfig, "main", "2"), nil)
	})
}

// While the store is down nobody storms it, and all know what changed soon after its end.
func TestOutageOfTheStoreEndsForAllAtOnce(t *testing.T) {
	withFleet(t, fleetSize, func(is *is.I, f *fleet) {
		f.mu.Lock()
		f.down = true
		f.mu.Unlock()
		f.write(kindConfig, "main", "2")
		time.Sleep(5 * time.Second)
		f.takeCallCount()
		const outage = 10
		time.Sleep(outage * time.Second)
		is.True(f.takeCallCount() <= outage*fleetSize) // less than a call a second of each host
		f.mu.Lock()
		f.down = false
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		is.Equal(f.staleHosts(kindConfig, "main", "2"), nil)
		for _, h := range f.hosts {
			is.True(h.copies[kindThings].UnavailableWithin(10 * time.Second)) // all know that entries may be missing
		}
		time.Sleep(10 * time.Second)
		is.True(len(f.relays()) <= 4*testDomains*relaysPerDomain) // the others follow peers again
	})
}

// A host that believes in other relays than the rest is served all the same, and two that
// would follow each other both follow the store.
func TestHostsThatDisagreeWhoRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 60)
		weakHost := func(n int) *host { return f.hosts[30+n] }
		// Each knows only a few others, so that the weak ones relay by their lists.
		for n := range 10 {
			var list []state.Peer
			for other := range 30 {
				if other != n {
					list = append(list, weakHost(other).self)
				}
			}
			weakHost(n).list = list
		}
		f.start()
		defer f.end()
		time.Sleep(10 * time.Second)
		f.write(kindConfig, "main", "2")
		time.Sleep(time.Second)
		is.Equal(f.staleHosts(kindConfig, "main", "2"), nil)
	})
}

// Three quarters more hosts at once, and a relay that only they know.
func TestHostsAreAdded(t *testing.T) {
	withFleet(t, 160, func(is *is.I, f *fleet) {
		f.takeCallCount()
		for i := range 120 {
			f.hosts = append(f.hosts, f.newHost(160+i))
		}
		all := f.peers()
		for _, h := range f.hosts[160:] {
			h.list = all
			h.start()
		}
		time.Sleep(testFetchWait)
		is.Equal(f.staleHosts(kindThings, "r0", "ready"), nil)
		is.True(f.takeCallCount() < 100) // they ask relays, not the store
	})
}

// All hosts start again at once: each has its copies within two seconds, and the store is
// asked by the relays alone.
func TestAllHostsReturnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, fleetSize)
		f.start()
		defer f.end()
		time.Sleep(500 * time.Millisecond)
		is.Equal(f.staleHosts(kindThings, "r0", "ready"), nil)
		is.Equal(len(f.relays()), testDomains*relaysPerDomain)
		is.True(f.takeCallCount() <= 3*2*testDomains*relaysPerDomain)
	})
}

// The relays return a moment after the others, which wait for them instead of asking the
// store; relays that don't return are not waited for long.
func TestHostsThatReturnBeforeTheirRelaysWaitForThem(t *testing.T) {
	for name, delay := range map[string]time.Duration{"a moment later": 400 * time.Millisecond, "not at all": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, fleetSize)
				relays := map[string]bool{}
				for _, members := range byDomain(f.peers()) {
					for _, addr := range relaysOf(members) {
						relays[addr] = true
					}
				}
				for _, h := range f.hosts {
					if !relays[h.self.Addr] {
						h.start()
						defer h.end()
						continue
					}
					f.set(f.unresponsive, h.self.Addr, true)
				}
				time.Sleep(delay % time.Minute)
				for _, h := range f.hosts {
					if relays[h.self.Addr] && delay < time.Minute {
						f.set(f.unresponsive, h.self.Addr, false)
						h.start()
						defer h.end()
					}
				}
				time.Sleep(2 * time.Second)
				is.Equal(f.staleHosts(kindThings, "r0", "ready"), nil)
				if delay < time.Minute {
					is.True(f.takeCallCount() <= 3*len(kinds)*len(relays))
				}
			})
		})
	}
}

// What one host tells all, each hears once and within a third of a second, whichever host
// it is and though some relays are lost.
func TestNoticesReachAllHostsOnce(t *testing.T) {
	for _, lost := range []int{0, 1, 3} {
		withFleet(t, fleetSize, func(is *is.I, f *fleet) {
			for _, h := range f.relays()[:lost] {
				f.set(f.unresponsive, h.self.Addr, true)
			}
			time.Sleep(5 * time.Second) // their followers have gone to others
			for i, h := range []*host{f.hosts[319], f.hosts[200], f.hosts[104]} {
				h.Publish(context.Background(), "test", fmt.Append(nil, i))
			}
			time.Sleep(300 * time.Millisecond)
			for _, h := range f.hosts {
				if !f.is(f.unresponsive, h.self.Addr) {
					f.mu.Lock()
					is.Equal(len(h.received), 3)
					f.mu.Unlock()
				}
			}
		})
	}
}

// Small domains have no relays: the host itself tells each.
func TestNoticesInASmallFleet(t *testing.T) {
	withFleet(t, 2*testDomains, func(is *is.I, f *fleet) {
		f.hosts[3].Publish(context.Background(), "test", []byte("x"))
		time.Sleep(100 * time.Millisecond)
		for _, h := range f.hosts {
			f.mu.Lock()
			is.Equal(h.received, []string{"x"})
			f.mu.Unlock()
		}
	})
}

// A relay keeps notices for some seconds, and forgets them.
func TestOldNoticesAreForgotten(t *testing.T) {
	is := is.New(t)
	b := newNoticeLog("relay-1")
	now := time.Now()
	for i := range 3 {
		is.True(b.add(Notice{Origin: "h", Number: uint64(i)}, now))
	}
	is.True(!b.add(Notice{Origin: "h", Number: 1}, now))
	all, read := b.since(Cursor{}, now)
	is.Equal(len(all), 3)
	none, read := b.since(read, now)
	is.Equal(len(none), 0)
	is.True(b.add(Notice{Origin: "h", Number: 9}, now.Add(2*noticeRetention)))
	one, _ := b.since(read, now.Add(2*noticeRetention))
	is.Equal(len(one), 1)
	other, _ := b.since(Cursor{Relay: "relay-2", Next: 99}, now.Add(2*noticeRetention))
	is.Equal(len(other), 1)
	is.Equal(len(b.seen), 1)
}

// Each host is looked after by one relay of its domain, and each relay by the other one;
// hosts that are no relays look after nobody.
func TestEachHostIsLookedAfterByOneRelay(t *testing.T) {
	withFleet(t, fleetSize, func(is *is.I, f *fleet) {
		relays := map[string]bool{}
		for _, h := range f.relays() {
			relays[h.self.Addr] = true
		}
		for _, other := range f.hosts {
			count := 0
			for _, h := range f.hosts {
				if h != other && h.self.FailureDomain == other.self.FailureDomain && h.Monitors(other.self.Addr) {
					is.True(relays[h.self.Addr])
					count++
				}
			}
			is.Equal(count, 1)
		}
	})
}

// A copy notifies its host under its own lock: a host that passes over a relay at that
// moment must not hold its lock while it asks the copy for something. With the locks taken
// the other way round this test doesn't end.
func TestPassingOverARelayHoldsUpNoNews(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	entered, release := make(chan struct{}), make(chan struct{})
	m, err := follow.New(follow.Options{
		Store: f.store.Client("h"), Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler), Kind: "slow", Outage: &follow.Outage{},
		Changed: func(follow.Copy) {
			close(entered)
			<-release
		},
	})
	is.New(t).NoErr(err)
	h.copies["slow"] = m
	go m.Adopt(follow.Copy{Revision: 1}, "peer")
	<-entered
	backedOff := make(chan struct{})
	go func() {
		defer close(backedOff)
		h.backOff("relay", "test", false)
	}()
	for range 1000 {
		h.WakeFollowers()
		runtime.Gosched()
	}
	close(release)
	<-backedOff
}
