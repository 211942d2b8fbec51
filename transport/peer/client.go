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
	"github.com/thymerack/thymerack/transport/wallclock"
)

// Defaults of the options of clients and servers.
const (
	DefaultDialTimeout    = 2 * time.Second
	DefaultGreetTimeout   = 5 * time.Second
	DefaultWriteTimeout   = 5 * time.Second
	DefaultSilenceTimeout = 10 * time.Second
	DefaultIdleTimeout    = time.Minute
)

// ClientOptions configure a Client. Zero durations and sizes take the defaults.
type ClientOptions struct {
	// Self is this host; it must be set.
	Self state.HostID
	// Key is the key that all hosts share; empty leaves connections open to
	// whoever reaches the listener.
	Key []byte
	// MaxBodyBytes is the largest body sent or taken.
	MaxBodyBytes int
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// DialTimeout and GreetTimeout bound the making of a connection.
	DialTimeout, GreetTimeout time.Duration
	// WriteTimeout bounds the writing of one frame.
	WriteTimeout time.Duration
	// SilenceTimeout ends a connection on which nothing is heard; a third of it
	// is the ping interval.
	SilenceTimeout time.Duration
	// IdleTimeout closes a connection that carried no call for that long.
	IdleTimeout time.Duration
	// Log takes notes of refused greetings; nil discards them.
	Log *slog.Logger
}

func (o *ClientOptions) fill() error {
	if o.Self.Zero() {
		return &OptionsError{Option: "Self", Problem: "names no host"}
	}
	if o.MaxBodyBytes < 0 {
		return &OptionsError{Option: "MaxBodyBytes", Problem: "is negative"}
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	setDefault(&o.MaxBodyBytes, peerapi.DefaultMaxBodyBytes)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.GreetTimeout, DefaultGreetTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.SilenceTimeout, DefaultSilenceTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	return nil
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Client calls peers. It keeps one connection to each address in use.
type Client struct {
	opts     ClientOptions
	stats    counters
	ctx      context.Context
	cancel   context.CancelFunc
	routines conc.WaitGroup

	mu     sync.Mutex
	closed bool
	slots  map[string]*slot
}

// slot is the one connection to an address, or the attempt to make it.
type slot struct {
	ready chan struct{}
	link  *clientLink // valid once ready is closed, nil on err
	err   error
}

// NewClient checks the options and returns a client.
func NewClient(o ClientOptions) (*Client, error) {
	if err := o.fill(); err != nil {
		return nil, err
	}
	c := &Client{opts: o, slots: map[string]*slot{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// Stats returns the running totals.
func (c *Client) Stats() Stats { return c.stats.stats() }

// Close ends all connections and waits for the client's goroutines. Calls in
// progress end with an *UnreachableError.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.routines.Wait()
}

// Call sends a request to the peer at addr and waits for its answer or the end
// of ctx. It is never repeated once a byte of it may have been sent. Errors are a
// *RemoteError, *UnreachableError (around *VersionError, *KeyError, a context's
// error and others) or *FrameTooLargeError.
func (c *Client) Call(ctx context.Context, addr string, kind peerapi.Kind, body []byte) ([]byte, error) {
	for {
		s, fresh, err := c.connect(ctx, addr)
		if err != nil {
			return nil, &UnreachableError{Addr: addr, Cause: err}
		}
		answer, err := s.link.call(ctx, kind, body)
		if fresh || ctx.Err() != nil || !neverSent(err) {
			return answer, err
		}
		// A pooled connection had ended and nothing was sent on it.
		c.drop(addr, s)
	}
}

// neverSent reports whether err proves that nothing was sent.
func neverSent(err error) bool {
	var u *UnreachableError
	return errors.As(err, &u) && !u.MaybeSent
}

// connect returns the connection to addr, making it if need be, and whether it
// was made for this call.
func (c *Client) connect(ctx context.Context, addr string) (*slot, bool, error) {
	s, fresh, err := c.slot(addr)
	if err != nil {
		return nil, false, err
	}
	select {
	case <-s.ready:
		return s, fresh, s.err
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

func (c *Client) slot(addr string) (*slot, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false, ErrClosed
	}
	if s := c.slots[addr]; s != nil {
		return s, false, nil
	}
	s := &slot{ready: make(chan struct{})}
	c.slots[addr] = s
	c.routines.Go(func() { c.run(addr, s) })
	return s, true, nil
}

// drop takes the slot out, so that the next call dials anew.
func (c *Client) drop(addr string, s *slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots[addr] == s {
		delete(c.slots, addr)
	}
}

// run makes the connection of a slot and serves it until it ends.
func (c *Client) run(addr string, s *slot) {
	l, err := c.dial(addr)
	if err != nil {
		s.err = err
		c.drop(addr, s)
		close(s.ready)
		return
	}
	s.link = l
	close(s.ready)
	c.stats.connections.Add(1)
	defer c.stats.connections.Add(-1)
	l.serve(c.ctx, func() { c.drop(addr, s) })
}

// dial connects and greets.
func (c *Client) dial(addr string) (*clientLink, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.DialTimeout)
	defer cancel()
	raw, err := c.opts.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn := countedConn{Conn: raw, counters: &c.stats}
	stop := context.AfterFunc(c.ctx, func() { _ = raw.Close() })
	defer stop()
	id := identity{self: c.opts.Self, key: c.opts.Key, maxBody: c.opts.MaxBodyBytes}
	theirs, err := id.greetServer(conn, c.opts.GreetTimeout)
	if err != nil {
		_ = raw.Close()
		c.stats.refused.Add(1)
		c.opts.Log.Warn("peer greeting failed", "addr", addr, "error", err)
		return nil, err
	}
	return newClientLink(c, addr, conn, theirs), nil
}

func newClientLink(c *Client, addr string, conn net.Conn, theirs peerapi.Hello) *clientLink {
	return &clientLink{
		link: link{
			conn: conn, reader: bufio.NewReader(conn), stats: &c.stats,
			maxBody: c.opts.MaxBodyBytes, peerMaxBody: theirs.MaxBodyBytes,
			writeTimeout: c.opts.WriteTimeout, silence: c.opts.SilenceTimeout,
			out: make(chan *queued, outgoingFrames), done: make(chan struct{}),
		},
		addr: addr, idle: c.opts.IdleTimeout,
		waiting: map[uint64]chan reply{}, lastCall: wallclock.Now(),
	}
}
