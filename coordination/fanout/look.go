package fanout

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// LastFetchFrom is when a host asked this one; zero if it hasn't recently.
func (n *Node) LastFetchFrom(addr string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastFetchFrom[addr]
}

// Monitors reports whether this host looks after another of its domain. The first relays
// by the order that all compute, but for those that this host found silent itself, look
// after each other, and each after the hosts that would follow it.
func (n *Node) Monitors(addr string) bool {
	if !n.FollowsStore() || !n.fresh() {
		return false
	}
	var monitors []string
	n.mu.Lock()
	for _, h := range state.StrongestFirst(byDomain(n.o.Hosts())[n.o.Self.FailureDomain]) {
		if n.backoffs[h.Addr].failures < failuresToReplace && len(monitors) < relaysPerDomain {
			monitors = append(monitors, h.Addr)
		}
	}
	n.mu.Unlock()
	if !slices.Contains(monitors, n.o.Self.Addr) {
		return false
	}
	return slices.Contains(monitors, addr) || rendezvousOrder(addr, monitors)[0] == n.o.Self.Addr
}

// failuresToReplace is how often in a row a relay was of no use before others stand in for it.
const failuresToReplace = 3
