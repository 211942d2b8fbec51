package fanout

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/follow"
)

// Serve answers a host that follows this one: at once if there is news for it or this
// host is of no use to it, else after wait or the next change.
func (n *Node) Serve(ctx context.Context, q Request) Response {
	if q.Peek {
		news, _ := n.news(q)
		return news
	}
	n.asked(q.From)
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	n.becomeFresh(ctx)
	for {
		changed := n.changes()
		news, any := n.news(q)
		if news.Unavailable || any {
			return news
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return news
		}
	}
}

// asked makes this host follow the store, if it doesn't yet, and notes who is there.
func (n *Node) asked(from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.askedAt = n.o.Clock.Now()
	if len(n.heard) >= mostHeard {
		clear(n.heard)
	}
	n.heard[from] = n.askedAt
	if n.interrupt != nil {
		n.interrupt()
		n.interrupt = nil
	}
}

// freshPoll is how often a relay that is asked looks whether the store has answered.
const freshPoll = 10 * time.Millisecond

// mostHeard bounds the hosts that are remembered; more than a failure domain has at
// the sizes to come.
const mostHeard = 1024

// becomeFresh waits until the store has answered, if this host has only begun to follow
// it: a store that is lost is told at once.
func (n *Node) becomeFresh(ctx context.Context) {
	for ctx.Err() == nil && !n.fresh() && !n.lost() && !n.isLeaving() {
		if n.o.Clock.Sleep(ctx, freshPoll) != nil {
			return
		}
	}
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// changes is closed at the next change.
func (n *Node) changes() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// news is what a host lacks, and whether there is any. Changes without
// content bring the host's revisions on: the store's history reaches some seconds back.
func (n *Node) news(q Request) (out Response, any bool) {
	out = Response{Unavailable: n.isLeaving() || !n.FollowsStore() || !n.fresh(), Changes: map[string]follow.Delta{}}
	out.Notices, out.Cursor = n.board.since(q.Cursor, n.o.Clock.Now())
	any = len(out.Notices) > 0
	for kind, m := range n.o.Copies {
		d := m.Since(q.Since[kind])
		out.Changes[kind] = d
		any = any || !d.Empty()
		if ago, ever := m.Regained(); ever && (!out.HadOutage || ago < out.RecoveredAgo) {
			out.RecoveredAgo, out.HadOutage = ago, true
		}
	}
	if n.lost() {
		out.RecoveredAgo, out.HadOutage = 0, true
	}
	return out, any
}
