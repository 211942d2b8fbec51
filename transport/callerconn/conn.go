package callerconn

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thymerack/thymerack/transport/wallclock"
)

// writePart is how much of a response may share one write limit.
const writePart = 64 << 10

// Listener gives the callers' connections their write limit.
type Listener struct {
	net.Listener
	// WriteLimit bounds the writing of each part of a response.
	WriteLimit time.Duration
	// Slow, if set, watches the connections for slow readers.
	Slow *SlowReaders
	// SendBuffer is the size in bytes of the kernel's send buffer, which it doubles for its own
	// overhead; 0 leaves it to the kernel, which holds up to 4 MiB for a caller that doesn't read.
	SendBuffer int
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok && l.SendBuffer > 0 {
		_ = tcp.SetWriteBuffer(l.SendBuffer)
	}
	out := &Conn{Conn: c, limit: l.WriteLimit, slow: l.Slow}
	if l.Slow != nil {
		l.Slow.add(out)
	}
	return out, nil
}

// Conn is a caller's connection. It gives every part of a response a limit
// of its own: one for a whole response would cut long ones, and one set for an
// earlier response would cut a later one.
type Conn struct {
	net.Conn
	limit time.Duration
	// active is set while a request is read or a response written.
	active atomic.Bool
	slow   *SlowReaders
	// writingSince is when the write of the present part began, in Unix nanoseconds, and 0 if none is
	// under way; unwritten is the number of bytes from that part on.
	writingSince, unwritten atomic.Int64
	// request is the ID of the request that is read or answered; nil if it isn't known. ending is why the
	// connection is about to end, and reported is set once Activity.Ended was told.
	request  atomic.Pointer[string]
	ending   atomic.Pointer[Ending]
	reported atomic.Bool
}

// Read implements net.Conn. A wait for a request ends without an error, whether the caller or the host ends
// it: the server would answer an error on a new connection, although nobody has asked.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || err == nil {
		return n, err
	}
	if !c.active.Load() {
		return 0, io.EOF
	}
	c.noteIOError(err, CauseReadTimeout)
	return 0, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	switch {
	case !c.active.Load():
		c.noteEnd(CauseTooMany, err) // the server writes without a request only to refuse the connection
	case err != nil:
		c.noteIOError(err, CauseWriteTimeout)
	}
	return n, err
}

func (c *Conn) write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writePart)]
		if c.limit > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
				return written, err
			}
		}
		c.unwritten.Store(int64(len(p) - written))
		c.writingSince.Store(wallclock.Now().UnixNano())
		n, err := c.Conn.Write(part)
		c.writingSince.Store(0)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SyscallConn implements syscall.Conn when the connection is one of the kernel.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSOCK
	}
	return sc.SyscallConn()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.slow != nil {
		c.slow.remove(c)
	}
	return c.Conn.Close()
}

// reset closes the connection and drops what the kernel holds of it.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
