package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const (
	chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	oneChunk      = "3\r\nabc\r\n"
	lastChunk     = "0\r\n\r\n"
)

// openStream starts a stream whose server sends one chunk and then waits; the
// channel gives how the server saw the connection end.
func openStream(t *testing.T, ctx context.Context) (*Client, *Stream, <-chan error) {
	t.Helper()
	end := make(chan error, 1)
	addr := listen(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		readRequest(br)
		_, _ = io.WriteString(c, chunkedHeader+oneChunk)
		_, err := br.ReadByte()
		end <- err
	})
	c := newClient(t, testOptions(addr))
	s, err := c.Stream(ctx, request(fasthttp.MethodPost), testLimits)
	is.New(t).NoErr(err)
	var b [16]byte
	n, err := s.Read(b[:])
	is.New(t).NoErr(err)
	is.New(t).Equal(string(b[:n]), "abc")
	return c, s, end
}

func TestCutEndsReadAndConnection(t *testing.T) {
	is := is.New(t)
	c, s, end := openStream(t, t.Context())
	var cutting sync.WaitGroup
	for range 3 {
		cutting.Go(s.Cut)
	}
	var b [16]byte
	_, err := s.Read(b[:])
	is.True(errors.Is(err, ErrClosed))
	cutting.Wait()
	s.Finish()
	is.True(errors.Is(<-end, syscall.ECONNRESET))
	is.Equal(c.Conns(), 0)
}

func TestContextEndsStream(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	c, s, end := openStream(t, ctx)
	cancel()
	var b [16]byte
	_, err := s.Read(b[:])
	is.True(errors.Is(err, context.Canceled))
	is.True(errors.Is(<-end, syscall.ECONNRESET))
	s.Cut()
	is.Equal(c.Conns(), 0)
}

func TestStreamCutShortIsNoEnd(t *testing.T) {
	is := is.New(t)
	addr := listen(t, func(_ int, c *net.TCPConn) {
		readRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, chunkedHeader+oneChunk)
	})
	c := newClient(t, testOptions(addr))
	s, err := c.Stream(t.Context(), request(fasthttp.MethodGet), testLimits)
	is.NoErr(err)
	_, err = io.ReadAll(s)
	var e *Error
	is.True(errors.As(err, &e))
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	s.Cut()
	is.Equal(c.Conns(), 0)
}

func TestFinishKeepsConnectionOfWholeBody(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	addr := listen(t, func(_ int, c *net.TCPConn) {
		conns.Add(1)
		br := bufio.NewReader(c)
		for readRequest(br) {
			_, _ = io.WriteString(c, chunkedHeader+oneChunk+lastChunk)
		}
	})
	c := newClient(t, testOptions(addr))
	for range 3 {
		s, err := c.Stream(t.Context(), request(fasthttp.MethodGet), testLimits)
		is.NoErr(err)
		var b [3]byte
		_, err = io.ReadFull(s, b[:])
		is.NoErr(err)
		s.Finish()
		s.Cut()
	}
	is.Equal(conns.Load(), int32(1))
	is.Equal(c.Conns(), 1)
}

func TestFinishCutsBodyThatGoesOn(t *testing.T) {
	is := is.New(t)
	c, s, end := openStream(t, t.Context())
	s.Finish()
	is.True(<-end != nil)
	is.Equal(c.Conns(), 0)
}

// Guards against a body that may have been broken off being read as a whole one: only a length or the last
// chunk shows that nothing is missing.
func TestReadTellsHowTheBodyEnded(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		response string
		reset    bool
		want     error // nil: not a particular one
		whole    bool
	}{
		"length":             {response: status + "Content-Length: 3\r\n\r\nabc", whole: true},
		"short of length":    {response: status + "Content-Length: 4\r\n\r\nabc", want: io.ErrUnexpectedEOF},
		"chunks":             {response: chunkedHeader + oneChunk + lastChunk, whole: true},
		"without last chunk": {response: chunkedHeader + oneChunk, want: io.ErrUnexpectedEOF},
		"inside a chunk":     {response: chunkedHeader + "4\r\nabc", want: io.ErrUnexpectedEOF},
		"inside trailers":    {response: chunkedHeader + oneChunk + "0\r\nA: b\r\n"},
		"unframed":           {response: status + "\r\nabc", want: ErrUnframed},
		"unframed, empty":    {response: status + "\r\n", want: ErrUnframed},
		"unframed, HTTP/1.0": {response: "HTTP/1.0 200 OK\r\n\r\nabc", want: ErrUnframed},
		"unframed, reset":    {response: status + "\r\nabc", reset: true, want: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan struct{})
			allow := sync.OnceFunc(func() { close(received) })
			defer allow()
			addr := listen(t, func(_ int, conn *net.TCPConn) {
				readRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, c.response)
				if c.reset {
					<-received // a reset drops what wasn't read
					_ = conn.SetLinger(0)
				}
			})
			s, err := newClient(t, testOptions(addr)).Stream(t.Context(), request(fasthttp.MethodGet), testLimits)
			is.NoErr(err)
			defer s.Cut()
			var body []byte
			for err == nil {
				var b [16]byte
				var n int
				n, err = s.Read(b[:])
				if body = append(body, b[:n]...); len(body) == 3 {
					allow()
				}
			}
			is.Equal(err == io.EOF, c.whole)
			if c.want != nil {
				is.True(errors.Is(err, c.want))
			}
			is.True(strings.HasPrefix("abc", string(body)))
		})
	}
}

// writeFailsFirst is a connection whose second read waits until a write has failed.
type writeFailsFirst struct {
	net.Conn
	reads  int
	failed chan struct{}
}

func (c *writeFailsFirst) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed)
	}
	return n, err
}

func (c *writeFailsFirst) Read(p []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.failed
	}
	return c.Conn.Read(p)
}

// Guards against a reset that is told to the writer of the request alone: the reader of an unframed body took the end of the
// connection for an end in order.
func TestResetThatAWriteMeetsIsNoEndOfABody(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	addr := listen(t, func(_ int, c *net.TCPConn) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nabc")
		<-received // a reset drops what wasn't read
		_ = c.SetLinger(0)
	})
	o := testOptions(addr)
	o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := o.DialTCP(ctx, addr)
		return &writeFailsFirst{Conn: c, failed: make(chan struct{})}, err
	}
	req := request(fasthttp.MethodPost)
	req.SetBody(make([]byte, 64<<20)) // more than sockets take
	s, err := newClient(t, o).Stream(t.Context(), req, testLimits)
	is.NoErr(err)
	defer s.Cut()
	close(received)
	body, err := io.ReadAll(s)
	is.Equal(string(body), "abc")
	is.True(errors.Is(err, syscall.ECONNRESET))
}
