package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/transport/front"
)

// TestBadInput sends what can't be served. Nothing may run, and the problem must
// name the remedy.
func TestBadInput(t *testing.T) {
	post := func(body string, headers ...string) string { return message("POST", completions, body, headers...) }
	key := "Idempotency-Key: 01980000-0000-7000-8000-000000000001"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", bodyBytes, strings.Repeat("x", bodyBytes))
	cases := []struct {
		name, request string
		status        int
		kind          string
	}{
		{"not JSON", post("{"), 400, "bad_json"},
		{"JSON of another kind", post(`[1]`), 400, "bad_json"},
		{"something behind the JSON", post(prompt + "{}"), 400, "bad_json"},
		{"empty body", post(""), 400, "bad_json"},
		{"no model", post(`{"prompt":"x"}`), 400, "no_model"},
		{"no prompt", post(`{"model":"m"}`), 400, "no_prompt"},
		{"no messages", message("POST", "/v1/chat/completions", prompt), 400, "no_messages"},
		{"negative max_tokens", post(`{"model":"m","prompt":"x","max_tokens":-1}`), 400, "bad_max_tokens"},
		{"absurd max_tokens", post(`{"model":"m","prompt":"x","max_tokens":51}`), 400, "bad_max_tokens"},
		{"unknown model", post(`{"model":"other","prompt":"x"}`), 404, "unknown_model"},
		{"unknown service", message("POST", "/services/other/x", ""), 404, "unknown_service"},
		{"an engine's service", message("POST", "/services/llm/x", ""), 404, "unknown_service"},
		{"unknown path", message("GET", "/v2/x", ""), 404, "unknown_path"},
		{"another method", message("GET", completions, ""), 405, "bad_method"},
		{"OPTIONS", message("OPTIONS", completions, ""), 405, "bad_method"},
		{"unknown method", message("FETCH", completions, ""), 501, "bad_method"},
		{"no key", post(prompt, "Authorization: "), 400, "no_key"},
		{"unknown key", post(prompt, "Authorization: Bearer nobody"), 400, "unknown_customer"},
		{"unknown class", post(prompt, "X-Class: other"), 400, "unknown_class"},
		{"deadline past", post(prompt, "X-Deadline-Ms: 0"), 400, "deadline_past"},
		{"deadline long past", post(prompt, "X-Deadline-Ms: -99999999999"), 400, "deadline_past"},
		{"deadline no number", post(prompt, "X-Deadline-Ms: soon"), 400, "bad_deadline"},
		{"absurd deadline", post(prompt, "X-Deadline-Ms: 600001"), 400, "bad_deadline"},
		{"deadline past all numbers", post(prompt, "X-Deadline-Ms: 99999999999999999999"), 400, "bad_deadline"},
		{"request id too long", post(prompt, "X-Request-Id: "+strings.Repeat("x", 129)), 400, "bad_request_id"},
		{"request id with a space", post(prompt, "X-Request-Id: a b"), 400, "bad_request_id"},
		{"Last-Event-ID no number", post(streamed, "X-Request-Id: r", "Last-Event-ID: x"), 400, "bad_last_event"},
		{"negative Last-Event-ID", post(streamed, "X-Request-Id: r", "Last-Event-ID: -2"), 400, "bad_last_event"},
		{"Last-Event-ID of an unknown answer", post(streamed, "X-Request-Id: r", "Last-Event-ID: 5"), 404, "unknown_answer"},
		{"unknown answer", message("GET", "/v1/answers/r", ""), 404, "unknown_answer"},
		{"no key for a call that may not be repeated", message("POST", "/services/post/x", ""), 400, "no_key_of_call"},
		{"deadline of a call", message("POST", "/services/post/x", "", key, "X-Deadline-Ms: x"), 400, "bad_deadline"},
		{"compressed body", post(prompt, "Content-Encoding: gzip"), 415, "bad_encoding"},
		{"compressed call", message("POST", "/services/app/x", "x", "Content-Encoding: gzip"), 415, "bad_encoding"},
		{"body too large", post(strings.Repeat("x", bodyBytes+1)), 413, "body_too_large"},
		{"body said to be too large", post("", fmt.Sprintf("Content-Length: %d", 1<<40)), 413, "body_too_large"},
		{"body too large, asked first", post("", fmt.Sprintf("Content-Length: %d", 1<<40), "Expect: 100-continue"), 413, "body_too_large"},
		{"chunked body too large", post(chunk+chunk+"0\r\n\r\n", "Transfer-Encoding: chunked"), 413, "body_too_large"},
		{"broken chunk", post("zz\r\n", "Transfer-Encoding: chunked"), 400, "bad_request"},
		{"headers too large", post(prompt, "X-Filler: "+strings.Repeat("x", headerBytes)), 400, "headers_too_large"},
		{"too many headers", post(prompt, strings.Repeat("X-Filler: x\r\n", headerBytes/12)+"X-Last: x"), 400, "headers_too_large"},
		{"no HTTP", "hello\r\n\r\n", 400, "bad_request"},
	}
	h := newHost(t, nil)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn := h.dial(t)
			conn.send(c.request)
			got := conn.receive()
			is.Equal(got.status, c.status)
			is.Equal(got.problem.Type, c.kind)
			is.True(strings.Contains(got.problem.Message, "; ")) // what is wrong; what to do
			is.Equal(h.dispatcher.ran(), 0)
		})
	}
	is := is.New(t)
	is.Equal(len(h.observer.refused), len(cases)) // each counted once
	is.Equal(h.answers.Len(), 0)
	is.Equal(h.ask(t, "POST", completions, prompt).status, 200) // the server lives
}

