package upstreams

import (
	"context"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/wallclock"
)

const pathOrders = "/v1/orders"

// Send implements upstream.Orders.
func (c *Client) Send(ctx context.Context, u state.Upstream, fence uint64, nonce string, t state.Target) error {
	_, err := control[engineapi.Shown](ctx, c, u, controlCall{
		path:    pathOrders,
		body:    engineapi.OrderRequest{Engine: u.Name, Fence: fence, Nonce: nonce, Target: t},
		timeout: c.opts.OrderTimeout,
		via:     viaOrders,
	})
	var s *StatusError
	if errors.As(err, &s) && s.Status == fasthttp.StatusConflict {
		return fmt.Errorf("engine %s refused fence %d (%s): %w", u.Name, fence, s.Problem, upstream.ErrStaleFence)
	}
	return err
}

// Show implements upstream.Orders. At is the time before the question was sent,
// so what is shown is never older than it.
func (c *Client) Show(ctx context.Context, u state.Upstream) (upstream.Shown, error) {
	at := wallclock.Now()
	s, err := control[engineapi.Shown](ctx, c, u, controlCall{
		path: pathOrders, timeout: c.opts.OrderTimeout, via: viaOrders,
	})
	if err != nil {
		return upstream.Shown{}, err
	}
	if s.Engine != u.Name {
		return upstream.Shown{}, badAnswer(u, fmt.Sprintf("engine %q answers at this address", s.Engine), nil)
	}
	return upstream.Shown{
		Incarnation: s.Incarnation, Target: s.Target, Fence: s.Fence,
		Changing: s.Changing, InFlight: s.InFlight, At: at,
	}, nil
}
