package runners

import (
	"bufio"
	"context"
	"errors"
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

	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/coordination/reach"
	"github.com/thymerack/thymerack/state"
)

const idHeader = "X-Id"

type testCodec struct{}

func (testCodec) EncodeAttempt(a *forward.Attempt, req *fasthttp.Request) {
	req.Header.SetMethod("POST")
	req.Header.SetRequestURI(a.Request.URI)
	req.Header.SetHost("runner")
	req.Header.Set(idHeader, a.Request.ID)
	req.SetBodyRaw(a.Request.Body)
}

func (testCodec) EncodeMove(string, string, *fasthttp.Request) {}

func (testCodec) DecodeMove(resp *fasthttp.Response) (string, error) { return string(resp.Body()), nil }

func (testCodec) EncodeProbe(state.InstanceID, *fasthttp.Request) {}

func (testCodec) DecodeProbe(resp *fasthttp.Response, _ state.InstanceID) bool {
	return resp.StatusCode() != fasthttp.StatusMisdirectedRequest
}

func (testCodec) EncodeDiscard(handle string, req *fasthttp.Request) {
	req.Header.SetMethod("DELETE")
	req.Header.SetRequestURI("/" + handle)
}

func (testCodec) DecodeHead(resp *fasthttp.Response) *forward.Head {
	return &forward.Head{Status: resp.StatusCode(), Signed: true}
}

func (testCodec) OfRequest(resp *fasthttp.Response, id string) bool {
	return string(resp.Header.Peek(idHeader)) == id
}

func (testCodec) OfCall(resp *fasthttp.Response, req *fasthttp.Request) bool {
	named := resp.Header.Peek(idHeader)
	return len(named) == 0 || string(named) == string(req.Header.Peek(idHeader))
}

func (testCodec) Named(resp *fasthttp.Response) bool { return len(resp.Header.Peek(idHeader)) > 0 }

func (testCodec) IdleTimeout(resp *fasthttp.Response) time.Duration {
	if len(resp.Header.Peek("Keep-Alive")) > 0 {
		return 100 * time.Millisecond
	}
	return 0
}

func (testCodec) DecodeAdvice(resp *fasthttp.Response) backpressure.Advice {
	return backpressure.Advice{Leaving: len(resp.Header.Peek("Leaving")) > 0}
}

func (testCodec) PrefillHandle(body []byte) (string, error) { return string(body), nil }

// runner answers each connection by a function and counts connections.
type runner struct {
	addr  string
	conns atomic.Int64
}

func newRunner(t *testing.T, serve func(c net.Conn, br *bufio.Reader)) *runner {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &runner{addr: ln.Addr().String()}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.conns.Add(1)
			running.Go(func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		running.Wait()
	})
	return r
}

// fixedConns allows a number of connections to all runners.
type fixedConns struct {
	limit int64
	inUse atomic.Int64
	// ended is set when the host no longer has what it has taken.
	ended atomic.Bool
}

func (c *fixedConns) AcquireSoon(context.Context, *state.Instance) bool {
	if c.inUse.Add(1) > c.limit {
		c.inUse.Add(-1)
		return false
	}
	return true
}

func (c *fixedConns) Holds(*state.Instance) bool { return !c.ended.Load() }

func (c *fixedConns) Release(*state.Instance) { c.inUse.Add(-1) }

func newPool(t *testing.T, limit int) *Pool {
	t.Helper()
	return newHearingPool(t, limit, func(*state.Instance, time.Time, backpressure.Advice, bool) {})
}

// unprobedPaths is directPaths on which no link is checked by a connection of its own, so that a runner's
// connections are those of attempts.
type unprobedPaths struct{ directPaths }

var errUnprobed = errors.New("no probes in this test")

func (unprobedPaths) ConnectDirect(context.Context, *state.Instance) (net.Conn, reach.Evidence, error) {
	return nil, "", errUnprobed
}

