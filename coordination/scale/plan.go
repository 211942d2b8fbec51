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
func Plan(w Requirements) Counts {
	domains := byPrice(w.Spec)
	best := onDemandOnly(w, domains)
	bestCost := w.cost(best)
	if w.Spec.SpotPrice <= 0 {
		return best
	}
	for each := 1; each <= w.Spec.MaxPerDomain; each++ {
		n := w.withSpot(domains, each)
		if cost := w.cost(n); cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// byPrice are the failure domains, the cheapest first.
func byPrice(s state.ScaleSpec) []string {
	out := make([]string, 0, len(s.DomainPrices))
	for domain := range s.DomainPrices {
		out = append(out, domain)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.DomainPrices[a], s.DomainPrices[b]), cmp.Compare(a, b))
	})
	return out
}

func onDemandOnly(w Requirements, domains []string) Counts {
	n := Counts{}
	w.fill(n, domains, w.Runners)
	return n
}

// withSpot is a plan with that many spot runners in each failure domain that has them: as
// many as carry the load without one of the domains, or what there is, and on-demand ones for
// what is missing now.
func (w Requirements) withSpot(domains []string, each int) Counts {
	n := Counts{}
	spot, largest, bounded := 0, 0, false
	for _, d := range domains {
		have := each
		if limit, limited := w.SpotLimits[d]; limited && limit < have {
			have, bounded = limit, true
		}
		n[Pool{d, Spot}] = have
		spot += have
		largest = max(largest, have)
	}
	reserve := largest
	if bounded || len(domains) == 1 {
		reserve = 0 // a loss now would be the second
	}
	w.fill(n, domains, w.Runners-(spot-reserve))
	return n
}

// fill adds on-demand runners, spread evenly as far as each failure domain's bounds allow, and
// raises each to its least number.
func (w Requirements) fill(n Counts, domains []string, missing int) {
	for _, d := range domains {
		if short := w.Spec.MinPerDomain - n[Pool{d, Spot}]; short > 0 {
			n[Pool{d, OnDemand}] = short
			missing -= short
		}
	}
	for added := true; missing > 0 && added; {
		added = false
		for _, d := range domains {
			if missing > 0 && n[Pool{d, Spot}]+n[Pool{d, OnDemand}] < w.Spec.MaxPerDomain {
				n[Pool{d, OnDemand}]++
				missing--
				added = true
			}
		}
	}
}

// cost is the price of the numbers for a second; runners that are missing for the load cost
// more than any that there are.
func (w Requirements) cost(n Counts) float64 {
	out := 0.0
	for p, count := range n {
		price := w.Spec.DomainPrices[p.FailureDomain]
		if p.Kind == Spot {
			price *= w.Spec.SpotPrice
		}
		out += price * float64(count)
	}
	return out + missingPrice*float64(max(0, w.Runners-n.total()))
}

// missingPrice is above the price of any runner: callers go before prices.
const missingPrice = 1e3
