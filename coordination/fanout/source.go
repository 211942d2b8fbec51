package fanout

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// storeProbeMinInterval is the shortest pause between two questions to the store of a host whose relays
	// all say that they lost it: those ask it every second, and tell of its return. All such
	// hosts together ask reachPerSecond times a second, reachMost apart each at most.
	storeProbeMinInterval = 2 * time.Second
	storeProbeMaxInterval = 8 * time.Second
	storeProbesPerSecond  = 20
	storeProbeTimeout     = 500 * time.Millisecond
)

// followStore begins to follow the store, unless this host does already.
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

// followRelay goes on with a relay alone.
func (n *Node) followRelay(source string) {
	n.stopFollowingStore()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.source != source {
		n.o.Log.Info("following a peer", "peer", source, "instead_of", n.source)
		n.source = source
	}
}

// stopFollowingStore ends the runs of the copies at the store.
func (n *Node) stopFollowingStore() {
	n.mu.Lock()
	stop := n.stopFollowing
	n.stopFollowing = nil
	n.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// probeStore asks the store now and then while all relays have lost it, and follows it if
// it answers: they may be refused by it, or cut off, and this host not.
func (n *Node) probeStore(ctx context.Context, now time.Time) {
	for _, m := range n.o.Copies {
		m.Uninformed()
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
		if m.Reached(bounded) {
			n.followStore(ctx)
		}
		return // one copy tells as much as all
	}
}

// followsRelay reports whether this host followsRelay that relay.
func (n *Node) followsRelay(source string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.source == source
}
