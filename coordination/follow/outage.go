package follow

import (
	"context"
	"sync"
	"time"
)

// RetryGroup lets the mirrors of one host ask a store that doesn't answer together: one
// of them asks, the others wait until it is answered. It is safe for concurrent use.
type RetryGroup struct {
	mu sync.Mutex
	// asker is the mirror that asks; nil while the store answers.
	asker *Mirror
	// over is closed when the asker is answered.
	over chan struct{}
}

// leads reports whether m is to ask, and otherwise what is closed when the store
// answers again.
func (o *RetryGroup) leads(m *Mirror) (bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.asker == nil {
		o.asker, o.over = m, make(chan struct{})
	}
	return o.asker == m, o.over
}

// answered ends the outage if m is the one that asks.
func (o *RetryGroup) answered(m *Mirror) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.asker == m {
		o.asker = nil
		close(o.over)
	}
}

// mayAskAgain reports whether m should ask once more before the store counts as lost: of
// several mirrors whose watches were cut one asks, and the others once it was answered.
func (m *Mirror) mayAskAgain(ctx context.Context) bool {
	leads, over := m.o.RetryGroup.leads(m)
	if leads {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, againWithin)
	defer cancel()
	select {
	case <-over:
		return true
	case <-bounded.Done():
		return false
	}
}

// waitMost bounds the wait for another mirror's answer: the call that it waits for may
// be lost, while changes must be in force 2 s and more after the store's return.
const waitMost = 2 * time.Second

// rest waits until a mirror that wasn't answered should ask again.
func (m *Mirror) rest(ctx context.Context, pause time.Duration) error {
	leads, over := m.o.RetryGroup.leads(m)
	if leads {
		return m.o.Clock.Sleep(ctx, jitter(pause))
	}
	bounded, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	select {
	case <-over:
	case <-bounded.Done():
	}
	return ctx.Err()
}