// newHearingPool is newPool with somebody who hears what answers ask.
func newHearingPool(t *testing.T, limit int, heard func(*state.Instance, time.Time, backpressure.Advice, bool)) *Pool {
	t.Helper()
	tracker, _ := newTracker(t)
	p, err := New(Options{Codec: testCodec{}, Conns: &fixedConns{limit: int64(limit)}, MaxHeaderBytes: 4096, Heard: heard, Links: tracker, Paths: unprobedPaths{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Retain(func(state.InstanceID) bool { return false }) })
	return p
}

func attemptAt(r *runner, id string, body int) *forward.Attempt {
	return &forward.Attempt{
		Request:  &forward.Request{ID: id, URI: "/x", Body: make([]byte, body)},
		Instance: &state.Instance{ID: state.InstanceID{Name: "i-1"}, Service: "s", Addr: r.addr}, TimeLeft: 2 * time.Second,
	}
}

func responseText(id, body, extra string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", idHeader, id, extra, len(body), body)
}

// send makes one attempt and reads its body.
func send(t *testing.T, p *Pool, a *forward.Attempt) (string, error) {
	t.Helper()
	resp, err := p.Send(t.Context(), a)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(struct{ io.Reader }{resp})
	if err != nil {
		resp.Abort()
		return string(body), err
	}
	resp.Finish()
	return string(body), nil
}

// requestOf reads a request and returns its id, or "" at the end.
func requestOf(br *bufio.Reader) string {
	var req fasthttp.Request
	if req.Read(br) != nil {
		return ""
	}
	return string(req.Header.Peek(idHeader))
}

func TestAnswerToAnotherRequestIsDropped(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, func(c net.Conn, br *bufio.Reader) {
		for {
			id := requestOf(br)
			if id == "" {
				return
			}
			// A second answer to the request before comes where this one's is due.
			_, _ = io.WriteString(c, responseText("before", "foreign", "")+responseText(id, "own of "+id, ""))
		}
	})
	p := newPool(t, 4)
	body, err := send(t, p, attemptAt(r, "a", 0))
	is.NoErr(err)
	is.Equal(body, "own of a")
}

func TestConnectionWithBytesBehindAnAnswerIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, func(c net.Conn, br *bufio.Reader) {
		for id := requestOf(br); id != ""; id = requestOf(br) {
			_, _ = io.WriteString(c, responseText(id, "x", "")+responseText(id, "once more", ""))
		}
	})
	p := newPool(t, 4)
	for _, id := range []string{"a", "b", "c"} {
		body, err := send(t, p, attemptAt(r, id, 0))
		is.NoErr(err)
		is.Equal(body, "x")
	}
	is.Equal(r.conns.Load(), int64(3))
}

func TestEarlyAnswerToALongBodyIsDeliveredAndItsConnectionDropped(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var seen []string // the first request of each connection
	r := newRunner(t, func(c net.Conn, br *bufio.Reader) {
		head, err := br.ReadString('\n')
		for err == nil && head != "\r\n" {
			if id, ok := strings.CutPrefix(head, idHeader+": "); ok {
				mu.Lock()
				seen = append(seen, strings.TrimSpace(id))
				mu.Unlock()
			}
			head, err = br.ReadString('\n')
		}
		_, _ = io.WriteString(c, responseText("a", "early", ""))
		time.Sleep(50 * time.Millisecond) // the body stays unread meanwhile
	})
	p := newPool(t, 4)
	body, err := send(t, p, attemptAt(r, "a", 8<<20))
	is.NoErr(err)
	is.Equal(body, "early")
	_, err = send(t, p, attemptAt(r, "b", 0))
	var failed *forward.SendError
	is.True(err == nil || errors.As(err, &failed))
	is.Equal(r.conns.Load(), int64(2)) // no request follows on a half-read body
	mu.Lock()
	defer mu.Unlock()
	is.Equal(seen, []string{"a", "b"})
}

func TestCutAnswerIsNoAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"in the body":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nabc",
		"in a chunk":     "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"without a mark": "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"in the head":    "HTTP/1.1 200 OK\r\nX-Id",
		"no HTTP":        "\x00\x01\x02 nothing of the kind\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRunner(t, func(c net.Conn, br *bufio.Reader) {
				requestOf(br)
				_, _ = io.WriteString(c, text)
			})
			_, err := send(t, newPool(t, 4), attemptAt(r, "a", 0))
			is.True(err != nil)
		})
	}
}