func TestHugeBodyGetsItsAnswer(t *testing.T) {
	is := is.New(t)
	h := newHost(t, nil)
	for range 10 {
		c := h.dial(t)
		// The caller goes on sending and reads only afterwards.
		_, _ = c.Write([]byte(message("POST", completions, strings.Repeat("x", 20*bodyBytes))))
		is.Equal(c.receive().status, 413)
	}
}

func TestSlowSenderIsRefused(t *testing.T) {
	for _, part := range []string{
		"POST /v1/completions HTTP/1.1\r\nHost:",
		"POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n{",
	} {
		is := is.New(t)
		h := newHost(t, func(_ *host, o *front.Options) { o.Limits.ReadTimeout = 20 * time.Millisecond })
		c := h.dial(t)
		c.send(part)
		got := c.receive()
		is.Equal(got.status, 408)
		is.Equal(got.problem.Type, "slow_sender")
		is.Equal(h.dispatcher.ran(), 0)
	}
}

func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	h := newHost(t, nil)
	c := h.dial(t)
	c.send(message("POST", completions, "", "Expect: 100-continue", fmt.Sprintf("Content-Length: %d", len(prompt))))
	is.Equal(c.head("POST").StatusCode, http.StatusContinue)
	c.send(prompt)
	is.Equal(c.receive().status, 200)
}

func TestRequestIDOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	h := newHost(t, nil)
	const id = "X-Request-Id: r"
	is.Equal(h.ask(t, "POST", completions, prompt, id).status, 200)
	got := h.ask(t, "POST", completions, `{"model":"m","prompt":"another"}`, id)
	is.Equal(got.status, 400)
	is.Equal(got.problem.Type, "request_id_used")
	is.Equal(h.dispatcher.ran(), 1)
	// Another customer's ids are its own.
	is.Equal(h.ask(t, "POST", completions, prompt, id, "Authorization: Bearer "+keyB).status, 200)
	is.Equal(h.dispatcher.ran(), 2)
	is.Equal(h.ask(t, "GET", "/v1/answers/r", "", "Authorization: Bearer nobody").status, 400)
}

