package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const slowBodyBytes = 4 << 20

// Guards against a large body that is cut off although its server goes on reading it, and against a server that stops reading and
// keeps its connection.
func TestLargeBodiesMayTakeLongWhileTheServerReads(t *testing.T) {
	for name, stops := range map[string]bool{"reads on": false, "stops reading": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := testOptions("server")
				o.WriteTimeout = time.Second
				o.Dial = func(context.Context, string) (net.Conn, error) {
					client, server := net.Pipe()
					go serveSlowly(server, stops)
					return client, nil
				}
				c, err := New(o)
				is.NoErr(err)
				defer time.Sleep(3 * o.MaxIdle) // until the library's goroutine ends
				defer c.Close()
				req := request(fasthttp.MethodPost)
				req.SetBody(make([]byte, slowBodyBytes))
				began := time.Now()
				err = c.Do(t.Context(), req, &fasthttp.Response{}, Limits{Timeout: time.Minute, MaxBodyBytes: 1024})
				took := time.Since(began)
				var stalled *StalledError
				is.Equal(errors.As(err, &stalled), stops) // the log names the cause, not the closed connection
				is.Equal(err != nil, stops)
				is.True(took > o.WriteTimeout) // 4 s for the whole body
				if stops {
					is.True(took < 4*o.WriteTimeout)
				}
			})
		})
	}
}

// serveSlowly reads 64 KiB of a request in 62.5 ms, and answers once it has it; one that stops reads half of the body.
func serveSlowly(c net.Conn, stops bool) {
	defer func() { _ = c.Close() }()
	part := make([]byte, 64<<10)
	for left := slowBodyBytes; left > 0; left -= len(part) {
		if stops && left <= slowBodyBytes/2 {
			time.Sleep(time.Minute)
			return
		}
		time.Sleep(time.Second / 16)
		if _, err := io.ReadFull(c, part); err != nil {
			return
		}
	}
	go func() { _, _ = io.WriteString(c, okResponse) }()
	_, _ = io.Copy(io.Discard, bufio.NewReader(c)) // the header's length, and until the client leaves
}
