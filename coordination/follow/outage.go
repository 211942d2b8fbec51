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
	// leader is the mirror that asks; nil while the store answers.
	leader *Mirror
	// recovered is closed when the asker is answered.
	recovered chan struct{}
}

// elect reports whether m is to ask, and otherwise what is closed when the store
// answers again.
func (o *RetryGroup) elect(m *Mirror) (bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leader == nil {
		o.leader, o.recovered = m, make(chan struct{})
	}
	return o.leader == m, o.recovered
}

// release ends the outage if m is the one that asks.
func (o *RetryGroup) release(m *Mirror) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leader == m {
		o.leader = nil
		close(o.recovered)
	}
}

// mayRelist reports whether m should ask once more before the store counts as lost: of
// several mirrors whose watches were cut one asks, and the others once it was answered.
func (m *Mirror) mayRelist(ctx context.Context) bool {
	isLeader, recovered := m.o.RetryGroup.elect(m)
	if isLeader {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, relistTimeout)
	defer cancel()
	select {
	case <-recovered:
		return true
	case <-bounded.Done():
		return false
	}
}

// maxRecoveryWait bounds the wait for another mirror's answer: the call that it waits for may
// be lost, while changes must be in force 2 s and more after the store's return.
const maxRecoveryWait = 2 * time.Second

// waitToRetry waits until a mirror that wasn't answered should ask again.
func (m *Mirror) waitToRetry(ctx context.Context, pause time.Duration) error {
	isLeader, recovered := m.o.RetryGroup.elect(m)
	if isLeader {
		return m.o.Clock.Sleep(ctx, jitter(pause))
	}
	bounded, cancel := context.WithTimeout(ctx, maxRecoveryWait)
	defer cancel()
	select {
	case <-recovered:
	case <-bounded.Done():
	}
	return ctx.Err()
}
