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

// RoleChange is one engine and the role it should have.
type RoleChange struct {
	Instance state.Instance
	Role     state.Role
}

// minEach is the least number of engines of either role, so that one crash
// leaves the other.
const minPerRole = 2

// PrefillTarget returns how many of n engines read prompts at the given share.
func PrefillTarget(n int, share float64) int {
	if n < 2*minPerRole {
		return n / 2
	}
	want := int(math.Round(share * float64(n)))
	return min(max(want, minPerRole), n-minPerRole)
}

// Plan returns the changes that bring the number of prefill engines to want. It
// takes engines from the failure domain that has most of the role that is too
// many, so that each domain keeps some of both; equal choices go by id.
func Plan(engines []state.Instance, want int) []RoleChange {
	current := countPrefill(engines)
	from, to := state.RoleDecode, state.RolePrefill
	if current > want {
		from, to = to, from
	}
	byDomain := map[string][]state.Instance{}
	for _, e := range engines {
		if e.Role == from {
			byDomain[e.FailureDomain] = append(byDomain[e.FailureDomain], e)
		}
	}
	var out []RoleChange
	for range abs(want - current) {
		domain := largestDomain(byDomain)
		if domain == "" {
			break
		}
		list := byDomain[domain]
		slices.SortFunc(list, func(a, b state.Instance) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
		out = append(out, RoleChange{list[0], to})
		byDomain[domain] = list[1:]
	}
	return out
}

// prefilling counts the engines that read prompts.
func countPrefill(engines []state.Instance) int {
	n := 0
	for _, e := range engines {
		if e.Role == state.RolePrefill {
			n++
		}
	}
	return n
}

func largestDomain(byDomain map[string][]state.Instance) string {
	largest := ""
	for domain, list := range byDomain {
		if len(list) == 0 {
			continue
		}
		if largest == "" || len(list) > len(byDomain[largest]) || (len(list) == len(byDomain[largest]) && domain < largest) {
			largest = domain
		}
	}
	return largest
}

func abs(n int) int { return max(n, -n) }
