package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/auth"
	"github.com/thymerack/thymerack/coordination/bodies/bodypool"
	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/quota"
	"github.com/thymerack/thymerack/coordination/routing"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/callerconn"
)

// idHeader is the test codec's header of a request's id.
const idHeader = "X-Id"

// keyHeader is the test codec's header of a caller's key.
const keyHeader = "X-Key"

// testKeys knows one key.
type testKeys struct{}

func (testKeys) Check(_ context.Context, _ time.Time, key []byte) (*state.Customer, error) {
	switch string(key) {
	case "depot's":
		return &state.Customer{Name: "depot"}, nil
	case "unproven":
		return nil, &auth.UnprovenError{RetryAfter: 250 * time.Millisecond}
	default:
		return nil, &auth.UnknownKeyError{}
	}
}

type testCodec struct{}

func (testCodec) DecodeRequest(h *fasthttp.RequestHeader, r *forward.Request) time.Duration {
	r.ID = string(h.Peek(idHeader))
	return 0
}

func (testCodec) RequestID(h *fasthttp.RequestHeader) string { return string(h.Peek(idHeader)) }

func (testCodec) Key(h *fasthttp.RequestHeader) ([]byte, bool) { return h.Peek(keyHeader), true }

type dispatcherFunc func(ctx context.Context, r *forward.Request) (*forward.Answer, error)

func (f dispatcherFunc) Forward(ctx context.Context, r *forward.Request) (*forward.Answer, error) {
	return f(ctx, r)
}

type noObserver struct{}

func (noObserver) Answered(*forward.Request, int, time.Duration) {}
func (noObserver) Rejected(string)                               {}
func (noObserver) ConnectionEnded(callerconn.Cause)              {}

func testTable() *routing.Table {
	return routing.NewTable(&state.RoutingConfig{Version: 1, Routes: []state.Route{{
		Name: "r", Host: "a.example", Prefix: "/p/", Kind: state.RouteSafe, Timeout: 5 * time.Second, MaxAttempts: 2,
		Backends: []state.Backend{{Service: "s", Weight: 1}},
	}}})
}

// serve starts a server and returns it with its address.
func serve(t *testing.T, d dispatcherFunc, set ...func(*Options)) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveOn(t, ln, d, set...), ln.Addr().String()
}

// serveOn starts a server for the connections of ln.
func serveOn(t *testing.T, ln net.Listener, d dispatcherFunc, set ...func(*Options)) *Server {
	t.Helper()
	o := Options{
		Codec: testCodec{}, Dispatcher: d, Keys: testKeys{}, Table: testTable, Observer: noObserver{}, Log: slog.New(slog.DiscardHandler),
		MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxConnections: 100, Bodies: bodypool.New(t, 64<<20),
	}
	for _, f := range set {
		f(&o)
	}
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-served
	})
	return s
}

func echo(_ context.Context, r *forward.Request) (*forward.Answer, error) {
	head := &forward.Head{Status: 200, Headers: []forward.Header{{Name: "X-Seen", Value: r.URI}}}
	return &forward.Answer{Head: head, Body: append([]byte("got "), r.Body...)}, nil
}

