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

	slotWidth = time.Second
	slotCount = int(LongWindow/slotWidth) + 1
	// maxServices bounds the services that a meter keeps.
	maxServices = 256
)

// Budgets counts requests by the time between tokens that their deadlines leave
// them: entry i those with at least budgetBounds[i] and less than the next.
type Budgets [len(budgetBounds)]float64

// budgetBounds are the bounds in seconds.
var budgetBounds = [...]float64{0, 0.01, 0.015, 0.02, 0.025, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1, 0.15, 0.2}

// within is the share of the requests whose budget is at least the interval.
func (b *Budgets) within(interval float64) float64 {
	var all, enough float64
	for i, n := range b {
		all += n
		if budgetBounds[i] >= interval {
			enough += n
		} else if i+1 < len(b) && budgetBounds[i+1] > interval {
			enough += n * (budgetBounds[i+1] - interval) / (budgetBounds[i+1] - budgetBounds[i])
		}
	}
	if all <= 0 {
		return 1
	}
	return enough / all
}

// Rates is work arriving per second.
type Rates struct {
	Requests      float64 `msgpack:"r"`
	PrefillTokens float64 `msgpack:"p"`
	DecodeTokens  float64 `msgpack:"d"`
	// Prompts is the part of Requests that is mostly prefill.
	Prompts float64 `msgpack:"q"`
	Budgets Budgets `msgpack:"b"`
}

// Plus returns the sum of both rates.
func (r Rates) Plus(o Rates) Rates {
	r.Requests += o.Requests
	r.PrefillTokens += o.PrefillTokens
	r.DecodeTokens += o.DecodeTokens
	r.Prompts += o.Prompts
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
	r.Prompts *= f
	for i := range r.Budgets {
		r.Budgets[i] *= f
	}
	return r
}

// Demand is the work that arrives for a service.
type Demand struct {
	Short Rates `msgpack:"s"`
	Long  Rates `msgpack:"l"`
	// Started is the part that was admitted, over the short window.
	Started Rates `msgpack:"a"`
}

// Plus returns the sum of both demands.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.Short.Plus(o.Short), d.Long.Plus(o.Long), d.Started.Plus(o.Started)}
}

// Meter measures the demand that arrives at one host. It is safe for concurrent
// use.
type Meter struct {
	clock state.Clock

	mu       sync.Mutex
	started  time.Time
	services map[string]*[slotCount]slot
}

// slot is the work that arrived within one slotWidth.
type slot struct {
	number  int64
	arrived Rates // totals, not rates
	started Rates
}

// NewMeter returns a meter that has seen nothing.
func NewMeter(c state.Clock) *Meter {
	return &Meter{clock: c, started: c.Now(), services: map[string]*[slotCount]slot{}}
}

// firstTokenAllowance is the time that a request is taken to need up to its
// first token.
const firstTokenAllowance = time.Second

// Arrived counts a request's predicted work, whether it is admitted or not, and
// the time that it has until its deadline; zero for none.
func (m *Meter) Arrived(service string, w snapshot.Work, left time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.slot(service); s != nil {
		s.arrived.count(w)
		s.arrived.Budgets[budgetIndex(w.DecodeTokens, left)] += float64(w.Requests)
	}
}

// Started counts the same work once the request is admitted.
func (m *Meter) Started(service string, w snapshot.Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.slot(service); s != nil {
		s.started.count(w)
	}
}

// promptTokensPerOutputToken is about how many prompt tokens an engine computes in the
// time of one output token; a request with more of them is mostly prefill.
const promptTokensPerOutputToken = 6

func (r *Rates) count(w snapshot.Work) {
	r.Requests += float64(w.Requests)
	if w.PrefillTokens > promptTokensPerOutputToken*w.DecodeTokens {
		r.Prompts += float64(w.Requests)
	}
	r.PrefillTokens += float64(w.PrefillTokens)
	r.DecodeTokens += float64(w.DecodeTokens)
}

// slot returns the present slot of a service, or nil beyond the bound; m.mu is
// held.
func (m *Meter) slot(service string) *slot {
	number := m.clock.Now().UnixNano() / int64(slotWidth)
	ring := m.services[service]
	if ring == nil {
		if len(m.services) >= maxServices {
			return nil
		}
		ring = &[slotCount]slot{}
		m.services[service] = ring
	}
	s := &ring[number%int64(slotCount)]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// budgetIndex returns the entry of Budgets for an answer of that many tokens.
func budgetIndex(tokens int64, left time.Duration) int {
	last := len(budgetBounds) - 1
	if left <= 0 || tokens <= 1 {
		return last
	}
	interval := max(0, left-firstTokenAllowance).Seconds() / float64(tokens)
	for i := range last {
		if interval < budgetBounds[i+1] {
			return i
		}
	}
	return last
}

// Demand returns the rates over both windows, the present slot left out since
// it isn't over.
func (m *Meter) Demand(service string) Demand {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	ring := m.services[service]
	if ring == nil {
		return Demand{}
	}
	arrived := func(s *slot) Rates { return s.arrived }
	started := func(s *slot) Rates { return s.started }
	return Demand{
		Short:   m.rates(ring, now, ShortWindow, arrived),
		Long:    m.rates(ring, now, LongWindow, arrived),
		Started: m.rates(ring, now, ShortWindow, started),
	}
}

func (m *Meter) rates(ring *[slotCount]slot, now time.Time, window time.Duration, of func(*slot) Rates) Rates {
	present := now.UnixNano() / int64(slotWidth)
	first := present - int64(window/slotWidth)
	var sum Rates
	for i := range ring {
		if s := &ring[i]; s.number >= first && s.number < present {
			sum = sum.Plus(of(s))
		}
	}
	// A meter younger than the window has seen only a part of it.
	over := min(window, max(now.Sub(m.started).Truncate(slotWidth), slotWidth))
	return sum.Times(1 / over.Seconds())
}
