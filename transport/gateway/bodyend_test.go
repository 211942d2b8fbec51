package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/state"
)

// endingUpstream answers with a stream of the given bytes and end.
type endingUpstream struct {
	forward.Upstream
	body string
	end  error
}

func (u endingUpstream) Send(context.Context, *forward.Attempt) (forward.Response, error) {
	return &endingResponse{endingUpstream: u}, nil
}

func (endingUpstream) Status(context.Context, *state.Instance) crash.RunStatus { return crash.Alive }

type endingResponse struct{ endingUpstream }

func (r *endingResponse) Head() *forward.Head {
	return &forward.Head{Status: 200, EventStream: true, Signed: true}
}

func (r *endingResponse) Read(p []byte) (int, error) {
	if r.body == "" {
		return 0, r.end
	}
	n := copy(p, r.body)
	r.body = r.body[n:]
	return n, nil
}

func (r *endingResponse) Finish()        {}
func (r *endingResponse) Abort()         {}
func (r *endingResponse) LinkLost() bool { return false }

// Guards against a caller that can't tell a broken stream from a complete one by the framing of its answer,
// whichever framing its request asks for.
func TestCallersSeeThatAStreamBroke(t *testing.T) {
	const event, part = "id: 1\ndata: a\n\n", "id: 2\nda"
	for name, c := range map[string]struct {
		upstream endingUpstream
		whole    bool
	}{
		"whole, framed":       {endingUpstream{body: event, end: io.EOF}, true},
		"whole, unframed":     {endingUpstream{body: event, end: forward.ErrUnframed}, true},
		"broken, framed":      {endingUpstream{body: event + part, end: io.EOF}, false},
		"broken, unframed":    {endingUpstream{body: event + part, end: forward.ErrUnframed}, false},
		"broken after a read": {endingUpstream{body: event, end: errors.New("reset")}, false},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			for _, connection := range []string{"keep-alive", "close"} {
				t.Run(fmt.Sprint(name, " ", version, " ", connection), func(t *testing.T) {
					is := is.New(t)
					_, addr := serveUpstream(t, c.upstream, 1<<20)
					conn, err := net.Dial("tcp", addr)
					is.NoErr(err)
					defer conn.Close()
					_, err = fmt.Fprintf(conn, "GET /p/1 HTTP/%s\r\nHost: a.example\r\nConnection: %s\r\nX-Id: 1\r\n\r\n", version, connection)
					is.NoErr(err)
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					is.NoErr(err)
					body, err := io.ReadAll(resp.Body)
					is.Equal(err == nil && resp.StatusCode == http.StatusOK, c.whole)
					if c.whole {
						is.Equal(string(body), event)
					}
					if version == "1.0" {
						is.True(resp.ContentLength >= 0)
						is.Equal(len(resp.TransferEncoding), 0)
					}
				})
			}
		}
	}
}
