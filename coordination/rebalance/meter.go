package rebalance

import (
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// The windows over which demand is measured.
const (
	ShortWindow = 10 * time.Second
	LongWindow  = 60 * time.Second

	// slotWidth is the resolution of the windows. The ring has one slot more than
	// LongWindow, for the current slot, which isn't part of the rates.
	slotWidth = time.Second
	slotCount = int(LongWindow/slotWidth) + 1
	// maxServices bounds the memory of a meter; further services aren't counted.
	maxServices = 256
)

// IntervalBudgets is a histogram of requests by their token interval budget: the
// time between two output tokens at which they still meet their deadline. Entry i
// counts budgets of at least budgetBounds[i] and less than the next bound.
type IntervalBudgets [len(budgetBounds)]float64

// budgetBounds are the lower bounds of the entries of IntervalBudgets, in seconds.
var budgetBounds = [...]float64{0, 0.01, 0.015, 0.02, 0.025, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1, 0.15, 0.2}

// shareAllowing returns the share of the requests whose budget is at least the
// interval (in seconds), interpolated within an entry; 1 if there are no requests.
func (b *IntervalBudgets) shareAllowing(interval float64) float64 {
	var total, allowing float64
	for i, n := range b {
		total += n
		if budgetBounds[i] >= interval {
			allowing += n
		} else if i+1 < len(b) && budgetBounds[i+1] > interval {
			allowing += n * (budgetBounds[i+1] - interval) / (budgetBounds[i+1] - budgetBounds[i])
		}
	}
	if total <= 0 {
		return 1
	}
	return allowing / total
}

// Rates is arriving work per second. Budgets has the same unit as Requests.
type Rates struct {
	Requests      float64 `msgpack:"r"`
	PrefillTokens float64 `msgpack:"p"`
	DecodeTokens  float64 `msgpack:"d"`
	// PrefillRequests is the part of Requests whose work is mostly prefill.
	PrefillRequests float64         `msgpack:"q"`
	Budgets         IntervalBudgets `msgpack:"b"`
}

// Plus returns the sum of both rates.
func (r Rates) Plus(o Rates) Rates {
	r.Requests += o.Requests
	r.PrefillTokens += o.PrefillTokens
	r.DecodeTokens += o.DecodeTokens
	r.PrefillRequests += o.PrefillRequests
	for i := range r.Budgets {
		r.Budgets[i] += o.Budgets[i]
	}
	return r
}

// Times returns the rates multiplied by f.
func (r Rates) Times(f float64) Rates {
	r.Requests *= f
	r.PrefillTokens *= f
	r.DecodeTokens *= f
	r.PrefillRequests *= f
	for i := range r.Budgets {
		r.Budgets[i] *= f
	}
	return r
}

// Demand is the rate of the work that arrives for a service, over ShortWindow and
// over LongWindow.
type Demand struct {
	Short Rates `msgpack:"s"`
	Long  Rates `msgpack:"l"`
	// Admitted is the part that was admitted, over ShortWindow; without Budgets.
	Admitted Rates `msgpack:"a"`
}

// Plus returns the sum of both demands.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.Short.Plus(o.Short), d.Long.Plus(o.Long), d.Admitted.Plus(o.Admitted)}
}

// Meter measures the demand that arrives at one host. It is safe for concurrent
// use.
type Meter struct {
	clock state.Clock

	mu        sync.Mutex
	createdAt time.Time
	services  map[string]*[slotCount]slot
}

// slot holds the work that arrived and that was admitted within one slotWidth.
// index is the number of slot widths since the Unix epoch.
type slot struct {
	index    int64
	arrived  Rates // totals, not rates
	admitted Rates
}

// NewMeter returns an empty meter.
func NewMeter(c state.Clock) *Meter {
	return &Meter{clock: c, createdAt: c.Now(), services: map[string]*[slotCount]slot{}}
}

// firstTokenAllowance is the assumed time of a request up to its first token. It
// is subtracted from the time until the deadline when the interval budget is
// computed.
const firstTokenAllowance = time.Second

// RecordArrival counts the predicted work of a request, whether it is admitted or
// not, and its interval budget. An untilDeadline of zero stands for no deadline.
func (m *Meter) RecordArrival(service string, w snapshot.Work, untilDeadline time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.slot(service); s != nil {
		s.arrived.addWork(w)
		s.arrived.Budgets[budgetIndex(w.DecodeTokens, untilDeadline)] += float64(w.Requests)
	}
}

// RecordAdmission counts the work passed to RecordArrival again when the request
// is admitted.
func (m *Meter) RecordAdmission(service string, w snapshot.Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.slot(service); s != nil {
		s.admitted.addWork(w)
	}
}

// promptTokensPerOutputToken is about the number of prompt tokens that an engine
// computes in the time of one output token. The work of a request with a higher
// ratio is mostly prefill.
const promptTokensPerOutputToken = 6

// addWork adds the work to r; r holds totals.
func (r *Rates) addWork(w snapshot.Work) {
	r.Requests += float64(w.Requests)
	if w.PrefillTokens > promptTokensPerOutputToken*w.DecodeTokens {
		r.PrefillRequests += float64(w.Requests)
	}
	r.PrefillTokens += float64(w.PrefillTokens)
	r.DecodeTokens += float64(w.DecodeTokens)
}

// slot returns the current slot of a service, or nil if the service is new and
// the meter already has maxServices. The caller holds m.mu.
func (m *Meter) slot(service string) *slot {
	index := m.clock.Now().UnixNano() / int64(slotWidth)
	ring := m.services[service]
	if ring == nil {
		if len(m.services) >= maxServices {
			return nil
		}
		ring = &[slotCount]slot{}
		m.services[service] = ring
	}
	s := &ring[index%int64(slotCount)]
	if s.index != index {
		*s = slot{index: index}
	}
	return s
}

// budgetIndex returns the entry of IntervalBudgets for a request that outputs that
// many tokens. Without a deadline, or with a single token, it is the last entry.
func budgetIndex(tokens int64, untilDeadline time.Duration) int {
	last := len(budgetBounds) - 1
	if untilDeadline <= 0 || tokens <= 1 {
		return last
	}
	interval := max(0, untilDeadline-firstTokenAllowance).Seconds() / float64(tokens)
	for i := range last {
		if interval < budgetBounds[i+1] {
			return i
		}
	}
	return last
}

// Demand returns the rates of a service over both windows. The current slot is
// left out because it isn't complete.
func (m *Meter) Demand(service string) Demand {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	ring := m.services[service]
	if ring == nil {
		return Demand{}
	}
	arrived := func(s *slot) Rates { return s.arrived }
	admitted := func(s *slot) Rates { return s.admitted }
	return Demand{
		Short:    m.rates(ring, now, ShortWindow, arrived),
		Long:     m.rates(ring, now, LongWindow, arrived),
		Admitted: m.rates(ring, now, ShortWindow, admitted),
	}
}

// rates returns the rates over the window that ends before the current slot;
// totalsOf selects the totals of a slot. The caller holds m.mu.
func (m *Meter) rates(ring *[slotCount]slot, now time.Time, window time.Duration, totalsOf func(*slot) Rates) Rates {
	current := now.UnixNano() / int64(slotWidth)
	first := current - int64(window/slotWidth)
	var sum Rates
	for i := range ring {
		if s := &ring[i]; s.index >= first && s.index < current {
			sum = sum.Plus(totalsOf(s))
		}
	}
	// A meter that is younger than the window divides by its own age.
	measured := min(window, max(now.Sub(m.createdAt).Truncate(slotWidth), slotWidth))
	return sum.Times(1 / measured.Seconds())
}
