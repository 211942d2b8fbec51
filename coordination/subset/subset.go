// Package subset chooses, for each host, the runners of a service that it deals
// with, so that the work of watching runners grows with the number of hosts or
// of runners but not with their product.
package subset

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSize is the smallest subset of a service: enough to choose well among.
	minSize = 16
	// hostsPerRunner is how many hosts are to deal with each runner, on average.
	// With 12 the chance that none does is 6 in a million.
	hostsPerRunner = 12
)

// Size returns how many of a service's runners one of the hosts should deal
// with. The number of hosts is taken as the power of two below, so that a few
// hosts that come or go change no subset.
func Size(hosts, runners int) int {
	roundedHosts := 1
	for roundedHosts*2 <= hosts {
		roundedHosts *= 2
	}
	return max(minSize, (runners*hostsPerRunner+roundedHosts-1)/roundedHosts)
}

// Choose returns the size names with the highest rendezvous score for the host,
// sorted. A name that comes or goes changes the choice of a host in at most one
// place, and each name is chosen by about size*hosts/len(names) hosts. When size
// is at least len(names), all are chosen.
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

type scoredName struct {
	score uint64
	name  string
}

// compare puts the higher score first.
func (r scoredName) compare(o scoredName) int {
	switch {
	case r.score > o.score:
		return -1
	case r.score < o.score:
		return 1
	}
	return 0
}

func score(host, name string) uint64 {
	return xxhash.Sum64String(host + "\x00" + name)
}
