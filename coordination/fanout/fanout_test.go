package fanout

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/state"
)

// fleetSize is the largest planned number of hosts.
const fleetSize = 320

// withFleet runs a test on a fleet of n hosts that has had 10 s to start.
func withFleet(t *testing.T, n int, run func(is *is.I, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		f.start()
		defer f.end()
		time.Sleep(10 * time.Second)
		if stale := f.staleHosts(kindThings, "r0", "ready"); len(stale) > 0 {
			t.Fatalf("no first copy after 10 s: %s", summarize(stale))
		}
		run(is.New(t), f)
	})
}

// A change costs one call per relay, not one per host, and reaches all hosts within 100 ms.
func TestStoreCallsDoNotGrowWithFleetSize(t *testing.T) {
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
		is.True(f.takeCallCount() <= relays*(11+2*2)) // a call per change, and two renewals of each waiting watch
	})
}

// Failure domains with a handful of hosts need no relays: all hosts follow the store.
func TestSmallFleetFollowsTheStore(t *testing.T) {
	withFleet(t, 2*testDomains, func(is *is.I, f *fleet) {
		is.Equal(len(f.relays()), 2*testDomains)
	})
}

// Guards against changes that take longer than their bound, counted from the change, because relays
// or the store fail: hosts that don't reach the store get changes from peers in time, too.
func TestChangesPropagateInTimeWhenRelaysFail(t *testing.T) {
	for name, inject := range map[string]func(f *fleet){
		"one relay of each domain fails": func(f *fleet) {
			for i, h := range f.relays() {
				if i%2 == 0 {
					f.set(f.unresponsive, h.self.Addr, true)
				}
			}
		},
		"all relays of a domain fail at once": func(f *fleet) {
			for _, h := range f.relays() {
				if h.self.FailureDomain == "d1" {
					f.set(f.unresponsive, h.self.Addr, true)
				}
			}
		},
		"all relays fail at once": func(f *fleet) {
			for _, h := range f.relays() {
				f.set(f.unresponsive, h.self.Addr, true)
			}
		},
		"a relay is partitioned from the store": func(f *fleet) { f.set(f.partitioned, f.relays()[0].self.Addr, true) },
		"a domain's relays are partitioned from the store": func(f *fleet) {
			for _, h := range f.relays() {
				if h.self.FailureDomain == "d2" {
					f.set(f.partitioned, h.self.Addr, true)
				}
			}
		},
		"the store refuses a third of the hosts": func(f *fleet) {
			for i, h := range f.hosts {
				f.set(f.refused, h.self.Addr, i%3 == 0)
			}
		},
		"the store refuses all relays": func(f *fleet) {
			for _, h := range f.relays() {
				f.set(f.refused, h.self.Addr, true)
			}
		},
		"the store drops its history": func(f *fleet) { f.store.DropHistory() },
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

// The store drops its history and ends all waiting watches. Guards against relays that take this for
// an outage: they must call the store again at once, and their followers stay with them.
func TestDroppedWatchesAreNotAnOutage(t *testing.T) {
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

// During an outage the hosts together send less than one call per host and second to the store, and
// all hosts have the changes soon after its end.
func TestFleetRecoversFromAStoreOutage(t *testing.T) {
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
			is.True(h.copies[kindThings].UnavailableWithin(10 * time.Second)) // every host knows of the outage, after which entries may be missing
		}
		time.Sleep(10 * time.Second)
		is.True(len(f.relays()) <= 4*testDomains*relaysPerDomain) // the others follow peers again
	})
}

// Hosts whose lists name other relays than those of the rest are served all the same, and two hosts
// that would follow each other both follow the store.
func TestHostsThatDisagreeOnRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 60)
		weakHost := func(n int) *host { return f.hosts[30+n] }
		// Each of these hosts lists only other weak hosts, so that weak hosts are relays by
		// its list.
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

// Three quarters more hosts start at once. Their lists are complete, and those of the others don't
// have them yet, so that a relay may be known to the new hosts only.
func TestAddedHostsFetchFromRelays(t *testing.T) {
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
		is.True(f.takeCallCount() < 100) // the new hosts fetch from relays, not from the store
	})
}

