package origin

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// sizes are the numbers of hosts that are played.
var sizes = []int{2, 7, 60}

// Guards against a stream that goes on at another version than the one that began it, while versions come and go, hosts
// are killed, all at once too, cut off from each other or from the store, and the store is down.
func TestNoStreamGoesOnAtAnotherVersion(t *testing.T) {
	for _, n := range sizes {
		for seed := range uint64(12) {
			t.Run(fmt.Sprint(n, " hosts, seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(seed, n, "v1")
					end := repeat(f.rollOut, f.disturbHosts, f.partition, f.disturbStore)
					f.load("s", 2*time.Minute)
					end()
					f.stop()
					for _, w := range f.wrong {
						t.Error(w)
					}
					t.Logf("%d went on, %d refused", f.resumed, f.refused)
					if f.resumed < f.refused/2 {
						t.Errorf("%d streams went on, %d were refused", f.resumed, f.refused)
					}
				})
			})
		}
	}
}

// Guards against a stream that goes on at another version at a host that is out of step: it stood still, or was cut off, while
// versions came and went.
func TestNoStreamGoesOnAtAnotherVersionAfterAHostStoodStill(t *testing.T) {
	for _, n := range []int{3, 7} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprint(n, " hosts, seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(seed, n, "v1")
					end := repeat(f.rollOut, f.pauseHost, f.pauseHost, f.partition, f.disturbStore)
					f.load("s", 2*time.Minute)
					end()
					f.stop()
					for _, w := range f.wrong {
						t.Error(w)
					}
					t.Logf("%d went on, %d refused", f.resumed, f.refused)
					if f.resumed < f.refused/2 {
						t.Errorf("%d streams went on, %d were refused", f.resumed, f.refused)
					}
				})
			})
		}
	}
}

// Guards against a service that counts as one of a single version because no host lives that saw two: a version comes and the
// other goes while all hosts are cut off from the store, and they restart before they reach it.
func TestVersionThatNoLivingHostHasSeenIsKnown(t *testing.T) {
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(4, n, "v1")
			f.load("before", 5*time.Second)
			f.setStoreDown(true)
			f.setListed("v2")
			f.restartAll()
			f.setStoreDown(false)
			f.load("after", maxAge)
			f.stop()
			is.Equal(len(f.wrong), 0)
			is.True(f.refused > 0) // those of v1
			is.True(f.resumed > 200)
		})
	}
}

// Guards against a host whose list doesn't have a version yet and that takes it for proof of the older one, although the
// stream's record is at its replicas: a partition keeps the host from them.
func TestListThatIsBehindDoesNotProveAVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(8, 7, "v1")
		defer f.stop()
		replicas := f.replicas("s")
		var behind, ahead *testHost
		for _, h := range f.hosts {
			switch {
			case slices.Contains(replicas, h.addr):
			case behind == nil:
				behind = h
				h.stopFollowing()
			default:
				ahead = h
			}
		}
		f.setListed("v1", "v2")
		time.Sleep(maxLag)
		ahead.registry.Begin(Record{ID: "s", Service: service, Version: "v2", Attempt: 1}).Wait(t.Context())
		for _, h := range f.hosts {
			h.mu.Lock()
			if slices.Contains(replicas, h.addr) {
				h.side = 1
			}
			h.mu.Unlock()
		}
		_, err := behind.registry.Version(t.Context(), Query{ID: "s", Service: service, MaxAge: maxAge})
		var unknown *UnknownError
		is.True(errors.As(err, &unknown))
	})
}

// Guards against a stream that began at a host which reached one of its replicas only, and that the others, cut off from the
// store as well, take for one of the version they know.
func TestRecordThatReachedNoMajorityIsMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(10, 7, "v1")
		defer f.stop()
		replicas := f.replicas("s")
		for _, h := range f.hosts {
			h.mu.Lock()
			if h.addr != replicas[0] {
				h.side, h.storeCut = 1, true
			}
			h.mu.Unlock()
		}
		time.Sleep(maxLag)
		f.setListed("v1", "v2")
		time.Sleep(2 * maxLag)
		f.host(replicas[0]).registry.Begin(Record{ID: "s", Service: service, Version: "v2", Attempt: 1}).Wait(t.Context())
		_, err := f.host(replicas[1]).registry.Version(t.Context(), Query{ID: "s", Service: service, MaxAge: maxAge})
		var unknown *UnknownError
		is.True(errors.As(err, &unknown))
	})
}

// Guards against streams that are refused although their version can be known: with two versions side by side and one host
// in three replicas lost, all go on.
func TestStreamsGoOnWhileVersionsServeSideBySide(t *testing.T) {
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(1, n, "v1")
			f.load("before", 10*time.Second)
			f.setListed("v1", "v2")
			f.load("beside", 20*time.Second)
			f.setListed("v2")
			f.load("after", 30*time.Second)
			if n > 2 {
				time.Sleep(maxAge) // the streams of the killed host's own records only are too old
				f.setListed("v2", "v3")
				f.load("again", 5*time.Second)
				f.hosts[3].kill()
				f.load("killed", 20*time.Second)
			}
			f.stop()
			is.Equal(len(f.wrong), 0)
			is.Equal(f.refused, 0)
			is.True(f.resumed > 500)
		})
	}
}

// Guards against a service that has one version all along and loses streams to the doubt about others: whatever hosts are
// killed, all at once too, while the store answers or the replicas do.
func TestServiceOfOneVersionLosesNoStream(t *testing.T) {
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(2, n, "v1")
			end := repeat(f.disturbHosts)
			f.load("s", time.Minute)
			end()
			time.Sleep(maxAge)
			f.load("calm", 5*time.Second)
			f.setStoreDown(true)
			f.load("store down", 20*time.Second)
			f.mu.Lock()
			f.unnamed = true
			f.mu.Unlock()
			f.load("unnamed", 10*time.Second)
			f.stop()
			is.Equal(len(f.wrong), 0)
			is.Equal(f.refused, 0)
			is.True(f.resumed > 500)
		})
	}
}

// Guards against a caller that waits for a replica that is gone: two of three say enough.
func TestLookupDoesNotWaitForALostReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(3, 7, "v1")
		for _, id := range []string{"nobody's", "host-1's"} {
			replicas := f.replicas(id)
			lost := f.host(replicas[0])
			other := f.hosts[slices.IndexFunc(f.hosts, func(h *testHost) bool { return !slices.Contains(replicas, h.addr) })]
			if id == "host-1's" {
				for _, addr := range replicas {
					is.NoErr(testPeers{other}.Write(t.Context(), addr, []Record{{ID: id, Service: service, Version: "v1", Attempt: 1}}))
				}
			}
			lost.kill()
			asked := time.Now()
			version, err := other.registry.Version(t.Context(), Query{ID: id, Service: service, MaxAge: maxAge})
			is.NoErr(err)
			is.Equal(version, "v1")
			is.True(time.Since(asked) <= 2*maxDelay+storeDelay)
			lost.start()
			time.Sleep(2 * maxAge)
		}
		f.stop()
	})
}
