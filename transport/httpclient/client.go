package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/transport/wallclock"
)

// Client sends requests to one server. It is safe for concurrent use.
type Client struct {
	opts Options
	pool *fasthttp.HostClient
	// maxIdle is the longest time in nanoseconds that a connection may have been
	// unused and be used again; see SetMaxIdle.
	maxIdle atomic.Int64
}

// New returns a client; it makes no connection yet.
func New(o Options) (*Client, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	c := &Client{opts: o}
	c.pool = &fasthttp.HostClient{
		Addr:                o.Addr,
		Dial:                func(string) (net.Conn, error) { return &conn{opts: &c.opts}, nil },
		MaxConns:            o.MaxConns,
		MaxIdleConnDuration: o.MaxIdle,
		ReadBufferSize:      o.MaxHeaderBytes,
		ConnPoolStrategy:    fasthttp.LIFO,
		// Only the pool is used and never HostClient.Do. Its retries are off all
		// the same: they would break at-most-once.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return c, nil
}

// SetMaxIdle lowers the time that an unused connection is kept, below
// Options.MaxIdle, when the server tells its own limit.
func (c *Client) SetMaxIdle(d time.Duration) { c.maxIdle.Store(int64(d)) }

// fresh reports whether a pooled connection was in use lately enough.
func (c *Client) fresh(cn *conn) bool {
	limit := time.Duration(c.maxIdle.Load())
	return limit <= 0 || wallclock.Since(cn.releasedAt) < limit
}

// Close closes the unused connections; attempts under way go on.
func (c *Client) Close() { c.pool.CloseIdleConnections() }

// Trim closes unused connections until there are at most limit connections or all are in use.
func (c *Client) Trim(limit int) {
	for c.pool.ConnsCount() > limit {
		cc, err := c.pool.AcquireConn(0, false)
		if err != nil {
			return
		}
		isUnused := cc.Conn().(*conn).Conn != nil // else it was made by AcquireConn
		c.pool.CloseConn(cc)
		if !isUnused {
			return
		}
	}
}

// Conns returns the number of open connections, in use or not.
func (c *Client) Conns() int { return c.pool.ConnsCount() }

// Limits bounds the response of one attempt.
type Limits struct {
	// Timeout bounds the time from the end of the request to the end of the
	// response; for a stream, to the end of its header and then each silence.
	Timeout time.Duration
	// Silence bounds how long no byte of a response that is read whole may come; 0 for Timeout alone.
	Silence time.Duration
	// Begun is set once the first byte of the response has come; nil if nobody asks.
	Begun *atomic.Bool
	// MaxBodyBytes bounds a response body that is read whole. It must be
	// positive; Do takes less as 1, where fasthttp would take it as no limit.
	MaxBodyBytes int
	// Unnamed says that the response doesn't name its request. The connection is marked, since a second response
	// may come late on it.
	Unnamed bool
	// Stray tells a late response to an earlier request, which is dropped; nil means that there are none. marked is set if
	// responses that name no request were due on the connection before.
	Stray func(resp *fasthttp.Response, marked bool) bool
	// Permit is asked when there is a connection, before the request is written; after an
	// error nothing is sent. nil allows it.
	Permit func() error
}

// Do sends req and reads the whole response. Every error is an *Error. A body without a length or
// chunks ends with the connection, so that its content must show whether it is complete, as that of a
// JSON object does; see ErrUnframed.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, l Limits) error {
	x, err := c.send(ctx, req, l.Permit)
	if err != nil {
		return err
	}
	resp.StreamBody = false
	resp.SkipBody = req.Header.IsHead()
	if err := x.readResponse(resp, l); err != nil {
		return x.fail(err)
	}
	x.finish(reusable(req, resp))
	return nil
}

// untilClose is fasthttp's content length of a body without framing.
const untilClose = -2

// reusable reports whether the connection may carry another request.
func reusable(req *fasthttp.Request, resp *fasthttp.Response) bool {
	return !req.ConnectionClose() && !resp.ConnectionClose() && resp.Header.ContentLength() != untilClose
}

// exchange is one attempt whose request has been sent.
type exchange struct {
	ctx  context.Context
	addr string
	conn *conn
	// writeFailed is set before written ends, and stalled before the connection is closed because the server took nothing
	// of the request in time.
	writeFailed, stalled atomic.Bool
	br                   *bufio.Reader
	// stopWatch ends the watch on ctx; false means that it has cut the connection.
	stopWatch func() bool
	// release gives the connection back to the pool, or closes it. It is called
	// once, when nothing reads from br any more.
	release func(reuse bool)
	// written ends when a body that is written beside the reading of the response
	// is out or has failed; nil when the request was written first.
	written chan struct{}
}

// send acquires a connection and writes the request to it.
func (c *Client) send(ctx context.Context, req *fasthttp.Request, permit func() error) (*exchange, error) {
	x, err := c.acquire(ctx)
	if err != nil {
		return nil, err
	}
	if c.opts.SingleUse {
		req.SetConnectionClose()
	}
	x.conn.written.Store(0)
	x.conn.responded.Store(false)
	x.stopWatch = context.AfterFunc(ctx, x.conn.abort)
	if permit != nil {
		if err := permit(); err != nil {
			return nil, x.fail(err)
		}
	}
	if err := x.write(c, req); err != nil {
		return nil, x.fail(err)
	}
	return x, nil
}

