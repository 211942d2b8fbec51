package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// group is the set of runners that serve the same part with the same model.
type group struct {
	names []string
	ring  []ringPoint
}

// ringPoint is the position of a runner on a consistent-hashing ring.
type ringPoint struct {
	hash  uint64
	stats *runnerStats
}

// members returns the names of the runners. A nil group is empty.
func (g *group) members() []string {
	if g == nil {
		return nil
	}
	return g.names
}

// newRing returns the runners' points in the order of their hashes.
func newRing(names []string, stats map[string]*runnerStats) []ringPoint {
	ring := make([]ringPoint, len(names))
	for i, n := range names {
		ring[i] = ringPoint{xxhash.Sum64String(n), stats[n]}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return strings.Compare(a.stats.name, b.stats.name)
	})
	return ring
}

// successor returns the first runner at or after the hash on the ring; nil if the
// group is empty.
func (g *group) successor(hash uint64) *runnerStats {
	if g == nil || len(g.ring) == 0 {
		return nil
	}
	i, _ := slices.BinarySearchFunc(g.ring, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	return g.ring[i%len(g.ring)].stats
}

// minAffinityBlocks is the length of the shortest prefix that determines an
// affinity engine.
const minAffinityBlocks = 4

// affinityBlocks returns the length in blocks of the prefix that determines the
// prompt's affinity engine: the largest power of two that is at most half of the
// prompt, so that prompts with the same document and different questions agree.
// It is 0 for prompts shorter than twice minAffinityBlocks.
func (q *Query) affinityBlocks() int {
	n := minAffinityBlocks
	if len(q.Prefixes) < 2*n {
		return 0
	}
	for 4*n <= len(q.Prefixes) {
		n *= 2
	}
	return n
}

// affinityTokens returns the length of that prefix in tokens.
func (q *Query) affinityTokens() int {
	if n := q.affinityBlocks(); n > 0 {
		return q.prefixTokens(n - 1)
	}
	return 0
}

// affinityEngine returns the engine that prompts with the same prefix are sent to
// by preference, chosen by consistent hashing: hosts that see the same runners
// choose the same one. It is nil for short prompts and for decode.
func (x *runnerIndex) affinityEngine(q *Query) *runnerStats {
	n := q.affinityBlocks()
	if n == 0 || q.Part == PartDecode {
		return nil
	}
	model, _, _ := strings.Cut(q.Model, "@")
	hash := q.Prefixes[n-1] * 0x9e3779b97f4a7c15
	return x.groups[groupKey{q.Service, q.Part, model}].successor(hash ^ hash>>32)
}

// markAffinity marks the candidate that is the prompt's affinity engine, if any.
func markAffinity(preferred *runnerStats, cs []Candidate) []Candidate {
	if preferred == nil {
		return cs
	}
	for i := range cs {
		cs[i].hasAffinity = cs[i].stats == preferred
	}
	return cs
}
