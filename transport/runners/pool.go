// Package runners sends attempts to runners, over connections that are kept for
// each run of a runner and never by its address or name alone.
package runners

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/coordination/reach"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// Codec writes attempts and reads responses in the runners' form.
type Codec interface {
	EncodeAttempt(a *forward.Attempt, req *fasthttp.Request)
	EncodeDiscard(handle string, req *fasthttp.Request)
	EncodeMove(id, target string, req *fasthttp.Request)
	// DecodeMove returns "" if the engine has no such run.
	DecodeMove(resp *fasthttp.Response) (string, error)
	EncodeProbe(id state.InstanceID, req *fasthttp.Request)
	// DecodeProbe reports whether that run answered.
	DecodeProbe(resp *fasthttp.Response, id state.InstanceID) bool
	DecodeHead(resp *fasthttp.Response) *forward.Head
	// OfRequest reports whether a response answers the request of that id.
	OfRequest(resp *fasthttp.Response, id string) bool
	// OfCall reports whether a response may answer a call of the host's own; it doesn't if it names a request.
	OfCall(resp *fasthttp.Response, req *fasthttp.Request) bool
	// Named reports whether a response names the request that it answers.
	Named(resp *fasthttp.Response) bool
	// IdleTimeout is how long the runner keeps an unused connection; 0: unknown.
	IdleTimeout(resp *fasthttp.Response) time.Duration
	PrefillHandle(body []byte) (string, error)
	// DecodeAdvice reads what an answer asks of hosts.
	DecodeAdvice(resp *fasthttp.Response) backpressure.Advice
}

// Conns bounds this host's connections to runners, as a *connlease.Table.
type Conns interface {
	// AcquireSoon takes a connection, for which it may wait some milliseconds, and reports whether one was free.
	AcquireSoon(ctx context.Context, i *state.Instance) bool
	// Holds reports whether the connections taken may still be used.
	Holds(i *state.Instance) bool
	// Release returns a connection.
	Release(i *state.Instance)
}

// Options configure a Pool. All fields are required.
type Options struct {
	Codec Codec
	// Conns bounds this host's connections to runners.
	Conns Conns
	// MaxHeaderBytes bounds the head of a response.
	MaxHeaderBytes int
	// Heard is told what each answer of a runner asks, before anybody reads the answer.
	// sentAt is before the request left; ofRequest is false for calls of the system's own.
	Heard func(i *state.Instance, sentAt time.Time, a backpressure.Advice, ofRequest bool)
	// Links keeps the states of this host's links to runners, and Paths makes connections to them.
	Links *reach.Tracker
	Paths Paths
}

const (
	// userTimeout drops a connection whose peer acknowledges nothing.
	userTimeout = 2 * time.Second
	keepAlive   = time.Second
	// maxIdle is used until a runner names its own limit.
	maxIdle = 4 * time.Second
	// idleShare of the runner's limit is how long a connection may be unused.
	idleShare = 0.5
	// discardTimeout bounds the freeing of a KV cache.
	discardTimeout = time.Second
	// maxConns is above every limit that Conns gives.
	maxConns = 1024
	// maxDirectConns suffices for the calls that one host at a time makes to an instance.
	maxDirectConns = 2
)

// errBusy says that this host's share of a runner's connections is used up.
var errBusy = errors.New("all connections of this host to the runner are in use; choose another runner")

// Pool keeps the connections to all instances. It is safe for concurrent use.
type Pool struct {
	o       Options
	checker *reach.Checker

	mu      sync.Mutex
	clients map[state.InstanceID]*client
}

// client is the connections to one instance.
type client struct {
	instance *state.Instance
	// http makes connections over the best path, and direct over this host's own link only. once and directOnce make one for
	// each call: a second answer to a call with an effect, which may come late, is taken for no other call's.
	http, direct, once, directOnce *httpclient.Client
}

var _ forward.Upstream = (*Pool)(nil)

