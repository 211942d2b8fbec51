package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/bodies"
	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/callerconn"
	"github.com/thymerack/thymerack/transport/wallclock"
)

const (
	// prefetchBytes is how much of a body of a declared length the library reads before it calls the handler.
	prefetchBytes = 8 << 10
	// firstChunkedBytes is the first size of the buffer of a body without a declared length.
	firstChunkedBytes = 4 << 10
	// stallTimeout is how long a caller may send nothing of a body while other readers wait for room, and stallPoll the time
	// between two looks at these.
	stallTimeout = 3 * time.Second
	stallPoll    = 250 * time.Millisecond
)

// retrySpread divides the time of a refused caller: up to one such part of it is added at random, so that callers don't come
// back all at once.
const retrySpread = 4

// errBodyTooLarge reports a body over the configured limit.
var errBodyTooLarge = errors.New("the body is over the configured limit; send less")

// bodyReader reads the body of one request into memory that is reserved for it.
type bodyReader struct {
	s        *Server
	ctx      *fasthttp.RequestCtx
	id       string
	reserved *bodies.Reservation
	// until is the latest time of its last byte, and limit its largest size.
	until time.Time
	limit int
	bytes []byte
	// lastRead is when bytes last arrived, in Unix nanoseconds.
	lastRead atomic.Int64
}

// bodyLimit is the largest body that a configuration allows.
func (s *Server) bodyLimit(c *state.RoutingConfig) int {
	return min(cmp.Or(max(c.MaxBodyBytes, 0), s.o.MaxBodyBytes), s.o.MaxBodyBytes)
}

// readBody reads the request's body, and returns its reservation. Errors are errBodyTooLarge, a *bodies.FullError, and
// those of the connection and of the body's framing.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, r *forward.Request, limit int) (*bodies.Reservation, error) {
	b := &bodyReader{s: s, ctx: ctx, id: r.ID, reserved: s.o.Bodies.Reserve(r.Priority()), limit: limit}
	b.until = r.ArrivedAt.Add(bodyTimeout)
	if r.Deadline.Before(b.until) {
		b.until = r.Deadline
	}
	err := b.read(ctx.Request.Header.ContentLength())
	if err != nil {
		b.reserved.Release()
		return nil, err
	}
	r.Body = b.bytes
	return b.reserved, nil
}

// read reads a body of the declared length, or of chunks if that is negative.
func (b *bodyReader) read(declared int) error {
	body := b.ctx.RequestBodyStream()
	switch {
	case body == nil:
		return nil
	case declared > b.limit:
		return errBodyTooLarge
	case declared >= 0 && declared <= prefetchBytes:
		return b.readDeclared(body, declared)
	}
	done, err := b.limitTime()
	if err != nil {
		return err
	}
	defer done()
	if declared >= 0 {
		return b.readDeclared(body, declared)
	}
	return b.readChunks(body)
}

// readDeclared reads a body of the given length.
func (b *bodyReader) readDeclared(body io.Reader, length int) error {
	if err := b.resize(length); err != nil {
		return err
	}
	for len(b.bytes) < length {
		if err := b.readPart(body); err == io.EOF && len(b.bytes) < length {
			return io.ErrUnexpectedEOF // the library takes the end of the connection for that of the body
		} else if err != nil && err != io.EOF {
			return err
		}
	}
	return nil
}

// readChunks reads to the last chunk. Room for the largest body is reserved as soon as the body isn't small, so that
// no two bodies wait for each other with half of their bytes in memory.
func (b *bodyReader) readChunks(body io.Reader) error {
	size := min(firstChunkedBytes, b.limit)
	for {
		if err := b.resize(size); err != nil {
			return err
		}
		for len(b.bytes) < cap(b.bytes) {
			if err := b.readPart(body); err == io.EOF {
				return b.trim()
			} else if err != nil {
				return err
			}
		}
		switch {
		case size >= b.limit:
			return b.expectEnd(body)
		case 2*size > bodies.SmallBytes:
			size = b.limit
		default:
			size = min(2*size, b.limit)
		}
	}
}

