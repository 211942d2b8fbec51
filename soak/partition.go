package soak

import (
	"math/rand/v2"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

const (
	// leastPartition and mostPartition are how long a host loses its links, and mostFlaps how often in quick
	// series.
	leastPartition = 300 * time.Millisecond
	mostPartition  = 4 * time.Second
	mostFlaps      = 4
)

// linkFaults are what happens to a host's links to runners.
var linkFaults = []linkFault{linkSilent, linkOneWay, linkReset, linkRefuse, linkDelayed}

// partition changes the links of a host to the runners of a service, to all if it is "".
func (f *fleet) partition(h *host, service string, fault linkFault) {
	f.runnersMu.Lock()
	defer f.runnersMu.Unlock()
	for _, r := range f.runners {
		if service == "" || r.Service == service {
			r.link.setFor(h.addrs.IP, fault)
		}
	}
}

// partitions are the actions by which single hosts lose their links to runners. They excuse no other host.
var partitions = []action{
	{name: "a host loses its links to runners", planned: true, do: func(f *fleet, rng *rand.Rand) error {
		h := f.anyHost(rng)
		defer f.disturbHost(h)()
		service := []string{"", "", platformtest.ServicePlain, platformtest.ServiceEngines}[rng.IntN(4)]
		f.partition(h, service, linkFaults[rng.IntN(len(linkFaults))])
		time.Sleep(leastPartition + time.Duration(rng.Int64N(int64(mostPartition-leastPartition))))
		f.partition(h, service, linkSound)
		return nil
	}},
	{name: "links of a host to runners flap", planned: true, do: func(f *fleet, rng *rand.Rand) error {
		h := f.anyHost(rng)
		defer f.disturbHost(h)()
		for range 1 + rng.IntN(mostFlaps) {
			f.partition(h, "", linkFaults[rng.IntN(len(linkFaults))])
			time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
			f.partition(h, "", linkSound)
			time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
		}
		return nil
	}},
}
