package httpclient

import (
	"context"
	"fmt"
	"net"
	"time"
)

// DialFunc makes a connection; it must honour ctx.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Options configures a Client. All limits must be positive.
type Options struct {
	// Addr is the server's ip:port.
	Addr string
	// Dial replaces the TCP dialler; nil means TCP.
	Dial DialFunc
	// Usable reports whether a connection that was kept may be used again; nil allows all.
	Usable func(c net.Conn) bool
	// LocalIP is the source address of TCP connections; nil lets the kernel choose.
	LocalIP net.IP
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// WriteTimeout bounds how long the server may take nothing of a request. The caller's context bounds the whole.
	WriteTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: how long sent data may stay
	// unacknowledged, or a keepalive probe unanswered, before the kernel drops
	// the connection and what it holds of it.
	UserTimeout time.Duration
	// KeepAlive is the time between two keepalive probes of a silent connection,
	// a whole number of seconds; 0 stands for the package's own times.
	KeepAlive time.Duration
	// KeepAliveCount is how many probes in a row may stay unanswered; 0 takes the
	// default.
	KeepAliveCount int
	// MaxConns bounds the open connections.
	MaxConns int
	// MaxIdle is how long an unused connection is kept. Keep it well below the
	// server's own limit.
	MaxIdle time.Duration
	// MaxHeaderBytes bounds the header of a response.
	MaxHeaderBytes int
	// SingleUse makes a connection for each attempt and closes it afterwards.
	SingleUse bool
}

// OptionError says which option is wrong.
type OptionError struct {
	Option string
	Remedy string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("http client: option %s: %s", e.Option, e.Remedy)
}

func (o Options) validate() error {
	if o.Addr == "" {
		return &OptionError{"Addr", "give the server's ip:port"}
	}
	limits := []struct {
		name  string
		value int64
	}{
		{"DialTimeout", int64(o.DialTimeout)},
		{"WriteTimeout", int64(o.WriteTimeout)},
		{"UserTimeout", int64(o.UserTimeout)},
		{"MaxConns", int64(o.MaxConns)},
		{"MaxIdle", int64(o.MaxIdle)},
		{"MaxHeaderBytes", int64(o.MaxHeaderBytes)},
	}
	for _, l := range limits {
		if l.value <= 0 {
			return &OptionError{l.name, "set a positive limit"}
		}
	}
	return nil
}
