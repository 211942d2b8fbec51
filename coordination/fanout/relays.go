package fanout

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/state"
)

const (
	// perDomain relays of a failure domain are enough for one to be lost at any time.
	perDomain = 2
	// leastFollowers is the number of a domain's other hosts for which relays are worth
	// their detour: fewer follow the store for about the same calls.
	leastFollowers = 3
	// farRelays of other domains are asked when those of the own one are lost.
	farRelays = 2
)

// plan is what a host does by the list of hosts alone.
type plan struct {
	// relays says that the host is one of its domain's relays, or needs none.
	relays bool
	// sources are the relays that it asks, in that order: its domain's first, but for a
	// relay, which asks others so that it isn't lost with its whole domain.
	sources []string
	// made is set once the plan was computed.
	made bool
}

// planOf computes the plan of the host self. Its domain's relays are the strongest
// hosts; each follower asks them in an order of its own, so that they share the load.
func planOf(self state.Peer, hosts []state.Peer) plan {
	others := slices.DeleteFunc(slices.Clone(hosts), func(h state.Peer) bool { return h.Addr == self.Addr })
	domains := byDomain(append(others, self))
	near := relaysOf(domains[self.FailureDomain])
	p := plan{relays: len(near) == 0 || slices.Contains(near, self.Addr)}
	var far []string
	for domain, members := range domains {
		if domain != self.FailureDomain {
			far = append(far, relaysOf(members)...)
		}
	}
	near = slices.DeleteFunc(near, func(addr string) bool { return addr == self.Addr })
	far = inOrderOf(self.Addr, far)
	near, far = inOrderOf(self.Addr, near), far[:min(farRelays, len(far))]
	if p.relays {
		near, far = far, near
	}
	p.sources = append(near, far...)
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
	if len(members) < perDomain+leastFollowers {
		return nil
	}
	return addresses(state.StrongestFirst(members)[:perDomain])
}

// inOrderOf orders relays by rendezvous hashing with the host that asks them.
func inOrderOf(self string, relays []string) []string {
	out := slices.Clone(relays)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(self+b), xxhash.Sum64String(self+a)), strings.Compare(a, b))
	})
	return out
}
