package fanout

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/follow"
)

// Serve answers a host that follows this one: at once if there is news for it or this
// host is of no use to it, else after wait or the next change.
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
		resp, hasUpdates := n.responseTo(req)
		if resp.Unavailable || hasUpdates {
			return resp
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return resp
		}
	}
}

// recordFetch makes this host follow the store, if it doesn't yet, and notes who is there.
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

// freshPollInterval is how often a relay that is asked looks whether the store has answered.
const freshPollInterval = 10 * time.Millisecond

// maxTrackedFollowers bounds the hosts that are remembered; more than a failure domain has at
// the sizes to come.
const maxTrackedFollowers = 1024

// waitUntilFresh waits until the store has answered, if this host has only begun to follow
// it: a store that is lost is told at once.
func (n *Node) waitUntilFresh(ctx context.Context) {
	for ctx.Err() == nil && !n.fresh() && !n.storeUnavailable() && !n.isLeaving() {
		if n.o.Clock.Sleep(ctx, freshPollInterval) != nil {
			return
		}
	}
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// changeSignal is closed at the next change.
func (n *Node) changeSignal() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// responseTo is what a host lacks, and whether there is any. Changes without
// content bring the host's revisions on: the store's history reaches some seconds back.
func (n *Node) responseTo(req Request) (out Response, hasUpdates bool) {
	out = Response{Unavailable: n.isLeaving() || !n.FollowsStore() || !n.fresh(), Changes: map[string]follow.Delta{}}
	out.Notices, out.Cursor = n.notices.since(req.Cursor, n.o.Clock.Now())
	hasUpdates = len(out.Notices) > 0
	for kind, m := range n.o.Copies {
		d := m.Since(req.Since[kind])
		out.Changes[kind] = d
		hasUpdates = hasUpdates || !d.Empty()
		if ago, ever := m.Regained(); ever && (!out.HadOutage || ago < out.RecoveredAgo) {
			out.RecoveredAgo, out.HadOutage = ago, true
		}
	}
	if n.storeUnavailable() {
		out.RecoveredAgo, out.HadOutage = 0, true
	}
	return out, hasUpdates
}
