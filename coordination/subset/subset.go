// Package subset chooses, for each host, the runners of a service that the host uses. The number
// of watched pairs of host and runner then grows linearly with the hosts or the runners, and not
// with their product.
package subset

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSize is the smallest subset of a service: enough runners for a good choice among them.
	minSize = 16
	// hostsPerRunner is how many hosts use each runner on average. With 12 the probability that
	// no host uses a given runner is 6 in a million.
	hostsPerRunner = 12
)

// Size returns how many of a service's runners each host uses. The number of hosts is rounded
// down to a power of two, so that a few added or removed hosts rarely change a subset.
func Size(hosts, runners int) int {
	roundedHosts := 1
	for roundedHosts*2 <= hosts {
		roundedHosts *= 2
	}
	return max(minSize, (runners*hostsPerRunner+roundedHosts-1)/roundedHosts)
}

// Choose returns the size names with the highest rendezvous score for the host, sorted. Adding
// or removing a name changes at most one name of the result, and each name is chosen by about
// size*hosts/len(names) hosts. All names are returned if size is at least len(names).
func Choose(host string, names []string, size int) []string {
	if size >= len(names) {
		out := slices.Clone(names)
		slices.Sort(out)
		return out
	}
	ranked := make([]scoredName, len(names))
	for i, name := range names {
		ranked[i] = scoredName{score(host, name), name}
	}
	slices.SortFunc(ranked, scoredName.compare)
	out := make([]string, size)
	for i := range out {
		out[i] = ranked[i].name
	}
	slices.Sort(out)
	return out
}

// scoredName is a runner's name with its rendezvous score for a host.
type scoredName struct {
	score uint64
	name  string
}

// compare sorts higher scores first.
func (r scoredName) compare(o scoredName) int {
	switch {
	case r.score > o.score:
		return -1
	case r.score < o.score:
		return 1
	}
	return 0
}

// score returns the rendezvous score of a name for a host.
func score(host, name string) uint64 {
	return xxhash.Sum64String(host + "\x00" + name)
}
