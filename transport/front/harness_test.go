package front_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/thymerack/thymerack/coordination/answer"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/front"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// Limits of the servers under test.
const (
	bodyBytes   = 64 << 10
	headerBytes = 4 << 10
	maxTokens   = 50
)

// Keys of the two customers.
const (
	keyA = "key-a"
	keyB = "key-b"
)

// fakeDispatcher does what the test says.
type fakeDispatcher struct {
	generate func(ctx context.Context, r *dispatch.Request, c *dispatch.Completion, sink dispatch.Sink) error
	call     func(ctx context.Context, r *dispatch.Request, c upstream.Call) (upstream.Answer, error)

	mu          sync.Mutex
	requests    []*dispatch.Request
	completions []*dispatch.Completion
	calls       []upstream.Call
}

func (f *fakeDispatcher) Generate(ctx context.Context, r *dispatch.Request, c *dispatch.Completion, sink dispatch.Sink) error {
	f.mu.Lock()
	f.requests = append(f.requests, r)
	f.completions = append(f.completions, c)
	f.mu.Unlock()
	return f.generate(ctx, r, c, sink)
}

func (f *fakeDispatcher) Call(ctx context.Context, r *dispatch.Request, c upstream.Call) (upstream.Answer, error) {
	f.mu.Lock()
	f.requests = append(f.requests, r)
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	return f.call(ctx, r, c)
}

func (f *fakeDispatcher) Running() int64 { return 0 }

// ran is the number of requests that reached the dispatcher.
func (f *fakeDispatcher) ran() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// count gives n tokens, "t0 " and so on.
func count(n int) func(context.Context, *dispatch.Request, *dispatch.Completion, dispatch.Sink) error {
	return func(_ context.Context, _ *dispatch.Request, _ *dispatch.Completion, sink dispatch.Sink) error {
		for i := range n {
			sink.Append(tokenText(i))
		}
		sink.Finish("stop")
		return nil
	}
}

func tokenText(i int) string { return fmt.Sprintf("t%d ", i) }

