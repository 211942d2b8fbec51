package retry

import (
	"errors"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// slotsPerWindow is the number of slots in which a window is counted. A retry counts for up
// to a tenth of the window too long and a request for up to a tenth too short, so that the
// bound holds for every window.
const slotsPerWindow = 10

// WindowOptions configures a WindowBudget. All fields are required.
type WindowOptions struct {
	Clock state.Clock
	// Window is the length of the sliding window.
	Window time.Duration
	// Share is the retries that the requests of a service allow, as a share of them from 0
	// to 1.
	Share float64
	// Slack returns the retries per window that this host may send in addition.
	Slack func() float64
}

// WindowBudget limits the retries of each service in any window to a share of the requests
// in that window plus a slack. The allowance of a window may be used at once: when engines
// are lost, all requests that ran there are retried within a second. Each host bounds its
// retries by its own requests, so all hosts together keep the bound for all requests, even
// while hosts join, leave or are partitioned. It is safe for concurrent use.
type WindowBudget struct {
	o WindowOptions

	mu       sync.Mutex
	services map[string]*windowCounts
}

// windowCounts counts the requests and retries of a service per slot. It has one slot more
// than a window, since a window usually begins within a slot.
type windowCounts struct {
	// newestSlot is the number of the latest slot, counted from the Unix epoch.
	newestSlot int64
	requests   [slotsPerWindow + 1]float64
	retries    [slotsPerWindow + 1]float64
}

// NewWindowBudget returns an error if an option is missing or out of range.
func NewWindowBudget(o WindowOptions) (*WindowBudget, error) {
	if o.Clock == nil || o.Slack == nil || o.Window < slotsPerWindow || o.Share < 0 || o.Share > 1 {
		return nil, errors.New("retry: a field of WindowOptions is missing or wrong; set all of them, Share from 0 to 1")
	}
	return &WindowBudget{o: o, services: map[string]*windowCounts{}}, nil
}

// CountRequest counts one request of the service.
func (b *WindowBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service)
	c.requests[c.index(c.newestSlot)]++
}

// Allow takes one retry of the service from its budget and reports whether there was one.
func (b *WindowBudget) Allow(service string) bool { return b.allow(service, 1, 0) }

// allow takes one retry if all retries of the window, that one included, are at most the given part
// of the allowance, or at most the floor.
func (b *WindowBudget) allow(service string, part, floor float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service)
	requests, retries := 0.0, 0.0
	for i := range c.retries {
		retries += c.retries[i]
		requests += c.requests[i]
	}
	// The oldest slot began before the window: its retries count, its requests don't.
	requests -= c.requests[c.index(c.newestSlot-slotsPerWindow)]
	if retries+1 > max(floor, part*(b.o.Share*requests+b.o.Slack())) {
		return false
	}
	c.retries[c.index(c.newestSlot)]++
	return true
}

// index returns the position of a slot in the arrays.
func (c *windowCounts) index(slot int64) int { return int(slot % (slotsPerWindow + 1)) }

// advance returns the counts of the service with the current slot as the newest one, and
// clears the slots that it reuses; b.mu is held. The map needs no bound, since all services
// are listed in the configuration, which has few.
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
