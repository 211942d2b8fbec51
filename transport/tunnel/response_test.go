package tunnel

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/reach"
	"github.com/thymerack/thymerack/state"
)

// Guards against a request that is cut when the host that carries it leaves while its runner is silent: its tunnel
// counts as in use until the whole response has passed, and no longer than a second after that.
func TestTunnelOfASilentRunnerIsInUseUntilItsResponseIsWhole(t *testing.T) {
	for name, response := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nevent: 1\r\n\r\n",
		"no body":     "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"no content":  "HTTP/1.1 204 No Content\r\n\r\n",
		"chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\n\r\n0\r\n\r\nB\r\ndata: b\n\n12\r\n0\r\n\r\n",
		"interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"until close": "HTTP/1.1 200 OK\r\n\r\ndata: 1",
		"no response": "0\r\n\r\n\r\n\r\n",
	} {
		for silentAfter := range len(response) + 1 {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, c, runner := newPipedTunnel(t)
				go func() { _, _ = io.Copy(io.Discard, c) }()
				for range 2 { // the second request of a connection is as the first
					is.Equal(s.Busy(), 0)
					exchange(t, c, runner, response[:silentAfter])
					s.Leave()
					time.Sleep(1200 * time.Millisecond)
					whole := silentAfter == len(response) && !strings.Contains("until close, no response", name)
					is.Equal(s.Busy() == 0, whole) // after so much of the response
					if !whole {
						break
					}
				}
			})
		}
	}
}

// Guards against a host that waits for the body of a response to HEAD until the end of its grace.
func TestResponseToHeadHasNoBody(t *testing.T) {
	is := is.New(t)
	var r responses
	is.True(r.pass([]byte("HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n"), true))
	is.True(!r.pass([]byte("HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n"), false))
}

// Guards against a host whose memory and processor are taken by chunks of a few bytes: each made a copy of all that had come.
func TestSmallChunksAreNotCopied(t *testing.T) {
	is := is.New(t)
	var r responses
	is.True(!r.pass([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), false))
	chunks := []byte(strings.Repeat("8\r\n: c\n: c\n\r\n", maxChunk/13))
	is.Equal(testing.AllocsPerRun(10, func() { r.pass(chunks, false) }), 0.0)
	for _, part := range []string{"8\r", "\n: c\n: c\n", "\r\n0", "\r\n"} { // parts of lines are kept
		is.True(!r.pass([]byte(part), false))
	}
	is.True(r.pass([]byte("\r\n"), false))
}

// exchange sends a request through a tunnel, and a part of the response.
func exchange(t *testing.T, c, runner net.Conn, response string) {
	is := is.New(t)
	go func() { _, _ = c.Write([]byte("POST")) }()
	_, err := io.ReadFull(runner, make([]byte, 4))
	is.NoErr(err)
	_, err = io.WriteString(runner, response)
	is.NoErr(err)
	synctest.Wait()
}

// newPipedTunnel returns a server with one tunnel, unused for longer than busyWindow, and its ends.
func newPipedTunnel(t *testing.T) (s *Server, c, runner net.Conn) {
	s, err := NewServer(ServerOptions{
		Runner: func(state.InstanceID) *state.Instance { return nil }, Lost: func(state.InstanceID) (reach.Evidence, bool) { return "", false },
		Connect:    func(context.Context, *state.Instance) (net.Conn, reach.Evidence, error) { return nil, "", nil },
		Conclusive: func(context.Context, *state.Instance, reach.Evidence, time.Time) bool { return true }, Prepare: func(net.Conn) {}, MaxTunnels: 1, Log: slog.New(slog.DiscardHandler),
	})
	is.New(t).NoErr(err)
	here, peer := net.Pipe()
	toRunner, runner := net.Pipe()
	go s.carry(t.Context(), &tunnel{peer: peer, runner: toRunner})
	t.Cleanup(func() {
		_ = here.Close()
		_ = runner.Close()
		synctest.Wait()
	})
	time.Sleep(2 * busyWindow)
	return s, here, runner
}
