package origin

import (
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

// Listing is the versions of each service whose runners accept work.
type Listing map[string][]string

// ListingOf returns the listing of the pools of a fleet.
func ListingOf(pools map[placement.Pool]int) Listing {
	l := Listing{}
	for p := range pools {
		l[p.Service] = append(l[p.Service], p.Version)
	}
	return l
}

// historyRetention is how long versions that aren't listed any more are remembered. It exceeds the time-outs of all routes.
const historyRetention = time.Hour

// History holds the versions that were listed within historyRetention. It is safe for concurrent use.
type History struct {
	clock state.Clock

	mu sync.Mutex
	// since is when the first list came; zero before.
	since time.Time
	// listed are the versions that are listed now, and gone when those that aren't any more were last listed.
	listed Listing
	gone   map[string]map[string]time.Time
}

// NewHistory returns an empty history.
func NewHistory(clock state.Clock) *History {
	return &History{clock: clock, gone: map[string]map[string]time.Time{}}
}

// Update replaces the list, and returns the services that have got a further version.
func (h *History) Update(l Listing) (grown []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if h.since.IsZero() {
		h.since = now
	}
	for service, versions := range h.listed {
		for _, v := range versions {
			if !slices.Contains(l[service], v) {
				h.goneOf(service)[v] = now
			}
		}
	}
	for service, versions := range l {
		for _, v := range versions {
			if !slices.Contains(h.listed[service], v) && len(versions) > 1 {
				grown = append(grown, service)
				break
			}
		}
	}
	h.listed = l
	return grown
}

// Add adds versions that other hosts have seen. One that isn't listed here counts as gone since now.
func (h *History) Add(service string, versions []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for _, v := range versions {
		if !slices.Contains(h.listed[service], v) {
			h.goneOf(service)[v] = now
		}
	}
}

// goneOf returns the versions of a service that are gone; h.mu is held.
func (h *History) goneOf(service string) map[string]time.Time {
	if h.gone[service] == nil {
		h.gone[service] = map[string]time.Time{}
	}
	return h.gone[service]
}

// Versions returns the versions of a service that were listed within the time, in alphabetical order.
func (h *History) Versions(service string, within time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Clone(h.listed[service])
	now := h.clock.Now()
	for v, at := range h.gone[service] {
		switch {
		case now.Sub(at) >= historyRetention:
			delete(h.gone[service], v)
		case now.Sub(at) < within && !slices.Contains(out, v):
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// Services returns the services that have or had runners.
func (h *History) Services() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for service := range h.listed {
		out = append(out, service)
	}
	for service := range h.gone {
		if _, listed := h.listed[service]; !listed {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// Age returns for how long the history has been kept; 0 before the first list.
func (h *History) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		return 0
	}
	return h.clock.Now().Sub(h.since)
}
