package fanout

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// LastFetchFrom returns when the host at addr last fetched from this one, peeks excluded; zero if it
// hasn't recently.
func (n *Node) LastFetchFrom(addr string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastFetchFrom[addr]
}

// Monitors reports whether this host checks the liveness of another host of its failure domain. The
// monitors of a domain are its first relaysPerDomain hosts in the order in which relays are chosen,
// without those that this host found to fail. They monitor each other, and each monitors the hosts
// that would follow it. A host that doesn't follow the store, or isn't answered by it, monitors none.
func (n *Node) Monitors(addr string) bool {
	if !n.FollowsStore() || !n.fresh() {
		return false
	}
	monitors := n.monitors(n.currentLayout().domain)
	if !slices.Contains(monitors, n.o.Self.Addr) {
		return false
	}
	return slices.Contains(monitors, addr) || rendezvousOrder(addr, monitors)[0] == n.o.Self.Addr
}

// monitors returns the addresses of the first hosts of a domain that this host didn't find to fail.
func (n *Node) monitors(domain []state.Peer) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]string, 0, relaysPerDomain)
	for _, h := range domain {
		if len(out) == relaysPerDomain {
			break
		}
		if n.backoffs[h.Addr].failures < failuresToReplace {
			out = append(out, h.Addr)
		}
	}
	return out
}

// failuresToReplace is the number of failures in a row after which a relay is replaced as a monitor.
const failuresToReplace = 3
