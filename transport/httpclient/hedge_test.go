package httpclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// hedgeServer hands the nth request of all to serve, which writes what the server says to it.
func hedgeServer(t *testing.T, serve func(n int64, c net.Conn)) (*Client, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	requests := &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for br := bufio.NewReader(c); ; {
					var req fasthttp.Request
					if req.Read(br) != nil {
						return
					}
					serve(requests.Add(1), c)
				}
			}()
		}
	}()
	c, err := New(Options{Addr: ln.Addr().String(), DialTimeout: time.Second, WriteTimeout: time.Second, UserTimeout: time.Second, MaxConns: 4, MaxIdle: time.Second, MaxHeaderBytes: 4096})
	if err != nil {
		t.Fatal(err)
	}
	return c, requests
}

func answerOK(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }

// hedgeTimeout is the timeout of the requests: what they wait for comes much sooner.
const hedgeTimeout = 20 * time.Second

func doHedged(t *testing.T, c *Client) (string, error) {
	t.Helper()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("/x")
	req.Header.SetHost("server")
	err := c.DoHedged(t.Context(), &req, &resp, Limits{Timeout: hedgeTimeout, MaxBodyBytes: 1 << 20})
	return string(resp.Body()), err
}

// Guards against a request that a silent server has lost and that is waited for although the server answers again.
func TestLostRequestIsSentAgain(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	soundFrom := began.Add(1500 * time.Millisecond)
	c, _ := hedgeServer(t, func(_ int64, conn net.Conn) {
		if time.Now().After(soundFrom) {
			answerOK(conn)
		}
	})
	got, err := doHedged(t, c)
	is.NoErr(err)
	is.Equal(got, "ok")
	is.True(time.Since(soundFrom) < 5*time.Second) // far less than the timeout
}

// Guards against a slow server's answer that is lost because the request is given up or sent again too often.
func TestSlowServerIsWaitedFor(t *testing.T) {
	is := is.New(t)
	c, requests := hedgeServer(t, func(_ int64, conn net.Conn) {
		time.Sleep(2 * time.Second)
		answerOK(conn)
	})
	got, err := doHedged(t, c)
	is.NoErr(err)
	is.Equal(got, "ok")
	is.True(requests.Load() <= 5)
}

// Guards against further requests for an answer whose bytes are coming, which would load the server the more the slower its
// link is.
func TestAnswerUnderWayIsNotAskedForAgain(t *testing.T) {
	is := is.New(t)
	c, requests := hedgeServer(t, func(_ int64, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
		for range 10 {
			time.Sleep(150 * time.Millisecond)
			_, _ = io.WriteString(conn, "x")
		}
	})
	got, err := doHedged(t, c)
	is.NoErr(err)
	is.Equal(got, "xxxxxxxxxx")
	is.Equal(requests.Load(), int64(1))
}
