package fanout

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/thymerack/thymerack/coordination/follow"
)

// Serve answers a fetch of another host: at once if there are changes or notices for it or this host
// can't relay, otherwise after req.Wait or the next change. Unless the request is a peek, this host
// follows the store from then on.
func (n *Node) Serve(ctx context.Context, req Request) Response {
	if req.Peek {
		resp, _ := n.responseTo(req)
		return resp
	}
	n.recordFetch(req.From)
	ctx, cancel := context.WithTimeout(ctx, req.Wait)
	defer cancel()
	n.waitUntilFresh(ctx)
	for {
		changed := n.changeSignal()
		resp, any := n.responseTo(req)
		if resp.Unavailable {
			return resp
		}
		if any {
			return n.collect(ctx, req, resp)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return resp
		}
	}
}

const (
	// responsesPerSecond bounds the responses with news to one host, so that a storm of notices, as
	// when hundreds of runners fail at once, costs it no call for each. More are collected into one.
	responsesPerSecond = 20
	// responseBurst is the number of responses that are sent without a delay: a single event causes
	// a few notices in quick succession.
	responseBurst = 10
)

// collect returns the response to a request, with what arrives until the host may be sent one.
func (n *Node) collect(ctx context.Context, req Request, resp Response) Response {
	now := n.o.Clock.Now()
	delay := n.responseLimiter(req.From).ReserveN(now, 1).DelayFrom(now)
	if delay <= 0 || n.o.Clock.Sleep(ctx, delay) != nil {
		return resp
	}
	resp, _ = n.responseTo(req)
	return resp
}

// responseLimiter returns the limiter of the responses to a host.
func (n *Node) responseLimiter(to string) *rate.Limiter {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.responseLimiters[to]
	if l == nil {
		if len(n.responseLimiters) >= maxTrackedFollowers {
			clear(n.responseLimiters)
		}
		l = rate.NewLimiter(responsesPerSecond, responseBurst)
		n.responseLimiters[to] = l
	}
	return l
}

// recordFetch makes this host follow the store, if it doesn't already, and records the fetch of the
// host at address from.
func (n *Node) recordFetch(from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastFetchAt = n.o.Clock.Now()
	if len(n.lastFetchFrom) >= maxTrackedFollowers {
		clear(n.lastFetchFrom)
	}
	n.lastFetchFrom[from] = n.lastFetchAt
	if n.cancelFetch != nil {
		n.cancelFetch()
		n.cancelFetch = nil
	}
}

// freshPollInterval is how often waitUntilFresh checks whether the store has answered.
const freshPollInterval = 10 * time.Millisecond

// maxTrackedFollowers bounds lastFetchFrom and responseLimiters, which are cleared at that size: more
// hosts than a failure domain has at the planned fleet sizes.
const maxTrackedFollowers = 1024

// waitUntilFresh waits until the store has answered, if this host has only just begun to follow it.
// It returns at once if the store is unavailable, so that the follower can move to another relay.
func (n *Node) waitUntilFresh(ctx context.Context) {
	for ctx.Err() == nil && !n.fresh() && !n.storeUnavailable() && !n.isLeaving() {
		if n.o.Clock.Sleep(ctx, freshPollInterval) != nil {
			return
		}
	}
}

// isLeaving reports whether Leave was called.
func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// changeSignal returns a channel that is closed at the next change.
func (n *Node) changeSignal() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// responseTo returns the changes and notices that the sender of a request lacks, and whether there
// are any. Deltas without content are sent too, since they advance the host's revisions: the history
// of the store reaches only some seconds back.
func (n *Node) responseTo(req Request) (out Response, any bool) {
	out = Response{Unavailable: n.isLeaving() || !n.FollowsStore() || !n.fresh(), Changes: map[string]follow.Delta{}}
	out.Notices, out.Cursor = n.notices.since(req.Cursor, n.o.Clock.Now())
	any = len(out.Notices) > 0
	for kind, m := range n.o.Copies {
		d := m.Since(req.Since[kind])
		out.Changes[kind] = d
		any = any || !d.Empty()
		if ago, ever := m.Regained(); ever && (!out.HadOutage || ago < out.RecoveredAgo) {
			out.RecoveredAgo, out.HadOutage = ago, true
		}
	}
	if n.storeUnavailable() {
		out.RecoveredAgo, out.HadOutage = 0, true
	}
	return out, any
}
