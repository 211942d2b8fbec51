package load

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// dialTimeout is how long a target has to accept a connection.
const dialTimeout = time.Second

// DialError says that a target didn't accept the connection: nothing was sent.
type DialError struct {
	Cause error
}

// Error implements error.
func (e *DialError) Error() string { return "connect: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// idleConn gives up a read after a time without a byte.
type idleConn struct {
	net.Conn
	idle time.Duration
}

// Read implements net.Conn.
func (c idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// newClient returns a client that never repeats a call by itself and streams
// answers. It gives a connection up after idle without a byte.
func newClient(idle time.Duration) *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost:           1 << 14,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		WriteTimeout:              idle,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, &DialError{err}
			}
			return idleConn{conn, idle}, nil
		},
	}
}

// neverSent reports whether an error proves that nothing was sent.
func neverSent(err error) bool {
	var d *DialError
	return errors.As(err, &d)
}
