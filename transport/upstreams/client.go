package upstreams

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// Client reaches all upstreams. It is safe for concurrent use.
type Client struct {
	opts Options

	// peers is replaced whole by a writer that holds mu; readers only load it.
	peers atomic.Pointer[map[string]*peer]
	mu    sync.Mutex
}

var (
	_ upstream.Engines  = (*Client)(nil)
	_ upstream.Services = (*Client)(nil)
	_ upstream.Checker  = (*Client)(nil)
	_ upstream.Orders   = (*Client)(nil)
)

// peer holds the clients of one upstream's address.
type peer struct {
	// kept reuses its connections; once gives each attempt one of its own.
	kept, once *httpclient.Client
	// control and orders are their likes for all that isn't a caller's work, so
	// that a full pool neither fails a health check nor stops a cancel or an order.
	control, orders *httpclient.Client
}

// New returns a client; it makes no connection yet.
func New(o Options) (*Client, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	c := &Client{opts: o}
	c.peers.Store(&map[string]*peer{})
	return c, nil
}

// Retain drops the clients of all addresses but those of live. Attempts under
// way go on; unused connections are closed.
func (c *Client) Retain(live []state.Upstream) {
	keep := make(map[string]bool, len(live))
	for _, u := range live {
		keep[u.Addr] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := maps.Clone(*c.peers.Load())
	for addr, p := range next {
		if !keep[addr] {
			delete(next, addr)
			p.close()
		}
	}
	c.peers.Store(&next)
}

// Close drops the clients of all addresses.
func (c *Client) Close() { c.Retain(nil) }

func (p *peer) close() {
	p.kept.Close()
	p.once.Close()
	p.control.Close()
	p.orders.Close()
}

// peer returns the clients of an address and makes them at first use.
func (c *Client) peer(addr string) (*peer, error) {
	if p := (*c.peers.Load())[addr]; p != nil {
		return p, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	present := *c.peers.Load()
	if p := present[addr]; p != nil {
		return p, nil
	}
	p, err := c.newPeer(addr)
	if err != nil {
		return nil, err
	}
	next := maps.Clone(present)
	next[addr] = p
	c.peers.Store(&next)
	return p, nil
}

func (c *Client) newPeer(addr string) (*peer, error) {
	o := httpclient.Options{
		Addr:           addr,
		Dial:           c.opts.Dial,
		DialTimeout:    c.opts.DialTimeout,
		WriteTimeout:   c.opts.WriteTimeout,
		UserTimeout:    c.opts.UserTimeout,
		MaxConns:       c.opts.MaxConns,
		MaxIdle:        c.opts.MaxIdle,
		MaxHeaderBytes: maxHeaderBytes,
	}
	p := &peer{}
	var err error
	if p.kept, err = httpclient.New(o); err != nil {
		return nil, err
	}
	once := o
	once.SingleUse = true
	if p.once, err = httpclient.New(once); err != nil {
		return nil, err
	}
	control := o
	control.MaxConns = maxControlConns
	if p.control, err = httpclient.New(control); err != nil {
		return nil, err
	}
	orders := control
	orders.SingleUse = true
	orders.UserTimeout = c.opts.OrderTimeout
	if p.orders, err = httpclient.New(orders); err != nil {
		return nil, err
	}
	return p, nil
}

// exchange sends req through h and reads a whole answer within l.
func exchange(ctx context.Context, h *httpclient.Client, u state.Upstream, req *fasthttp.Request, resp *fasthttp.Response, l httpclient.Limits) error {
	req.Header.SetHost(u.Addr)
	if err := h.Do(ctx, req, resp, l); err != nil {
		return sendError(u, err)
	}
	return nil
}
