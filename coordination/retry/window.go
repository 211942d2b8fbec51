package retry

import (
	"errors"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// slotsPerWindow is how many parts a window is counted in: a repeat counts for up to a tenth of
// the window longer than it must, a request for up to a tenth shorter.
const slotsPerWindow = 10

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
	services map[string]*windowCounts
}

// windowCounts are a service's requests and repeats by slot, the newest at the number newest.
type windowCounts struct {
	newestSlot int64
	requests   [slotsPerWindow + 1]float64
	retries    [slotsPerWindow + 1]float64
}

// NewWindowBudget validates the options.
func NewWindowBudget(o WindowOptions) (*WindowBudget, error) {
	if o.Clock == nil || o.Slack == nil || o.Window < slotsPerWindow || o.Share < 0 || o.Share > 1 {
		return nil, errors.New("retry: a field of WindowOptions is missing or wrong; set all of them, Share from 0 to 1")
	}
	return &WindowBudget{o: o, services: map[string]*windowCounts{}}, nil
}

// CountRequest notes a request of the service.
func (b *WindowBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service)
	c.requests[c.index(c.newestSlot)]++
}

// Allow takes a repeat from the service's budget, if there is one left.
func (b *WindowBudget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service)
	requests, retries := 0.0, 0.0
	for i := range c.retries {
		retries += c.retries[i]
		requests += c.requests[i]
	}
	// The oldest slot reaches back beyond the window: its repeats count, its requests don't.
	requests -= c.requests[c.index(c.newestSlot-slotsPerWindow)]
	if retries+1 > b.o.Share*requests+b.o.Slack() {
		return false
	}
	c.retries[c.index(c.newestSlot)]++
	return true
}

// Record counts a repeat that another budget has allowed.
func (b *WindowBudget) Record(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service)
	c.retries[c.index(c.newestSlot)]++
}

// index is the place of a slot.
func (c *windowCounts) index(slot int64) int { return int(slot % (slotsPerWindow + 1)) }

// advance returns a service's advance with the present slot as the newest. Services are those
// of the configuration, which has few.
func (b *WindowBudget) advance(service string) *windowCounts {
	now := b.o.Clock.Now().UnixNano() / int64(b.o.Window/slotsPerWindow)
	c := b.services[service]
	if c == nil {
		c = &windowCounts{newestSlot: now}
		b.services[service] = c
	}
	for slot := max(c.newestSlot+1, now-slotsPerWindow); slot <= now; slot++ {
		c.requests[c.index(slot)], c.retries[c.index(slot)] = 0, 0
	}
	c.newestSlot = max(c.newestSlot, now)
	return c
}
