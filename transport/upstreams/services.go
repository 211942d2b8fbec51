package upstreams

import (
	"context"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// CallError says that a call can't be put on the wire.
type CallError struct {
	Part string
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("the call's %s has a character that HTTP forbids; escape it", e.Part)
}

// Call implements upstream.Services. Statuses 429 and 503 are a SendError with
// Refused; any other status is an answer.
func (c *Client) Call(ctx context.Context, u state.Upstream, q upstream.Call) (upstream.Answer, error) {
	p, err := c.peer(u.Addr)
	if err != nil {
		return upstream.Answer{}, notSent(u, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := fillCall(req, q); err != nil {
		return upstream.Answer{}, notSent(u, err)
	}
	resp.Header.SetNoDefaultContentType(true)
	h := p.kept
	if q.Key != "" {
		h = p.once
	}
	limits := httpclient.Limits{Timeout: c.opts.CallTimeout, MaxBodyBytes: c.opts.MaxAnswerBytes}
	if err := exchange(ctx, h, u, req, resp, limits); err != nil {
		return upstream.Answer{}, err
	}
	return c.answer(u, q, resp)
}

func (c *Client) answer(u state.Upstream, q upstream.Call, resp *fasthttp.Response) (upstream.Answer, error) {
	attempt := string(resp.Header.Peek(engineapi.HeaderAttempt))
	if refuses(resp.StatusCode()) {
		err := statusError(u, resp, resp.Body())
		// The refusal of another attempt says nothing of this one.
		err.Refused = attempt == "" || attempt == q.Attempt
		return upstream.Answer{}, c.refused(u, err)
	}
	return upstream.Answer{
		Attempt:     attempt,
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}

func fillCall(req *fasthttp.Request, q upstream.Call) error {
	if !isToken(q.Method) {
		return &CallError{"method"}
	}
	if !strings.HasPrefix(q.Path, "/") || !isVisible(q.Path) {
		return &CallError{"path"}
	}
	req.Header.SetMethod(q.Method)
	req.Header.SetRequestURI(q.Path)
	for _, h := range q.Headers {
		if !isToken(h.Name) || !isFieldValue(h.Value) {
			return &CallError{"header " + h.Name}
		}
		if !ownHeader(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	if !isFieldValue(q.ContentType) || !isFieldValue(q.Key) || !isFieldValue(q.Attempt) {
		return &CallError{"content type, key or attempt"}
	}
	req.Header.Set(engineapi.HeaderAttempt, q.Attempt)
	if q.Key != "" {
		req.Header.Set(engineapi.HeaderKey, q.Key)
	}
	if q.ContentType != "" {
		req.Header.SetContentType(q.ContentType)
	}
	req.SetBodyRaw(q.Body)
	return nil
}

// ownHeader reports whether a header belongs to the connection or to this host
// rather than to the caller.
func ownHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "expect", "content-length", "content-type", "host",
		"x-attempt-id", "idempotency-key":
		return true
	}
	return false
}

func isToken(s string) bool {
	const separators = "()<>@,;:\\\"/[]?={}"
	return s != "" && isVisible(s) && !strings.ContainsAny(s, separators)
}

// isVisible reports whether s has only visible ASCII characters.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func isFieldValue(s string) bool { return !strings.ContainsAny(s, "\r\n\x00") }