// New returns a pool without connections.
func New(o Options) (*Pool, error) {
	if o.Codec == nil || o.Conns == nil || o.MaxHeaderBytes <= 0 || o.Heard == nil || o.Links == nil || o.Paths == nil {
		return nil, errors.New("runners: a field of Options is missing; set all of them")
	}
	p := &Pool{o: o, clients: map[state.InstanceID]*client{}}
	var err error
	p.checker, err = reach.NewChecker(reach.CheckerOptions{Tracker: o.Links, Prober: p, Clock: wallclock.Clock{}})
	return p, err
}

// Retain closes the connections of instances for which keep is false.
func (p *Pool) Retain(keep func(id state.InstanceID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.clients {
		if !keep(id) {
			c.http.Close()
			c.direct.Close()
			delete(p.clients, id)
		}
	}
}

func (p *Pool) client(i *state.Instance) (*client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[i.ID]; c != nil {
		return c, nil
	}
	c := &client{instance: i}
	var err error
	if c.http, err = p.newHTTP(i, maxConns, false, p.o.Paths.Connect); err != nil {
		return nil, fmt.Errorf("connect to runner %s: %w", i.ID, err)
	}
	if c.direct, err = p.newHTTP(i, maxDirectConns, false, p.connectDirect); err != nil {
		return nil, fmt.Errorf("connect to runner %s: %w", i.ID, err)
	}
	if c.once, err = p.newHTTP(i, maxConns, true, p.o.Paths.Connect); err != nil {
		return nil, fmt.Errorf("connect to runner %s: %w", i.ID, err)
	}
	if c.directOnce, err = p.newHTTP(i, maxDirectConns, true, p.connectDirect); err != nil {
		return nil, fmt.Errorf("connect to runner %s: %w", i.ID, err)
	}
	p.clients[i.ID] = c
	return c, nil
}

// newHTTP returns a client of the instance that makes connections by connect.
func (p *Pool) newHTTP(i *state.Instance, conns int, singleUse bool, connect func(context.Context, *state.Instance) (net.Conn, error)) (*httpclient.Client, error) {
	return httpclient.New(httpclient.Options{
		Addr: i.Addr, Dial: func(ctx context.Context, _ string) (net.Conn, error) { return connect(ctx, i) },
		DialTimeout: connectTimeout, WriteTimeout: userTimeout, UserTimeout: userTimeout, KeepAlive: keepAlive,
		MaxConns: conns, MaxIdle: maxIdle, MaxHeaderBytes: p.o.MaxHeaderBytes, SingleUse: singleUse,
		Usable: func(c net.Conn) bool {
			_, isTunneled := c.(tunneled)
			return !isTunneled || p.o.Links.State(i.ID) != reach.Direct
		},
	})
}

// connectDirect connects over this host's own link.
func (p *Pool) connectDirect(ctx context.Context, i *state.Instance) (net.Conn, error) {
	c, _, err := p.o.Paths.ConnectDirect(ctx, i)
	return c, err
}

// CloseIdle closes the unused connections to an instance, after the state of the link to it has changed.
func (p *Pool) CloseIdle(id state.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[id]; c != nil {
		c.http.Close()
	}
}

// Trim closes unused connections to an instance until there are at most limit or all are in use.
func (p *Pool) Trim(i *state.Instance, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[i.ID]; c != nil {
		c.http.Trim(limit)
	}
}

// Send implements forward.Upstream.
func (p *Pool) Send(ctx context.Context, a *forward.Attempt) (forward.Response, error) {
	c, err := p.client(a.Instance)
	if err != nil {
		return nil, &forward.SendError{Cause: err}
	}
	if !p.o.Conns.AcquireSoon(ctx, a.Instance) {
		return nil, &forward.SendError{Withheld: true, Cause: errBusy}
	}
	req := &fasthttp.Request{}
	p.o.Codec.EncodeAttempt(a, req)
	limits := httpclient.Limits{
		Timeout:      a.TimeLeft + responseSlack,
		MaxBodyBytes: 1,
		Permit:       p.permit(a),
		Stray: func(resp *fasthttp.Response, marked bool) bool {
			return !p.o.Codec.OfRequest(resp, a.Request.ID) || marked && !p.o.Codec.Named(resp)
		},
	}
	p.checker.CheckIfDue(a.Instance)
	sentAt := wallclock.Now()
	watched, endWatch := context.WithCancel(ctx)
	p.checker.Watch(watched, a.Instance, a.Request.Generation != nil, sentAt)
	stream, err := c.http.Stream(ctx, req, limits)
	endWatch()
	if err != nil {
		p.o.Conns.Release(a.Instance)
		return nil, p.sendError(c, sentAt, err)
	}
	if !p.o.Codec.Named(stream.Response) {
		stream.MarkUnnamed()
	}
	t, isTunneled := stream.Conn().(tunneled)
	if isTunneled {
		a.Tunnel, _ = t.Tunnel()
	}
	p.o.Links.Heard(a.Instance, !isTunneled)
	p.heard(a.Instance, sentAt, stream.Response, true)
	if idle := p.o.Codec.IdleTimeout(stream.Response); idle > 0 {
		c.http.SetMaxIdle(time.Duration(float64(idle) * idleShare))
	}
	head := p.o.Codec.DecodeHead(stream.Response)
	head.Bodiless = stream.Response.BodyStream() == nil
	return &response{stream: stream, head: head, client: c, conns: p.o.Conns, links: p.o.Links, tunneled: isTunneled}, nil
}

// permit returns what is asked before the attempt is written: the host may have been suspended since it took the
// connection, so that it no longer has it.
func (p *Pool) permit(a *forward.Attempt) func() error {
	return func() error {
		if !p.o.Conns.Holds(a.Instance) {
			return errBusy
		}
		if a.Permit == nil {
			return nil
		}
		return a.Permit()
	}
}

// responseSlack is how much longer than the request's own time a response is
// waited for; the context ends the attempt before.
const responseSlack = 100 * time.Millisecond

// tunneled is a connection that leads through another host.
type tunneled interface{ Tunnel() (id, peer string) }

// sendError returns the error of a call that got no response, and draws on it for the state of the link.
func (p *Pool) sendError(c *client, sentAt time.Time, err error) error {
	var failed *httpclient.Error
	if !errors.As(err, &failed) {
		return &forward.SendError{Sent: true, Cause: err}
	}
	var noPath *reach.NoPathError
	known := errors.As(err, &noPath) && noPath.Known
	if failed.Sent && !errors.Is(failed.Cause, context.Canceled) && p.checker.Broken(c.instance, sentAt) {
		c.http.Close()
	}
	return &forward.SendError{Sent: failed.Sent, Withheld: known || errors.Is(err, httpclient.ErrBusy) || errors.Is(err, errBusy) || errors.Is(err, forward.ErrRunnerClosed), Cause: failed.Cause}
}

// PrefillHandle implements forward.Upstream.
func (p *Pool) PrefillHandle(body []byte) (string, error) { return p.o.Codec.PrefillHandle(body) }

// Discard implements forward.Upstream.
func (p *Pool) Discard(source *forward.KVSource) error {
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	p.o.Codec.EncodeDiscard(source.Handle, req)
	return p.Do(ctx, source.Instance, req, resp, discardTimeout)
}

// Move implements forward.Upstream.
func (p *Pool) Move(ctx context.Context, from *state.Instance, id string, to *state.Instance) (string, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	p.o.Codec.EncodeMove(id, to.Addr, req)
	if err := p.Do(ctx, from, req, resp, moveTimeout); err != nil {
		return "", err
	}
	return p.o.Codec.DecodeMove(resp)
}

// moveTimeout is above what a move within a region takes; the context ends it before.
const moveTimeout = time.Second

// Alive implements forward.Upstream.
func (p *Pool) Alive(ctx context.Context, i *state.Instance) bool {
	return p.Probe(ctx, i) == crash.Alive
}

// Status implements forward.Upstream.
func (p *Pool) Status(ctx context.Context, i *state.Instance) crash.RunStatus { return p.Probe(ctx, i) }

// Probe asks a run whether it is there. It has ended if another run answers at its address, or if
// nothing listens there for any host that was asked; see reach.NoPathError.RunEnded.
func (p *Pool) Probe(ctx context.Context, i *state.Instance) crash.RunStatus {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	p.o.Codec.EncodeProbe(i.ID, req)
	err := p.Do(ctx, i, req, resp, moveTimeout)
	var noPath *reach.NoPathError
	switch {
	case err == nil && p.o.Codec.DecodeProbe(resp, i.ID):
		return crash.Alive
	case err == nil, errors.As(err, &noPath) && noPath.RunEnded() && !p.o.Paths.ReachedByOthers(ctx, i, noPath.Peers):
		return crash.Ended
	default:
		return crash.Silent
	}
}

// Do makes a call of the system's own at an instance and reads the whole answer.
func (p *Pool) Do(ctx context.Context, i *state.Instance, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	c, err := p.client(i)
	if err != nil {
		return &forward.SendError{Cause: err}
	}
	l := httpclient.Limits{Timeout: timeout, MaxBodyBytes: maxAnswerBytes}
	if !req.Header.IsGet() {
		return p.call(ctx, c, c.once, req, resp, l)
	}
	l.Stray = func(resp *fasthttp.Response, _ bool) bool { return !p.o.Codec.OfCall(resp, req) } // requests share the connections
	return p.call(ctx, c, c.http, req, resp, l)
}

// call makes a call of the system's own by one of the client's clients.
func (p *Pool) call(ctx context.Context, c *client, h *httpclient.Client, req *fasthttp.Request, resp *fasthttp.Response, l httpclient.Limits) error {
	req.Header.SetHost(c.instance.Addr)
	l.Unnamed = true
	sentAt := wallclock.Now()
	if err := h.Do(ctx, req, resp, l); err != nil {
		return p.sendError(c, sentAt, err)
	}
	p.o.Links.Heard(c.instance, false)
	p.heard(c.instance, sentAt, resp, false)
	return nil
}

// Direct makes calls over this host's own links only. An engine takes orders that another host passes on for
// those of another holder.
type Direct struct{ Pool *Pool }

// Do makes a call at an instance and reads the whole answer.
func (d Direct) Do(ctx context.Context, i *state.Instance, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	return d.DoIf(ctx, i, req, resp, timeout, nil)
}

// DoIf is Do for a call that leaves only if permit, asked last, allows it.
func (d Direct) DoIf(ctx context.Context, i *state.Instance, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration, permit func() error) error {
	c, err := d.Pool.client(i)
	if err != nil {
		return &forward.SendError{Cause: err}
	}
	h := c.direct
	if !req.Header.IsGet() {
		h = c.directOnce
	}
	return d.Pool.call(ctx, c, h, req, resp, httpclient.Limits{Timeout: timeout, MaxBodyBytes: maxAnswerBytes, Permit: permit})
}

// heard tells what an answer asks. It is the one place for answers of all kinds. One that was
// misdirected may be another runner's at the address, of which nothing is known by it.
func (p *Pool) heard(i *state.Instance, sentAt time.Time, resp *fasthttp.Response, ofRequest bool) {
	if resp.StatusCode() != fasthttp.StatusMisdirectedRequest {
		p.o.Heard(i, sentAt, p.o.Codec.DecodeAdvice(resp), ofRequest)
	}
}

// maxAnswerBytes bounds answers to the system's own calls; a report with some
// hundred runs has about 20 KB.
const maxAnswerBytes = 1 << 20

// response is a forward.Response of an httpclient stream.
type response struct {
	stream *httpclient.Stream
	head   *forward.Head
	client *client
	conns  Conns
	links  *reach.Tracker
	// tunneled is set if the response arrives through another host.
	tunneled bool
	ended    atomic.Bool
}

// Head implements forward.Response.
func (r *response) Head() *forward.Head { return r.head }

// Read implements forward.Response.
func (r *response) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	if errors.Is(err, httpclient.ErrUnframed) {
		err = forward.ErrUnframed
	}
	return n, err
}

// Finish implements forward.Response.
func (r *response) Finish() {
	r.stream.Finish()
	r.end()
}

// Abort implements forward.Response.
func (r *response) Abort() {
	r.stream.Cut()
	r.end()
}

// LinkLost implements forward.Response.
func (r *response) LinkLost() bool {
	return !r.tunneled && r.links.Silent(r.client.instance.ID)
}

func (r *response) end() {
	if !r.ended.Swap(true) {
		r.conns.Release(r.client.instance)
	}
}
