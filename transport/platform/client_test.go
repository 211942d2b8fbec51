package platform

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/protocol/platformapi"
	"github.com/thymerack/thymerack/state"
)

// server is a scripted platform in memory that notes what it was asked.
type server struct {
	ln     *fasthttputil.InmemoryListener
	answer fasthttp.RequestHandler

	mu   sync.Mutex
	seen []string
}

// serve runs a platform that answers each request by answer.
func serve(t *testing.T, answer fasthttp.RequestHandler) *server {
	t.Helper()
	s := &server{ln: fasthttputil.NewInmemoryListener(), answer: answer}
	srv := &fasthttp.Server{Handler: s.handle, Logger: log.New(io.Discard, "", 0)}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(s.ln) }()
	t.Cleanup(func() {
		_ = s.ln.Close()
		<-done
	})
	return s
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	line := string(ctx.Method()) + " " + string(ctx.RequestURI())
	if len(ctx.PostBody()) > 0 {
		line += " " + string(ctx.PostBody())
	}
	s.seen = append(s.seen, line)
	s.mu.Unlock()
	s.answer(ctx)
}

// requests returns what was asked so far.
func (s *server) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seen...)
}

func (s *server) dial(context.Context, string) (net.Conn, error) { return s.ln.Dial() }

func newClient(t *testing.T, s *server, o Options) *Client {
	t.Helper()
	o.Addr, o.Caller, o.Timeout, o.RetryWait = "10.0.0.1:80", "h1", time.Minute, time.Microsecond
	if o.Dial == nil {
		o.Dial = s.dial
	}
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// status answers every request with a status and a body.
func status(code int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(code)
		ctx.SetBodyString(body)
	}
}

// cut reads the request and closes the connection without an answer.
func cut(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func put(ctx context.Context, c *Client) error {
	_, err := c.Put(ctx, "explain", "n", 3, []byte("v"))
	return err
}

func remove(ctx context.Context, c *Client) error { return c.Delete(ctx, "explain", "n", 3) }

func get(ctx context.Context, c *Client) error {
	_, err := c.Get(ctx, "explain", "n")
	return err
}

func list(ctx context.Context, c *Client) error {
	_, _, err := c.List(ctx, "explain")
	return err
}

func watch(ctx context.Context, c *Client) error {
	_, err := c.Watch(ctx, "explain", 3)
	return err
}

func hosts(ctx context.Context, c *Client) error {
	_, _, err := c.Hosts(ctx)
	return err
}

// operation is one call of the client.
type operation func(context.Context, *Client) error

// outcome names the kind of an error.
func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrNotFound):
		return "not found"
	case store.IsConflict(err):
		return "conflict"
	case store.IsUnknownOutcome(err):
		return "unknown"
	case store.IsUnavailable(err):
		return "no effect"
	case errors.Is(err, context.Canceled):
		return "context"
	default:
		return "another error: " + err.Error()
	}
}

func TestOutcomesOfAnswers(t *testing.T) {
	writes := []operation{put, remove}
	reads := []operation{get, list}
	waits := []operation{watch, hosts}
	for _, c := range []struct {
		name   string
		answer fasthttp.RequestHandler
		ops    []operation
		want   string
		calls  int // of one operation
	}{
		{"404 write", status(404, `{}`), writes, "not found", 1},
		{"404 read", status(404, `{}`), reads, "not found", 1},
		{"409", status(409, `{"version":9}`), writes, "conflict", 1},
		{"409 unreadable", status(409, `<`), writes, "no effect", 1},
		{"400 write", status(400, `{}`), writes, "no effect", 1},
		{"400 read", status(400, `{}`), reads, "no effect", 1},
		{"429 write", status(429, `{}`), writes, "no effect", 1},
		{"429 read", status(429, `{}`), reads, "no effect", 1},
		{"429 wait", status(429, `{}`), waits, "no effect", 1},
		{"503 write", status(503, `{}`), writes, "no effect", 1},
		{"503 read", status(503, `{}`), reads, "no effect", 3},
		{"500 write", status(500, `{}`), writes, "unknown", 1},
		{"504 write", status(504, `{}`), writes, "unknown", 1},
		{"500 read", status(500, `{}`), reads, "no effect", 3},
		{"unreadable write", status(200, `{"ver`), writes, "unknown", 1},
		{"unreadable read", status(200, `{"ver`), reads, "no effect", 3},
		{"cut write", cut, writes, "unknown", 1},
		{"cut read", cut, reads, "no effect", 3},
		{"cut wait", cut, waits, "no effect", 1},
		{"put without version", status(200, `{}`), []operation{put}, "unknown", 1},
		{"get of another", status(200, `{"kind":"explain","name":"m","version":1}`), []operation{get}, "no effect", 1},
	} {
		for _, op := range c.ops {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				s := serve(t, c.answer)
				is.Equal(outcome(op(t.Context(), newClient(t, s, Options{}))), c.want)
				is.Equal(len(s.requests()), c.calls)
			})
		}
	}
}

func TestConflictTellsPresentVersion(t *testing.T) {
	is := is.New(t)
	c := newClient(t, serve(t, status(409, `{"error":"conflict","version":9}`)), Options{})
	var conflict *store.ConflictError
	is.True(errors.As(put(t.Context(), c), &conflict))
	is.Equal(*conflict, store.ConflictError{Kind: "explain", Name: "n", Expected: 3, Actual: 9})
}

