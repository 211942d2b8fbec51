package retry

import (
	"errors"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// windowSlots is how many parts a window is counted in: a repeat counts for up to a tenth of
// the window longer than it must, a request for up to a tenth shorter.
const windowSlots = 10

// WindowOptions configure a WindowBudget. All fields are required.
type WindowOptions struct {
	Clock state.Clock
	// Window is the span that the bound holds for, wherever it begins.
	Window time.Duration
	// Share is the repeats of a service that its requests allow, as a part of them.
	Share float64
	// Slack is this host's part of the repeats that are allowed in a window beside those.
	Slack func() float64
}

// WindowBudget bounds the repeats of each service in any window by a share of the requests in
// it and a slack. What a window allows may be used at once: when engines are lost, all that
// was under way there is repeated within a second. Since each host bounds its repeats by its
// own requests, all hosts together keep the bound by all requests, however many come, go or
// are cut off. It is safe for concurrent use.
type WindowBudget struct {
	o WindowOptions

	mu       sync.Mutex
	services map[string]*counts
}

// counts are a service's requests and repeats by slot, the newest at the number newest.
type counts struct {
	newest   int64
	requests [windowSlots + 1]float64
	repeats  [windowSlots + 1]float64
}

// NewWindowBudget validates the options.
func NewWindowBudget(o WindowOptions) (*WindowBudget, error) {
	if o.Clock == nil || o.Slack == nil || o.Window < windowSlots || o.Share < 0 || o.Share > 1 {
		return nil, errors.New("retry: a field of WindowOptions is missing or wrong; set all of them, Share from 0 to 1")
	}
	return &WindowBudget{o: o, services: map[string]*counts{}}, nil
}

// CountRequest notes a request of the service.
func (b *WindowBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	c.requests[c.at(c.newest)]++
}

// Allow takes a repeat from the service's budget, if there is one left.
func (b *WindowBudget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	requests, repeats := 0.0, 0.0
	for i := range c.repeats {
		repeats += c.repeats[i]
		requests += c.requests[i]
	}
	// The oldest slot reaches back beyond the window: its repeats count, its requests don't.
	requests -= c.requests[c.at(c.newest-windowSlots)]
	if repeats+1 > b.o.Share*requests+b.o.Slack() {
		return false
	}
	c.repeats[c.at(c.newest)]++
	return true
}

// Record counts a repeat that another budget has allowed.
func (b *WindowBudget) Record(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	c.repeats[c.at(c.newest)]++
}

// at is the place of a slot.
func (c *counts) at(slot int64) int { return int(slot % (windowSlots + 1)) }

// counts returns a service's counts with the present slot as the newest. Services are those
// of the configuration, which has few.
func (b *WindowBudget) counts(service string) *counts {
	now := b.o.Clock.Now().UnixNano() / int64(b.o.Window/windowSlots)
	c := b.services[service]
	if c == nil {
		c = &counts{newest: now}
		b.services[service] = c
	}
	for slot := max(c.newest+1, now-windowSlots); slot <= now; slot++ {
		c.requests[c.at(slot)], c.repeats[c.at(slot)] = 0, 0
	}
	c.newest = max(c.newest, now)
	return c
}
