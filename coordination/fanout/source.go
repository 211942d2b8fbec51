package fanout

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// storeProbeMinInterval is the shortest interval between probes of the store by a host whose
	// relays all report that they have lost it: the relays call the store every second
	// themselves and report its return. In a large fleet the interval grows, up to
	// storeProbeMaxInterval, so that all such hosts together send about storeProbesPerSecond
	// probes a second.
	storeProbeMinInterval = 2 * time.Second
	storeProbeMaxInterval = 8 * time.Second
	storeProbesPerSecond  = 20
	storeProbeTimeout     = 500 * time.Millisecond
)

// followStore makes this host follow the store, unless it already does.
func (n *Node) followStore(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopFollowing != nil {
		return
	}
	storeCtx, cancel := context.WithCancel(ctx)
	var runs conc.WaitGroup
	for _, m := range n.o.Copies {
		runs.Go(func() { m.Run(storeCtx) })
	}
	n.stopFollowing = func() {
		cancel()
		runs.Wait()
	}
	n.o.Log.Info("following the store", "instead_of", n.source)
	n.source = ""
}

// followRelay makes this host follow a relay instead of the store or another relay.
func (n *Node) followRelay(source string) {
	n.stopFollowingStore()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.source != source {
		n.o.Log.Info("following a relay", "peer", source, "instead_of", n.source)
		n.source = source
	}
}

// stopFollowingStore ends the runs of the copies that follow the store.
func (n *Node) stopFollowingStore() {
	n.mu.Lock()
	stop := n.stopFollowing
	n.stopFollowing = nil
	n.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// probeStore calls the store at intervals while all relays have lost it, and follows the store once it
// answers: the relays may be refused by it, or cut off from it, while this host isn't. If no probe is
// due it sleeps for recheckInterval.
func (n *Node) probeStore(ctx context.Context, now time.Time) {
	for _, m := range n.o.Copies {
		m.MarkLost()
	}
	if now.Before(n.nextStoreProbe) {
		_ = n.o.Clock.Sleep(ctx, recheckInterval)
		return
	}
	interval := min(max(storeProbeMinInterval, time.Duration(len(n.cachedPlanHosts))*time.Second/storeProbesPerSecond), storeProbeMaxInterval)
	n.nextStoreProbe = now.Add(interval*3/4 + time.Duration(n.o.Rand.Int64N(int64(interval/2))))
	bounded, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	for _, m := range n.o.Copies {
		if m.PollOnce(bounded) {
			n.followStore(ctx)
		}
		return // the copies share the store, so one probe is enough
	}
}

// followsRelay reports whether this host follows the relay source.
func (n *Node) followsRelay(source string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.source == source
}