func TestNoConnectionHasNoEffect(t *testing.T) {
	for _, op := range []operation{put, remove, get, list, watch, hosts} {
		c := newClient(t, nil, Options{Dial: func(context.Context, string) (net.Conn, error) {
			return nil, errors.New("refused")
		}})
		is.New(t).Equal(outcome(op(t.Context(), c)), "no effect")
	}
}

func TestContextEndsCalls(t *testing.T) {
	for _, c := range []struct {
		op   operation
		want string
	}{
		{put, "unknown"}, {remove, "unknown"}, {get, "context"},
		{list, "context"}, {watch, "context"}, {hosts, "context"},
	} {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		hold := make(chan struct{})
		s := serve(t, func(*fasthttp.RequestCtx) {
			cancel()
			<-hold
		})
		client := newClient(t, s, Options{})
		err := c.op(ctx, client)
		is.Equal(outcome(err), c.want)
		is.True(errors.Is(err, context.Canceled))
		is.Equal(outcome(c.op(ctx, client)), "context") // nothing is sent any more
		is.Equal(len(s.requests()), 1)
		close(hold)
	}
}

func TestReadIsRetriedUntilItSucceeds(t *testing.T) {
	const object = `{"kind":"explain","name":"n","version":4,"value":"dg=="}`
	is := is.New(t)
	calls := 0
	s := serve(t, func(ctx *fasthttp.RequestCtx) {
		calls++
		if calls < 3 {
			status(503, `{}`)(ctx)
			return
		}
		status(200, object)(ctx)
	})
	c := newClient(t, s, Options{})
	o, err := c.Get(t.Context(), "explain", "n")
	is.NoErr(err)
	is.Equal(o, store.Object{Kind: "explain", Name: "n", Version: 4, Value: []byte("v")})
	is.Equal(c.Stats().Get, OpStats{Calls: 3, Failures: 2, BytesReceived: uint64(2 + 2 + len(object))})
}

func TestRequestsAndAnswers(t *testing.T) {
	is := is.New(t)
	caller := ""
	s := serve(t, func(ctx *fasthttp.RequestCtx) {
		caller = string(ctx.Request.Header.Peek(platformapi.HeaderCaller))
		switch string(ctx.Path()) {
		case "/v1/hosts":
			status(200, `{"revision":8,"hosts":[{"name":"e1","kind":"engine","state":"live"}]}`)(ctx)
		case "/v1/objects/order":
			status(200, `{"revision":7,"objects":[{"kind":"order","name":"e1","version":2,"value":"dg=="}]}`)(ctx)
		case "/v1/watch/order":
			status(200, `{"revision":9,"events":[{"object":{"kind":"order","name":"e1","version":9,"value":"dg=="},"deleted":true}]}`)(ctx)
		default:
			status(200, `{"version":7}`)(ctx)
		}
	})
	c := newClient(t, s, Options{WatchWait: 1500 * time.Millisecond})
	v, err := c.Put(t.Context(), "order", "a/b c", 0, []byte("value"))
	is.NoErr(err)
	is.Equal(v, uint64(7))
	is.NoErr(c.Delete(t.Context(), "order", "e1", 7))
	objects, revision, err := c.List(t.Context(), "order")
	is.NoErr(err)
	is.Equal(revision, uint64(7))
	is.Equal(objects, []store.Object{{Kind: "order", Name: "e1", Version: 2, Value: []byte("v")}})
	b, err := c.Watch(t.Context(), "order", 7)
	is.NoErr(err)
	is.Equal(b, store.Batch{Revision: 9, Events: []store.Event{
		{Object: store.Object{Kind: "order", Name: "e1", Version: 9}, Deleted: true},
	}})
	b, err = c.Watch(t.Context(), "order", 10)
	is.NoErr(err)
	is.True(b.Gap) // the platform went back
	listed, changed, err := c.Hosts(t.Context())
	is.NoErr(err)
	is.True(changed)
	is.Equal(c.listed.revision, uint64(8))
	is.Equal(listed, []state.Listed{{Name: "e1", Kind: state.ListedEngine, State: state.ListedLive}})
	is.Equal(caller, "h1")
	is.Equal(s.requests(), []string{
		"PUT /v1/objects/order/a%2Fb%20c?if_version=0 value",
		"DELETE /v1/objects/order/e1?if_version=7",
		"GET /v1/objects/order",
		"GET /v1/watch/order?after=7&wait_ms=1500",
		"GET /v1/watch/order?after=10&wait_ms=1500",
		"GET /v1/hosts?after=0&wait_ms=1500",
	})
}

func TestValueOverLimitIsNotSent(t *testing.T) {
	is := is.New(t)
	s := serve(t, status(200, `{"version":1}`))
	c := newClient(t, s, Options{MaxValueBytes: 2})
	_, err := c.Put(t.Context(), "order", "e1", 0, []byte("abc"))
	var large *ValueTooLargeError
	is.True(errors.As(err, &large))
	is.Equal(outcome(err), "no effect")
	is.Equal(len(s.requests()), 0)
}
