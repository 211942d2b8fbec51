package routed

import (
	"github.com/thymerack/thymerack/coordination/connlease"
	"github.com/thymerack/thymerack/coordination/share"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/connleases"
)

// buildConns creates the table of this host's connections to runners.
func (h *Host) buildConns() error {
	var err error
	h.conns, err = connlease.New(connlease.Options{
		Self: h.members.addr(h.settings.IP), Hosts: h.members.All, Part: h.connPart, Clock: h.clock, Log: h.log,
		Instance: func(id state.InstanceID) *state.Instance {
			if r := h.fleet.Runner(id); r != nil {
				return r.Instance
			}
			return nil
		},
		Usable:    func(service string) float64 { return h.connections(service).Usable() },
		CloseIdle: func(i *state.Instance, limit int) { h.pool.Trim(i, limit) },
	})
	if err != nil {
		return err
	}
	connleases.Register(h.peerServer, h.conns)
	for name, value := range map[string]func(connlease.Stats) float64{
		"thymerack_runner_connections_borrowed":      func(s connlease.Stats) float64 { return float64(s.Leased) },
		"thymerack_runner_connections_lent":          func(s connlease.Stats) float64 { return float64(s.Lent) },
		"thymerack_runner_connections_refused_total": func(s connlease.Stats) float64 { return float64(s.Refusals) },
		"thymerack_connection_lease_requests_total":  func(s connlease.Stats) float64 { return float64(s.Requests) },
		"thymerack_connection_lease_failures_total":  func(s connlease.Stats) float64 { return float64(s.Failures) },
		"thymerack_connection_lease_waits_total":     func(s connlease.Stats) float64 { return float64(s.Waits) },
	} {
		h.metrics.gauge(name, func() float64 { return value(h.conns.Stats()) })
	}
	return nil
}

// connPart returns the part that a host has of the connections that a runner accepts.
func (h *Host) connPart(host string, i *state.Instance) connlease.Part {
	c := h.connections(i.Service)
	return connlease.Part{Total: c.Of(host, i.ID.Name), Floor: c.Guaranteed(host, i.ID.Name)}
}

// connections returns the connections that each runner of a service accepts.
func (h *Host) connections(service string) share.Connections {
	return share.Connections{Limit: h.maxConns(service), Hosts: h.members.Hosts(), Runners: h.fleet.Size(service)}
}