// Guards against a body without a length or chunks that ends like one which is known to be whole, and against
// one whose connection was reset that ends like one whose connection was closed in order.
func TestBodyThatEndsWithItsConnectionIsMarked(t *testing.T) {
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		r := newRunner(t, func(c net.Conn, br *bufio.Reader) {
			requestOf(br)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nuntil the end")
			if reset {
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		body, err := send(t, newPool(t, 4), attemptAt(r, "a", 0))
		is.True(err != nil)
		is.Equal(errors.Is(err, forward.ErrUnframed), !reset)
		if !reset {
			is.Equal(body, "until the end")
		}
	}
}

func TestUnusedConnectionIsRetiredBeforeTheRunnersLimit(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, func(c net.Conn, br *bufio.Reader) {
		for id := requestOf(br); id != ""; id = requestOf(br) {
			_, _ = io.WriteString(c, responseText(id, "x", "Keep-Alive: timeout=1\r\n"))
		}
	})
	p := newPool(t, 4)
	for _, id := range []string{"a", "b"} {
		_, err := send(t, p, attemptAt(r, id, 0))
		is.NoErr(err)
	}
	is.Equal(r.conns.Load(), int64(1)) // used again at once
	time.Sleep(60 * time.Millisecond)  // over half of the limit
	_, err := send(t, p, attemptAt(r, "c", 0))
	is.NoErr(err)
	is.Equal(r.conns.Load(), int64(2))
}

func TestHostKeepsToItsShareOfConnections(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, func(c net.Conn, br *bufio.Reader) { requestOf(br); _, _ = br.ReadByte() })
	p := newPool(t, 2)
	ctx, cancel := context.WithCancel(t.Context())
	var waiting sync.WaitGroup
	for _, id := range []string{"a", "b"} {
		waiting.Go(func() { _, _ = p.Send(ctx, attemptAt(r, id, 0)) })
	}
	for r.conns.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err := p.Send(ctx, attemptAt(r, "c", 0))
	var failed *forward.SendError
	is.True(errors.As(err, &failed))
	is.True(failed.Withheld && !failed.Sent)
	cancel()
	waiting.Wait()
}

func TestUnreachableRunnerIsSaidToHaveGotNothing(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := &runner{addr: ln.Addr().String()}
	is.NoErr(ln.Close())
	_, err = send(t, newPool(t, 4), attemptAt(r, "a", 0))
	var failed *forward.SendError
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent)
	is.True(strings.Contains(err.Error(), "another runner"))
}

// A runner that restarts under its name gets connections of its own.
func TestProbeTellsARunThatEndedFromOneThatIsSilent(t *testing.T) {
	answer := func(status string) func(net.Conn, *bufio.Reader) {
		return func(c net.Conn, br *bufio.Reader) {
			requestOf(br)
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		}
	}
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := nobody.Addr().String()
	_ = nobody.Close()
	for name, c := range map[string]struct {
		addr string
		want crash.RunStatus
	}{
		"answers":                  {newRunner(t, answer("200 OK")).addr, crash.Alive},
		"another run answers":      {newRunner(t, answer("421 Misdirected")).addr, crash.Ended},
		"nobody listens":           {refusing, crash.Ended},
		"says nothing":             {newRunner(t, func(_ net.Conn, br *bufio.Reader) { _, _ = br.ReadByte(); _, _ = br.Peek(1 << 10) }).addr, crash.Silent},
		"closes without an answer": {newRunner(t, func(_ net.Conn, br *bufio.Reader) { requestOf(br) }).addr, crash.Silent},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			is.New(t).Equal(newPool(t, 4).Probe(ctx, &state.Instance{ID: state.InstanceID{Name: "i"}, Addr: c.addr}), c.want)
		})
	}
}

func TestConnectionsOfAFormerRunAreClosed(t *testing.T) {
	is := is.New(t)
	accepted := make(chan struct{}, 2)
	r := newRunner(t, func(c net.Conn, br *bufio.Reader) {
		accepted <- struct{}{}
		for id := requestOf(br); id != ""; id = requestOf(br) {
			_, _ = io.WriteString(c, responseText(id, "body", ""))
		}
	})
	p := newPool(t, 4)
	a := attemptAt(r, "r1", 0)
	a.Instance.ID.Born = 1
	_, err := send(t, p, a)
	is.NoErr(err)
	again := attemptAt(r, "r2", 0)
	again.Instance.ID.Born = 2
	p.Retain(func(id state.InstanceID) bool { return id == again.Instance.ID })
	_, err = send(t, p, again)
	is.NoErr(err)
	is.Equal(len(accepted), 2)
}

