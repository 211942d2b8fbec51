package fanout

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

const (
	// responseSlack is how much longer than asked for a relay's answer may take: a host
	// with a fifth of a core stands still for a tenth of a second at times.
	responseSlack = 250 * time.Millisecond
	// startupFetchWait is how long a question waits at a relay that may be starting too.
	startupFetchWait = 250 * time.Millisecond
	// startupResponseSlack is how much longer its answer may take: a first copy of the list of 3,000
	// instances has some 100 KB, and the relay's link sends it to thirty hosts at once.
	startupResponseSlack = 400 * time.Millisecond
	// maxPeeks is how many peers a host asks at most when it starts or learns of a restoration:
	// some may be starting too, or gone.
	maxPeeks = 3
)

// fetch asks a relay for news. One that follows the store is followed from then on, unless
// this host relays as well.
func (n *Node) fetch(ctx context.Context, source string, isRelay bool) {
	wait := n.o.FetchWait
	switch {
	case !isRelay && n.lacksCopy():
		wait = min(wait, startupFetchWait)
	case n.storeUnavailable() || (!isRelay && !n.followsRelay(source)):
		wait = 0 // first see whether it is of use
	}
	slack := responseSlack
	if n.lacksCopy() {
		slack = startupResponseSlack
	}
	bounded, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	n.setCancelFetch(cancel, !isRelay)
	sentAt := n.o.Clock.Now()
	resp, err := n.o.Peers.Fetch(bounded, source, Request{From: n.o.Self.Addr, Since: n.revisions(), Cursor: n.cursors[source], Wait: wait})
	n.setCancelFetch(nil, false)
	switch {
	case err == nil:
		n.apply(resp, source, isRelay, sentAt)
	case ctx.Err() == nil && !(n.hasFollowers(n.o.Clock.Now()) && !isRelay):
		n.backOff(source, err.Error(), false)
	}
}

// nextPeer is the other hosts in turn, from one that is chosen at random; "" if there are none.
func (n *Node) nextPeer() string {
	if n.peekIndex == 0 {
		n.peekIndex = n.o.Rand.IntN(max(1, len(n.cachedPlanHosts)))
	}
	for range n.cachedPlanHosts {
		n.peekIndex++
		if addr := n.cachedPlanHosts[n.peekIndex%len(n.cachedPlanHosts)].Addr; addr != n.o.Self.Addr {
			return addr
		}
	}
	return ""
}

// peekNext asks the next peer in turn, which may be of no use: silent, or without the store as well.
func (n *Node) peekNext(ctx context.Context) {
	if addr := n.nextPeer(); addr != "" {
		n.peek(ctx, addr)
	}
}

// checkRestoreAtStart asks peers whether the store was restored recently, which a host that has just started
// and follows the store itself can't know; without a peer it assumes that it wasn't.
func (n *Node) checkRestoreAtStart(ctx context.Context) {
	var resp Response
	for range maxPeeks {
		addr := n.nextPeer()
		if addr == "" {
			break
		}
		peerResp, answered := n.peek(ctx, addr)
		if answered {
			resp = peerResp
			break
		}
	}
	n.applyRestoreInfo(resp)
}

// applyRestoreInfo takes a peer's answer on that.
func (n *Node) applyRestoreInfo(resp Response) {
	n.restoreChecked = true
	for kind, m := range n.o.Copies {
		m.Settled(resp.Changes[kind].Revision, resp.RecoveredAgo, resp.HadOutage)
	}
}

// peekAfterRestore asks some peers what they kept, once after each restoration of the store: this host
// may never have had what the store lost.
func (n *Node) peekAfterRestore(ctx context.Context) {
	revision := uint64(0)
	for _, m := range n.o.Copies {
		revision = max(revision, m.Revision())
	}
	before := n.checkedRevision
	n.checkedRevision = revision
	if !store.RestoredBetween(before, revision) {
		return
	}
	for range maxPeeks {
		n.peekNext(ctx)
	}
}

// peek asks another host once, without following it. Kinds of which it may have kept newer objects than a
// restored store has are asked for whole.
func (n *Node) peek(ctx context.Context, addr string) (resp Response, ok bool) {
	since := n.revisions()
	for kind, m := range n.o.Copies {
		if m.KeepsNewer() {
			delete(since, kind)
		}
	}
	bounded, cancel := context.WithTimeout(ctx, responseSlack)
	defer cancel()
	sentAt := n.o.Clock.Now()
	resp, err := n.o.Peers.Fetch(bounded, addr, Request{From: n.o.Self.Addr, Since: since, Peek: true})
	if err != nil {
		n.o.Log.Debug("peer not reached", "peer", addr, "cause", err.Error())
		return Response{}, false
	}
	n.merge(resp, addr, sentAt)
	return resp, true
}

// merge takes what changed in the copies of a peer that was asked then.
func (n *Node) merge(resp Response, from string, sentAt time.Time) {
	for kind, d := range resp.Changes {
		if m := n.o.Copies[kind]; m != nil {
			m.Merge(d, from, sentAt)
		}
	}
}

// apply takes the answer of a relay that was asked then.
func (n *Node) apply(resp Response, source string, isRelay bool, sentAt time.Time) {
	if !resp.Unavailable && !isRelay {
		for _, m := range n.o.Copies {
			m.Informed(resp.RecoveredAgo, resp.HadOutage)
		}
	}
	n.merge(resp, source, sentAt)
	n.cursors[source] = resp.Cursor
	for _, notice := range resp.Notices {
		n.Deliver(notice)
	}
	if resp.Unavailable {
		n.backOff(source, "it doesn't follow the store", true)
		return
	}
	n.resetBackoff(source)
	if !n.restoreChecked {
		n.applyRestoreInfo(resp)
	}
	if !isRelay {
		n.followRelay(source)
	}
}

// setCancelFetch notes how to end the question that waits; only one of a host that
// doesn't relay is ended when it is asked to.
func (n *Node) setCancelFetch(cancel context.CancelFunc, cancelable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancelFetch = nil
	if cancelable {
		n.cancelFetch = cancel
	}
}
