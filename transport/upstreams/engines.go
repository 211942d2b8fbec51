package upstreams

import (
	"context"
	"encoding/json"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// The paths of an engine.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathPrefill     = "/v1/prefill"
	pathCancel      = "/v1/cancel"
)

const contentJSON = "application/json"

// Generate implements upstream.Engines. The end of ctx cuts the stream.
func (c *Client) Generate(ctx context.Context, u state.Upstream, g upstream.Generate) (upstream.Stream, error) {
	p, err := c.peer(u.Addr)
	if err != nil {
		return nil, notSent(u, err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := postJSON(req, u, generatePath(g), g.Attempt, generateRequest(g, true)); err != nil {
		return nil, notSent(u, err)
	}
	body, err := p.kept.Stream(ctx, req, httpclient.Limits{Timeout: c.opts.AcceptTimeout})
	if err != nil {
		return nil, sendError(u, err)
	}
	if body.Response.StatusCode() != fasthttp.StatusOK {
		defer body.Finish()
		return nil, c.refusal(u, body)
	}
	body.SetSilence(c.opts.SilenceTimeout)
	return &stream{upstream: u, body: body, events: newEventReader(body, c.opts.MaxEventBytes)}, nil
}

// refusal reads the error answer that came in place of a stream.
func (c *Client) refusal(u state.Upstream, body *httpclient.Stream) error {
	problem, err := io.ReadAll(io.LimitReader(body, int64(c.opts.MaxControlBytes)))
	if err != nil {
		return sendError(u, err)
	}
	return c.refused(u, statusError(u, body.Response, problem))
}

// Prefill implements upstream.Engines.
func (c *Client) Prefill(ctx context.Context, u state.Upstream, g upstream.Generate) (upstream.KV, error) {
	a, err := control[engineapi.PrefillAnswer](ctx, c, u, controlCall{
		path: pathPrefill, attempt: g.Attempt, body: generateRequest(g, false), timeout: c.opts.CallTimeout, via: viaKept,
	})
	if err != nil {
		return upstream.KV{}, err
	}
	if a.Attempt != g.Attempt {
		return upstream.KV{}, badAnswer(u, "the answer is to attempt "+a.Attempt, nil)
	}
	return upstream.KV{Source: u.Addr, Handle: a.Handle, Bytes: a.Bytes}, nil
}

// Cancel implements upstream.Engines.
func (c *Client) Cancel(ctx context.Context, u state.Upstream, attempt string) error {
	_, err := control[struct{}](ctx, c, u, controlCall{
		path: pathCancel, attempt: attempt, body: engineapi.CancelRequest{Attempt: attempt},
		timeout: c.opts.CheckTimeout, over: fasthttp.StatusNotFound, via: viaControl,
	})
	return err
}

func generatePath(g upstream.Generate) string {
	if g.Prompt.Chat() {
		return pathChat
	}
	return pathCompletions
}

func generateRequest(g upstream.Generate, stream bool) engineapi.GenerateRequest {
	r := engineapi.GenerateRequest{
		Model: g.Model, Prompt: g.Prompt.Text, MaxTokens: g.MaxTokens, Stream: stream,
		Attempt: g.Attempt, Priority: g.Priority, Given: g.Given,
		KVSource: g.KV.Source, KVHandle: g.KV.Handle,
	}
	for _, m := range g.Prompt.Messages {
		r.Messages = append(r.Messages, engineapi.Message(m))
	}
	return r
}

func postJSON(req *fasthttp.Request, u state.Upstream, path, attempt string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(u.Addr)
	req.Header.SetContentType(contentJSON)
	if attempt != "" {
		req.Header.Set(engineapi.HeaderAttempt, attempt)
	}
	req.SetBodyRaw(b)
	return nil
}
