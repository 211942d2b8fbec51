package front_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/transport/front"
)

func TestWholeAnswer(t *testing.T) {
	for path, body := range map[string]string{
		completions:            prompt,
		"/v1/chat/completions": `{"model":"m","messages":[{"role":"user","content":"hello"}]}`,
	} {
		is := is.New(t)
		h := newHost(t, func(h *host, _ *front.Options) { h.dispatcher.generate = count(20) })
		got := h.ask(t, "POST", path, body)
		is.Equal(got.status, 200)
		var c callerapi.Completion
		is.NoErr(json.Unmarshal([]byte(got.body), &c))
		text := c.Choices[0].Text
		if c.Choices[0].Message != nil {
			text = c.Choices[0].Message.Content
		}
		is.Equal(text, textOf(0, 20))
		is.Equal(*c.Choices[0].FinishReason, "stop")
		is.Equal(c.Usage.CompletionTokens, 20)
		is.True(c.Usage.PromptTokens > 0)
		is.Equal(c.ID, got.header.Get(callerapi.HeaderRequestID))
		is.Equal(h.answers.Len(), 0) // nobody knows the id, so nobody can ask again
	}
}

func TestStreamIsNumbered(t *testing.T) {
	is := is.New(t)
	h := newHost(t, nil)
	e := readEvents(t, h.ask(t, "POST", completions, streamed).body)
	is.Equal(e.ids, []string{"0", "1", "2", "2"})
	is.Equal(e.text, textOf(0, 3))
	is.Equal(e.finish, "stop")
	is.True(e.ended)
}

// gated gives tokens one by one as the test lets it, and ends with its context.
type gated struct {
	give   chan int
	ctx    chan context.Context
	finish chan error
}

func newGated() *gated {
	return &gated{make(chan int), make(chan context.Context, 9), make(chan error)}
}

func (g *gated) generate(ctx context.Context, _ *dispatch.Request, _ *dispatch.Completion, sink dispatch.Sink) error {
	g.ctx <- ctx
	for {
		select {
		case n := <-g.give:
			for range n {
				sink.Append(tokenText(len(sink.Tokens())))
			}
		case err := <-g.finish:
			if err == nil {
				sink.Finish("stop")
			}
			return err
		case <-ctx.Done():
			return &dispatch.Refusal{Reason: dispatch.ReasonCancelled, Message: "cancelled; send it again"}
		}
	}
}

// line reads one line of a stream's body.
func line(t *testing.T, resp *http.Response) string {
	t.Helper()
	var out []byte
	var b [1]byte
	for {
		if _, err := resp.Body.Read(b[:]); err != nil {
			t.Fatal(err)
		}
		if b[0] == '\n' {
			return string(out)
		}
		out = append(out, b[0])
	}
}

// TestReconnectGetsExactlyTheRest breaks a caller's connection after each number
// of tokens.
func TestReconnectGetsExactlyTheRest(t *testing.T) {
	const total = 6
	for last := -1; last < total; last++ {
		t.Run(strconv.Itoa(last), func(t *testing.T) {
			is := is.New(t)
			h := newHost(t, func(h *host, _ *front.Options) { h.dispatcher.generate = count(total) })
			const id = "X-Request-Id: r"
			first := readEvents(t, h.ask(t, "POST", completions, streamed, id).body)
			is.Equal(first.text, textOf(0, total))
			event := "Last-Event-ID: " + strconv.Itoa(last)
			for _, got := range []reply{
				h.ask(t, "GET", "/v1/answers/r", "", event),
				h.ask(t, "POST", completions, streamed, id, event),
			} {
				e := readEvents(t, got.body)
				is.Equal(got.status, 200)
				is.Equal(e.text, textOf(last+1, total))
				is.Equal(e.finish, "stop")
				is.True(e.ended)
			}
			is.Equal(h.dispatcher.ran(), 1)
		})
	}
}

func TestReconnectWhileTheAnswerRuns(t *testing.T) {
	is := is.New(t)
	g := newGated()
	h := newHost(t, func(h *host, _ *front.Options) { h.dispatcher.generate = g.generate })
	first := h.dial(t)
	first.send(message("POST", completions, streamed, "X-Request-Id: r"))
	<-g.ctx
	g.give <- 1
	resp := first.head("POST")
	is.Equal(line(t, resp), "id: 0")
	second := h.dial(t)
	second.send(message("GET", "/v1/answers/r", "", "Last-Event-ID: 0"))
	g.give <- 1
	rest := second.head("GET")
	is.NoErr(first.Close())
	is.Equal(line(t, rest), "id: 1")
	g.give <- 2
	g.finish <- nil
	e := readEvents(t, "id: 1\n"+readReply(t, rest).body)
	is.Equal(e.text, textOf(1, 4))
	is.True(e.ended)
}

func TestAnswerHeldElsewhere(t *testing.T) {
	is := is.New(t)
	there := front.RemoteChunk{Model: "m", Tokens: []string{tokenText(0), tokenText(1), tokenText(2)}, Ended: true, Finish: "stop"}
	failed := front.RemoteChunk{Model: "m", Ended: true, Problem: "it broke; send it again"}
	h := newHost(t, func(_ *host, o *front.Options) { o.Elsewhere = elsewhere{"r": there, "f": failed} })
	for _, got := range []reply{
		h.ask(t, "GET", "/v1/answers/r", "", "Last-Event-ID: 0"),
		h.ask(t, "POST", completions, streamed, "X-Request-Id: r", "Last-Event-ID: 0"),
	} {
		is.Equal(got.status, 200)
		is.Equal(readEvents(t, got.body).text, textOf(1, 3))
	}
	is.Equal(h.dispatcher.ran(), 0)
	// A failure whose reason this host doesn't know is a failure all the same.
	is.Equal(h.ask(t, "GET", "/v1/answers/f", "").status, 503)
}

