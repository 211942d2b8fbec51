package routed

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/transport/callerconn"
)

// listeners holds the listeners of a host's ports; metrics is nil if they aren't served.
type listeners struct {
	callers, ready, peers, tunnels, metrics net.Listener
}

// listen opens all ports of the host, or none if one of them fails.
func (h *Host) listen() (*listeners, error) {
	l := &listeners{}
	ports := []struct {
		into *net.Listener
		addr string
		use  string
	}{
		{&l.callers, h.settings.CallerAddr, "callers"},
		{&l.ready, h.settings.ReadyAddr, "readiness checks"},
		{&l.peers, net.JoinHostPort(h.settings.IP, strconv.Itoa(h.settings.PeerPort)), "peers"},
		{&l.tunnels, net.JoinHostPort(h.settings.IP, strconv.Itoa(h.settings.PeerPort+1)), "tunnels"},
	}
	if h.options.MetricsPort > 0 {
		ports = append(ports, struct {
			into *net.Listener
			addr string
			use  string
		}{&l.metrics, net.JoinHostPort(h.settings.IP, strconv.Itoa(h.options.MetricsPort)), "metrics"})
	}
	for _, p := range ports {
		ln, err := net.Listen("tcp4", p.addr)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("listen for %s on %s: %w; free the port or change the settings", p.use, p.addr, err)
		}
		*p.into = callerconn.NewRetryListener(ln, callerconn.RetryOptions{Use: p.use, Log: h.log, Failed: h.metrics.acceptFailures(p.use)})
	}
	return l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.ready, l.peers, l.tunnels, l.metrics} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// serve serves all ports, each in a goroutine that ends when its listener is closed; that of
// peers ends when the serving context is done.
func (h *Host) serve(serving context.Context, l *listeners) {
	run := func(use string, serve func() error) {
		go func() {
			if err := serve(); err != nil {
				h.log.Error("listener ended", "use", use, "cause", err.Error())
			}
		}()
	}
	run("callers", func() error { return h.gateway.Serve(l.callers) })
	run("readiness checks", func() error { return h.ready.server.Serve(l.ready) })
	run("peers", func() error { return h.peerServer.Serve(serving, l.peers) })
	run("tunnels", func() error { return h.tunnels.Serve(l.tunnels) })
	if l.metrics != nil {
		run("metrics", func() error { return h.metrics.server(h.serveLoad).Serve(l.metrics) })
	}
}

// readiness answers the readiness checks of the load balancer: 200 if ready, 503 otherwise.
type readiness struct {
	server  *fasthttp.Server
	leaving atomic.Bool
}

func newReadiness(ready func() bool) *readiness {
	r := &readiness{}
	r.server = &fasthttp.Server{
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                nil,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if r.leaving.Load() || !ready() {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
	}
	return r
}

func (r *readiness) setLeaving() { r.leaving.Store(true) }
