package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// mostLeaving is how many runners leave in one series, and seriesPause how long after each other at
	// most: as long as a host may pause after a change.
	mostLeaving = 3
	seriesPause = time.Second
	// mostLostStore is how long a host loses the store for at most, at a time when runners leave.
	mostLostStore = 2 * time.Second
)

// leaving are the actions of runners that leave in series. They excuse no host but the one that loses the
// store.
var leaving = []action{
	{name: "runners leave in a series", planned: true, do: func(f *fleet, rng *rand.Rand) error {
		for range 2 + rng.IntN(mostLeaving-1) {
			if err := f.leave(f.present(rng), rng.IntN(2) == 0); err != nil {
				return err
			}
			time.Sleep(time.Duration(rng.Int64N(int64(seriesPause))))
		}
		return nil
	}},
	{name: "a host loses the store for a moment", planned: true, do: func(f *fleet, rng *rand.Rand) error {
		h := f.anyHost(rng)
		defer f.disturbHost(h)()
		h.store.set([]linkFault{linkSilent, linkOneWay, linkReset, linkDelayed}[rng.IntN(4)])
		time.Sleep(time.Duration(rng.Int64N(int64(mostLostStore))))
		h.store.set(linkSound)
		return nil
	}},
}
