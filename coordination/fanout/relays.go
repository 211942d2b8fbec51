package fanout

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/state"
)

const (
	// relaysPerDomain is the number of relays of a failure domain: of two, one may fail at any
	// time.
	relaysPerDomain = 2
	// minFollowers is the smallest number of other hosts of a domain for which relays are worth
	// the additional hop: fewer hosts cause about as many calls when they follow the store
	// themselves.
	minFollowers = 3
	// maxRemoteRelays is the number of relays of other domains that a host uses when those of
	// its own domain fail.
	maxRemoteRelays = 2
	// maxPartners is the number of hosts that a host of a domain without relays uses as sources.
	maxPartners = 3
)

// plan is what a host does according to the list of hosts alone.
type plan struct {
	// isRelay is set if the host is a relay of its domain, or its domain is too small for
	// relays: the host follows the store.
	isRelay bool
	// sources are the addresses of the relays to fetch from, in order of preference. A follower
	// prefers the relays of its own domain. A relay prefers those of others, so that it isn't
	// cut off together with its whole domain. In a fleet without relays they are other hosts.
	sources []string
	// alwaysFetches is set for a host of a domain without relays. It follows the store, and fetches from
	// another host besides, so that it doesn't miss what others know.
	alwaysFetches bool
	// computed is set once the plan has been computed; false in the zero plan.
	computed bool
}

// computePlan returns the plan of the host self. The relays of a domain are its strongest hosts.
// Each host has an order of preference of its own, so that the relays share the load.
func computePlan(self state.Peer, hosts []state.Peer) plan {
	others := slices.DeleteFunc(slices.Clone(hosts), func(h state.Peer) bool { return h.Addr == self.Addr })
	domains := byDomain(append(others, self))
	local := relaysOf(domains[self.FailureDomain])
	p := plan{isRelay: len(local) == 0 || slices.Contains(local, self.Addr), alwaysFetches: len(local) == 0}
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
	if p.alwaysFetches && len(p.sources) == 0 {
		p.sources = partners(self, hosts)
	}
	return p
}

// partners returns the addresses of the hosts after self in a ring of all hosts, nearest first. Neighbors in
// the ring are of different failure domains as far as possible, and a change that one host knows passes
// along the ring to all.
func partners(self state.Peer, hosts []state.Peer) []string {
	ring := ringOrder(hosts)
	at := slices.Index(ring, self.Addr)
	if at < 0 {
		return nil
	}
	after := slices.Concat(ring[at+1:], ring[:at])
	return after[:min(maxPartners, len(after))]
}

// ringOrder returns the addresses of the hosts by their rank within their failure domain, and then by
// domain.
func ringOrder(hosts []state.Peer) []string {
	domains := byDomain(hosts)
	var out []string
	for rank := 0; len(out) < len(hosts); rank++ {
		for _, domain := range slices.Sorted(maps.Keys(domains)) {
			members := addresses(domains[domain])
			slices.Sort(members)
			if rank < len(members) {
				out = append(out, members[rank])
			}
		}
	}
	return out
}

// byDomain groups hosts by failure domain.
func byDomain(hosts []state.Peer) map[string][]state.Peer {
	out := map[string][]state.Peer{}
	for _, h := range hosts {
		out[h.FailureDomain] = append(out[h.FailureDomain], h)
	}
	return out
}

// relaysOf returns the addresses of the relays among the hosts of one failure domain; none if the
// domain is too small.
func relaysOf(members []state.Peer) []string {
	if len(members) < relaysPerDomain+minFollowers {
		return nil
	}
	return addresses(state.StrongestFirst(members)[:relaysPerDomain])
}

// rendezvousOrder orders relays by rendezvous hashing with the address of the host that fetches.
func rendezvousOrder(fetcher string, relays []string) []string {
	out := slices.Clone(relays)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(fetcher+b), xxhash.Sum64String(fetcher+a)), strings.Compare(a, b))
	})
	return out
}