// textOf is the text of the tokens from one number to before another.
func textOf(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

type fixedEstimator struct{}

func (fixedEstimator) Expected(_, _ string, most int) int { return most }
func (fixedEstimator) Learn(string, string, int)          {}

// elsewhere holds the answers of other hosts.
type elsewhere map[string]front.RemoteChunk

func (elsewhere) Announce(string) {}

func (e elsewhere) Fetch(_ context.Context, id, _ string, from int) (front.RemoteChunk, error) {
	held, ok := e[id]
	if !ok {
		return held, &front.UnknownAnswerError{ID: id}
	}
	held.Tokens = held.Tokens[min(from, len(held.Tokens)):]
	return held, nil
}

// observer counts the refusals.
type observer struct {
	mu      sync.Mutex
	refused []string
}

func (*observer) FirstToken(string, string, time.Duration)    {}
func (*observer) BetweenTokens(string, string, time.Duration) {}
func (*observer) Whole(string, string, time.Duration, bool)   {}

func (o *observer) Refused(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused = append(o.refused, reason)
}

// policies classifies as the test says.
type policies struct{ class, refusal string }

func (p policies) Classify(in front.ClassifyInput) string {
	if p.class != "" {
		return p.class
	}
	return in.Class
}

func (p policies) Admit(front.ClassifyInput) string { return p.refusal }

func testConfig() *state.Config {
	digest := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	return &state.Config{
		Version: 1,
		Services: []state.Service{
			{Name: "llm", Kind: state.KindEngine, Models: []string{"m"}},
			{Name: "app", Kind: state.KindService},
			{Name: "post", Kind: state.KindService, NotRepeatable: true},
		},
		Classes: []state.Class{{Name: "chat", DeadlineMillis: 5000}, {Name: "alert", DeadlineMillis: 1000, Urgent: true}},
		Customers: []state.Customer{
			{Name: "a", KeySHA256: digest(keyA), Class: "chat"},
			{Name: "b", KeySHA256: digest(keyB), Class: "chat"},
		},
	}
}

// host is one server on loopback with fakes behind it.
type host struct {
	*front.Server
	dispatcher *fakeDispatcher
	observer   *observer
	answers    *answer.Registry
	addr       string
	// wrap, if set, wraps the listener.
	wrap func(net.Listener) net.Listener
}

// newHost starts a server; change may alter its options before.
func newHost(t testing.TB, change func(h *host, o *front.Options)) *host {
	t.Helper()
	keeper := snapshot.NewKeeper()
	keeper.SetConfig(testConfig())
	h := &host{dispatcher: &fakeDispatcher{generate: count(3)}, observer: &observer{}}
	h.dispatcher.call = func(_ context.Context, _ *dispatch.Request, c upstream.Call) (upstream.Answer, error) {
		return upstream.Answer{Attempt: c.Attempt, Status: 200, ContentType: "text/plain", Body: c.Body}, nil
	}
	h.answers = answer.NewRegistry(wallclock.Clock{}, time.Millisecond, time.Hour)
	o := front.Options{
		Host: "h", FailureDomain: "p", Keeper: keeper, Dispatcher: h.dispatcher, Estimator: fixedEstimator{}, Answers: h.answers,
		Elsewhere: elsewhere{}, Observer: h.observer, Policies: policies{}, Log: slog.New(slog.DiscardHandler),
		ProbeInterval: time.Minute, Isolated: func() bool { return false }, Ready: func() bool { return true },
		Limits: front.Limits{
			BodyBytes: bodyBytes, HeaderBytes: headerBytes, ReadTimeout: time.Minute, WriteTimeout: time.Minute,
			IdleTimeout: time.Minute, Connections: 1000, MaxTokens: maxTokens,
		},
	}
	if change != nil {
		change(h, &o)
	}
	server, err := front.New(o)
	if err != nil {
		t.Fatal(err)
	}
	h.Server = server
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.addr = ln.Addr().String()
	if h.wrap != nil {
		ln = h.wrap(ln)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return h
}

// conn is a caller's connection.
type conn struct {
	t testing.TB
	net.Conn
	r *bufio.Reader
}

func (h *host) dial(t testing.TB) *conn {
	t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &conn{t, c, bufio.NewReader(c)}
}

// send writes raw bytes.
func (c *conn) send(raw string) {
	c.t.Helper()
	if _, err := io.WriteString(c, raw); err != nil {
		c.t.Fatal(err)
	}
}

// reply is one whole response.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem callerapi.ProblemDetail
}

// head reads a response up to its body.
func (c *conn) head(method string) *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

// receive reads one whole response, past any 100 Continue.
func (c *conn) receive() reply {
	c.t.Helper()
	resp := c.head(http.MethodPost)
	for resp.StatusCode == http.StatusContinue {
		resp = c.head(http.MethodPost)
	}
	return readReply(c.t, resp)
}

func readReply(t testing.TB, resp *http.Response) reply {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	out := reply{status: resp.StatusCode, header: resp.Header, body: string(body)}
	if resp.Close {
		out.header.Set("Connection", "close")
	}
	var p callerapi.Problem
	if json.Unmarshal(body, &p) == nil {
		out.problem = p.Error
	}
	return out
}

// message is a request as text. Headers are "Name: value".
func message(method, path, body string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\n", method, path)
	given := strings.Join(headers, "\r\n")
	if !strings.Contains(given, "Authorization:") {
		b.WriteString("Authorization: Bearer " + keyA + "\r\n")
	}
	if !strings.Contains(given, "Transfer-Encoding:") && !strings.Contains(given, "Content-Length:") {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	for _, header := range headers {
		b.WriteString(header + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// ask makes one request on a connection of its own.
func (h *host) ask(t testing.TB, method, path, body string, headers ...string) reply {
	t.Helper()
	c := h.dial(t)
	c.send(message(method, path, body, headers...))
	return c.receive()
}

const (
	completions = "/v1/completions"
	prompt      = `{"model":"m","prompt":"hello","max_tokens":5}`
	streamed    = `{"model":"m","prompt":"hello","max_tokens":5,"stream":true}`
)

// events is what a stream held.
type events struct {
	ids    []string
	text   string
	finish string
	ended  bool
	failed callerapi.ProblemDetail
}

// readEvents reads a stream to its end.
func readEvents(t testing.TB, body string) events {
	t.Helper()
	var e events
	name := ""
	for line := range strings.SplitSeq(body, "\n") {
		field, value, _ := strings.Cut(line, ": ")
		switch {
		case field == "id":
			e.ids = append(e.ids, value)
		case field == "event":
			name = value
		case field == "data" && value == "[DONE]":
			e.ended = true
		case field == "data" && name == "error":
			var p callerapi.Problem
			if err := json.Unmarshal([]byte(value), &p); err != nil {
				t.Fatal(err)
			}
			e.failed = p.Error
		case field == "data":
			var c callerapi.Completion
			if err := json.Unmarshal([]byte(value), &c); err != nil {
				t.Fatal(err)
			}
			e.text += c.Choices[0].Text
			if c.Choices[0].Delta != nil {
				e.text += c.Choices[0].Delta.Content
			}
			if c.Choices[0].FinishReason != nil {
				e.finish = *c.Choices[0].FinishReason
			}
		}
	}
	return e
}
