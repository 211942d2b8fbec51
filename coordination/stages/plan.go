// Package stages divides the engines of a service between the roles prefill and decode, and
// orders the engines to change their roles. Only the host that holds the lease does so. Each
// order carries the fencing token of the lease term, the instance of the engine and the number
// of orders that the engine has accepted so far, so that orders of different holders can't
// conflict.
package stages

import (
	"cmp"
	"math"
	"slices"

	"github.com/thymerack/thymerack/state"
)

// RoleChange is an engine and the role that it is to change to.
type RoleChange struct {
	Instance state.Instance
	Role     state.Role
}

// minPerRole is the minimum number of engines of each role, so that one crash leaves another
// engine of the role.
const minPerRole = 2

// PrefillTarget returns how many of n engines should do prefill at the given share. Each role
// gets at least minPerRole engines, or half of them if there are too few.
func PrefillTarget(n int, share float64) int {
	if n < 2*minPerRole {
		return n / 2
	}
	want := int(math.Round(share * float64(n)))
	return min(max(want, minPerRole), n-minPerRole)
}

// Plan returns the changes that bring the number of prefill engines to want. It takes engines
// from the failure domain that has the most engines of the surplus role, so that each domain
// keeps engines of both roles. Ties are broken by name.
func Plan(engines []state.Instance, want int) []RoleChange {
	return planBySpeed(engines, want, nil)
}

// planBySpeed is Plan, except that of the engines of a failure domain the fastest change to prefill and
// the slowest to decode. speed is that of Options.
func planBySpeed(engines []state.Instance, want int, speed func(state.InstanceID) (float64, bool)) []RoleChange {
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
		slices.SortFunc(list, func(a, b state.Instance) int {
			return cmp.Or(compareSpeed(speed, a.ID, b.ID, to), cmp.Compare(a.ID.Name, b.ID.Name))
		})
		out = append(out, RoleChange{list[0], to})
		byDomain[domain] = list[1:]
	}
	return out
}

// compareSpeed orders engines that are to change to the role: a prefill is as fast as its engine, while
// decode engines have capacity to spare. Engines without a known speed have the usual one.
func compareSpeed(speed func(state.InstanceID) (float64, bool), a, b state.InstanceID, to state.Role) int {
	if speed == nil {
		return 0
	}
	of := func(id state.InstanceID) float64 {
		if s, known := speed(id); known {
			return s
		}
		return 1
	}
	if to == state.RolePrefill {
		a, b = b, a
	}
	return cmp.Compare(of(a), of(b))
}

// countPrefill returns the number of prefill engines.
func countPrefill(engines []state.Instance) int {
	n := 0
	for _, e := range engines {
		if e.Role == state.RolePrefill {
			n++
		}
	}
	return n
}

// largestDomain returns the failure domain with the most engines, the first by name among
// equals, or "" if no engine is left.
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
