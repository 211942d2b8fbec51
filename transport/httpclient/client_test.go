package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// listen runs handle for each TCP connection, with its number from 0, and closes
// the connection after it. It returns the server's address.
func listen(t testing.TB, handle func(n int, c *net.TCPConn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer c.Close()
				handle(n, c.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		running.Wait()
	})
	return ln.Addr().String()
}

// readRequest reads one request and reports whether there was one.
func readRequest(br *bufio.Reader) bool {
	var req fasthttp.Request
	return req.Read(br) == nil
}

func testOptions(addr string) Options {
	return Options{
		Addr: addr, DialTimeout: time.Minute, WriteTimeout: time.Minute, UserTimeout: 7 * time.Second,
		MaxConns: 4, MaxIdle: time.Minute, MaxHeaderBytes: 4096,
	}
}

func newClient(t testing.TB, o Options) *Client {
	t.Helper()
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func request(method string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.Header.SetRequestURI("/x")
	req.Header.SetHost("test")
	if method == fasthttp.MethodPost {
		req.SetBodyString("body")
	}
	return req
}

var testLimits = Limits{Timeout: time.Minute, MaxBodyBytes: 1 << 20}

func do(ctx context.Context, c *Client, method string) error {
	var resp fasthttp.Response
	return c.Do(ctx, request(method), &resp, testLimits)
}

// check asserts that err is an *Error of that Sent and that no connection is left.
func check(t *testing.T, c *Client, err error, sent bool) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want an *Error", err)
	}
	if e.Sent != sent {
		t.Errorf("Sent is %v, want %v: %v", e.Sent, sent, err)
	}
	if n := c.Conns(); n != 0 {
		t.Errorf("%d connections are left", n)
	}
}

func TestServerSeesRequestOnce(t *testing.T) {
	for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost, fasthttp.MethodPut} {
		for _, kept := range []bool{false, true} {
			t.Run(method, func(t *testing.T) {
				var seen atomic.Int32
				addr := listen(t, func(_ int, c *net.TCPConn) {
					br := bufio.NewReader(c)
					if kept && readRequest(br) {
						_, _ = io.WriteString(c, okResponse)
					}
					if readRequest(br) {
						seen.Add(1)
					}
				})
				c := newClient(t, testOptions(addr))
				if kept {
					is.New(t).NoErr(do(t.Context(), c, method))
				}
				check(t, c, do(t.Context(), c, method), true)
				is.New(t).Equal(seen.Load(), int32(1))
			})
		}
	}
}

func TestNothingSentWhenConnectionCannotBeMade(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	_ = ln.Close()
	c := newClient(t, testOptions(ln.Addr().String()))
	check(t, c, do(t.Context(), c, fasthttp.MethodPost), false)
}

func TestDialEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	o := testOptions("unused")
	o.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c := newClient(t, o)
	err := do(ctx, c, fasthttp.MethodPost)
	check(t, c, err, false)
	is.New(t).True(errors.Is(err, context.Canceled))
}

func TestDialTimeoutIsNotTheCallersDeadline(t *testing.T) {
	o := testOptions("unused")
	o.DialTimeout = time.Nanosecond
	o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c := newClient(t, o)
	err := do(t.Context(), c, fasthttp.MethodPost)
	check(t, c, err, false)
	var late *DialTimeoutError
	is.New(t).True(errors.As(err, &late))
	is.New(t).True(!errors.Is(err, context.DeadlineExceeded))
}

// brokenConn fails its first write after n bytes.
type brokenConn struct {
	net.Conn
	n int
}

func (b brokenConn) Write([]byte) (int, error) { return b.n, syscall.EPIPE }

func TestFailedWriteTellsWhetherBytesLeft(t *testing.T) {
	for _, n := range []int{0, 1} {
		o := testOptions("unused")
		o.Dial = func(context.Context, string) (net.Conn, error) {
			a, b := net.Pipe()
			t.Cleanup(func() { _ = b.Close() })
			return brokenConn{a, n}, nil
		}
		c := newClient(t, o)
		check(t, c, do(t.Context(), c, fasthttp.MethodPost), n > 0)
	}
}

// lastWriteFails fails every write after the first, before any byte.
type lastWriteFails struct {
	net.Conn
	writes int
}

func (c *lastWriteFails) Write(p []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

func TestBytesOfEarlierAttemptDoNotCount(t *testing.T) {
	addr := listen(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for readRequest(br) {
			_, _ = io.WriteString(c, okResponse)
		}
	})
	o := testOptions(addr)
	o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		nc, err := d.DialContext(ctx, "tcp", addr)
		return &lastWriteFails{Conn: nc}, err
	}
	c := newClient(t, o)
	is.New(t).NoErr(do(t.Context(), c, fasthttp.MethodPost))
	check(t, c, do(t.Context(), c, fasthttp.MethodPost), false)
}

func TestConnectionWithStrayResponseIsNotUsed(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	addr := listen(t, func(_ int, c *net.TCPConn) {
		conns.Add(1)
		br := bufio.NewReader(c)
		for readRequest(br) {
			_, _ = io.WriteString(c, okResponse+okResponse)
		}
	})
	c := newClient(t, testOptions(addr))
	is.NoErr(do(t.Context(), c, fasthttp.MethodGet))
	is.Equal(c.Conns(), 0)
	is.NoErr(do(t.Context(), c, fasthttp.MethodGet))
	is.Equal(conns.Load(), int32(2))
}

