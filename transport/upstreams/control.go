package upstreams

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// controlCall is one small call of an engine's API.
type controlCall struct {
	path    string
	attempt string
	// body is sent as JSON by POST; nil means GET.
	body    any
	timeout time.Duration
	// over is an error status that means the call has nothing left to do.
	over int
	// via chooses the connections.
	via func(*peer) *httpclient.Client
}

func viaKept(p *peer) *httpclient.Client    { return p.kept }
func viaControl(p *peer) *httpclient.Client { return p.control }
func viaOrders(p *peer) *httpclient.Client  { return p.orders }

// control makes the call and decodes its answer into a T.
func control[T any](ctx context.Context, c *Client, u state.Upstream, q controlCall) (T, error) {
	var answer, none T
	p, err := c.peer(u.Addr)
	if err != nil {
		return none, notSent(u, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := q.fill(req, u); err != nil {
		return none, notSent(u, err)
	}
	limits := httpclient.Limits{Timeout: q.timeout, MaxBodyBytes: c.opts.MaxControlBytes}
	if err := exchange(ctx, q.via(p), u, req, resp, limits); err != nil {
		return none, err
	}
	switch status := resp.StatusCode(); {
	case status == q.over || status == fasthttp.StatusNoContent:
		return none, nil
	case status != fasthttp.StatusOK:
		return none, statusError(u, resp, resp.Body())
	case len(resp.Body()) == 0:
		return none, nil
	}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return none, badAnswer(u, "the answer is unreadable", err)
	}
	return answer, nil
}

func (q controlCall) fill(req *fasthttp.Request, u state.Upstream) error {
	if q.body != nil {
		return postJSON(req, u, q.path, q.attempt, q.body)
	}
	req.Header.SetMethod(fasthttp.MethodGet)
	req.Header.SetRequestURI(q.path)
	req.Header.SetHost(u.Addr)
	return nil
}