func TestFailedRequestMayBeSentAgain(t *testing.T) {
	is := is.New(t)
	h := newHost(t, nil)
	h.dispatcher.generate = func(context.Context, *dispatch.Request, *dispatch.Completion, dispatch.Sink) error {
		return &dispatch.Refusal{Reason: dispatch.ReasonOverloaded, Message: "full; come back", NotRun: true}
	}
	got := h.ask(t, "POST", completions, streamed, "X-Request-Id: r")
	is.Equal(got.status, 429)
	h.dispatcher.generate = count(3)
	got = h.ask(t, "POST", completions, streamed, "X-Request-Id: r")
	is.Equal(got.status, 200)
	is.Equal(readEvents(t, got.body).text, textOf(0, 3))
}

func TestBrokenStreamHasNoEndMark(t *testing.T) {
	is := is.New(t)
	h := newHost(t, nil)
	h.dispatcher.generate = func(_ context.Context, _ *dispatch.Request, _ *dispatch.Completion, sink dispatch.Sink) error {
		sink.Append(tokenText(0))
		return &dispatch.Refusal{Reason: dispatch.ReasonUpstream, Message: "it broke; send it again"}
	}
	e := readEvents(t, h.ask(t, "POST", completions, streamed, "X-Request-Id: r").body)
	is.Equal(e.failed.Type, string(dispatch.ReasonUpstream))
	is.Equal(e.ended, false)
	is.Equal(e.finish, "")
	// The rest of it is its failure, not the start of another answer.
	h.dispatcher.generate = count(3)
	got := h.ask(t, "POST", completions, streamed, "X-Request-Id: r", "Last-Event-ID: 0")
	is.Equal(got.problem.Type, string(dispatch.ReasonUpstream))
	is.Equal(h.dispatcher.ran(), 1)
}

func TestCallerThatLeavesEndsItsWork(t *testing.T) {
	cases := []struct {
		name, request string
		tokens        int
	}{
		{"before the first token", message("POST", completions, streamed), 0},
		{"in the middle of a stream", message("POST", completions, streamed), 1},
		{"of a whole answer", message("POST", completions, prompt), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newGated()
			h := newHost(t, func(h *host, _ *front.Options) { h.dispatcher.generate = g.generate })
			conn := h.dial(t)
			conn.send(c.request)
			ctx := <-g.ctx
			if c.tokens > 0 {
				g.give <- c.tokens
			}
			is.NoErr(conn.Close())
			<-ctx.Done()
			waitIdle(h)
			is.Equal(len(h.observer.refused), 0)
		})
	}
}

// Copies of a request are told by what they ask, whatever ids they bear.
func TestCopiesOfARequestHaveOneDigest(t *testing.T) {
	is := is.New(t)
	h := newHost(t, nil)
	var digests []quarantine.Digest
	h.dispatcher.generate = func(_ context.Context, r *dispatch.Request, _ *dispatch.Completion, _ dispatch.Sink) error {
		digests = append(digests, r.Digest)
		return &dispatch.Refusal{Reason: dispatch.ReasonUpstream, Message: "it broke; send it again"}
	}
	h.dispatcher.call = func(_ context.Context, r *dispatch.Request, _ upstream.Call) (upstream.Answer, error) {
		digests = append(digests, r.Digest)
		return upstream.Answer{Status: 200}, nil
	}
	for _, ask := range []struct{ path, body string }{
		{completions, prompt}, {completions, prompt}, {completions, strings.Replace(prompt, "{", "{ ", 1)},
		{"/services/app/x", "a"}, {"/services/app/x", "a"}, {"/services/app/y", "a"},
	} {
		h.ask(t, "POST", ask.path, ask.body)
	}
	is.Equal(len(digests), 6)
	is.Equal(digests[0], digests[1])
	is.True(digests[1] != digests[2])
	is.True(digests[2] != digests[3])
	is.Equal(digests[3], digests[4])
	is.True(digests[4] != digests[5])
}

// waitIdle waits until no request is in flight.
func waitIdle(h *host) {
	for h.InFlight() > 0 {
		runtime.Gosched() // to the goroutines that count out
	}
}

func TestRefusalsReachTheCaller(t *testing.T) {
	reasons := map[dispatch.Reason]int{
		dispatch.ReasonOverloaded: 429, dispatch.ReasonNoUpstream: 503, dispatch.ReasonDeadline: 503,
		dispatch.ReasonUpstream: 503, dispatch.ReasonUnknown: 503, dispatch.ReasonRunning: 503,
		dispatch.ReasonKey: 400, dispatch.ReasonCrashes: 503, "something new": 503,
	}
	for reason, status := range reasons {
		for _, path := range []string{completions, "/services/app/x"} {
			t.Run(string(reason)+path, func(t *testing.T) {
				is := is.New(t)
				refusal := &dispatch.Refusal{Reason: reason, Message: "no; come back", RetryAfter: 1500e6}
				h := newHost(t, nil)
				h.dispatcher.generate = func(context.Context, *dispatch.Request, *dispatch.Completion, dispatch.Sink) error { return refusal }
				h.dispatcher.call = failingCall(refusal)
				got := h.ask(t, "POST", path, prompt)
				is.Equal(got.status, status)
				is.Equal(got.problem.Type, string(reason))
				is.Equal(got.header.Get("Retry-After"), "2")
			})
		}
	}
	is := is.New(t)
	h := newHost(t, nil)
	h.dispatcher.call = failingCall(errors.New("secret"))
	got := h.ask(t, "POST", "/services/app/x", "")
	is.Equal(got.status, 503)
	is.True(!strings.Contains(got.body, "secret"))
}
