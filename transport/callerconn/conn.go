package callerconn

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// writePart is how much of a response may share one write limit.
const writePart = 64 << 10

// Listener gives the callers' connections their write limit.
type Listener struct {
	net.Listener
	// WriteLimit bounds the writing of each part of a response.
	WriteLimit time.Duration
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, limit: l.WriteLimit}, nil
}

// Conn is a caller's connection. It gives every part of a response a limit
// of its own: one for a whole response would cut long ones, and one set for an
// earlier response would cut a later one.
type Conn struct {
	net.Conn
	limit time.Duration
	// active is set while a request is read or a response written.
	active atomic.Bool
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writePart)]
		if c.limit > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(part)
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
