package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// readyPath is what the balancer asks a target.
const readyPath = "/readyz"

// readyTimeout is how long a target has to say that it is ready.
const readyTimeout = time.Second

// Balancer chooses targets in turn among those that say they are ready, as the
// balancer before the hosts does. With none ready it chooses among all.
type Balancer struct {
	targets []string
	turn    atomic.Uint64
	ready   []atomic.Bool
}

// NewBalancer takes all targets as ready until Check finds otherwise.
func NewBalancer(targets []string) *Balancer {
	b := &Balancer{targets: targets, ready: make([]atomic.Bool, len(targets))}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// Pick returns a target other than the last one tried, if there is another.
func (b *Balancer) Pick(last string) string {
	var fallback string
	for range b.targets {
		i := int(b.turn.Add(1) % uint64(len(b.targets)))
		if b.targets[i] == last {
			continue
		}
		if b.ready[i].Load() {
			return b.targets[i]
		}
		fallback = b.targets[i]
	}
	if fallback != "" {
		return fallback
	}
	return b.targets[0]
}

// Check asks every target each period whether it is ready, until ctx ends.
func (b *Balancer) Check(ctx context.Context, client *fasthttp.Client, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var wg conc.WaitGroup
		for i, target := range b.targets {
			wg.Go(func() {
				status, _, err := client.GetTimeout(nil, "http://"+target+readyPath, readyTimeout)
				b.ready[i].Store(err == nil && status == fasthttp.StatusOK)
			})
		}
		wg.Wait()
	}
}