// exchange sends text and returns the response's status and body; the connection
// stays open.
func exchange(t *testing.T, conn net.Conn, br *bufio.Reader, text string) (int, string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	if err := resp.Read(br); err != nil {
		t.Fatalf("no response: %v", err)
	}
	return resp.StatusCode(), string(resp.Body())
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

const get = "GET /p/x?q=%41 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n"

func TestLeavingServerClosesUnusedConnections(t *testing.T) {
	is := is.New(t)
	s, addr := serve(t, echo)
	conn, br := dial(t, addr)
	status, _ := exchange(t, conn, br, get)
	is.Equal(status, 200)
	s.Leave(Departure{TurnedAway: time.Now().Add(time.Minute), End: time.Now().Add(time.Hour)})
	deadline := time.Now().Add(5 * time.Second)
	for s.Active() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	closer := time.NewTicker(5 * time.Millisecond)
	defer closer.Stop()
	done := make(chan error, 1)
	go func() {
		_, err := br.ReadByte()
		done <- err
	}()
	for {
		select {
		case err := <-done:
			is.Equal(err, io.EOF) // closed between requests, in order
			return
		case <-closer.C:
			s.CloseUnused()
		}
	}
}

func TestRequestUnderWayIsServedWhileLeaving(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	s, addr := serve(t, func(ctx context.Context, r *forward.Request) (*forward.Answer, error) {
		close(entered)
		<-release
		return echo(ctx, r)
	})
	conn, br := dial(t, addr)
	_, err := io.WriteString(conn, get)
	is.NoErr(err)
	<-entered
	s.Leave(Departure{TurnedAway: time.Now().Add(time.Minute), End: time.Now().Add(time.Hour)})
	s.CloseUnused()
	close(release)
	var resp fasthttp.Response
	is.NoErr(resp.Read(br))
	is.Equal(resp.StatusCode(), 200)
	is.True(resp.ConnectionClose()) // the caller is sent elsewhere
}

func TestTargetAndBodyPassUnchanged(t *testing.T) {
	is := is.New(t)
	_, addr := serve(t, func(ctx context.Context, r *forward.Request) (*forward.Answer, error) {
		is.Equal(r.URI, "/p/x?q=%41")
		return echo(ctx, r)
	})
	conn, br := dial(t, addr)
	status, body := exchange(t, conn, br, "POST /p/x?q=%41 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	is.Equal(status, 200)
	is.Equal(body, "got abc")
}

func TestAmbiguousFramingIsRefused(t *testing.T) {
	head := "POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n"
	for name, text := range map[string]string{
		"length and chunks":      head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":            head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
		"signed length":          head + "Content-Length: +2\r\n\r\nab",
		"folded line":            head + "X-A: b\r\n c\r\nContent-Length: 0\r\n\r\n",
		"bare line end":          head + "X-A: b\nContent-Length: 0\r\n\r\n",
		"space before the colon": head + "Content-Length : 0\r\n\r\n",
		"another encoding":       head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"bad chunk":              head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
		"absolute target":        strings.Replace(head, "/p/x", "http://a.example/p/x", 1) + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, addr := serve(t, func(context.Context, *forward.Request) (*forward.Answer, error) {
				t.Error("dispatched")
				return nil, &forward.Refusal{}
			})
			conn, br := dial(t, addr)
			status, _ := exchange(t, conn, br, text)
			is.Equal(status/100, 4)
			_, err := br.ReadByte()
			is.Equal(err, io.EOF) // nothing behind it is read as a request
		})
	}
}

func TestRefusalSaysNotRunOnlyIfTrue(t *testing.T) {
	for _, c := range []struct {
		refusal forward.Refusal
		status  int
		retry   string
	}{
		{forward.Refusal{Reason: forward.ReasonFull, NotRun: true, RetryAfter: 40 * time.Millisecond}, 503, "0.040"},
		{forward.Refusal{Reason: forward.ReasonUnknown}, 502, ""},
		{forward.Refusal{Reason: forward.ReasonQuota, NotRun: true, RetryAfter: 1500 * time.Millisecond, Cause: &quota.ExceededError{}}, 429, "1.500"},
		{forward.Refusal{Reason: forward.ReasonQuotaUndecided, NotRun: true, RetryAfter: 50 * time.Millisecond, Cause: &quota.UndecidedError{}}, 503, "0.050"},
		{forward.Refusal{Reason: forward.ReasonCrashes, NotRun: true, Cause: &quarantine.HeldError{Crashes: 2}}, 503, ""},
		{forward.Refusal{Reason: forward.ReasonCrashes, Cause: &quarantine.HeldError{Crashes: 2}}, 502, ""},
		{forward.Refusal{Reason: forward.ReasonDeadline}, 504, ""},
	} {
		is := is.New(t)
		_, addr := serve(t, func(context.Context, *forward.Request) (*forward.Answer, error) { return nil, &c.refusal })
		conn, br := dial(t, addr)
		_, err := io.WriteString(conn, get)
		is.NoErr(err)
		var resp fasthttp.Response
		is.NoErr(resp.Read(br))
		is.Equal(resp.StatusCode(), c.status)
		is.Equal(string(resp.Header.Peek("Retry-After")), c.retry)
	}
}

