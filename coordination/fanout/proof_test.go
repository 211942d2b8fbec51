package fanout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// revocationBound is the time within which a revoked key must be refused, as the service
	// agreement sets it, and proofWait how long a watch waits at the store in such a fleet.
	revocationBound = 5 * time.Second
	proofWait       = revocationBound / 5
)

// ackTimes are the times at which the versions of the configuration were acknowledged, from
// version 1 on.
type ackTimes []time.Time

// checkProof returns an error if a host's proof is of a time at which a higher version than the
// host's had been acknowledged.
func (a ackTimes) checkProof(h *host) error {
	proven := h.copies[kindConfig].ProvenAt()
	have := int(h.inForce.Load())
	if have < len(a) && a[have].Before(proven) {
		return fmt.Errorf("%s has version %d and a proof of %s after version %d was acknowledged", h.self.Addr, have, proven.Sub(a[have]), have+1)
	}
	return nil
}

// proofAges returns the ages of the proofs of the hosts that are responsive and not partitioned, in
// ascending order.
func (f *fleet) proofAges() []time.Duration {
	var out []time.Duration
	for _, h := range f.hosts {
		if !f.isSet(f.unresponsive, h.self.Addr) && !f.isSet(f.partitioned, h.self.Addr) {
			out = append(out, time.Since(h.copies[kindConfig].ProvenAt()))
		}
	}
	slices.Sort(out)
	return out
}

// Guards against a proof that is newer than the host's copy, whatever fails: hosts that are partitioned
// from the store, refused by it or unresponsive, relays that fail, an outage of the store, a store that
// drops its history, configurations in quick succession.
func TestProofsCoverNothingThatCopiesLack(t *testing.T) {
	for _, size := range []int{83, 300} {
		for seed := range uint64(6) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWithWatchWait(t, size, proofWait)
				f.start()
				defer f.end()
				time.Sleep(10 * time.Second)
				rng := rand.New(rand.NewPCG(seed, 3))
				versions := ackTimes{time.Now()}
				for range 60 {
					f.toggleFault(rng)
					if rng.IntN(2) == 0 {
						f.write(kindConfig, "main", strconv.Itoa(len(versions)+1))
						versions = append(versions, time.Now())
					}
					time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
					for _, h := range f.hosts {
						if err := versions.checkProof(h); err != nil {
							t.Fatalf("%d hosts, seed %d: %v", size, seed, err)
						}
					}
				}
			})
		}
	}
}

// Guards against a revoked key that is accepted again, because a restored store has lost the
// revocation and proves the configuration before it: on hosts that were partitioned from the store when
// the revocation came, or that start while the store lacks it.
func TestProofsHoldAcrossStoreRestorations(t *testing.T) {
	for _, size := range []int{7, 83} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWithWatchWait(t, size, proofWait)
				f.start()
				defer f.end()
				time.Sleep(10 * time.Second)
				rng := rand.New(rand.NewPCG(seed, 3))
				versions := ackTimes{time.Now()}
				check := func(span time.Duration) {
					for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						for _, h := range f.hosts {
							if err := versions.checkProof(h); err != nil {
								t.Fatalf("%d hosts, seed %d: %v", size, seed, err)
							}
						}
					}
				}
				for range 6 {
					partitioned := f.hosts[rng.IntN(size)].self.Addr
					f.set(f.partitioned, partitioned, true)
					check(time.Duration(1000+rng.IntN(4000)) * time.Millisecond)
					f.write(kindConfig, "main", strconv.Itoa(len(versions)+1))
					versions = append(versions, time.Now())
					check(time.Duration(rng.IntN(1000)) * time.Millisecond)
					f.setDown(true)
					f.dropWatches()
					f.set(f.partitioned, partitioned, false)
					check(time.Duration(rng.IntN(2000)) * time.Millisecond)
					f.store.RestoreBefore(time.Duration(2000+rng.IntN(2000)) * time.Millisecond)
					f.setDown(false)
					f.replace(rng.IntN(size))
					check(time.Duration(rng.IntN(int(testSettle))))
					f.write(kindConfig, "main", strconv.Itoa(len(versions))) // the lost version again
					check(2 * time.Second)
				}
			})
		}
	}
}

// replace ends a host and starts one without any state in its place.
func (f *fleet) replace(i int) {
	f.hosts[i].end()
	h := f.newHost(i)
	h.list = f.peers()
	f.mu.Lock()
	f.hosts[i] = h
	f.mu.Unlock()
	h.start()
}

// toggleFault starts or ends one fault, in two of three cases at a relay.
func (f *fleet) toggleFault(rng *rand.Rand) {
	target := f.hosts[rng.IntN(len(f.hosts))]
	if relays := f.relays(); len(relays) > 0 && rng.IntN(3) > 0 {
		target = relays[rng.IntN(len(relays))]
	}
	addr := target.self.Addr
	switch rng.IntN(6) {
	case 0:
		f.set(f.partitioned, addr, !f.isSet(f.partitioned, addr))
	case 1:
		f.set(f.refused, addr, !f.isSet(f.refused, addr))
	case 2:
		f.set(f.unresponsive, addr, !f.isSet(f.unresponsive, addr))
	case 3:
		f.mu.Lock()
		f.down = !f.down
		f.mu.Unlock()
	case 4:
		f.dropWatches()
	}
}

// Hosts that reach the store, or a host that does, have a proof recent enough to accept keys, even if
// all relays of a failure domain fail at once while the store refuses a third of the hosts. The bound
// is that of the service agreement.
func TestProofsStayFreshWhenRelaysFail(t *testing.T) {
	for _, size := range []int{83, 300} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleetWithWatchWait(t, size, proofWait)
			f.start()
			defer f.end()
			time.Sleep(10 * time.Second)
			worst := time.Duration(0)
			observe := func(span time.Duration) {
				for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					ages := f.proofAges()
					worst = max(worst, ages[len(ages)-1])
				}
			}
			observe(10 * time.Second)
			t.Logf("%d hosts: median proof age %s, highest %s", size, f.proofAges()[size/2], worst)
			is.True(worst < revocationBound*3/4) // no host needs an additional call to the store for a proof
			for _, h := range f.relays() {
				if h.self.FailureDomain == "d0" {
					f.set(f.unresponsive, h.self.Addr, true)
				}
			}
			for i, h := range f.hosts {
				f.set(f.refused, h.self.Addr, i%3 == 0)
			}
			worst = 0
			observe(15 * time.Second)
			t.Logf("%d hosts, relays failed: highest proof age %s", size, worst)
			is.True(worst < revocationBound)
		})
	}
}

// Guards against a follower of a relay that can't prove a key by calling the store itself.
func TestFollowerCanProveByCallingTheStore(t *testing.T) {
	withFleet(t, 83, func(is *is.I, f *fleet) {
		for _, h := range f.hosts {
			asked := time.Now()
			is.NoErr(h.copies[kindConfig].Prove(context.Background()))
			is.True(!h.copies[kindConfig].ProvenAt().Before(asked))
			time.Sleep(time.Millisecond)
		}
	})
}
