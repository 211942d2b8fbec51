package placement

import (
	"math/bits"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minGroupSize is the mean number of runners from which on a group is divided in two. Choosing the
// least loaded of as many is as good as choosing among all.
const minGroupSize = 64

// index divides the runners of a service into groups, so that the cost of a choice doesn't grow with
// the service. The group of a runner depends on its name and that of a session on its id, alike at all
// hosts: a runner that comes or goes moves only sessions of its own group. The number of groups is a
// power of two, and one for services of less than 2 x minGroupSize runners. An index is immutable;
// its successors share the groups that a change leaves as they are.
type index struct {
	size   int
	groups [][]*Runner
}

// newIndex returns an index of the runners.
func newIndex(runners []*Runner) index {
	x := index{len(runners), make([][]*Runner, groupCount(len(runners)))}
	for _, r := range runners {
		g := x.groupOf(r)
		x.groups[g] = append(x.groups[g], r)
	}
	return x
}

// groupCount returns the number of groups for that many runners.
func groupCount(runners int) int {
	return 1 << max(0, bits.Len(uint(runners/minGroupSize))-1)
}

func (x index) groupOf(r *Runner) int {
	return int(xxhash.Sum64String(r.Instance.ID.Name) & uint64(len(x.groups)-1))
}

// with returns an index without the removed runners, which must be in it, and with the added ones.
func (x index) with(removed, added []*Runner) index {
	size := x.size - len(removed) + len(added)
	if groupCount(size) != len(x.groups) {
		all := slices.DeleteFunc(x.all(), func(r *Runner) bool { return slices.Contains(removed, r) })
		return newIndex(append(all, added...))
	}
	next := index{size, slices.Clone(x.groups)}
	owned := map[int]bool{}
	writable := func(r *Runner) *[]*Runner {
		g := next.groupOf(r)
		if !owned[g] {
			next.groups[g], owned[g] = slices.Clone(next.groups[g]), true
		}
		return &next.groups[g]
	}
	for _, r := range removed {
		group := writable(r)
		*group = slices.DeleteFunc(*group, func(other *Runner) bool { return other == r })
	}
	for _, r := range added {
		group := writable(r)
		*group = append(*group, r)
	}
	return next
}

// all returns the runners of all groups.
func (x index) all() []*Runner { return slices.Concat(x.groups...) }

// first returns the number of the group that a request of the session tries first: a random one if
// session is "".
func (x index) first(session string) int {
	if len(x.groups) < 2 {
		return 0
	}
	if session == "" {
		return rand.IntN(len(x.groups))
	}
	return int(xxhash.Sum64String(session) & uint64(len(x.groups)-1))
}

// group returns the n-th group, counted from the first one on past the last.
func (x index) group(n int) []*Runner { return x.groups[n&(len(x.groups)-1)] }