func TestContextCutsWaitingAttempt(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	addr := listen(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		readRequest(br)
		cancel()
		_, err := br.ReadByte()
		end <- err
	})
	c := newClient(t, testOptions(addr))
	err := do(ctx, c, fasthttp.MethodPost)
	check(t, c, err, true)
	is.True(errors.Is(err, context.Canceled))
	// A reset and not an orderly close: the kernel keeps nothing to deliver.
	is.True(errors.Is(<-end, syscall.ECONNRESET))
}

func TestIdleConnectionClosedByServerIsNotUsed(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var dialled []*net.TCPConn
	var seen atomic.Int32
	addr := listen(t, func(n int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for readRequest(br) {
			seen.Add(1)
			_, _ = io.WriteString(c, okResponse)
			if n == 0 {
				return
			}
		}
	})
	o := testOptions(addr)
	o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		nc, err := d.DialContext(ctx, "tcp", addr)
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			dialled = append(dialled, nc.(*net.TCPConn))
		}
		return nc, err
	}
	c := newClient(t, o)
	is.NoErr(do(t.Context(), c, fasthttp.MethodPost))
	awaitReadable(t, dialled[0])
	is.NoErr(do(t.Context(), c, fasthttp.MethodPost))
	is.NoErr(do(t.Context(), c, fasthttp.MethodPost))
	is.Equal(seen.Load(), int32(3))
	is.Equal(len(dialled), 2) // the second connection is kept
}

// awaitReadable waits until the kernel has something to read, or the end.
func awaitReadable(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	is.New(t).NoErr(err)
	_ = c.SetReadDeadline(time.Time{})
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return e != unix.EAGAIN
	})
	is.New(t).NoErr(err)
}

func TestSingleUseMakesConnectionPerAttempt(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	addr := listen(t, func(_ int, c *net.TCPConn) {
		conns.Add(1)
		br := bufio.NewReader(c)
		for readRequest(br) {
			_, _ = io.WriteString(c, okResponse)
		}
	})
	o := testOptions(addr)
	o.SingleUse = true
	c := newClient(t, o)
	is.NoErr(do(t.Context(), c, fasthttp.MethodPost))
	is.Equal(c.Conns(), 0)
	is.NoErr(do(t.Context(), c, fasthttp.MethodPost))
	is.Equal(c.Conns(), 0)
	is.Equal(conns.Load(), int32(2))
}

func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	addr := listen(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		readRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = br.ReadByte()
	})
	o := testOptions(addr)
	o.MaxConns = 1
	c := newClient(t, o)
	s, err := c.Stream(t.Context(), request(fasthttp.MethodGet), testLimits)
	is.NoErr(err)
	err = do(t.Context(), c, fasthttp.MethodGet)
	is.True(errors.Is(err, ErrBusy))
	s.Cut()
	check(t, c, err, false)
}

func TestUnusableResponses(t *testing.T) {
	responses := map[string]string{
		"cut header":  "HTTP/1.1 200 OK\r\nContent-Le",
		"cut body":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
		"cut chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"large body":  "HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n",
		"large chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n",
		"not HTTP":    "hello\r\n\r\n",
		"status 000":  "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"status 600":  "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
		"switching":   "HTTP/1.1 101 OK\r\nContent-Length: 2\r\n\r\nok",
		"long status": "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
		"version":     "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"empty line":  "\r\n" + okResponse,
		"blank name":  "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"folded line": "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 1\r\nContent-Length: 2\r\n\r\nok",
		"bare LF":     "HTTP/1.1 200 OK\r\nContent-Length: 2\n\n\r\n\r\n",
		"interim":     "HTTP/1.1 100 Continue\r\n\r\n",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			addr := listen(t, func(_ int, c *net.TCPConn) {
				br := bufio.NewReader(c)
				readRequest(br)
				_, _ = io.WriteString(c, response)
			})
			c := newClient(t, testOptions(addr))
			check(t, c, do(t.Context(), c, fasthttp.MethodGet), true)
		})
	}
}

func TestSilentServerTimesOut(t *testing.T) {
	addr := listen(t, func(_ int, c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
	})
	c := newClient(t, testOptions(addr))
	var resp fasthttp.Response
	err := c.Do(t.Context(), request(fasthttp.MethodGet), &resp, Limits{Timeout: time.Millisecond, MaxBodyBytes: 1})
	check(t, c, err, true)
	var e *Error
	is.New(t).True(errors.As(err, &e) && e.TimedOut())
}

func TestUserTimeoutIsSet(t *testing.T) {
	is := is.New(t)
	addr := listen(t, func(_ int, c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	c := newClient(t, testOptions(addr))
	x, err := c.acquire(t.Context())
	is.NoErr(err)
	defer x.release(false)
	raw, err := x.conn.Conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		is.NoErr(err)
		is.Equal(ms, 7000)
	}))
}
