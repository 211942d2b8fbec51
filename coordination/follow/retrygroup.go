package follow

import (
	"context"
	"sync"
	"time"
)

// RetryGroup lets the mirrors of one host share the retries to a store that doesn't answer: one
// mirror, the leader, retries, and the others wait until it succeeds. It is safe for concurrent use.
type RetryGroup struct {
	mu sync.Mutex
	// leader is the mirror that retries; nil while the store answers.
	leader *Mirror
	// recovered is closed when the leader gets an answer.
	recovered chan struct{}
}

// elect makes m the leader if there is none. It reports whether m leads, and returns the channel
// that is closed when the leader gets an answer.
func (g *RetryGroup) elect(m *Mirror) (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == nil {
		g.leader, g.recovered = m, make(chan struct{})
	}
	return g.leader == m, g.recovered
}

// release ends the outage if m is the leader.
func (g *RetryGroup) release(m *Mirror) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == m {
		g.leader = nil
		close(g.recovered)
	}
}

// mayRelist reports whether m should list once more before the store counts as lost. Of several
// mirrors whose watches were cut one lists at once, and the others once that succeeded.
func (m *Mirror) mayRelist(ctx context.Context) bool {
	isLeader, recovered := m.o.RetryGroup.elect(m)
	if isLeader {
		return true
	}
	waitCtx, cancel := context.WithTimeout(ctx, m.o.Delays.ListTimeout)
	defer cancel()
	select {
	case <-recovered:
		return true
	case <-waitCtx.Done():
		return false
	}
}

// waitToRetry waits until a mirror whose call failed should call the store again. The wait for the
// leader's answer is bounded, since the leader's call may be lost.
func (m *Mirror) waitToRetry(ctx context.Context, pause time.Duration) error {
	isLeader, recovered := m.o.RetryGroup.elect(m)
	if isLeader {
		return m.o.Clock.Sleep(ctx, jitter(pause))
	}
	waitCtx, cancel := context.WithTimeout(ctx, m.o.Delays.PeerCopyWait)
	defer cancel()
	select {
	case <-recovered:
	case <-waitCtx.Done():
	}
	return ctx.Err()
}