// An answer of any status, to a request or a call of the system's own, is heard before anybody
// reads it; one that was misdirected may be another runner's.
func TestEveryAnswerIsHeard(t *testing.T) {
	for status, heard := range map[int]bool{200: true, 404: true, 421: false, 429: true, 500: true, 503: true} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			r := newRunner(t, func(c net.Conn, br *bufio.Reader) {
				for id := requestOf(br); id != ""; id = requestOf(br) {
					fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", status, idHeader, id)
				}
			})
			var ofRequest []bool
			p := newHearingPool(t, 4, func(i *state.Instance, sentAt time.Time, a backpressure.Advice, of bool) {
				is.Equal(i.ID.Name, "i-1")
				is.True(!sentAt.IsZero())
				is.True(a.Leaving)
				ofRequest = append(ofRequest, of)
			})
			a := attemptAt(r, "r1", 0)
			resp, err := p.Send(t.Context(), a)
			is.NoErr(err)
			resp.Finish()
			req, answer := &fasthttp.Request{}, &fasthttp.Response{}
			req.Header.Set(idHeader, "own")
			is.NoErr(p.Do(t.Context(), a.Instance, req, answer, time.Second))
			if !heard {
				is.Equal(len(ofRequest), 0)
				return
			}
			is.Equal(ofRequest, []bool{true, false})
		})
	}
}

// What isn't permitted when the connection stands sends no byte, and says nothing of the runner.
func TestWithheldRequestSendsNothing(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	r := newRunner(t, func(_ net.Conn, br *bufio.Reader) { got <- requestOf(br) })
	p := newPool(t, 4)
	a := attemptAt(r, "r1", 0)
	a.Permit = func() error { return forward.ErrRunnerClosed }
	_, err := p.Send(t.Context(), a)
	var failed *forward.SendError
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent)
	is.True(failed.Withheld)
	is.Equal(<-got, "")
}

// Guards against a request that a host sends over a connection that it no longer has, as after a suspension: it must not leave,
// and goes to another runner.
func TestPoolSendsNothingOverConnectionsThatItHasLost(t *testing.T) {
	is := is.New(t)
	asked := atomic.Int64{}
	r := newRunner(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := br.ReadByte(); err == nil {
			asked.Add(1)
		}
	})
	conns := &fixedConns{limit: 2}
	p := newPool(t, 2)
	p.o.Conns = conns
	conns.ended.Store(true)
	_, err := send(t, p, attemptAt(r, "a", 0))
	var failed *forward.SendError
	is.True(errors.As(err, &failed))
	is.True(failed.Withheld)
	is.True(!failed.Sent)
	is.Equal(asked.Load(), int64(0))
	is.Equal(conns.inUse.Load(), int64(0))
}

// Guards against unused connections that stay open beyond what the host may have.
func TestPoolClosesUnusedConnectionsBeyondTheLimit(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, func(c net.Conn, br *bufio.Reader) {
		for {
			req := &fasthttp.Request{}
			if req.Read(br) != nil {
				return
			}
			_, _ = io.WriteString(c, responseText(string(req.Header.Peek(idHeader)), "x", ""))
		}
	})
	p, a := newPool(t, 4), attemptAt(r, "a", 0)
	var open []forward.Response
	for range 4 {
		resp, err := p.Send(t.Context(), a)
		is.NoErr(err)
		open = append(open, resp)
	}
	c, err := p.client(a.Instance)
	is.NoErr(err)
	for _, resp := range open[1:] {
		_, err := io.ReadAll(struct{ io.Reader }{resp})
		is.NoErr(err)
		resp.Finish()
	}
	p.Trim(a.Instance, 4)
	is.Equal(c.http.Conns(), 4)
	p.Trim(a.Instance, 2)
	is.Equal(c.http.Conns(), 2)
	p.Trim(a.Instance, 0)
	is.Equal(c.http.Conns(), 1) // the one in use
	open[0].Abort()
	is.Equal(c.http.Conns(), 0)
}
