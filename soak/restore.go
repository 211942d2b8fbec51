package soak

import (
	"math/rand/v2"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

const (
	// mostDown is how long the store is down before it is restored, and mostLost how long before
	// that the copy was made.
	mostDown = 1500 * time.Millisecond
	mostLost = 2500 * time.Millisecond
	// writtenAgain is how long after that the operator and the runners have written again.
	writtenAgain = 500 * time.Millisecond
	// leaseSettles is how long it takes at most until the duties have a holder that may act, and a
	// window of usage has been reported: a restoration begins the waiting for the lease anew.
	leaseSettles = 8 * time.Second
)

// settle waits, where the store is restored again and again, until the duties have a holder.
func (f *fleet) settle() {
	if f.o.restored {
		time.Sleep(leaseSettles)
	}
}

// restoreStore takes the store down and restores it from an older copy.
func (f *fleet) restoreStore(rng *rand.Rand) {
	f.store.SetFault([]platformtest.StoreFault{platformtest.StoreBusy, platformtest.StoreSilent}[rng.IntN(2)])
	down := time.Duration(rng.Int64N(int64(mostDown)))
	time.Sleep(down)
	f.store.RestoreBefore(down + time.Duration(rng.Int64N(int64(mostLost))))
	f.store.SetFault(platformtest.StoreSound)
	time.Sleep(time.Duration(rng.Int64N(int64(writtenAgain))))
	f.writeAgain()
}

// writeAgain has the operator and the runners write what a restored store may have lost.
func (f *fleet) writeAgain() {
	f.writing.Lock()
	f.storeConfig(f.version.Load())
	f.writing.Unlock()
	f.runnersMu.Lock()
	defer f.runnersMu.Unlock()
	for _, r := range f.runners {
		if r.removed {
			f.store.Remove(platformtest.KindInstances, r.ID)
			continue
		}
		f.list(r)
	}
}
