package upstreams

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/state"
)

func TestCallPassesRequestAndAnswer(t *testing.T) {
	is := is.New(t)
	var seen fasthttp.Request
	_, c := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Request.CopyTo(&seen)
		ctx.Response.Header.Set(engineapi.HeaderAttempt, "other")
		ctx.SetContentType("text/csv")
		status(418, "a,b")(ctx)
	})
	a, err := c.Call(t.Context(), e1, upstream.Call{
		Attempt: "a1", Method: "PATCH", Path: "/a%2Fb//c/../d?q=1", ContentType: "text/plain", Key: "k1",
		Headers: []upstream.Header{
			{Name: "X-Depot", Value: "nord"}, {Name: "Content-Length", Value: "1"}, {Name: "host", Value: "evil"},
			{Name: "Connection", Value: "upgrade"}, {Name: "Upgrade", Value: "websocket"}, {Name: "TE", Value: "trailers"},
			{Name: "Transfer-Encoding", Value: "chunked"}, {Name: "x-attempt-id", Value: "a9"}, {Name: "Idempotency-Key", Value: "k9"},
		},
		Body: []byte("swap"),
	})
	is.NoErr(err)
	is.Equal(a, upstream.Answer{Attempt: "other", Status: 418, ContentType: "text/csv", Body: []byte("a,b")})
	h := &seen.Header
	is.Equal(string(h.Method()), "PATCH")
	is.Equal(string(h.RequestURI()), "/a%2Fb//c/../d?q=1")
	is.Equal(string(h.ContentType()), "text/plain")
	is.Equal(string(h.Host()), e1.Addr)
	is.Equal(string(h.Peek("X-Depot")), "nord")
	is.Equal(string(h.Peek(engineapi.HeaderAttempt)), "a1")
	is.Equal(string(h.Peek(engineapi.HeaderKey)), "k1")
	for _, name := range []string{"Upgrade", "TE", "Transfer-Encoding"} {
		is.Equal(len(h.Peek(name)), 0)
	}
	is.Equal(string(seen.Body()), "swap")
}

func TestKeyedCallsHaveConnectionOfTheirOwn(t *testing.T) {
	is := is.New(t)
	s, c := serve(t, status(200, "ok"))
	call := func(key string) {
		_, err := c.Call(t.Context(), e1, upstream.Call{Method: "POST", Path: "/", Key: key})
		is.NoErr(err)
	}
	call("")
	call("")
	is.Equal(s.dials.Load(), int32(1))
	call("k1")
	call("k2")
	is.Equal(s.dials.Load(), int32(3))
}

func TestAnswerWithoutBodyOrContentType(t *testing.T) {
	is := is.New(t)
	_, c := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetNoDefaultContentType(true)
		ctx.SetBodyString("ok")
	})
	for range 2 {
		a, err := c.Call(t.Context(), e1, upstream.Call{Method: "HEAD", Path: "/"})
		is.NoErr(err)
		is.Equal(a, upstream.Answer{Status: 200})
	}
}

func TestRefusalOfAnotherAttemptIsNoRefusal(t *testing.T) {
	for attempt, refused := range map[string]bool{"": true, "a1": true, "a2": false} {
		is := is.New(t)
		rests := time.Duration(0)
		_, c := serveWith(t, Options{Backoff: func(_ state.Upstream, d time.Duration) { rests += d }}, func(ctx *fasthttp.RequestCtx) {
			if attempt != "" {
				ctx.Response.Header.Set(engineapi.HeaderAttempt, attempt)
			}
			ctx.Response.Header.Set("Retry-After", "3")
			status(503, "busy")(ctx)
		})
		_, err := c.Call(t.Context(), e1, upstream.Call{Attempt: "a1", Method: "GET", Path: "/"})
		var s *upstream.SendError
		is.True(errors.As(err, &s))
		is.Equal(s.Refused, refused)
		var st *StatusError
		is.True(errors.As(err, &st))
		is.Equal(*st, StatusError{Status: 503, Problem: "busy", RetryAfter: 3 * time.Second})
		is.Equal(rests > 0, refused) // of another attempt it says nothing
	}
}

func TestCallsThatAreNoHTTPAreNotSent(t *testing.T) {
	s, c := serve(t, status(200, "ok"))
	for _, q := range []upstream.Call{
		{Method: "GET / HTTP/1.1\r\n", Path: "/"},
		{Method: "", Path: "/"},
		{Method: "GET", Path: "x"},
		{Method: "GET", Path: "/ x"},
		{Method: "GET", Path: "/\r\nA: b"},
		{Method: "GET", Path: "/", Headers: []upstream.Header{{Name: "A:", Value: "b"}}},
		{Method: "GET", Path: "/", Headers: []upstream.Header{{Name: "A", Value: "b\r\nC: d"}}},
		{Method: "GET", Path: "/", Key: "k\n"},
		{Method: "GET", Path: "/", ContentType: "a\r\n"},
	} {
		is := is.New(t)
		_, err := c.Call(t.Context(), e1, q)
		is.True(upstream.NeverSent(err))
		var bad *CallError
		is.True(errors.As(err, &bad))
		is.Equal(s.dials.Load(), int32(0))
	}
}

func TestAnswerOverLimit(t *testing.T) {
	is := is.New(t)
	_, c := serveWith(t, Options{MaxAnswerBytes: 3}, status(200, "four"))
	_, err := c.Call(t.Context(), e1, upstream.Call{Method: "GET", Path: "/"})
	is.True(errors.Is(err, fasthttp.ErrBodyTooLarge))
	is.True(!upstream.NeverSent(err))
}