// TestKeptStringsSurviveTheirRequest sends another request through the buffers of
// an earlier one.
func TestKeptStringsSurviveTheirRequest(t *testing.T) {
	is := is.New(t)
	h := newHost(t, nil)
	c := h.dial(t)
	for _, v := range []string{"a", "b"} {
		c.send(message("POST", "/services/post/path-"+v+"?q="+v, "body-"+v, "Idempotency-Key: key-"+v, "X-Request-Id: id-"+v, "Content-Type: type/"+v, "X-Class: chat"))
		is.Equal(c.receive().status, 200)
		c.send(message("POST", completions, `{"model":"m","prompt":"prompt-`+v+`"}`, "X-Request-Id: model-id-"+v))
		is.Equal(c.receive().status, 200)
	}
	d := h.dispatcher
	is.Equal(d.requests[0].ID, "id-a")
	is.Equal(d.requests[0].Key, "key-a")
	is.Equal(d.requests[0].Class, "chat")
	is.Equal(d.calls[0].Method, "POST")
	is.Equal(d.calls[0].Path, "/path-a?q=a")
	is.Equal(d.calls[0].ContentType, "type/a")
	is.Equal(string(d.calls[0].Body), "body-a")
	is.Equal(d.requests[1].ID, "model-id-a")
	is.Equal(d.completions[0].Prompt.Text, "prompt-a")
	is.True(h.answers.Find("model-id-a", "a") != nil)
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	h := newHost(t, nil)
	c := h.dial(t)
	c.send(message("POST", completions, streamed) + message("POST", "/services/app/x", "second") + message("POST", completions, prompt))
	is.Equal(readEvents(t, c.receive().body).text, textOf(0, 3))
	is.Equal(c.receive().body, "second")
	is.True(strings.Contains(c.receive().body, textOf(0, 3)))
}

func TestHeadSendsNoBody(t *testing.T) {
	is := is.New(t)
	h := newHost(t, func(h *host, _ *front.Options) { h.dispatcher.generate = count(1000) })
	is.Equal(h.ask(t, "POST", completions, prompt, "X-Request-Id: r").status, 200)
	c := h.dial(t)
	for _, path := range []string{"/v1/answers/r", "/services/app/x", "/healthz"} {
		c.send(message("HEAD", path, ""))
		is.Equal(c.head("HEAD").StatusCode, 200)
	}
	c.send(message("POST", "/services/app/x", "next"))
	is.Equal(c.receive().body, "next")
	is.Equal(h.dispatcher.calls[0].Method, "HEAD")
	waitIdle(h)
}

func TestPolicyDecides(t *testing.T) {
	t.Run("an undefined class leaves the customer's own", func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, func(_ *host, o *front.Options) { o.Policies = policies{class: "undefined"} })
		is.Equal(h.ask(t, "POST", completions, prompt).status, 200)
		is.Equal(h.dispatcher.requests[0].Class, "chat")
	})
	t.Run("urgent work is marked for the router, which gives it priority", func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, func(_ *host, o *front.Options) { o.Policies = policies{class: "alert"} })
		is.Equal(h.ask(t, "POST", completions, prompt).status, 200)
		is.True(h.dispatcher.requests[0].Urgent)
	})
	t.Run("a refusal", func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, func(_ *host, o *front.Options) { o.Policies = policies{refusal: "not at night; come in the morning"} })
		got := h.ask(t, "POST", completions, prompt)
		is.Equal(got.status, 429)
		is.Equal(got.header.Get(callerapi.HeaderOutcome), callerapi.OutcomeNotRun)
		is.Equal(got.header.Get("Retry-After"), "1")
	})
}

func TestOldProtocolGetsAWholeStream(t *testing.T) {
	is := is.New(t)
	h := newHost(t, nil)
	c := h.dial(t)
	c.send("POST " + completions + " HTTP/1.0\r\nAuthorization: Bearer " + keyA + fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(streamed)) + streamed)
	e := readEvents(t, c.receive().body)
	is.Equal(e.text, textOf(0, 3))
	is.True(e.ended)
}