// All hosts start at the same moment: they have their copies within half a second, and only the relays
// call the store.
func TestAllHostsRestartAtOnce(t *testing.T) {
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

// The relays start a moment after the other hosts, which must wait for them rather than call the
// store. If the relays don't start at all, the others wait for a limited time only.
func TestHostsStartedBeforeTheirRelaysWaitForThem(t *testing.T) {
	for name, delay := range map[string]time.Duration{"relays start a moment later": 400 * time.Millisecond, "relays don't start": time.Hour} {
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

// Every host gets a notice exactly once and within 300 ms, whichever host publishes it and even if some
// relays have failed.
func TestNoticesReachAllHostsOnce(t *testing.T) {
	for _, failed := range []int{0, 1, 3} {
		withFleet(t, fleetSize, func(is *is.I, f *fleet) {
			for _, h := range f.relays()[:failed] {
				f.set(f.unresponsive, h.self.Addr, true)
			}
			time.Sleep(5 * time.Second) // the followers of the failed relays have moved to others
			for i, h := range []*host{f.hosts[319], f.hosts[200], f.hosts[104]} {
				h.Publish(context.Background(), "test", fmt.Append(nil, i))
			}
			time.Sleep(300 * time.Millisecond)
			for _, h := range f.hosts {
				if !f.isSet(f.unresponsive, h.self.Addr) {
					f.mu.Lock()
					is.Equal(len(h.received), 3)
					f.mu.Unlock()
				}
			}
		})
	}
}

// A storm of notices, as when hundreds of runners fail at once, costs each host a bounded number of
// calls, and all notices arrive within 300 ms.
func TestStormOfNoticesCostsBoundedCalls(t *testing.T) {
	for _, notices := range []int{5, 50, 1000, 2000} {
		withFleet(t, 100, func(is *is.I, f *fleet) {
			time.Sleep(5 * time.Second)
			before := f.takeFetchCount()
			for i := range notices {
				f.hosts[i%100].Publish(context.Background(), "test", fmt.Append(nil, i))
				time.Sleep(time.Second / time.Duration(notices))
			}
			time.Sleep(300 * time.Millisecond)
			f.mu.Lock()
			for _, h := range f.hosts {
				is.Equal(len(h.received), notices)
			}
			f.mu.Unlock()
			perHost := float64(f.takeFetchCount()) / 100
			t.Logf("%d notices in a second: %.0f fetches a host (%d before)", notices, perHost, before)
			is.True(perHost <= 2*responsesPerSecond+responseBurst)
		})
	}
}

// Small domains have no relays: the publishing host sends the notice to each host itself.
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

// A relay keeps notices for noticeRetention and drops them, with their identities, afterwards. A cursor
// of another relay yields all notices.
func TestOldNoticesAreDropped(t *testing.T) {
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

// Every host is monitored by exactly one relay of its domain, relays by the other relay. Hosts that
// aren't relays monitor none.
func TestEachHostIsMonitoredByOneRelay(t *testing.T) {
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

// Guards against a deadlock: a copy notifies its host while it holds its own lock, so a host that backs
// off from a relay at that moment must not read the copy with its own lock held. With that order of
// locks this test doesn't end.
func TestBackoffDoesNotDeadlockWithANotifyingCopy(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	entered, release := make(chan struct{}), make(chan struct{})
	m, err := follow.New(follow.Options{
		Delays: propagation.New(propagation.Bounds{}), Store: f.store.Client("h"), Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler), Kind: "slow", RetryGroup: &follow.RetryGroup{},
		OnChange: func(follow.Copy) {
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

// What a relay checks for each host of its domain takes no pass over all hosts.
func BenchmarkMonitors(b *testing.B) {
	for _, hosts := range []int{300, 985, 1970} {
		b.Run(strconv.Itoa(hosts), func(b *testing.B) {
			var list []state.Peer
			for i := range hosts {
				list = append(list, state.Peer{Addr: fmt.Sprint("h", i), Class: 1, FailureDomain: fmt.Sprint("d", i%testDomains)})
			}
			n := &Node{o: Options{Self: list[0], Hosts: func() []state.Peer { return list }}, backoffs: map[string]relayBackoff{}}
			for b.Loop() {
				n.monitors(n.currentLayout().domain)
			}
		})
	}
}
