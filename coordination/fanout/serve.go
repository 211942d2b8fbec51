package fanout

import (
	"context"
	"time"

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
		if resp.Unavailable || any {
			return resp
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return resp
		}
	}
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

// maxTrackedFollowers bounds lastFetchFrom, which is cleared at that size: more hosts than a failure
// domain has at the planned fleet sizes.
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
