package fanout

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/state"
)

const (
	// relaysPerDomain relays of a failure domain are enough for one to be lost at any time.
	relaysPerDomain = 2
	// minFollowers is the number of a domain's other hosts for which relays are worth
	// their detour: fewer follow the store for about the same calls.
	minFollowers = 3
	// maxRemoteRelays of other domains are asked when those of the own one are lost.
	maxRemoteRelays = 2
)

// plan is what a host does by the list of hosts alone.
type plan struct {
	// isRelay says that the host is one of its domain's isRelay, or needs none.
	isRelay bool
	// sources are the relays that it asks, in that order: its domain's first, but for a
	// relay, which asks others so that it isn't lost with its whole domain.
	sources []string
	// computed is set once the plan was computed.
	computed bool
}

// computePlan computes the plan of the host self. Its domain's relays are the strongest
// hosts; each follower asks them in an order of its own, so that they share the load.
func computePlan(self state.Peer, hosts []state.Peer) plan {
	others := slices.DeleteFunc(slices.Clone(hosts), func(h state.Peer) bool { return h.Addr == self.Addr })
	domains := byDomain(append(others, self))
	local := relaysOf(domains[self.FailureDomain])
	p := plan{isRelay: len(local) == 0 || slices.Contains(local, self.Addr)}
	var remote []string
	for domain, members := range domains {
		if domain != self.FailureDomain {
			remote = append(remote, relaysOf(members)...)
		}
	}
	local = slices.DeleteFunc(local, func(addr string) bool { return addr == self.Addr })
	remote = rendezvousOrder(self.Addr, remote)
	local, remote = rendezvousOrder(self.Addr, local), remote[:min(maxRemoteRelays, len(remote))]
	if p.isRelay {
		local, remote = remote, local
	}
	p.sources = append(local, remote...)
	return p
}

func byDomain(hosts []state.Peer) map[string][]state.Peer {
	out := map[string][]state.Peer{}
	for _, h := range hosts {
		out[h.FailureDomain] = append(out[h.FailureDomain], h)
	}
	return out
}

// relaysOf are the relays of one domain; none if it is too small.
func relaysOf(members []state.Peer) []string {
	if len(members) < relaysPerDomain+minFollowers {
		return nil
	}
	return addresses(state.StrongestFirst(members)[:relaysPerDomain])
}

// rendezvousOrder orders relays by rendezvous hashing with the host that asks them.
func rendezvousOrder(self string, relays []string) []string {
	out := slices.Clone(relays)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(self+b), xxhash.Sum64String(self+a)), strings.Compare(a, b))
	})
	return out
}
