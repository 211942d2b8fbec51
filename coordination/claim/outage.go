package claim

import (
	"sync"
	"time"
)

const (
	outageMin     = 100 * time.Millisecond
	outageMax     = 2 * time.Second
	minRetryAfter = time.Second
)

// outage remembers that the platform failed, so that new claims are refused at
// once instead of each waiting for a failure of its own. After a pause that
// doubles up to outageMax, the next claim tries again.
type outage struct {
	mu    sync.Mutex
	pause time.Duration
	until time.Time
}

func (o *outage) note(c *Claimer) {
	now := c.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.until) {
		return
	}
	o.pause = min(max(2*o.pause, outageMin), outageMax)
	o.until = now.Add(c.jitter(o.pause))
}

func (o *outage) clear() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pause = 0
	o.until = time.Time{}
}

// remaining returns how long claims are still refused at once.
func (o *outage) remaining(c *Claimer) time.Duration {
	now := c.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return max(0, o.until.Sub(now))
}

// retryAfter is the pause that a refused caller is told, in whole seconds.
func (c *Claimer) retryAfter() time.Duration {
	d := max(c.outage.remaining(c), minRetryAfter)
	return d.Truncate(time.Second) + time.Second
}
