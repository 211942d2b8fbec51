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
	// revokeWithin is the bound that proofs are for, as the users' sheets have it, and
	// proofWait how long a watch waits where it holds.
	revokeWithin = 5 * time.Second
	proofWait    = revokeWithin / 5
)

// acked are the times at which versions of the configuration were acknowledged, from 1 on.
type acked []time.Time

// proofHolds reports whether a host's copy has all that its proof says.
func (a acked) proofHolds(h *host) error {
	proven := h.copies[kindConfig].ProvenAt()
	have := int(h.inForce.Load())
	if have < len(a) && a[have].Before(proven) {
		return fmt.Errorf("%s has version %d by a proof as of %s after version %d", h.self.Addr, have, proven.Sub(a[have]), have+1)
	}
	return nil
}

// ages are those of the proofs of hosts that aren't silent, the youngest first.
func (f *fleet) ages() []time.Duration {
	var out []time.Duration
	for _, h := range f.hosts {
		if !f.is(f.silent, h.self.Addr) && !f.is(f.cut, h.self.Addr) {
			out = append(out, time.Since(h.copies[kindConfig].ProvenAt()))
		}
	}
	slices.Sort(out)
	return out
}

// A proof is never younger than what the host's copy lacks, whatever fails: hosts that are
// cut off from the store, turned away by it or silent, relays that are lost, an outage of the
// store, a store that drops its history, configurations in quick succession.
func TestProofsSayNothingThatCopiesLack(t *testing.T) {
	for _, size := range []int{83, 300} {
		for seed := range uint64(6) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWatching(t, size, proofWait)
				f.start()
				defer f.end()
				time.Sleep(10 * time.Second)
				rng := rand.New(rand.NewPCG(seed, 3))
				versions := acked{time.Now()}
				for range 60 {
					f.disturb(rng)
					if rng.IntN(2) == 0 {
						f.write(kindConfig, "main", strconv.Itoa(len(versions)+1))
						versions = append(versions, time.Now())
					}
					time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
					for _, h := range f.hosts {
						if err := versions.proofHolds(h); err != nil {
							t.Fatalf("%d hosts, seed %d: %v", size, seed, err)
						}
					}
				}
			})
		}
	}
}

// Guards against a key that was revoked and is served again, because a restored store has lost the
// revocation and proves the configuration before it: at hosts that were cut off when it came, or
// that start while the store is behind.
func TestProofsHoldThoughTheStoreIsRestored(t *testing.T) {
	for _, size := range []int{7, 83} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWatching(t, size, proofWait)
				f.start()
				defer f.end()
				time.Sleep(10 * time.Second)
				rng := rand.New(rand.NewPCG(seed, 3))
				versions := acked{time.Now()}
				check := func(span time.Duration) {
					for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						for _, h := range f.hosts {
							if err := versions.proofHolds(h); err != nil {
								t.Fatalf("%d hosts, seed %d: %v", size, seed, err)
							}
						}
					}
				}
				for range 6 {
					cut := f.hosts[rng.IntN(size)].self.Addr
					f.set(f.cut, cut, true)
					check(time.Duration(1000+rng.IntN(4000)) * time.Millisecond)
					f.write(kindConfig, "main", strconv.Itoa(len(versions)+1))
					versions = append(versions, time.Now())
					check(time.Duration(rng.IntN(1000)) * time.Millisecond)
					f.setDown(true)
					f.cutWatches()
					f.set(f.cut, cut, false)
					check(time.Duration(rng.IntN(2000)) * time.Millisecond)
					f.store.RestoreBefore(time.Duration(2000+rng.IntN(2000)) * time.Millisecond)
					f.setDown(false)
					f.replace(rng.IntN(size))
					check(time.Duration(rng.IntN(int(testSettle))))
					f.write(kindConfig, "main", strconv.Itoa(len(versions))) // again
					check(2 * time.Second)
				}
			})
		}
	}
}

// replace ends a host and starts one that knows nothing in its place.
func (f *fleet) replace(i int) {
	f.hosts[i].end()
	h := f.newHost(i)
	h.list = f.peers()
	f.mu.Lock()
	f.hosts[i] = h
	f.mu.Unlock()
	h.start()
}

// disturb begins or ends one trouble, mostly at a relay.
func (f *fleet) disturb(rng *rand.Rand) {
	victim := f.hosts[rng.IntN(len(f.hosts))]
	if relays := f.relays(); len(relays) > 0 && rng.IntN(3) > 0 {
		victim = relays[rng.IntN(len(relays))]
	}
	addr := victim.self.Addr
	switch rng.IntN(6) {
	case 0:
		f.set(f.cut, addr, !f.is(f.cut, addr))
	case 1:
		f.set(f.refuse, addr, !f.is(f.refuse, addr))
	case 2:
		f.set(f.silent, addr, !f.is(f.silent, addr))
	case 3:
		f.mu.Lock()
		f.down = !f.down
		f.mu.Unlock()
	case 4:
		f.cutWatches()
	}
}

// Hosts in touch with the store or with one that is have a proof young enough to serve keys,
// also when all relays of a failure domain are lost at once while the store turns a third of
// the hosts away. The bound is that of the service agreement.
func TestProofsStayYoungThoughRelaysAreLost(t *testing.T) {
	for _, size := range []int{83, 300} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleetWatching(t, size, proofWait)
			f.start()
			defer f.end()
			time.Sleep(10 * time.Second)
			worst := time.Duration(0)
			watch := func(span time.Duration) {
				for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					ages := f.ages()
					worst = max(worst, ages[len(ages)-1])
				}
			}
			watch(10 * time.Second)
			t.Logf("%d hosts: median %s, worst %s", size, f.ages()[size/2], worst)
			is.True(worst < revokeWithin*3/4) // the store isn't asked out of turn
			for _, h := range f.relays() {
				if h.self.FailureDomain == "d0" {
					f.set(f.silent, h.self.Addr, true)
				}
			}
			for i, h := range f.hosts {
				f.set(f.refuse, h.self.Addr, i%3 == 0)
			}
			worst = 0
			watch(15 * time.Second)
			t.Logf("%d hosts, relays lost: worst %s", size, worst)
			is.True(worst < revokeWithin)
		})
	}
}

// Guards against a host that follows a peer and can't prove a key by asking the store itself.
func TestHostThatFollowsAPeerMayAskTheStore(t *testing.T) {
	inFleet(t, 83, func(is *is.I, f *fleet) {
		for _, h := range f.hosts {
			asked := time.Now()
			is.NoErr(h.copies[kindConfig].Prove(context.Background()))
			is.True(!h.copies[kindConfig].ProvenAt().Before(asked))
			time.Sleep(time.Millisecond)
		}
	})
}
