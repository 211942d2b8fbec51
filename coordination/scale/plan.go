package scale

import (
	"cmp"
	"slices"

	"github.com/thymerack/thymerack/state"
)

// Kind is the terms on which a runner is had.
type Kind string

// The kinds of runner.
const (
	OnDemand Kind = "on_demand"
	Spot     Kind = "spot"
)

// kinds are all of them, in the order in which they are ordered.
var kinds = []Kind{Spot, OnDemand}

// Pool is what a number of runners is ordered for.
type Pool struct {
	FailureDomain string
	Kind          Kind
}

// Counts are runners by place.
type Counts map[Pool]int

// total is the number of all runners.
func (n Counts) total() int {
	out := 0
	for _, v := range n {
		out += v
	}
	return out
}

// Requirements is what a plan is made for.
type Requirements struct {
	Spec state.ScaleSpec
	// Runners is the number of runners that carry the load.
	Runners int
	// SpotLimits bounds the number of spot runners of a failure domain where no more are to be
	// had at present, by what there is.
	SpotLimits map[string]int
}

// Plan returns the cheapest numbers that carry the load, also once the spot runners of any
// one failure domain are taken back at once. Spot runners that stand by for that are had only
// where spot runners are: what a loss takes beyond that, on-demand runners replace when it
// comes, since it is rarer than they are dear.
//
// With three failure domains and spot runners at a seventh of the price half as many more than
// needed cost a quarter of what the needed ones cost on demand.
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

// byPrice are the failure domains, the cheapest first.
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

func planOnDemand(r Requirements, domains []string) Counts {
	n := Counts{}
	r.addOnDemand(n, domains, r.Runners)
	return n
}

// withSpot is a plan with that many spot runners in each failure domain that has them: as
// many as carry the load without one of the domains, or what there is, and on-demand ones for
// what is missing now.
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
		reserve = 0 // a loss now would be the second
	}
	r.addOnDemand(n, domains, r.Runners-(spot-reserve))
	return n
}

// fill adds on-demand runners, spread evenly as far as each failure domain's bounds allow, and
// raises each to its least number.
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

// cost is the price of the numbers for a second; runners that are missing for the load cost
// more than any that there are.
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

// missingPrice is above the price of any runner: callers go before prices.
const missingRunnerPrice = 1e3
