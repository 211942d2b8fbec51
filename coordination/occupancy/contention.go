package occupancy

import (
	"time"

	"github.com/thymerack/thymerack/coordination/contention"
)

const (
	// engineActiveTime is how long an engine counts toward the capacity that customers share after
	// the last request for a prefill. An engine that accepts work is asked for several each second.
	engineActiveTime = 3 * time.Second
	// recountInterval is the time between two counts of the engines, so that the cost of a decision
	// doesn't grow with their number.
	recountInterval = 250 * time.Millisecond
	// maxStatusCustomers bounds the customers in a status.
	maxStatusCustomers = 16
)

// serviceContention is the use of a service's engines by customers.
type serviceContention struct {
	shares *contention.Shares
	// engines is the number of active engines at countedAt.
	engines   int
	countedAt time.Time
}

// contention returns the shares of a service, and creates them if there are none; t.mu is held.
func (t *Tracker) contention(service string) *serviceContention {
	out := t.contentions[service]
	if out == nil {
		out = &serviceContention{shares: contention.NewShares()}
		t.contentions[service] = out
	}
	return out
}

// aheadOfShare reports whether a customer's prompt is deferred for its share: the customer is ahead
// of it, and prompts of others wait at the engine. t.mu is held.
func (t *Tracker) aheadOfShare(c *serviceContention, e *engine, customer uint64, now time.Time) bool {
	return customer != 0 && e.queue.OthersWait(customer) && c.shares.Ahead(now, customer, t.activeEngines(c, now))
}

// activeEngines returns the number of engines of a service that compute prompts; t.mu is held.
func (t *Tracker) activeEngines(c *serviceContention, now time.Time) int {
	if !c.countedAt.IsZero() && now.Sub(c.countedAt) < recountInterval {
		return max(1, c.engines)
	}
	c.engines, c.countedAt = 0, now
	for _, e := range t.engines {
		if e.contention == c && now.Sub(e.prefillAt) <= engineActiveTime {
			c.engines++
		}
	}
	return max(1, c.engines)
}

// Contention returns, for each service with prefills at this owner, the customers with the largest
// use, their share, and the waiting prompts by level.
func (t *Tracker) Contention() map[string]contention.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	out := make(map[string]contention.Status, len(t.contentions))
	for name, c := range t.contentions {
		status := c.shares.Status(now, t.activeEngines(c, now), maxStatusCustomers)
		for _, e := range t.engines {
			if e.contention != c {
				continue
			}
			for level, n := range e.queue.Waiting() {
				status.Waiting[level] += n
			}
		}
		out[name] = status
	}
	return out
}
