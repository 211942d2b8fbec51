package peer

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
)

// Defaults of a server's options.
const (
	DefaultMaxConnections = 1024
	DefaultMaxRunning     = 256
	DefaultDrainTimeout   = 5 * time.Second
)

// acceptPause is the wait after a failed accept, such as too many open files.
const acceptPause = 50 * time.Millisecond

// ServerOptions configure a Server. Zero durations and sizes take the defaults.
type ServerOptions struct {
	// Self is this host; it must be set.
	Self state.HostID
	// Key is the key that all hosts share; empty accepts whoever has none.
	Key []byte
	// MaxBodyBytes is the largest body sent or taken.
	MaxBodyBytes int
	// GreetTimeout bounds a greeting, WriteTimeout the writing of one frame.
	GreetTimeout, WriteTimeout time.Duration
	// SilenceTimeout ends a connection on which nothing is heard.
	SilenceTimeout time.Duration
	// MaxConnections bounds open connections; further ones are closed at once.
	MaxConnections int
	// MaxRunning bounds the requests running for one connection.
	MaxRunning int
	// DrainTimeout is how long running requests may go on once Serve's context
	// has ended.
	DrainTimeout time.Duration
	// Log takes notes of refused greetings; nil discards them.
	Log *slog.Logger
}

func (o *ServerOptions) fill() error {
	if o.Self.Zero() {
		return &OptionsError{Option: "Self", Problem: "names no host"}
	}
	if o.MaxBodyBytes < 0 || o.MaxConnections < 0 || o.MaxRunning < 0 {
		return &OptionsError{Option: "MaxBodyBytes, MaxConnections or MaxRunning", Problem: "is negative"}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	setDefault(&o.MaxBodyBytes, peerapi.DefaultMaxBodyBytes)
	setDefault(&o.GreetTimeout, DefaultGreetTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.SilenceTimeout, DefaultSilenceTimeout)
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.MaxRunning, DefaultMaxRunning)
	setDefault(&o.DrainTimeout, DefaultDrainTimeout)
	return nil
}

// Handler answers one request of the host from. Its context ends when the caller
// no longer waits. A *RemoteError goes back as it is, any other error with
// peerapi.CodeFailed.
type Handler func(ctx context.Context, from state.HostID, body []byte) ([]byte, error)

// Server answers the calls of peers.
type Server struct {
	opts  ServerOptions
	stats counters

	mu       sync.RWMutex
	handlers map[peerapi.Kind]Handler
}

// NewServer checks the options and returns a server without handlers.
func NewServer(o ServerOptions) (*Server, error) {
	if err := o.fill(); err != nil {
		return nil, err
	}
	return &Server{opts: o, handlers: map[peerapi.Kind]Handler{}}, nil
}

// Handle sets the handler of a kind; it may be called while serving.
func (s *Server) Handle(kind peerapi.Kind, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = h
}

func (s *Server) handler(kind peerapi.Kind) Handler {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.handlers[kind]
}

// Stats returns the running totals.
func (s *Server) Stats() Stats { return s.stats.stats() }

// Serve accepts connections until ctx ends, then lets running requests finish
// within DrainTimeout and returns nil. The listener is closed when it returns.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close()
		close(closed)
	})
	defer func() {
		if stop() {
			_ = ln.Close()
			return
		}
		<-closed // Accept fails before the address is free again
	}()
	var sessions conc.WaitGroup
	defer sessions.Wait()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.opts.Log.Warn("peer accept failed", "error", err)
			pause(ctx, acceptPause)
			continue
		}
		sessions.Go(func() { s.ServeConn(ctx, conn) })
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// ServeConn greets and serves one connection until it ends or ctx does.
func (s *Server) ServeConn(ctx context.Context, raw net.Conn) {
	defer func() { _ = raw.Close() }()
	if s.stats.connections.Add(1) > int64(s.opts.MaxConnections) {
		s.stats.connections.Add(-1)
		return
	}
	defer s.stats.connections.Add(-1)
	conn := countedConn{Conn: raw, counters: &s.stats}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	id := identity{self: s.opts.Self, key: s.opts.Key, maxBody: s.opts.MaxBodyBytes}
	theirs, err := id.greetClient(conn, s.opts.GreetTimeout)
	if !stop() {
		return // ctx ended during the greeting
	}
	if err != nil {
		s.stats.refused.Add(1)
		s.opts.Log.Warn("peer greeting refused", "addr", addrOf(raw), "error", err)
		return
	}
	newSession(s, conn, theirs).serve(ctx)
}

func newSession(s *Server, conn net.Conn, theirs peerapi.Hello) *session {
	return &session{
		link: link{
			conn: conn, reader: bufio.NewReader(conn), stats: &s.stats,
			maxBody: s.opts.MaxBodyBytes, peerMaxBody: theirs.MaxBodyBytes,
			writeTimeout: s.opts.WriteTimeout, silence: s.opts.SilenceTimeout,
			out: make(chan *queued, outgoingFrames), done: make(chan struct{}),
		},
		server: s, from: theirs.Host, running: map[uint64]context.CancelFunc{},
	}
}