func TestWorkEndsSoonAfterItsCallerLeft(t *testing.T) {
	is := is.New(t)
	entered, ended := make(chan struct{}), make(chan time.Time, 1)
	_, addr := serve(t, func(ctx context.Context, r *forward.Request) (*forward.Answer, error) {
		close(entered)
		<-ctx.Done()
		ended <- time.Now()
		return nil, &forward.Refusal{Reason: forward.ReasonCancelled}
	})
	conn, _ := dial(t, addr)
	_, err := io.WriteString(conn, get)
	is.NoErr(err)
	<-entered
	left := time.Now()
	is.NoErr(conn.Close())
	is.True((<-ended).Sub(left) < 450*time.Millisecond) // the platform allows half a second
}

// Guards against a request that is passed on late in the grace period, since its head came early, and is cut at the end.
func TestLeavingServerRefusesBodiesThatCannotBeServedToTheEnd(t *testing.T) {
	body := strings.Repeat("b", 2*prefetchBytes)
	for name, c := range map[string]struct {
		head, first, rest string
	}{
		"length": {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body[:prefetchBytes+1], body[prefetchBytes+1:]},
		"chunks": {"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n", len(body)), body + "\r\n0\r\n\r\n"},
	} {
		for end, want := range map[time.Duration]int{2 * time.Second: 503, time.Minute: 200} { // the route's time is 5 s
			t.Run(fmt.Sprint(name, ", ", want), func(t *testing.T) {
				is := is.New(t)
				var dispatched atomic.Int64
				s, addr := serve(t, func(ctx context.Context, r *forward.Request) (*forward.Answer, error) {
					dispatched.Add(1)
					return echo(ctx, r)
				})
				conn, br := dial(t, addr)
				_, err := io.WriteString(conn, "POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n"+c.head+c.first)
				is.NoErr(err)
				eventually(t, "the body is read", func() bool { return s.readingBodies() == 1 })
				s.Leave(Departure{TurnedAway: time.Now(), End: time.Now().Add(end)})
				_, err = io.WriteString(conn, c.rest)
				is.NoErr(err)
				var resp fasthttp.Response
				is.NoErr(resp.Read(br))
				is.Equal(resp.StatusCode(), want)
				is.Equal(dispatched.Load() == 1, want == 200)
				is.Equal(len(resp.Header.Peek("Retry-After")) > 0, want == 503)
				eventually(t, "the body's memory is released", func() bool { return s.o.Bodies.Held() == 0 })
			})
		}
	}
}

// readingBodies counts the bodies that are being read.
func (s *Server) readingBodies() (n int) {
	s.reading.Range(func(any, any) bool {
		n++
		return true
	})
	return n
}

func TestLeavingServerRefusesWhatItCannotFinish(t *testing.T) {
	is := is.New(t)
	dispatched := 0
	s, addr := serve(t, func(ctx context.Context, r *forward.Request) (*forward.Answer, error) {
		dispatched++
		return echo(ctx, r)
	})
	conn, br := dial(t, addr)
	// The route's time is 5 s.
	s.Leave(Departure{TurnedAway: time.Now().Add(-time.Second), End: time.Now().Add(2 * time.Second)})
	_, err := io.WriteString(conn, get)
	is.NoErr(err)
	var resp fasthttp.Response
	is.NoErr(resp.Read(br))
	is.Equal(resp.StatusCode(), 503)
	is.True(len(resp.Header.Peek("Retry-After")) > 0)
	is.Equal(dispatched, 0)
	s.Leave(Departure{TurnedAway: time.Now().Add(-time.Second), End: time.Now().Add(time.Minute)})
	conn, br = dial(t, addr)
	status, _ := exchange(t, conn, br, get)
	is.Equal(status, 200)
}
