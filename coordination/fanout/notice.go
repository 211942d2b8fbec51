package fanout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Topic tells what a notice is about.
type Topic string

// Notice is a message from one host to all others, for what is of use for some seconds
// only. One that isn't delivered is missed: nothing that must hold may rest on it.
type Notice struct {
	// Origin and Number tell notices apart: Origin is a run of a host.
	Origin string
	Number uint64
	Topic  Topic
	Body   []byte
}

// Cursor is how far a host has read the notices of a relay.
type Cursor struct {
	// Relay is the run of the relay; a cursor says nothing of another.
	Relay string
	Next  uint64
}

const (
	// noticeRetention is how long a relay keeps notices for hosts that come to it from another.
	noticeRetention = 2 * time.Second
	// maxNotices bounds what a relay keeps: two hundred engines that fail at once, told
	// twice a second.
	maxNotices = 1024
	// sendTimeout bounds the telling of one relay; nobody waits for it.
	sendTimeout = 300 * time.Millisecond
)

type noticeID struct {
	origin string
	number uint64
}

// noticeLog is the notices that a host has had recently, in their order here.
type noticeLog struct {
	mu sync.Mutex
	// runID names this runID of the host.
	runID      string
	lastNumber uint64
	firstIndex uint64
	notices    []loggedNotice
	seen       map[noticeID]bool
}

type loggedNotice struct {
	Notice
	addedAt time.Time
}

func newNoticeLog(run string) *noticeLog { return &noticeLog{runID: run, seen: map[noticeID]bool{}} }

// newNotice numbers a notice of this host.
func (b *noticeLog) newNotice(topic Topic, body []byte) Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastNumber++
	return Notice{Origin: b.runID, Number: b.lastNumber, Topic: topic, Body: body}
}

// add reports whether the notice is new.
func (b *noticeLog) add(n Notice, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := noticeID{n.Origin, n.Number}
	if b.seen[id] {
		return false
	}
	b.seen[id] = true
	b.notices = append(b.notices, loggedNotice{n, now})
	for len(b.notices) > maxNotices || now.Sub(b.notices[0].addedAt) > noticeRetention {
		old := b.notices[0]
		delete(b.seen, noticeID{old.Origin, old.Number})
		b.notices = b.notices[1:]
		b.firstIndex++
	}
	return true
}

// since returns what was added after a cursor, and the cursor after that.
func (b *noticeLog) since(c Cursor, now time.Time) ([]Notice, Cursor) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := Cursor{b.runID, b.firstIndex + uint64(len(b.notices))}
	from := 0
	if c.Relay == b.runID && c.Next > b.firstIndex {
		from = int(min(c.Next, next.Next) - b.firstIndex)
	}
	var out []Notice
	for _, p := range b.notices[from:] {
		if now.Sub(p.addedAt) <= noticeRetention {
			out = append(out, p.Notice)
		}
	}
	return out, next
}

// Subscribe has a function called for each notice of a topic, this host's own too. It is
// to be called before Run, and the function mustn't block.
func (n *Node) Subscribe(topic Topic, handle func(body []byte)) { n.handlers[topic] = handle }

// Publish tells all hosts; it doesn't wait until they know.
func (n *Node) Publish(ctx context.Context, topic Topic, body []byte) {
	notice := n.notices.newNotice(topic, body)
	n.Deliver(notice)
	for _, addr := range n.noticeTargets() {
		go n.sendNotice(ctx, addr, notice)
	}
}

func (n *Node) sendNotice(ctx context.Context, addr string, notice Notice) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := n.o.Peers.SendNotice(ctx, addr, notice); err != nil {
		n.o.Log.Debug("notice not told", "peer", addr, "topic", string(notice.Topic), "cause", err.Error())
	}
}

// Deliver takes a notice and keeps it for the hosts that follow this one.
func (n *Node) Deliver(notice Notice) {
	if !n.notices.add(notice, n.o.Clock.Now()) {
		return
	}
	if handle := n.handlers[notice.Topic]; handle != nil {
		handle(notice.Body)
	}
	n.WakeFollowers()
}

// noticeTargets are the hosts that pass a notice on to all others: the relays of each failure
// domain, and every host of a domain without.
func (n *Node) noticeTargets() []string {
	var out []string
	for _, members := range byDomain(n.o.Hosts()) {
		relays := relaysOf(members)
		if len(relays) == 0 {
			relays = addresses(members)
		}
		out = append(out, relays...)
	}
	return slices.DeleteFunc(out, func(addr string) bool { return addr == n.o.Self.Addr })
}

func addresses(hosts []state.Peer) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Addr)
	}
	return out
}