// acquire returns a connection that is open as far as this host can know.
func (c *Client) acquire(ctx context.Context) (*exchange, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, failure(ctx, c.opts.Addr, false, err)
		}
		cc, err := c.pool.AcquireConn(0, c.opts.SingleUse)
		if err != nil {
			return nil, failure(ctx, c.opts.Addr, false, acquireCause(err))
		}
		cn := cc.Conn().(*conn)
		x := &exchange{ctx: ctx, addr: c.opts.Addr, conn: cn}
		x.release = func(reuse bool) {
			if x.br != nil {
				c.pool.ReleaseReader(x.br)
			}
			if reuse && !c.opts.SingleUse {
				cn.releasedAt = wallclock.Now()
				c.pool.ReleaseConn(cc)
				return
			}
			c.pool.CloseConn(cc)
		}
		if cn.Conn == nil {
			if err := cn.connect(ctx); err != nil {
				x.release(false)
				return nil, failure(ctx, c.opts.Addr, false, err)
			}
			return x, nil
		}
		if c.fresh(cn) && cn.idle() && (c.opts.Usable == nil || c.opts.Usable(cn.Conn)) {
			return x, nil
		}
		x.release(false)
	}
}

func acquireCause(err error) error {
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return ErrBusy
	}
	return err
}

func (x *exchange) write(c *Client, req *fasthttp.Request) error {
	x.br = c.pool.AcquireReader(x.conn)
	if len(req.Body()) < besideBytes {
		return x.writeAll(c, req)
	}
	x.written = make(chan struct{})
	go func() {
		defer close(x.written)
		// A failure shows in the reading of the response, too; a server may have
		// answered before it closed the connection.
		err := x.writeAll(c, req)
		x.writeFailed.Store(err != nil)
		if errors.Is(err, os.ErrDeadlineExceeded) && !x.conn.responded.Load() {
			x.stalled.Store(true)
			x.conn.abort() // the server waits for the rest, and would not answer
		}
	}()
	return nil
}

// besideBytes is the body size from which a request is written beside the reading
// of the response: a server may answer without reading a long body, and a request
// that fits the socket's send buffer never waits for that. The smallest send
// buffer seen with the kernel's default settings is 16 KiB.
const besideBytes = 12 << 10

func (x *exchange) writeAll(c *Client, req *fasthttp.Request) error {
	bw := c.pool.AcquireWriter(x.conn)
	defer c.pool.ReleaseWriter(bw)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// wholeSent reports whether the request is out. It is false while the body is
// still being written.
func (x *exchange) wholeSent() bool {
	if x.written == nil {
		return true
	}
	select {
	case <-x.written:
		return !x.writeFailed.Load()
	default:
		return false
	}
}

// awaitWriter waits until nothing writes to the connection; it must be closed or
// the request be out.
func (x *exchange) awaitWriter() {
	if x.written != nil {
		<-x.written
	}
}

func (x *exchange) readResponse(resp *fasthttp.Response, l Limits) error {
	defer func() { x.conn.marked = x.conn.marked || l.Unnamed }()
	x.conn.limitRead(l)
	if err := x.conn.SetReadDeadline(time.Now().Add(l.Timeout)); err != nil {
		return err
	}
	left := int64(maxStrayBytes)
	for strays := 0; ; strays++ {
		if err := awaitHead(x.br); err != nil {
			return err
		}
		if err := resp.ReadLimitBody(x.br, max(1, l.MaxBodyBytes)); err != nil {
			return err
		}
		if l.Stray == nil || !l.Stray(resp, x.conn.marked) {
			return nil
		}
		if strays == maxStrays || resp.Header.ContentLength() == untilClose {
			return ErrStray
		}
		n, err := discard(resp, left)
		if err != nil {
			return err
		}
		left -= n
	}
}

// maxStrays and maxStrayBytes bound the responses of other requests, and the bytes of their bodies, that are read and
// dropped before one attempt's own.
const (
	maxStrays     = 3
	maxStrayBytes = 1 << 20
)

// discard reads the body of a response that nobody wants, and returns its length. It returns ErrStray if that is more than
// limit.
func discard(resp *fasthttp.Response, limit int64) (int64, error) {
	body := resp.BodyStream()
	if body == nil {
		return 0, nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if n > limit {
		return n, ErrStray
	}
	return n, err
}

// fail ends the attempt with an error and drops the connection.
func (x *exchange) fail(err error) *Error {
	x.stopWatch()
	x.conn.abort()
	x.awaitWriter()
	sent := x.conn.written.Load() > 0
	if x.stalled.Load() {
		err = &StalledError{Addr: x.addr, After: x.conn.opts.WriteTimeout}
	}
	x.release(false)
	return failure(x.ctx, x.addr, sent, err)
}

// finish ends the attempt after a whole response.
func (x *exchange) finish(reuse bool) {
	if !x.stopWatch() {
		reuse = false
	}
	if x.br.Buffered() > 0 || !x.wholeSent() {
		reuse = false
	}
	if !reuse {
		x.conn.abort()
		x.awaitWriter()
	}
	x.release(reuse)
}
