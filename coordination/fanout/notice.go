package fanout

import (
	"context"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Topic is the subject of a notice. Each topic has at most one handler on each host.
type Topic string

// Notice is a message from one host to all others about something that matters for some seconds
// only. Delivery isn't guaranteed, so nothing that must hold may depend on a notice.
type Notice struct {
	// Origin and Number identify a notice: Origin is the run of the host that published it, and
	// Number counts the notices of that run from 1 on.
	Origin string
	Number uint64
	Topic  Topic
	Body   []byte
}

// Cursor is a position in the notices of a relay.
type Cursor struct {
	// Relay is the run of the relay; the cursor is not valid for any other run.
	Relay string
	// Next is the index of the first notice that hasn't been read.
	Next uint64
}

const (
	// noticeRetention is how long a relay keeps notices for hosts that move to it from another.
	noticeRetention = 2 * time.Second
	// maxNotices bounds the notices that a relay keeps: 200 engines that fail at once, each
	// reported twice a second.
	maxNotices = 1024
	// sendTimeout bounds the sending of a notice to one host; nothing waits for it.
	sendTimeout = 300 * time.Millisecond
)

// noticeID identifies a notice.
type noticeID struct {
	origin string
	number uint64
}

// noticeLog holds the recent notices that a host published or received, in the order in which it
// got them. It is safe for concurrent use.
type noticeLog struct {
	mu sync.Mutex
	// runID identifies this run of the host.
	runID string
	// lastNumber is the number of the last notice that this run published.
	lastNumber uint64
	// firstIndex is the index of notices[0], counted from the start of this run; cursors refer to
	// these indexes.
	firstIndex uint64
	notices    []loggedNotice
	// seen holds the identities of notices, to recognize duplicates.
	seen map[noticeID]bool
}

// loggedNotice is a notice with the time at which this host got it.
type loggedNotice struct {
	Notice
	addedAt time.Time
}

func newNoticeLog(run string) *noticeLog { return &noticeLog{runID: run, seen: map[noticeID]bool{}} }

// newNotice returns a notice of this host with the next number. It doesn't add it to the log.
func (l *noticeLog) newNotice(topic Topic, body []byte) Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	return Notice{Origin: l.runID, Number: l.lastNumber, Topic: topic, Body: body}
}

// add adds a notice, unless the log has it already, and drops those that are too old or too many. It
// reports whether the notice is new.
func (l *noticeLog) add(n Notice, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := noticeID{n.Origin, n.Number}
	if l.seen[id] {
		return false
	}
	l.seen[id] = true
	l.notices = append(l.notices, loggedNotice{n, now})
	for len(l.notices) > maxNotices || now.Sub(l.notices[0].addedAt) > noticeRetention {
		old := l.notices[0]
		delete(l.seen, noticeID{old.Origin, old.Number})
		l.notices = l.notices[1:]
		l.firstIndex++
	}
	return true
}

// since returns the notices from a cursor on that aren't older than noticeRetention, and the cursor
// after them. A cursor of another run, or one that is too old, yields all notices.
func (l *noticeLog) since(c Cursor, now time.Time) ([]Notice, Cursor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := Cursor{l.runID, l.firstIndex + uint64(len(l.notices))}
	from := 0
	if c.Relay == l.runID && c.Next > l.firstIndex {
		from = int(min(c.Next, next.Next) - l.firstIndex)
	}
	var out []Notice
	for _, p := range l.notices[from:] {
		if now.Sub(p.addedAt) <= noticeRetention {
			out = append(out, p.Notice)
		}
	}
	return out, next
}

// Subscribe sets the handler of a topic. It is called once for each notice, including this host's
// own, and must not block. Subscribe must be called before Run.
func (n *Node) Subscribe(topic Topic, handle func(body []byte)) { n.handlers[topic] = handle }

// Publish sends a notice to all hosts. It doesn't wait for the delivery.
func (n *Node) Publish(ctx context.Context, topic Topic, body []byte) {
	notice := n.notices.newNotice(topic, body)
	n.Deliver(notice)
	for _, addr := range n.currentLayout().noticeTargets {
		go n.sendNotice(ctx, addr, notice)
	}
}

// sendNotice sends a notice to one host; a failure is only logged.
func (n *Node) sendNotice(ctx context.Context, addr string, notice Notice) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := n.o.Peers.SendNotice(ctx, addr, notice); err != nil {
		n.o.Log.Debug("notice not delivered", "peer", addr, "topic", string(notice.Topic), "cause", err.Error())
	}
}

// Deliver passes a notice to its handler and keeps it for the followers of this host. Duplicates are
// ignored.
func (n *Node) Deliver(notice Notice) {
	if !n.notices.add(notice, n.o.Clock.Now()) {
		return
	}
	if handle := n.handlers[notice.Topic]; handle != nil {
		handle(notice.Body)
	}
	n.WakeFollowers()
}

// addresses returns the addresses of hosts.
func addresses(hosts []state.Peer) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Addr)
	}
	return out
}
