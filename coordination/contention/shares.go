package contention

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// useHalfLife is the time in which a customer's past use loses half of its weight. Longer ones defer
	// customers for use of the past: after the loss of a third of the engines, 12 s costs 0.02 of the
	// delivered value.
	useHalfLife = 3 * time.Second
	// minWindow is the shortest time over which use is compared with capacity. A new owner has
	// seen only a few prompts, which say little about shares.
	minWindow = 500 * time.Millisecond
	// usableShare is the share of the engines' time that customers share without one being ahead. It
	// is less than 1, since waits exceed the objectives before the engines are always busy.
	usableShare = 0.95
	// aheadMargin is how many times its share a customer may use before it is ahead of it, plus
	// aheadDeviations standard deviations of the use of a customer whose prompts arrive at random.
	// Without the deviations, the largest customers are deferred in each short peak.
	aheadMargin     = 1.25
	aheadDeviations = 3
	// costGain is the weight of a new prompt in the mean cost.
	costGain = 0.02
	// maxCustomers bounds the customers that are tracked for a service at one owner, 32 bytes each
	// with their index entry. The least active one is evicted.
	maxCustomers = 256
	// maxFillRounds bounds the search for the fair share. Each round but the last settles at least
	// one customer; four are usual.
	maxFillRounds = 16
)

// usePeriod is the time constant of useHalfLife: the decayed use of a customer that keeps one engine
// busy.
var usePeriod = time.Duration(useHalfLife.Seconds() / math.Ln2 * float64(time.Second))

// CustomerHash returns the Customer of a class for a customer's name; 0 for "". It has 32 bits, since
// it is sent with each prompt: two of 256 customers have the same hash in one of 100,000 deployments,
// and would share one share.
func CustomerHash(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(name)&math.MaxUint32)
}

// Shares holds the engine time that each customer has used recently, over the engines of one service
// that one owner knows. Prompts without a customer count together and are never deferred. It isn't
// safe for concurrent use.
type Shares struct {
	uses  []use
	index map[uint64]int
	// meanCost is the moving average of the cost of a prompt, in milliseconds.
	meanCost  float64
	startedAt time.Time
	updatedAt time.Time
}

// use is the decayed engine time of a customer's prompts, in milliseconds.
type use struct {
	customer uint64
	// demand is that of all prompts, and granted that of prompts which weren't late or deferred. A
	// customer that demands more than its share thus keeps its share, and only the rest is
	// deferred.
	demand, granted float64
}

// NewShares returns shares without use.
func NewShares() *Shares { return &Shares{index: map[uint64]int{}} }

// Add counts an admitted prompt of the predicted duration.
func (s *Shares) Add(now time.Time, customer uint64, cost time.Duration, o Outcome) {
	s.decay(now)
	i, known := s.index[customer]
	if !known {
		i = s.insert(customer)
	}
	ms := float64(cost) / float64(time.Millisecond)
	s.uses[i].demand += ms
	if s.meanCost == 0 {
		s.meanCost = ms
	}
	s.meanCost += costGain * (ms - s.meanCost)
	if o == InTime || o == Promoted {
		s.uses[i].granted += ms
	}
}

// Ahead reports whether the customer has used clearly more than its max-min fair share of the
// engines. No customer is ahead while the engines have time for all.
func (s *Shares) Ahead(now time.Time, customer uint64, engines int) bool {
	if customer == 0 {
		return false
	}
	s.decay(now)
	i, known := s.index[customer]
	return known && s.uses[i].granted > s.limit(s.fairShare(now, engines))
}

// limit returns the use above which a customer is ahead of a fair share. The standard deviation of the
// decayed sum of random arrivals is about the root of its mean times the mean cost.
func (s *Shares) limit(fair float64) float64 {
	return aheadMargin*fair + aheadDeviations*math.Sqrt(fair*s.meanCost)
}

// fairShare returns the max-min fair share of a customer, in the unit of use: the largest amount
// which, as a bound on each customer's demand, makes the demands fit into the capacity. It is infinite
// if they fit without a bound.
func (s *Shares) fairShare(now time.Time, engines int) float64 {
	capacity := usableShare * float64(engines) * s.windowMS(now)
	share := 0.0
	for range maxFillRounds {
		below, above := 0.0, 0
		for _, u := range s.uses {
			if u.demand <= share {
				below += u.demand
			} else {
				above++
			}
		}
		if above == 0 {
			return math.Inf(1)
		}
		next := (capacity - below) / float64(above)
		if next <= share {
			break
		}
		share = next
	}
	return share
}

// windowMS returns the decayed use of a customer that has kept one engine busy since the first prompt,
// in milliseconds.
func (s *Shares) windowMS(now time.Time) float64 {
	window := usePeriod.Seconds() * (1 - math.Exp(-now.Sub(s.startedAt).Seconds()/usePeriod.Seconds()))
	return max(window, minWindow.Seconds()) * 1000
}

// decay decays the uses to the present time.
func (s *Shares) decay(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt, s.updatedAt = now, now
	}
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	weight := math.Exp(-elapsed.Seconds() / usePeriod.Seconds())
	for i := range s.uses {
		s.uses[i].demand *= weight
		s.uses[i].granted *= weight
	}
	s.updatedAt = now
}

// insert adds a customer and returns its index. It evicts the least active one if there are too many.
func (s *Shares) insert(customer uint64) int {
	i := len(s.uses)
	if i < maxCustomers {
		s.uses = append(s.uses, use{})
	} else {
		i = s.leastActive()
		delete(s.index, s.uses[i].customer)
	}
	s.uses[i] = use{customer: customer}
	s.index[customer] = i
	return i
}

func (s *Shares) leastActive() int {
	least := 0
	for i, u := range s.uses {
		if u.demand < s.uses[least].demand {
			least = i
		}
	}
	return least
}

// CustomerUse is the recent use of a customer for an operator's view.
type CustomerUse struct {
	// Customer is the CustomerHash of the name.
	Customer uint64
	// Demand is the number of engines that the customer's prompts would keep busy, and Granted the
	// part of it that wasn't late or deferred.
	Demand, Granted float64
	// Ahead says that the customer is ahead of its share.
	Ahead bool
}

// Status is the state of the shares of a service at one owner.
type Status struct {
	// Share is the fair share of a customer in engines; 0 if there is enough for all.
	Share float64
	// Customers are those of the largest demand, in descending order.
	Customers []CustomerUse
	// Waiting is the number of waiting prompts by level. Prompts without a level count as level 0.
	Waiting [MaxLevels]int
}

// Status returns the share and the n customers of the largest demand.
func (s *Shares) Status(now time.Time, engines, n int) Status {
	s.decay(now)
	window := s.windowMS(now)
	var out Status
	fair := s.fairShare(now, engines)
	if !math.IsInf(fair, 1) {
		out.Share = fair / window
	}
	for _, u := range s.uses {
		out.Customers = append(out.Customers, CustomerUse{u.customer, u.demand / window, u.granted / window, u.customer != 0 && u.granted > s.limit(fair)})
	}
	slices.SortFunc(out.Customers, func(a, b CustomerUse) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Customer, b.Customer))
	})
	out.Customers = out.Customers[:min(n, len(out.Customers))]
	return out
}
