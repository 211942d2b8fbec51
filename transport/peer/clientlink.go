package peer

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// pingsPerSilence is how many pings are sent within one silence timeout.
const pingsPerSilence = 3

// reply is the outcome of one call.
type reply struct {
	body []byte
	err  error
}

// clientLink is the client's end of a connection.
type clientLink struct {
	link
	addr string
	idle time.Duration

	mu       sync.Mutex
	nextID   uint64
	waiting  map[uint64]chan reply
	lastCall time.Time
}

// serve runs the connection until it ends; ended is called first thing then.
func (l *clientLink) serve(ctx context.Context, ended func()) {
	stop := context.AfterFunc(ctx, func() { l.close(ErrClosed) })
	defer stop()
	var routines conc.WaitGroup
	routines.Go(l.write)
	routines.Go(l.ping)
	reason := l.receive()
	ended()
	l.close(reason)
	routines.Wait()
}

// receive reads frames until the connection ends and returns the reason.
func (l *clientLink) receive() error {
	for {
		f, err := l.read()
		if err != nil {
			return err
		}
		switch f.typ {
		case peerapi.FrameReply:
			l.answer(f.id, reply{body: f.body})
		case peerapi.FrameProblem:
			l.answer(f.id, reply{err: problemOf(f.body, l.addr)})
		case peerapi.FramePong:
		default:
			return &FrameError{Problem: "a reply was expected"}
		}
	}
}

// ping keeps the connection heard on both sides, and closes it once idle.
func (l *clientLink) ping() {
	ticker := time.NewTicker(l.silence / pingsPerSilence)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		if l.isIdle() {
			l.close(errIdle)
			return
		}
		l.send(frame{typ: peerapi.FramePing}, nil)
	}
}

func (l *clientLink) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0 && wallclock.Since(l.lastCall) > l.idle
}

// call sends one request and waits for its reply.
func (l *clientLink) call(ctx context.Context, kind peerapi.Kind, body []byte) ([]byte, error) {
	if limit := min(l.maxBody, l.peerMaxBody); len(body) > limit {
		return nil, &FrameTooLargeError{Bytes: len(body), Limit: limit}
	}
	id, answer := l.begin()
	defer l.end(id)
	l.stats.requests.Add(1)
	q := l.send(frame{typ: peerapi.FrameRequest, kind: kind, id: id, body: body}, ctx.Done())
	if q == nil {
		return nil, l.unreachable(ctx, false)
	}
	select {
	case r := <-answer:
		return r.body, r.err
	case <-l.done:
		return l.lastChance(ctx, q, answer)
	case <-ctx.Done():
		maybeSent := !q.giveUp()
		if maybeSent {
			l.cancel(id)
		}
		return nil, l.unreachable(ctx, maybeSent)
	}
}

// lastChance takes a reply that arrived just before the connection ended.
func (l *clientLink) lastChance(ctx context.Context, q *queued, answer chan reply) ([]byte, error) {
	select {
	case r := <-answer:
		return r.body, r.err
	default:
		return nil, l.unreachable(ctx, !q.giveUp())
	}
}

func (l *clientLink) unreachable(ctx context.Context, maybeSent bool) error {
	cause := ctx.Err()
	if cause == nil {
		cause = l.reason // written before done was closed
	}
	return &UnreachableError{Addr: l.addr, MaybeSent: maybeSent, Cause: cause}
}

// cancel tells the server that nobody waits any more. It doesn't wait itself.
func (l *clientLink) cancel(id uint64) {
	q := &queued{bytes: frame{typ: peerapi.FrameCancel, id: id}.encode()}
	select {
	case l.out <- q:
	default:
	}
}

func (l *clientLink) begin() (uint64, chan reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	answer := make(chan reply, 1)
	l.waiting[l.nextID] = answer
	l.lastCall = wallclock.Now()
	return l.nextID, answer
}

func (l *clientLink) end(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// answer hands a reply to its call. A reply nobody waits for is dropped.
func (l *clientLink) answer(id uint64, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ch := l.waiting[id]; ch != nil {
		ch <- r
		delete(l.waiting, id)
	}
}
