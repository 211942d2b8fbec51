package scale

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/state"
)

// threeDomains is a service as rostering has it: spot runners at a seventh of the price.
func threeDomainSpec() state.ScaleSpec {
	return state.ScaleSpec{
		MinPerDomain: 1, MaxPerDomain: 38, Boot: 4 * time.Second, SpotPrice: 0.15,
		DomainPrices: map[string]float64{"nord": 0.85, "sud": 1.2, "depot": 1},
	}
}

// without is the number of runners that are left when a domain's spot runners are taken back.
func (n Counts) withoutSpotOf(domain string) int { return n.total() - n[Pool{domain, Spot}] }

// Spot runners of three domains carry the load without those of any one of them.
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

// While a domain's spot runners are gone and none are to be had anywhere, those of the others
// carry the load; nothing is had on demand for a second loss.
func TestRemainingDomainsCarryLoadAfterReclaim(t *testing.T) {
	is := is.New(t)
	r := Requirements{Spec: threeDomainSpec(), Runners: 57, SpotLimits: map[string]int{"nord": 0, "sud": 29, "depot": 29}}
	n := Plan(r)
	is.True(n.total() >= 57)
	is.True(n[Pool{"nord", OnDemand}]+n[Pool{"sud", OnDemand}]+n[Pool{"depot", OnDemand}] <= 1) // the least of a domain
}

// None to be had from the start: runners on demand carry all of it, the cheapest places first.
func TestPlanWithoutAvailableSpot(t *testing.T) {
	is := is.New(t)
	r := Requirements{Spec: threeDomainSpec(), Runners: 57, SpotLimits: map[string]int{"nord": 0, "sud": 0, "depot": 0}}
	n := Plan(r)
	is.Equal(n.total(), 57)
	is.True(n[Pool{"nord", OnDemand}] >= n[Pool{"sud", OnDemand}])
}

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

// Whatever is to be had, a plan carries the load if the bounds allow it, and keeps them.
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
			t.Fatalf("%v carries %d of %d", n, n.total(), r.Runners)
		}
		for d := range r.Spec.DomainPrices {
			total := n[Pool{d, Spot}] + n[Pool{d, OnDemand}]
			if total < r.Spec.MinPerDomain || total > r.Spec.MaxPerDomain {
				t.Fatalf("%v has %d in %s", n, total, d)
			}
			if limit, limited := r.SpotLimits[d]; limited && n[Pool{d, Spot}] > limit {
				t.Fatalf("%v has more spot runners in %s than there are", n, d)
			}
		}
	})
}
