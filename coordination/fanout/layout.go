package fanout

import "github.com/thymerack/thymerack/state"

// layout is what a host derives from the list of hosts for its notices and for the liveness of its
// failure domain. It is computed once for each list.
type layout struct {
	hosts []state.Peer
	// domain holds the hosts of this host's failure domain, the strongest first.
	domain []state.Peer
	// noticeTargets are the addresses to which a notice is sent so that all hosts get it: the relays
	// of each failure domain, which pass it on, and all hosts of a domain without relays.
	noticeTargets []string
	computed      bool
}

func newLayout(self state.Peer, hosts []state.Peer) layout {
	out := layout{hosts: hosts, computed: true}
	for domain, members := range byDomain(hosts) {
		if domain == self.FailureDomain {
			out.domain = state.StrongestFirst(members)
		}
		targets := relaysOf(members)
		if len(targets) == 0 {
			targets = addresses(members)
		}
		for _, addr := range targets {
			if addr != self.Addr {
				out.noticeTargets = append(out.noticeTargets, addr)
			}
		}
	}
	return out
}

// currentLayout returns the layout of the current list of hosts.
func (n *Node) currentLayout() layout {
	hosts := n.o.Hosts()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.cachedLayout.computed || !state.SameList(n.cachedLayout.hosts, hosts) {
		n.cachedLayout = newLayout(n.o.Self, hosts)
	}
	return n.cachedLayout
}
