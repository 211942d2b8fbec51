package fanout

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/coordination/store"
)

const (
	// responseSlack is how much longer than the requested wait a relay's response may take.
	responseSlack = propagation.RelaySlack
	// startupFetchWait limits the wait of fetches while this host lacks a copy: the relay may be
	// starting too.
	startupFetchWait = 250 * time.Millisecond
	// startupResponseSlack replaces responseSlack while this host lacks a copy: a first copy of
	// the list of 10,000 instances has some 200 KB, and the relay's link sends it to a hundred hosts
	// at once. It doubles with each timeout, at most maxStartupDoublings times, so that a larger
	// fleet gets its copies as well.
	startupResponseSlack = 400 * time.Millisecond
	maxStartupDoublings  = 3
	// maxPeeks is the number of peers that a host peeks at most when it starts or learns of a
	// restoration of the store: some peers may be starting too, or gone.
	maxPeeks = 3
)

// fetch fetches from a relay. If the relay follows the store, this host follows that relay from
// then on, unless this host relays as well.
func (n *Node) fetch(ctx context.Context, source string, isRelay bool) {
	wait := n.o.Delays.RelayWait
	switch {
	case !isRelay && n.lacksCopy():
		wait = min(wait, startupFetchWait)
	case n.storeUnavailable() || (!isRelay && !n.followsRelay(source)):
		wait = 0 // check first whether the relay is usable
	}
	bounded, cancel := context.WithTimeout(ctx, wait+n.responseSlack())
	defer cancel()
	n.setCancelFetch(cancel, !isRelay)
	sentAt := n.o.Clock.Now()
	resp, err := n.o.Peers.Fetch(bounded, source, Request{From: n.o.Self.Addr, Since: n.revisions(), Cursor: n.cursors[source], Wait: wait})
	n.setCancelFetch(nil, false)
	switch {
	case err == nil:
		n.relayAnswered = n.relayAnswered || !isRelay
		n.apply(resp, source, isRelay, sentAt)
	// A fetch that recordFetch canceled says nothing about the relay.
	case ctx.Err() == nil && !(n.hasFollowers(n.o.Clock.Now()) && !isRelay):
		n.countStartupTimeout(bounded)
		n.backOff(source, err.Error(), false)
	}
}

// responseSlack returns how much longer than the requested wait a response may take.
func (n *Node) responseSlack() time.Duration {
	if !n.lacksCopy() {
		return responseSlack
	}
	return startupResponseSlack << min(n.startupTimeouts, maxStartupDoublings)
}

// countStartupTimeout counts a call that timed out while this host lacks a copy and relays are there.
func (n *Node) countStartupTimeout(call context.Context) {
	if call.Err() != nil && n.relayAnswered && n.lacksCopy() {
		n.startupTimeouts++
	}
}

// nextPeer returns the addresses of the other hosts in turn, starting with a random one; "" if
// there are none.
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

// peekNext peeks at the next peer in turn. A failure is ignored: that peer may not respond, or may
// have lost the store as well.
func (n *Node) peekNext(ctx context.Context) {
	if addr := n.nextPeer(); addr != "" {
		n.peek(ctx, addr)
	}
}

// checkRestoreAtStart asks peers whether the store was restored recently, which a host that has just
// started and follows the store itself can't know. If no peer responds it assumes no restoration.
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

// applyRestoreInfo passes on to the copies what a peer reported about the store's last recovery; the
// zero Response stands for no report.
func (n *Node) applyRestoreInfo(resp Response) {
	n.restoreChecked = true
	for kind, m := range n.o.Copies {
		m.ResumeProofs(resp.Changes[kind].Revision, resp.RecoveredAgo, resp.HadOutage)
	}
}

// peekAfterRestore peeks at some peers once after each restoration of the store: they may have kept
// newer objects that the store lost and that this host never had.
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

// peek fetches from another host once, without following it; ok is false if the host didn't respond.
// Kinds whose copies may hold newer objects than a restored store are fetched whole.
func (n *Node) peek(ctx context.Context, addr string) (resp Response, ok bool) {
	since := n.revisions()
	for kind, m := range n.o.Copies {
		if m.KeepsNewer() {
			delete(since, kind)
		}
	}
	bounded, cancel := context.WithTimeout(ctx, n.responseSlack())
	defer cancel()
	sentAt := n.o.Clock.Now()
	resp, err := n.o.Peers.Fetch(bounded, addr, Request{From: n.o.Self.Addr, Since: since, Peek: true})
	if err != nil {
		n.countStartupTimeout(bounded)
		n.o.Log.Debug("peek failed", "peer", addr, "cause", err.Error())
		return Response{}, false
	}
	n.merge(resp, addr, sentAt)
	return resp, true
}

// merge takes the changes of a peer's response into the copies; sentAt is when the request was sent.
func (n *Node) merge(resp Response, from string, sentAt time.Time) {
	for kind, d := range resp.Changes {
		if m := n.o.Copies[kind]; m != nil {
			m.Merge(d, from, sentAt)
		}
	}
}

// apply processes a relay's response: its changes, its notices and whether it can be followed; sentAt
// is when the request was sent.
func (n *Node) apply(resp Response, source string, isRelay bool, sentAt time.Time) {
	if !resp.Unavailable && !isRelay {
		for _, m := range n.o.Copies {
			m.MarkRelayed(resp.RecoveredAgo, resp.HadOutage)
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

// setCancelFetch sets how to cancel the pending fetch, or clears it. Only the fetch of a host that
// doesn't relay is cancelable: it ends when the host has to begin to relay.
func (n *Node) setCancelFetch(cancel context.CancelFunc, cancelable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancelFetch = nil
	if cancelable {
		n.cancelFetch = cancel
	}
}
