package fanout

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

const (
	// silenceSlack is how much longer than asked for a relay's answer may take: a host
	// with a fifth of a core stands still for a tenth of a second at times.
	silenceSlack = 250 * time.Millisecond
	// startWait is how long a question waits at a relay that may be starting too.
	startWait = 250 * time.Millisecond
	// startSlack is how much longer its answer may take: a first copy of the list of 3,000
	// instances has some 100 KB, and the relay's link sends it to thirty hosts at once.
	startSlack = 400 * time.Millisecond
	// startPeeks is how many peers a host asks at most when it starts or learns of a restoration:
	// some may be starting too, or gone.
	startPeeks = 3
)

// ask asks a relay for news. One that follows the store is followed from then on, unless
// this host relays as well.
func (n *Node) ask(ctx context.Context, source string, relays bool) {
	wait := n.o.FetchWait
	switch {
	case !relays && n.starting():
		wait = min(wait, startWait)
	case n.lost() || (!relays && !n.follows(source)):
		wait = 0 // first see whether it is of use
	}
	slack := silenceSlack
	if n.starting() {
		slack = startSlack
	}
	bounded, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	n.interruptible(cancel, !relays)
	asked := n.o.Clock.Now()
	news, err := n.o.Peers.Fetch(bounded, source, Request{From: n.o.Self.Addr, Since: n.revisions(), Cursor: n.read[source], Wait: wait})
	n.interruptible(nil, false)
	switch {
	case err == nil:
		n.take(news, source, relays, asked)
	case ctx.Err() == nil && !(n.askedLately(n.o.Clock.Now()) && !relays):
		n.avoid(source, err.Error(), false)
	}
}

// nextPeer is the other hosts in turn, from one that is chosen at random; "" if there are none.
func (n *Node) nextPeer() string {
	if n.turn == 0 {
		n.turn = n.o.Rand.IntN(max(1, len(n.plannedOf)))
	}
	for range n.plannedOf {
		n.turn++
		if addr := n.plannedOf[n.turn%len(n.plannedOf)].Addr; addr != n.o.Self.Addr {
			return addr
		}
	}
	return ""
}

// peekAtNext asks the next peer in turn, which may be of no use: silent, or without the store as well.
func (n *Node) peekAtNext(ctx context.Context) {
	if addr := n.nextPeer(); addr != "" {
		n.peek(ctx, addr)
	}
}

// settleAtStart asks peers whether the store was restored recently, which a host that has just started
// and follows the store itself can't know; without a peer it assumes that it wasn't.
func (n *Node) settleAtStart(ctx context.Context) {
	var told Response
	for range startPeeks {
		addr := n.nextPeer()
		if addr == "" {
			break
		}
		news, answered := n.peek(ctx, addr)
		if answered {
			told = news
			break
		}
	}
	n.settle(told)
}

// settle takes a peer's answer on that.
func (n *Node) settle(told Response) {
	n.settled = true
	for kind, m := range n.o.Copies {
		m.Settled(told.Changes[kind].Revision, told.RecoveredAgo, told.HadOutage)
	}
}

// askAfterRestoration asks some peers what they kept, once after each restoration of the store: this host
// may never have had what the store lost.
func (n *Node) askAfterRestoration(ctx context.Context) {
	revision := uint64(0)
	for _, m := range n.o.Copies {
		revision = max(revision, m.Revision())
	}
	before := n.revision
	n.revision = revision
	if !store.RestoredBetween(before, revision) {
		return
	}
	for range startPeeks {
		n.peekAtNext(ctx)
	}
}

// peek asks another host once, without following it. Kinds of which it may have kept newer objects than a
// restored store has are asked for whole.
func (n *Node) peek(ctx context.Context, addr string) (news Response, answered bool) {
	since := n.revisions()
	for kind, m := range n.o.Copies {
		if m.KeepsNewer() {
			delete(since, kind)
		}
	}
	bounded, cancel := context.WithTimeout(ctx, silenceSlack)
	defer cancel()
	asked := n.o.Clock.Now()
	news, err := n.o.Peers.Fetch(bounded, addr, Request{From: n.o.Self.Addr, Since: since, Peek: true})
	if err != nil {
		n.o.Log.Debug("peer not reached", "peer", addr, "cause", err.Error())
		return Response{}, false
	}
	n.merge(news, addr, asked)
	return news, true
}

// merge takes what changed in the copies of a peer that was asked then.
func (n *Node) merge(news Response, from string, asked time.Time) {
	for kind, d := range news.Changes {
		if m := n.o.Copies[kind]; m != nil {
			m.Merge(d, from, asked)
		}
	}
}

// take takes the answer of a relay that was asked then.
func (n *Node) take(news Response, source string, relays bool, asked time.Time) {
	if !news.Unavailable && !relays {
		for _, m := range n.o.Copies {
			m.Informed(news.RecoveredAgo, news.HadOutage)
		}
	}
	n.merge(news, source, asked)
	n.read[source] = news.Cursor
	for _, notice := range news.Notices {
		n.Deliver(notice)
	}
	if news.Unavailable {
		n.avoid(source, "it doesn't follow the store", true)
		return
	}
	n.trust(source)
	if !n.settled {
		n.settle(news)
	}
	if !relays {
		n.followPeer(source)
	}
}

// interruptible notes how to end the question that waits; only one of a host that
// doesn't relay is ended when it is asked to.
func (n *Node) interruptible(cancel context.CancelFunc, may bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.interrupt = nil
	if may {
		n.interrupt = cancel
	}
}
