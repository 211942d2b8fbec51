package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrUnframed is the cause of a read at the end of a body that has neither a length nor chunks. The server
// closed the connection in order, which it also does when it breaks off.
var ErrUnframed = errors.New("the connection ended a body without a length or chunks; its content must show whether it is complete")

// ErrClosed is the cause of a read on a stream that this host has closed.
var ErrClosed = errors.New("the stream was closed by this host; start another attempt")

const (
	// maxDrainBytes and drainTimeout bound what Finish reads of a body that nobody wants: twenty round trips between failure
	// domains. A new connection costs less than more bytes.
	maxDrainBytes = 64 << 10
	drainTimeout  = 50 * time.Millisecond
	// drainPart is the size of the reads, in bytes.
	drainPart = 4 << 10
)

// Stream is a response whose body is read as it comes.
type Stream struct {
	// Response has the status and the header; its body must be read through Read.
	Response *fasthttp.Response

	x     *exchange
	reuse bool
	// framed is set if the body has a length or chunks, so that its end shows that it is whole.
	framed  bool
	silence time.Duration
	closed  atomic.Bool

	mu sync.Mutex // held by a Read or by the release of the connection
}

// Stream sends req and returns once the response's header has come. The caller
// must end the stream with Finish or Cut. Every error is an *Error.
func (c *Client) Stream(ctx context.Context, req *fasthttp.Request, l Limits) (*Stream, error) {
	x, err := c.send(ctx, req, l.Permit)
	if err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{StreamBody: true}
	resp.Header.SetNoDefaultContentType(true) // a response without a type has none
	resp.SkipBody = req.Header.IsHead()
	if err := x.readResponse(resp, l); err != nil {
		return nil, x.fail(err)
	}
	return &Stream{Response: resp, x: x, reuse: reusable(req, resp), framed: resp.Header.ContentLength() != untilClose, silence: l.Timeout}, nil
}

// SetSilence changes how long a Read may wait. Call it before the first Read.
func (s *Stream) SetSilence(d time.Duration) { s.silence = d }

// MarkUnnamed notes that the response doesn't name its request; see Limits.Unnamed.
func (s *Stream) MarkUnnamed() { s.x.conn.marked = true }

// Conn returns the connection that carries the stream.
func (s *Stream) Conn() net.Conn { return s.x.conn.Conn }

// Read reads the body. It returns io.EOF once a length or the last chunk has shown that
// the body is whole, and an *Error for anything else: one with the cause ErrUnframed at the
// end of a body without either, and another one for a body cut short.
func (s *Stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed.Load() {
		return 0, s.failed(ErrClosed)
	}
	body := s.Response.BodyStream()
	if body == nil {
		return 0, io.EOF
	}
	if err := s.x.conn.SetReadDeadline(time.Now().Add(s.silence)); err != nil {
		return 0, s.failed(err)
	}
	n, err := body.Read(p)
	switch {
	case err == io.EOF && !s.framed:
		return n, s.failed(ErrUnframed)
	case err == nil || err == io.EOF:
		return n, err
	default:
		return n, s.failed(err)
	}
}

func (s *Stream) failed(err error) *Error {
	if s.closed.Load() {
		err = ErrClosed
	}
	return failure(s.x.ctx, s.x.addr, true, err)
}

// Cut closes the connection, whatever is still to come, which the server sees as
// a cancellation. It may be called at any time, more than once and from another
// goroutine; a Read under way returns.
func (s *Stream) Cut() {
	if s.closed.Swap(true) {
		return
	}
	s.x.stopWatch()
	s.x.conn.abort()
	s.x.awaitWriter()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.x.release(false)
}

// Finish ends a stream of which nothing more is wanted. The connection is kept for another request if the body ends
// within a few bytes and moments; else it is cut.
func (s *Stream) Finish() {
	s.mu.Lock()
	ended := s.ends()
	if !ended || s.closed.Swap(true) {
		s.mu.Unlock()
		s.Cut()
		return
	}
	defer s.mu.Unlock()
	s.x.finish(s.reuse)
}

// ends reads what is left of the body, and reports whether it ends; s.mu is held.
func (s *Stream) ends() bool {
	if s.closed.Load() || !s.framed {
		return false
	}
	body := s.Response.BodyStream()
	if body == nil {
		return true
	}
	if err := s.x.conn.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return false
	}
	var part [drainPart]byte
	for drained := 0; drained <= maxDrainBytes; {
		n, err := body.Read(part[:])
		if err != nil {
			return err == io.EOF
		}
		drained += n
	}
	return false
}
