package fanout

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// reachEvery is the shortest pause between two questions to the store of a host whose relays
	// all say that they lost it: those ask it every second, and tell of its return. All such
	// hosts together ask reachPerSecond times a second, reachMost apart each at most.
	reachEvery     = 2 * time.Second
	reachMost      = 8 * time.Second
	reachPerSecond = 20
	reachTimeout   = 500 * time.Millisecond
)

// followStore begins to follow the store, unless this host does already.
func (n *Node) followStore(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stop != nil {
		return
	}
	following, cancel := context.WithCancel(ctx)
	var runs conc.WaitGroup
	for _, m := range n.o.Copies {
		runs.Go(func() { m.Run(following) })
	}
	n.stop = func() {
		cancel()
		runs.Wait()
	}
	n.o.Log.Info("following the store", "instead_of", n.source)
	n.source = ""
}

// followPeer goes on with a relay alone.
func (n *Node) followPeer(source string) {
	n.followStoreNoMore()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.source != source {
		n.o.Log.Info("following a peer", "peer", source, "instead_of", n.source)
		n.source = source
	}
}

// followStoreNoMore ends the runs of the copies at the store.
func (n *Node) followStoreNoMore() {
	n.mu.Lock()
	stop := n.stop
	n.stop = nil
	n.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// awaitStore asks the store now and then while all relays have lost it, and follows it if
// it answers: they may be refused by it, or cut off, and this host not.
func (n *Node) awaitStore(ctx context.Context, now time.Time) {
	for _, m := range n.o.Copies {
		m.MarkLost()
	}
	if now.Before(n.reachAt) {
		_ = n.o.Clock.Sleep(ctx, checkEvery)
		return
	}
	every := min(max(reachEvery, time.Duration(len(n.plannedOf))*time.Second/reachPerSecond), reachMost)
	n.reachAt = now.Add(every*3/4 + time.Duration(n.o.Rand.Int64N(int64(every/2))))
	bounded, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	for _, m := range n.o.Copies {
		if m.PollOnce(bounded) {
			n.followStore(ctx)
		}
		return // one copy tells as much as all
	}
}

// follows reports whether this host follows that relay.
func (n *Node) follows(source string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.source == source
}
