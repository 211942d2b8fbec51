package runners

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/outlier"
	"github.com/thymerack/thymerack/coordination/reach"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
)

// Paths makes connections to runners.
type Paths interface {
	// Connect makes a connection over the best path.
	Connect(ctx context.Context, i *state.Instance) (net.Conn, error)
	// ConnectDirect makes one over this host's own link, and ConnectViaPeer through another host.
	ConnectDirect(ctx context.Context, i *state.Instance) (net.Conn, reach.Evidence, error)
	ConnectViaPeer(ctx context.Context, i *state.Instance) (net.Conn, error)
	// ReachedByOthers reports whether any of a few other hosts, beside those in asked, connects to a runner.
	ReachedByOthers(ctx context.Context, i *state.Instance, asked []reach.PeerFailure) bool
}

var _ Paths = (*reach.Connector[net.Conn])(nil)

// linkProbeTimeout bounds a probe by which a link is checked: twenty round trips between failure domains and
// a handshake.
const linkProbeTimeout = 100 * time.Millisecond

var _ reach.Prober = (*Pool)(nil)

// CheckLinks checks lost links that no request uses, until ctx ends.
func (p *Pool) CheckLinks(ctx context.Context) { p.checker.Run(ctx) }

// ProbeDirect implements reach.Prober.
func (p *Pool) ProbeDirect(ctx context.Context, i *state.Instance) (answered, connected bool, e reach.Evidence) {
	err := p.probeOver(ctx, i, func(ctx context.Context, i *state.Instance) (net.Conn, error) {
		c, evidence, err := p.o.Paths.ConnectDirect(ctx, i)
		connected, e = err == nil, evidence
		return c, err
	})
	return err == nil, connected, e
}

// ProbeViaPeer implements reach.Prober.
func (p *Pool) ProbeViaPeer(ctx context.Context, i *state.Instance) bool {
	return p.probeOver(ctx, i, p.o.Paths.ConnectViaPeer) == nil
}

// Find finds out whether a runner answers this host or, if it doesn't, another one.
func (p *Pool) Find(ctx context.Context, i *state.Instance) outlier.Finding {
	own, cancel := context.WithTimeout(ctx, linkProbeTimeout)
	defer cancel()
	switch p.Probe(own, i) {
	case crash.Alive:
		return outlier.Answers
	case crash.Ended:
		return outlier.Silent
	}
	var connectErr error
	err := p.probeOver(ctx, i, func(ctx context.Context, i *state.Instance) (c net.Conn, err error) {
		c, connectErr = p.o.Paths.ConnectViaPeer(ctx, i)
		return c, connectErr
	})
	var noPath *reach.NoPathError
	switch {
	case err == nil:
		return outlier.Answers
	case connectErr == nil:
		return outlier.Silent
	case errors.As(connectErr, &noPath) && noPath.Refused():
		return p.findRefused(ctx, i, noPath.Peers)
	case noPath != nil && noPath.RunnerSilent():
		return outlier.Silent
	default:
		return outlier.Unknown
	}
}

// findRefused finds out whether a runner that refuses this host and another one answers further hosts.
func (p *Pool) findRefused(ctx context.Context, i *state.Instance, asked []reach.PeerFailure) outlier.Finding {
	switch reached := p.o.Paths.ReachedByOthers(ctx, i, asked); {
	case !reached:
		return outlier.Silent
	case ctx.Err() != nil:
		return outlier.Unknown
	default:
		return outlier.Answers
	}
}

// probeOver probes a runner over a new connection of connect. The error is nil if it answers.
func (p *Pool) probeOver(ctx context.Context, i *state.Instance, connect func(context.Context, *state.Instance) (net.Conn, error)) error {
	h, err := p.newHTTP(i, 1, true, connect)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, DirectTimeout+linkProbeTimeout)
	defer cancel()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	p.o.Codec.EncodeProbe(i.ID, req)
	req.Header.SetHost(i.Addr)
	return h.Do(ctx, req, resp, httpclient.Limits{Timeout: linkProbeTimeout, MaxBodyBytes: maxAnswerBytes})
}
