package httpclient

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/thymerack/thymerack/transport/wallclock"
)

// Keepalive probes find a server that is gone while nothing is being sent, as
// during a long silence of a stream. The kernel gives the connection up at the
// first probe time after UserTimeout without an answer, so a UserTimeout above
// keepAliveIdle allows for lost probes.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// keepAlive is the probing of a silent connection.
func (o *Options) keepAlive() net.KeepAliveConfig {
	k := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	if o.KeepAlive > 0 {
		k.Idle, k.Interval = o.KeepAlive, o.KeepAlive
	}
	if o.KeepAliveCount > 0 {
		k.Count = o.KeepAliveCount
	}
	return k
}

// conn is a pooled connection. The pool makes it unconnected, so that the
// attempt that needs it can dial under its own context.
type conn struct {
	net.Conn // nil until connect
	opts     *Options
	// written counts the bytes of the present attempt that the kernel took.
	written atomic.Int64
	// responded is set once bytes have been read in the present attempt.
	responded atomic.Bool
	// readUntil, silence and begun are the limits of the present attempt's response.
	readUntil time.Time
	silence   time.Duration
	begun     *atomic.Bool
	// marked is set once a response was due that doesn't name its request; see Limits.Unnamed.
	marked bool
	// releasedAt is when the connection last went back to the pool.
	releasedAt time.Time
}

func (c *conn) connect(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	dial := c.opts.Dial
	if dial == nil {
		dial = c.opts.DialTCP
	}
	nc, err := dial(limited, c.opts.Addr)
	if err != nil && ctx.Err() == nil && limited.Err() != nil {
		return &DialTimeoutError{c.opts.Addr, c.opts.DialTimeout}
	}
	if err != nil {
		return err
	}
	c.Conn = nc
	return nil
}

// DialTCP makes a TCP connection with the options' LocalIP, KeepAlive, KeepAliveCount and UserTimeout. Its Read returns io.EOF
// only if the server has closed the connection in order.
func (o *Options) DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: o.keepAlive(),
		Control:         o.setUserTimeout,
	}
	if o.LocalIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: o.LocalIP}
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return tcpConn{c.(*net.TCPConn)}, nil
}

// tcpConn is a TCP connection that tells a reset from an end in order. The kernel reports a reset once: if a write gets the
// error, a read finds the end of the input.
type tcpConn struct{ *net.TCPConn }

// Read implements net.Conn.
func (c tcpConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF {
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns io.EOF after an end in order. The kernel then still lets this host write; after a reset it has closed both
// directions, which poll(2) shows as POLLHUP.
func (c tcpConn) endOfInput() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	state := []unix.PollFd{{}}
	polled := raw.Control(func(fd uintptr) {
		state[0].Fd = int32(fd)
		_, err = unix.Poll(state, 0)
	})
	switch {
	case polled != nil:
		return polled
	case err != nil:
		return os.NewSyscallError("poll", err)
	case state[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0:
		return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	default:
		return io.EOF
	}
}

// Prepare sets the same options on a TCP connection that was accepted. One that has ended fails when it is
// used.
func (o *Options) Prepare(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(o.keepAlive())
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = o.setUserTimeout("", "", raw)
	}
}

func (o *Options) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// writePart is the size of the parts in which requests are written. Each has the whole time-out, so that a large body may take longer
// while the server reads on.
const writePart = 64 << 10

// Write applies the limit of each part, and counts what the kernel took.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.opts.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePart)])
		c.written.Add(int64(n))
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// limitRead sets the limits of the next response.
func (c *conn) limitRead(l Limits) {
	c.readUntil, c.silence, c.begun = wallclock.Now().Add(l.Timeout), l.Silence, l.Begun
}

// Read applies the limit of the silence, and notes that the response has begun.
func (c *conn) Read(p []byte) (int, error) {
	if c.silence > 0 {
		left := min(c.silence, c.readUntil.Sub(wallclock.Now()))
		if err := c.SetReadDeadline(time.Now().Add(left)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.responded.Store(true)
		if c.begun != nil {
			c.begun.Store(true)
		}
	}
	return n, err
}

// Close implements net.Conn for connections that were never made, too.
func (c *conn) Close() error {
	if c.Conn == nil {
		return nil
	}
	return c.Conn.Close()
}

// abort closes the connection and drops what the kernel still holds of it, so
// that no part of an abandoned request is delivered later.
func (c *conn) abort() {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// idle reports whether the connection is still open and has nothing to read.
// Anything readable on an unused connection is its end or a stray response.
func (c *conn) idle() bool {
	if b, ok := c.Conn.(interface{ Unread() bool }); ok && b.Unread() {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
	})
	return err == nil && quiet
}
