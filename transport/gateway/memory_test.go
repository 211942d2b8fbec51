package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/bodies/bodypool"
	"github.com/thymerack/thymerack/coordination/forward"
)

const (
	testPoolBytes = 24 << 20
	// heapSlack allows for what isn't bodies: connections, and garbage that hasn't been collected.
	heapSlack = 8 << 20
)

// withPool bounds bodies to 4 MiB each and to testPoolBytes together.
func withPool(t *testing.T) func(*Options) {
	return func(o *Options) { o.MaxBodyBytes, o.Bodies = largeBody, bodypool.New(t, testPoolBytes) }
}

// post frames a request with a body.
func post(body []byte, isChunked bool) string {
	const head = "POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n"
	if isChunked {
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// Guards against requests under way that together exhaust a host's memory: at the bound a request waits, or is
// refused as not run with a time to come back, and small ones are served meanwhile.
func TestBodiesUnderWayAreBounded(t *testing.T) {
	const callers = 40
	var running, ran, served, refused, small atomic.Int64
	var most atomic.Int64
	_, addr := serve(t, func(_ context.Context, r *forward.Request) (*forward.Answer, error) {
		if len(r.Body) == largeBody {
			ran.Add(1)
			now := running.Add(1)
			defer running.Add(-1)
			if now == int64(testPoolBytes/largeBody)-1 {
				most.Store(heapInUse())
			}
			time.Sleep(100 * time.Millisecond)
		}
		return &forward.Answer{Head: &forward.Head{Status: 200}, Body: []byte("got")}, nil
	}, withPool(t))
	body := bytes.Repeat([]byte{'b'}, largeBody)
	requests := [][]byte{[]byte(post(body, false)), []byte(post(body, true))}
	before := heapInUse()
	var group sync.WaitGroup
	ask := func(request []byte, count *atomic.Int64) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := conn.Write(request); err != nil {
			t.Error(err)
			return
		}
		var resp fasthttp.Response
		if err := resp.Read(bufio.NewReader(conn)); err != nil {
			t.Error(err)
			return
		}
		switch {
		case resp.StatusCode() == 200:
			count.Add(1)
		case resp.StatusCode() == 503 && len(resp.Header.Peek("Retry-After")) > 0:
			refused.Add(1)
		default:
			t.Errorf("status %d, Retry-After %q", resp.StatusCode(), resp.Header.Peek("Retry-After"))
		}
	}
	for n := range callers {
		group.Go(func() { ask(requests[n%2], &served) })
		group.Go(func() { ask([]byte(post([]byte("small"), n%2 == 1)), &small) })
	}
	group.Wait()
	is := is.New(t)
	is.Equal(small.Load(), int64(callers))
	is.Equal(served.Load()+refused.Load(), int64(callers))
	is.Equal(ran.Load(), served.Load()) // what was refused hasn't run
	is.True(served.Load() >= testPoolBytes/largeBody-1)
	grown := most.Load() - before
	t.Logf("%d served, %d refused, heap grew by %d MB", served.Load(), refused.Load(), grown>>20)
	is.True(grown <= testPoolBytes+heapSlack)
}

// Guards against callers that send half of a body and stop, and keep others from being served.
func TestStalledBodiesMakeRoom(t *testing.T) {
	is := is.New(t)
	s, addr := serve(t, echo, withPool(t))
	body := bytes.Repeat([]byte{'b'}, largeBody)
	var stalled []net.Conn
	for n := range 5 {
		conn, _ := dial(t, addr)
		if _, err := io.WriteString(conn, post(body, n%2 == 1)[:largeBody/2]); err != nil {
			t.Fatal(err)
		}
		stalled = append(stalled, conn)
	}
	eventually(t, "the bodies are read", func() bool { return s.o.Bodies.Held() >= 5*largeBody })
	began := time.Now()
	for status := 503; status != 200; {
		conn, br := dial(t, addr)
		status, _ = exchange(t, conn, br, post(body, false))
		is.True(status == 200 || status == 503)
		is.True(time.Since(began) < stallTimeout+2*bodypool.MaxWait+time.Second)
	}
	for _, conn := range stalled {
		var resp fasthttp.Response
		is.NoErr(resp.Read(bufio.NewReader(conn)))
		is.Equal(resp.StatusCode(), fasthttp.StatusRequestTimeout) // not run
	}
}

// Guards against bodies that are read although their request is rejected or too late: none is held, the connection goes
// on, and callers learn at their deadline that the request didn't run.
func TestRejectedBodiesAreNotHeld(t *testing.T) {
	body := bytes.Repeat([]byte{'b'}, largeBody)
	for name, c := range map[string]struct {
		request string
		status  int
		keeps   bool
	}{
		"no route":         {strings.Replace(post(body, false), "/p/x", "/x", 1), 404, true},
		"no route chunks":  {strings.Replace(post(body, true), "/p/x", "/x", 1), 404, true},
		"no id":            {strings.Replace(post(body, false), "X-Id: 1\r\n", "", 1), 400, true},
		"too large":        {post(append(body, 'b'), false), 413, false},
		"chunks too large": {post(append(body, 'b'), true), 413, true},
		"late":             {post(body, false)[:largeBody/2], 408, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, addr := serve(t, func(ctx context.Context, r *forward.Request) (*forward.Answer, error) {
				if len(r.Body) > 0 {
					t.Error("dispatched")
				}
				return echo(ctx, r)
			}, withPool(t), func(o *Options) { o.Codec = hurriedCodec{} })
			conn, br := dial(t, addr)
			sent := make(chan error, 1)
			go func() {
				_, err := io.WriteString(conn, c.request)
				sent <- err
			}()
			status, _ := exchange(t, conn, br, "")
			is.Equal(status, c.status)
			eventually(t, "nothing is held", func() bool { return s.o.Bodies.Held() == 0 })
			if c.keeps {
				is.NoErr(<-sent)
				status, _ = exchange(t, conn, br, get)
				is.Equal(status, 200)
			}
		})
	}
}

// hurriedCodec gives each request a second.
type hurriedCodec struct{ testCodec }

func (c hurriedCodec) DecodeRequest(h *fasthttp.RequestHeader, r *forward.Request) time.Duration {
	c.testCodec.DecodeRequest(h, r)
	return time.Second
}

// Guards against a request that waits for memory without a trace of it.
func TestWaitForMemoryIsLoggedWithItsRequest(t *testing.T) {
	var e endings
	s, addr := serve(t, echo, withPool(t), observe(&e))
	held := s.o.Bodies.Reserve(0)
	if !held.TryGrow(testPoolBytes) {
		t.Fatal("no room")
	}
	conn, br := dial(t, addr)
	status, _ := exchange(t, conn, br, post(bytes.Repeat([]byte{'b'}, largeBody), false))
	held.Release()
	is := is.New(t)
	is.Equal(status, fasthttp.StatusServiceUnavailable)
	is.Equal(s.o.Bodies.Waits(), uint64(1))
	e.mu.Lock()
	defer e.mu.Unlock()
	is.True(strings.Contains(e.lines.String(), `msg="request waited for memory for its body" request_id=1 `))
	is.True(strings.Contains(e.lines.String(), `msg="no memory for a request's body" request_id=1 `))
}
