// Package stages divides the engines of a service between reading prompts and
// generating, and gives the engines their orders. One host at a time does so: it
// holds a lease, and each order carries a fence, the engine's instance and the
// number of orders that the engine has accepted.
package stages

import (
	"cmp"
	"math"
	"slices"

	"github.com/thymerack/thymerack/state"
)

// Change is one engine and the role it should have.
type Change struct {
	Instance state.Instance
	Role     state.Role
}

// minEach is the least number of engines of either role, so that one crash
// leaves the other.
const minEach = 2

// Target returns how many of n engines read prompts at the given share.
func Target(n int, share float64) int {
	if n < 2*minEach {
		return n / 2
	}
	want := int(math.Round(share * float64(n)))
	return min(max(want, minEach), n-minEach)
}

// Plan returns the changes that bring the number of prefill engines to want. It
// takes engines from the failure domain that has most of the role that is too
// many, so that each domain keeps some of both; equal choices go by id.
func Plan(engines []state.Instance, want int) []Change {
	present := prefilling(engines)
	from, to := state.RoleDecode, state.RolePrefill
	if present > want {
		from, to = to, from
	}
	byDomain := map[string][]state.Instance{}
	for _, e := range engines {
		if e.Role == from {
			byDomain[e.FailureDomain] = append(byDomain[e.FailureDomain], e)
		}
	}
	var out []Change
	for range abs(want - present) {
		domain := fullest(byDomain)
		if domain == "" {
			break
		}
		list := byDomain[domain]
		slices.SortFunc(list, func(a, b state.Instance) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
		out = append(out, Change{list[0], to})
		byDomain[domain] = list[1:]
	}
	return out
}

// prefilling counts the engines that read prompts.
func prefilling(engines []state.Instance) int {
	n := 0
	for _, e := range engines {
		if e.Role == state.RolePrefill {
			n++
		}
	}
	return n
}

func fullest(byDomain map[string][]state.Instance) string {
	best := ""
	for domain, list := range byDomain {
		if len(list) == 0 {
			continue
		}
		if best == "" || len(list) > len(byDomain[best]) || (len(list) == len(byDomain[best]) && domain < best) {
			best = domain
		}
	}
	return best
}

func abs(n int) int { return max(n, -n) }
