package scale

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/state"
)

// threeDomains is a service as rostering has it: spot runners at a seventh of the price.
func threeDomains() state.ScaleSpec {
	return state.ScaleSpec{
		MinPerDomain: 1, MaxPerDomain: 38, Boot: 4 * time.Second, SpotPrice: 0.15,
		DomainPrices: map[string]float64{"nord": 0.85, "sud": 1.2, "depot": 1},
	}
}

// without is the number of runners that are left when a domain's spot runners are taken back.
func (n Counts) without(domain string) int { return n.total() - n[Pool{domain, Spot}] }

// Spot runners of three domains carry the load without those of any one of them.
func TestSpotRunnersStandByForTheLossOfADomain(t *testing.T) {
	is := is.New(t)
	w := Requirements{Spec: threeDomains(), Runners: 57}
	n := Plan(w)
	for domain := range w.Spec.DomainPrices {
		is.True(n.without(domain) >= 57)
		is.Equal(n[Pool{domain, OnDemand}], 0)
	}
	is.True(w.cost(n) < 0.3*w.cost(onDemandOnly(w, byPrice(w.Spec))))
}

// While a domain's spot runners are gone and none are to be had anywhere, those of the others
// carry the load; nothing is had on demand for a second loss.
func TestReclaimedDomainIsBorneByTheOthers(t *testing.T) {
	is := is.New(t)
	w := Requirements{Spec: threeDomains(), Runners: 57, SpotLimits: map[string]int{"nord": 0, "sud": 29, "depot": 29}}
	n := Plan(w)
	is.True(n.total() >= 57)
	is.True(n[Pool{"nord", OnDemand}]+n[Pool{"sud", OnDemand}]+n[Pool{"depot", OnDemand}] <= 1) // the least of a domain
}

// None to be had from the start: runners on demand carry all of it, the cheapest places first.
func TestNoSpotRunnersAtAll(t *testing.T) {
	is := is.New(t)
	w := Requirements{Spec: threeDomains(), Runners: 57, SpotLimits: map[string]int{"nord": 0, "sud": 0, "depot": 0}}
	n := Plan(w)
	is.Equal(n.total(), 57)
	is.True(n[Pool{"nord", OnDemand}] >= n[Pool{"sud", OnDemand}])
}

func TestDearSpotRunnersAreNotHad(t *testing.T) {
	is := is.New(t)
	spec := threeDomains()
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
		w := Requirements{SpotLimits: map[string]int{}}
		w.Spec.DomainPrices = map[string]float64{}
		w.Spec.MinPerDomain = rapid.IntRange(0, 3).Draw(t, "min")
		w.Spec.MaxPerDomain = w.Spec.MinPerDomain + rapid.IntRange(0, 40).Draw(t, "more")
		w.Spec.SpotPrice = rapid.SampledFrom([]float64{0, 0.15, 0.5, 0.95}).Draw(t, "spot")
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		for i := range domains {
			d := string(rune('a' + i))
			w.Spec.DomainPrices[d] = rapid.Float64Range(0.1, 2).Draw(t, "price")
			if rapid.Bool().Draw(t, "limited") {
				w.SpotLimits[d] = rapid.IntRange(0, w.Spec.MaxPerDomain).Draw(t, "limit")
			}
		}
		w.Runners = rapid.IntRange(0, domains*w.Spec.MaxPerDomain).Draw(t, "need")
		n := Plan(w)
		if n.total() < w.Runners {
			t.Fatalf("%v carries %d of %d", n, n.total(), w.Runners)
		}
		for d := range w.Spec.DomainPrices {
			both := n[Pool{d, Spot}] + n[Pool{d, OnDemand}]
			if both < w.Spec.MinPerDomain || both > w.Spec.MaxPerDomain {
				t.Fatalf("%v has %d in %s", n, both, d)
			}
			if limit, limited := w.SpotLimits[d]; limited && n[Pool{d, Spot}] > limit {
				t.Fatalf("%v has more spot runners in %s than there are", n, d)
			}
		}
	})
}
