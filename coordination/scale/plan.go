package scale

import (
	"cmp"
	"slices"

	"github.com/thymerack/thymerack/state"
)

// Kind is the pricing model of a runner.
type Kind string

// The kinds of runner. Spot runners are cheaper, and the platform may reclaim them at any time.
const (
	OnDemand Kind = "on_demand"
	Spot     Kind = "spot"
)

// kinds lists all kinds in the order in which their runners are requested.
var kinds = []Kind{Spot, OnDemand}

// Pool identifies the runners of one kind in one failure domain.
type Pool struct {
	FailureDomain string
	Kind          Kind
}

// Counts holds the number of runners by pool.
type Counts map[Pool]int

// total returns the number of runners in all pools.
func (n Counts) total() int {
	out := 0
	for _, v := range n {
		out += v
	}
	return out
}

// Requirements is the input of a plan.
type Requirements struct {
	// Spec holds the prices and the bounds of the failure domains.
	Spec state.ScaleSpec
	// Runners is the number of serving runners that carry the load.
	Runners int
	// SpotLimits bounds the number of spot runners by failure domain. It has an entry, the number
	// of present runners, only for failure domains without further spot capacity.
	SpotLimits map[string]int
}

// Plan returns the cheapest counts that carry the load, including after a reclaim of all spot
// runners of any one failure domain. The reserve for that consists of spot runners only. Further
// losses are replaced by on-demand runners when they happen: they are rare, and on-demand runners
// held in reserve for them would cost more.
//
// With three failure domains and spot runners at a seventh of the on-demand price, a plan with
// half as many runners again as required costs a quarter of the required number of on-demand
// runners.
func Plan(r Requirements) Counts {
	domains := domainsByPrice(r.Spec)
	best := planOnDemand(r, domains)
	bestCost := r.cost(best)
	if r.Spec.SpotPrice <= 0 {
		return best
	}
	for perDomain := 1; perDomain <= r.Spec.MaxPerDomain; perDomain++ {
		n := r.planWithSpot(domains, perDomain)
		if cost := r.cost(n); cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// domainsByPrice returns the failure domains, the cheapest first.
func domainsByPrice(s state.ScaleSpec) []string {
	out := make([]string, 0, len(s.DomainPrices))
	for domain := range s.DomainPrices {
		out = append(out, domain)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.DomainPrices[a], s.DomainPrices[b]), cmp.Compare(a, b))
	})
	return out
}

// planOnDemand returns the plan that uses on-demand runners only.
func planOnDemand(r Requirements, domains []string) Counts {
	n := Counts{}
	r.addOnDemand(n, domains, r.Runners)
	return n
}

// planWithSpot returns a plan with perDomain spot runners in each failure domain, or fewer where
// SpotLimits says so, and on-demand runners for the rest of the load. If no limit applies the
// plan carries the load without the spot runners of any one failure domain.
func (r Requirements) planWithSpot(domains []string, perDomain int) Counts {
	n := Counts{}
	spot, largest, domainLimited := 0, 0, false
	for _, d := range domains {
		count := perDomain
		if limit, limited := r.SpotLimits[d]; limited && limit < count {
			count, domainLimited = limit, true
		}
		n[Pool{d, Spot}] = count
		spot += count
		largest = max(largest, count)
	}
	reserve := largest
	if domainLimited || len(domains) == 1 {
		reserve = 0 // a further loss would be the second, or would leave no domain to carry the load
	}
	r.addOnDemand(n, domains, r.Runners-(spot-reserve))
	return n
}

// addOnDemand adds the missing number of on-demand runners, spread evenly over the failure
// domains as far as MaxPerDomain allows, and raises each failure domain to MinPerDomain.
func (r Requirements) addOnDemand(n Counts, domains []string, missing int) {
	for _, d := range domains {
		if shortfall := r.Spec.MinPerDomain - n[Pool{d, Spot}]; shortfall > 0 {
			n[Pool{d, OnDemand}] = shortfall
			missing -= shortfall
		}
	}
	for added := true; missing > 0 && added; {
		added = false
		for _, d := range domains {
			if missing > 0 && n[Pool{d, Spot}]+n[Pool{d, OnDemand}] < r.Spec.MaxPerDomain {
				n[Pool{d, OnDemand}]++
				missing--
				added = true
			}
		}
	}
}

// cost returns the price of the counts per second. Each runner that is missing for the load adds
// missingRunnerPrice.
func (r Requirements) cost(n Counts) float64 {
	out := 0.0
	for p, count := range n {
		price := r.Spec.DomainPrices[p.FailureDomain]
		if p.Kind == Spot {
			price *= r.Spec.SpotPrice
		}
		out += price * float64(count)
	}
	return out + missingRunnerPrice*float64(max(0, r.Runners-n.total()))
}

// missingRunnerPrice is the price per second of a missing runner. It is above the price of any
// runner, so that carrying the load takes precedence over the price.
const missingRunnerPrice = 1e3
