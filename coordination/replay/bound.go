package replay

import (
	"time"
)

// The search for the bound.
const (
	boundBucket = time.Second
	boundRounds = 400
)

// UpperBound returns a share of requests answered in time that no decisions can
// exceed, lost engines left out of account.
//
// Each request costs at least its own part of the prompt at full prefill speed
// and its output at the speed of a full batch, in engine time between its
// arrival and its deadline, as if engine time could be divided at will and every
// shared beginning were cached everywhere. For prices per second of engine time
// that aren't negative, the sum of what all time is worth and of what each
// request is worth beyond its cheapest time bounds the number of requests from
// above (linear programming duality); the prices are improved by a subgradient
// method, and the least bound met counts.
func UpperBound(t *Trace, m Model, engines int) float64 {
	b := newBound(t, m, engines)
	least := float64(len(t.Requests))
	for round := range boundRounds {
		least = min(least, b.value())
		b.improve(0.02 / (1 + float64(round)/40))
	}
	return least / float64(len(t.Requests))
}

type boundJob struct {
	cost        float64 // engine seconds
	first, last int     // buckets in which it can run
	cheapest    int     // the bucket of the least price
}

type bound struct {
	jobs     []boundJob
	prices   []float64 // per engine second, by bucket
	capacity float64   // engine seconds in a bucket
	demand   []float64
}

func newBound(t *Trace, m Model, engines int) *bound {
	b := &bound{capacity: float64(engines) * boundBucket.Seconds()}
	token := m.StepBase.Seconds()/float64(m.MaxBatch) + m.StepPerSeq.Seconds()
	for i := range t.Requests {
		r := &t.Requests[i]
		own := r.PromptTokens - r.PrefixTokens/blockTokens*blockTokens
		end := r.At + t.class(r.Class).Deadline
		j := boundJob{
			cost:  float64(own)/m.PrefillTokensPerSecond + float64(r.OutputTokens)*token,
			first: int(r.At / boundBucket), last: int(end / boundBucket),
		}
		for len(b.prices) <= j.last {
			b.prices = append(b.prices, 0)
		}
		b.jobs = append(b.jobs, j)
	}
	b.demand = make([]float64, len(b.prices))
	return b
}

// value is the bound for the present prices; it notes what runs where.
func (b *bound) value() float64 {
	total := 0.0
	for i, p := range b.prices {
		total += p * b.capacity
		b.demand[i] = 0
	}
	for i := range b.jobs {
		j := &b.jobs[i]
		j.cheapest = j.first
		for k := j.first; k <= j.last; k++ {
			if b.prices[k] < b.prices[j.cheapest] {
				j.cheapest = k
			}
		}
		if worth := 1 - j.cost*b.prices[j.cheapest]; worth > 0 {
			total += worth
			b.demand[j.cheapest] += j.cost
		}
	}
	return total
}

// improve moves the prices towards a balance of demand and capacity.
func (b *bound) improve(step float64) {
	for i := range b.prices {
		b.prices[i] = max(0, b.prices[i]+step*(b.demand[i]-b.capacity))
	}
}
