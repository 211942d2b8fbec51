package scale

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/state"
)

// threeDomainSpec returns the spec of a service whose spot runners cost a seventh of the on-demand
// price.
func threeDomainSpec() state.ScaleSpec {
	return state.ScaleSpec{
		MinPerDomain: 1, MaxPerDomain: 38, Boot: 4 * time.Second, SpotPrice: 0.15,
		DomainPrices: map[string]float64{"nord": 0.85, "sud": 1.2, "depot": 1},
	}
}

// withoutSpotOf returns the number of runners that remain after a reclaim of a domain's spot runners.
func (n Counts) withoutSpotOf(domain string) int { return n.total() - n[Pool{domain, Spot}] }

// Guards against a plan that doesn't carry the load after the reclaim of any one domain's spot
// runners, or that needs on-demand runners for it.
func TestPlanSurvivesSpotLossInOneDomain(t *testing.T) {
	is := is.New(t)
	r := Requirements{Spec: threeDomainSpec(), Runners: 57}
	n := Plan(r)
	for domain := range r.Spec.DomainPrices {
		is.True(n.withoutSpotOf(domain) >= 57)
		is.Equal(n[Pool{domain, OnDemand}], 0)
	}
	is.True(r.cost(n) < 0.3*r.cost(planOnDemand(r, domainsByPrice(r.Spec))))
}

// While a domain has lost its spot runners and no domain has further spot capacity, the spot
// runners of the other domains carry the load. This guards against on-demand runners held in
// reserve for a second loss.
func TestRemainingDomainsCarryLoadAfterReclaim(t *testing.T) {
	is := is.New(t)
	r := Requirements{Spec: threeDomainSpec(), Runners: 57, SpotLimits: map[string]int{"nord": 0, "sud": 29, "depot": 29}}
	n := Plan(r)
	is.True(n.total() >= 57)
	is.True(n[Pool{"nord", OnDemand}]+n[Pool{"sud", OnDemand}]+n[Pool{"depot", OnDemand}] <= 1) // at least MinPerDomain runners in the domain
}

// Without any spot capacity on-demand runners carry the whole load, the cheapest domains first.
func TestPlanWithoutAvailableSpot(t *testing.T) {
	is := is.New(t)
	r := Requirements{Spec: threeDomainSpec(), Runners: 57, SpotLimits: map[string]int{"nord": 0, "sud": 0, "depot": 0}}
	n := Plan(r)
	is.Equal(n.total(), 57)
	is.True(n[Pool{"nord", OnDemand}] >= n[Pool{"sud", OnDemand}])
}

// Guards against spot runners in a plan where their reserve costs more than they save, and against
// a wrong count for a service without spot runners.
func TestPlanAvoidsExpensiveSpot(t *testing.T) {
	is := is.New(t)
	spec := threeDomainSpec()
	spec.SpotPrice = 0.9
	n := Plan(Requirements{Spec: spec, Runners: 57})
	for domain := range spec.DomainPrices {
		is.Equal(n[Pool{domain, Spot}], 0)
	}
	spec.SpotPrice = 0
	is.Equal(Plan(Requirements{Spec: spec, Runners: 57}).total(), 57)
}

// Guards against plans that carry too little load although the bounds per domain allow it, and
// against plans that exceed these bounds or the limits on spot runners.
func TestPlansCarryTheLoadWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Requirements{SpotLimits: map[string]int{}}
		r.Spec.DomainPrices = map[string]float64{}
		r.Spec.MinPerDomain = rapid.IntRange(0, 3).Draw(t, "min")
		r.Spec.MaxPerDomain = r.Spec.MinPerDomain + rapid.IntRange(0, 40).Draw(t, "more")
		r.Spec.SpotPrice = rapid.SampledFrom([]float64{0, 0.15, 0.5, 0.95}).Draw(t, "spot")
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		for i := range domains {
			d := string(rune('a' + i))
			r.Spec.DomainPrices[d] = rapid.Float64Range(0.1, 2).Draw(t, "price")
			if rapid.Bool().Draw(t, "limited") {
				r.SpotLimits[d] = rapid.IntRange(0, r.Spec.MaxPerDomain).Draw(t, "limit")
			}
		}
		r.Runners = rapid.IntRange(0, domains*r.Spec.MaxPerDomain).Draw(t, "need")
		n := Plan(r)
		if n.total() < r.Runners {
			t.Fatalf("plan %v has %d runners, %d are required", n, n.total(), r.Runners)
		}
		for d := range r.Spec.DomainPrices {
			total := n[Pool{d, Spot}] + n[Pool{d, OnDemand}]
			if total < r.Spec.MinPerDomain || total > r.Spec.MaxPerDomain {
				t.Fatalf("plan %v has %d runners in domain %s, outside its bounds", n, total, d)
			}
			if limit, limited := r.SpotLimits[d]; limited && n[Pool{d, Spot}] > limit {
				t.Fatalf("plan %v has more spot runners in domain %s than its limit", n, d)
			}
		}
	})
}
