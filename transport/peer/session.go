package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/vmihailenco/msgpack/v5"
)

// session is the server's end of one connection.
type session struct {
	link
	server *Server
	from   state.HostID

	mu       sync.Mutex
	running  map[uint64]context.CancelFunc
	draining bool
	requests conc.WaitGroup
}

// serve runs the connection until it ends. Once ctx ends no request is taken any
// more and those running may finish within the drain timeout.
func (s *session) serve(ctx context.Context) {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var routines conc.WaitGroup
	routines.Go(s.write)
	routines.Go(func() { s.drain(ctx) })
	s.close(s.receive(base))
	cancel()
	s.requests.Wait()
	routines.Wait()
}

// drain closes the connection once ctx has ended and no request is left.
func (s *session) drain(ctx context.Context) {
	select {
	case <-s.done:
		return
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	finished := make(chan struct{})
	var waiter conc.WaitGroup
	waiter.Go(func() {
		s.requests.Wait()
		close(finished)
	})
	limit := time.NewTimer(s.server.opts.DrainTimeout)
	defer limit.Stop()
	select {
	case <-finished:
		s.flush()
	case <-limit.C:
	case <-s.done:
	}
	s.close(ErrClosed)
	waiter.Wait()
}

// flush waits until the writer has taken every queued reply and written it.
func (s *session) flush() {
	last := make(chan struct{})
	q := &queued{written: last}
	select {
	case s.out <- q:
	case <-s.done:
		return
	}
	select {
	case <-last:
	case <-s.done:
	}
}

// receive reads frames until the connection ends and returns the reason.
func (s *session) receive(ctx context.Context) error {
	for {
		f, err := s.read()
		if err != nil {
			return err
		}
		switch f.typ {
		case peerapi.FrameRequest:
			s.start(ctx, f)
		case peerapi.FrameCancel:
			s.cancel(f.id)
		case peerapi.FramePing:
			s.send(frame{typ: peerapi.FramePong}, nil)
		default:
			return &FrameError{Problem: "a request was expected"}
		}
	}
}

// start runs the handler of a request, unless too many run already.
func (s *session) start(ctx context.Context, f frame) {
	s.stats.requests.Add(1)
	if !s.admit(ctx, f) {
		s.send(problem(f.id, peerapi.CodeBusy, "too many requests run for this connection, or the host is shutting down; ask another peer"), nil)
	}
}

// admit starts the handler under the lock that drain takes, so that drain never
// misses one.
func (s *session) admit(ctx context.Context, f frame) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.running) >= s.server.opts.MaxRunning || s.running[f.id] != nil {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	s.running[f.id] = cancel
	s.requests.Go(func() {
		reply := s.handle(ctx, f)
		// The place is free before the caller can know that the answer is there.
		s.finish(f.id)
		s.send(reply, nil)
	})
	return true
}

func (s *session) finish(id uint64) {
	s.cancel(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
}

func (s *session) cancel(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.running[id]; cancel != nil {
		cancel()
	}
}

// handle carries one request out and returns the frame that answers it.
func (s *session) handle(ctx context.Context, f frame) frame {
	h := s.server.handler(f.kind)
	if h == nil {
		return problem(f.id, peerapi.CodeUnknownKind, fmt.Sprintf("this host doesn't answer kind %d; bring both hosts to the same release", f.kind))
	}
	body, err := s.call(ctx, h, f.body)
	if err != nil {
		code, message := describe(err)
		return problem(f.id, code, message)
	}
	if limit := min(s.maxBody, s.peerMaxBody); len(body) > limit {
		return problem(f.id, peerapi.CodeTooLarge, (&FrameTooLargeError{Bytes: len(body), Limit: limit}).Error())
	}
	return frame{typ: peerapi.FrameReply, id: f.id, body: body}
}

// call runs a handler and turns its panic into an error: one bad request must
// not end the host.
func (s *session) call(ctx context.Context, h Handler, body []byte) (out []byte, err error) {
	recovered := panics.Try(func() { out, err = h(ctx, s.from, body) })
	if recovered != nil {
		s.server.opts.Log.Error("peer handler panicked", "from", s.from.String(), "panic", recovered.AsError())
		return nil, &RemoteError{Code: peerapi.CodeFailed, Message: "the handler panicked; see the log of that host"}
	}
	return out, err
}

func describe(err error) (peerapi.Code, string) {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Code, remote.Message
	}
	return peerapi.CodeFailed, err.Error()
}

// problem returns the frame of a Problem. Its message is cut so that it fits any
// limit.
func problem(id uint64, code peerapi.Code, message string) frame {
	const maxMessage = 1 << 10
	if len(message) > maxMessage {
		message = message[:maxMessage]
	}
	// A struct of two strings always encodes.
	body, _ := msgpack.Marshal(peerapi.Problem{Code: code, Message: message})
	return frame{typ: peerapi.FrameProblem, id: id, body: body}
}
