package upstreams

import (
	"context"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
)

const (
	pathHealth = "/healthz"
	pathLoad   = "/v1/load"
)

// Check implements upstream.Checker.
func (c *Client) Check(ctx context.Context, u state.Upstream) error {
	p, err := c.peer(u.Addr)
	if err != nil {
		return notSent(u, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetRequestURI(pathHealth)
	limits := httpclient.Limits{Timeout: c.opts.CheckTimeout, MaxBodyBytes: c.opts.MaxControlBytes}
	if err := exchange(ctx, p.control, u, req, resp, limits); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return statusError(u, resp, resp.Body())
	}
	return nil
}

// Load implements upstream.Checker.
func (c *Client) Load(ctx context.Context, u state.Upstream) (state.LoadReport, error) {
	l, err := control[state.LoadReport](ctx, c, u, controlCall{path: pathLoad, timeout: c.opts.CheckTimeout, via: viaControl})
	if err != nil {
		return state.LoadReport{}, err
	}
	if l.Engine != u.Name {
		return state.LoadReport{}, badAnswer(u, fmt.Sprintf("engine %q answers at this address", l.Engine), nil)
	}
	return l, nil
}
