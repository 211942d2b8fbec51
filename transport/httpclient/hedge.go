package httpclient

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// hedgeInterval is how long a request may bring nothing before it is sent once more, and the pause between two of these.
	// A store that is fifty times slower than usual answers within it.
	hedgeInterval = 400 * time.Millisecond
	// hedgeSilence is how long such a further request may bring nothing before it is given up.
	hedgeSilence = 400 * time.Millisecond
)

// hedged is the result of one of several equal requests.
type hedged struct {
	resp *fasthttp.Response
	err  error
}

// DoHedged is Do for a request without effect. As long as the response hasn't begun, the request is sent once more at
// intervals, and the first response is taken: the server may have lost the request, and answer others long before the
// timeout. A server that is only slow is waited for by the first request, and once bytes come none is added.
func (c *Client) DoHedged(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, l Limits) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var begun atomic.Bool
	first := make(chan hedged, 1)
	own := &fasthttp.Request{}
	req.CopyTo(own)
	patient := l
	patient.Begun = &begun
	go func() {
		out := hedged{resp: &fasthttp.Response{}}
		out.err = c.Do(ctx, own, out.resp, patient)
		first <- out
	}()
	tick := time.NewTicker(hedgeInterval)
	defer tick.Stop()
	for {
		select {
		case out := <-first:
			out.resp.CopyTo(resp)
			return out.err
		case <-tick.C:
		}
		if begun.Load() {
			tick.Stop()
			continue
		}
		if c.hedge(ctx, req, resp, l) {
			return nil
		}
	}
}

// hedge sends the request once more, and reports whether it was answered.
func (c *Client) hedge(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, l Limits) bool {
	further := &fasthttp.Request{}
	req.CopyTo(further)
	l.Silence = hedgeSilence
	return c.Do(ctx, further, resp, l) == nil
}
