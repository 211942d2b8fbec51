package bodies

import (
	"context"
	"slices"
	"time"
)

// waiter is a reader that waits for room.
type waiter struct {
	r     *Reservation
	total int
	// admitted is closed once total bytes are reserved.
	admitted chan struct{}
}

// wait queues a reader until there is room.
func (p *Pool) wait(ctx context.Context, r *Reservation, total int, until time.Time) error {
	p.waits.Add(1)
	left := until.Sub(p.o.Clock.Now())
	if left <= 0 || total > SmallBytes && p.forecast(total) >= left {
		return p.full(total)
	}
	w := &waiter{r: r, total: total, admitted: make(chan struct{})}
	if p.enqueue(w) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(p.o.MaxWait, left))
	defer cancel()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	if p.dequeue(w) {
		return p.full(total)
	}
	return nil // it was admitted meanwhile
}

// enqueue adds a reader to its queue, and reports whether it was admitted at once.
func (p *Pool) enqueue(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queued.Add(1) // before the last try: what is given back from now on admits waiting readers
	queue := p.queueOf(w)
	at := len(*queue)
	for at > 0 && (*queue)[at-1].r.priority > w.r.priority {
		at--
	}
	if at == 0 && p.tryGrow(w.r, w.total) {
		p.queued.Add(-1)
		return true
	}
	*queue = slices.Insert(*queue, at, w)
	return false
}

// dequeue removes a reader that waits no longer, and reports false if it has been admitted. Those behind it may fit.
func (p *Pool) dequeue(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.queueOf(w)
	at := slices.Index(*queue, w)
	if at < 0 {
		return false
	}
	*queue = slices.Delete(*queue, at, at+1)
	p.queued.Add(-1)
	*queue = p.admit(*queue)
	return true
}

// queueOf returns the queue of a reader.
func (p *Pool) queueOf(w *waiter) *[]*waiter {
	if w.total <= SmallBytes {
		return &p.small
	}
	return &p.large
}