// resize makes room for size bytes.
func (b *bodyReader) resize(size int) error {
	if !b.reserved.TryGrow(size) {
		if err := b.awaitRoom(size); err != nil {
			return err
		}
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return nil
}

// awaitRoom waits until size bytes are reserved.
func (b *bodyReader) awaitRoom(size int) error {
	began := wallclock.Now()
	err := b.reserved.Grow(b.s.base, size, b.until)
	b.s.o.Log.Info("request waited for memory for its body", "request_id", b.id, "bytes", size, "held", b.s.o.Bodies.Held(), "waited", wallclock.Since(began), "admitted", err == nil)
	return err
}

// trim gives back the room that a complete body doesn't need.
func (b *bodyReader) trim() error {
	if cap(b.bytes) > 2*len(b.bytes) {
		b.bytes = append(make([]byte, 0, len(b.bytes)), b.bytes...)
		b.reserved.Shrink(len(b.bytes))
	}
	return nil
}

// expectEnd reads the end of a body that is as large as it may be.
func (b *bodyReader) expectEnd(body io.Reader) error {
	var more [1]byte
	for {
		n, err := body.Read(more[:])
		switch {
		case n > 0:
			return errBodyTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// readPart appends one read to the bytes.
func (b *bodyReader) readPart(body io.Reader) error {
	n, err := body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	b.lastRead.Store(wallclock.Now().UnixNano())
	return err
}

// limitTime sets the deadline of the body's reading, and lets cutStalled end it until the returned function is called.
func (b *bodyReader) limitTime() (func(), error) {
	if err := b.ctx.Conn().SetReadDeadline(wallclock.Steady(b.until)); err != nil {
		return nil, err
	}
	b.lastRead.Store(wallclock.Now().UnixNano())
	b.s.reading.Store(b, b.ctx.Conn())
	return func() { b.s.reading.Delete(b) }, nil
}

// cutStalled ends the reading of bodies whose callers have stopped sending while other readers wait for room, until ctx is
// done.
func (s *Server) cutStalled(ctx context.Context) {
	tick := time.NewTicker(stallPoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.o.Bodies.Waiting() == 0 {
			continue
		}
		since := wallclock.Now().Add(-stallTimeout).UnixNano()
		s.reading.Range(func(b, conn any) bool {
			if b.(*bodyReader).lastRead.Load() < since {
				_ = conn.(net.Conn).SetReadDeadline(time.Unix(1, 0))
			}
			return true
		})
	}
}

// discardBody reads what is left of the body of a request that is rejected, without holding it: the answer would be
// lost if the connection were closed with unread bytes. It stops at the largest body.
func (s *Server) discardBody(ctx *fasthttp.RequestCtx) {
	body := ctx.RequestBodyStream()
	if body == nil || ctx.Request.Header.ContentLength() > s.o.MaxBodyBytes {
		return
	}
	if ctx.Conn().SetReadDeadline(wallclock.Steady(wallclock.Now().Add(bodyTimeout))) != nil {
		return
	}
	// The library closes the connection after an error.
	_, _ = io.CopyN(io.Discard, body, int64(s.o.MaxBodyBytes)+1)
}

// bodyFailed answers a request whose body isn't read to its end.
func (s *Server) bodyFailed(ctx *fasthttp.RequestCtx, r *forward.Request, err error) {
	var full *bodies.FullError
	switch {
	case errors.Is(err, errBodyTooLarge):
		s.reject(ctx, r, "body_too_large", fasthttp.StatusRequestEntityTooLarge, err.Error())
	case errors.As(err, &full):
		s.o.Log.Warn("no memory for a request's body", "request_id", r.ID, "bytes", full.Bytes, "held", full.Held, "waiting", full.Waiting, "waited", wallclock.Since(r.ArrivedAt), "retry_after", full.RetryAfter)
		s.reject(ctx, r, "memory_full", fasthttp.StatusServiceUnavailable, err.Error())
		setRetryAfter(ctx, full.RetryAfter+rand.N(full.RetryAfter/retrySpread+1))
	default:
		callerconn.SetRequest(ctx.Conn(), r.ID)
		s.malformed(ctx, err)
	}
}
