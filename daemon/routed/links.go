package routed

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/thymerack/thymerack/coordination/reach"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/runners"
	"github.com/thymerack/thymerack/transport/tunnel"
)

const (
	// tunnelShare is the share of the file descriptors that tunnels for other hosts may take. Each takes
	// two.
	tunnelShare = 1.0 / 8
	// maxLinkGroups bounds the services and failure domains with gauges of their own.
	maxLinkGroups = 256
)

// buildPaths creates the connector to runners, and the server that connects to them for other hosts.
func (h *Host) buildPaths() (*reach.Connector[net.Conn], error) {
	peers, err := reach.NewPeers(reach.PeersOptions{Self: h.members.self(), Hosts: h.members.All, Clock: h.clock})
	if err != nil {
		return nil, err
	}
	dialer := runners.Dialer{TCP: runners.TCP(loopbackIP(h.settings.IP))}
	dialer.Tunnels, err = tunnel.NewClient(tunnel.ClientOptions{Self: h.id, Dial: dialer.TCP.DialTCP, Addr: h.tunnelAddr, DialTimeout: runners.PeerTimeout, Log: h.log})
	if err != nil {
		return nil, err
	}
	witness, err := reach.NewWitness(reach.WitnessOptions{
		Tracker: h.links, Runners: h.acceptingRunners, Clock: h.clock,
		Connect: func(ctx context.Context, i *state.Instance) error {
			c, _, err := dialer.Direct(ctx, i)
			if err == nil {
				_ = c.Close()
			}
			return err
		},
	})
	if err != nil {
		return nil, err
	}
	h.tunnels, err = tunnel.NewServer(tunnel.ServerOptions{
		Runner: h.tunnelRunner, Lost: h.links.Lost, Conclusive: witness.Conclusive, Prepare: dialer.TCP.Prepare, Log: h.log,
		Connect: func(ctx context.Context, i *state.Instance) (net.Conn, reach.Evidence, error) {
			return h.connectForPeer(ctx, dialer, i)
		},
		MaxTunnels: max(1, int(tunnelShare*float64(h.settings.Limits.Descriptors)/2)),
	})
	if err != nil {
		return nil, err
	}
	h.metrics.gauge("thymerack_tunnels_open", func() float64 { return float64(h.tunnels.Open()) })
	h.metrics.gauge("thymerack_tunnels_opened_total", func() float64 { return float64(h.tunnels.Opened()) })
	return reach.NewConnector(reach.ConnectorOptions[net.Conn]{Tracker: h.links, Peers: peers, Dialer: dialer, Clock: h.clock})
}

// connectForPeer connects to a runner for another host, over this host's own link.
func (h *Host) connectForPeer(ctx context.Context, d runners.Dialer, i *state.Instance) (net.Conn, reach.Evidence, error) {
	ctx, cancel := context.WithTimeout(ctx, runners.PeerTimeout)
	defer cancel()
	c, e, err := d.Direct(ctx, i)
	switch {
	case err == nil:
		h.links.Connected(i)
	case e != "":
		h.links.ConnectFailed(i, e)
	}
	return c, e, err
}

// acceptingRunners returns the runners of a service that accept requests.
func (h *Host) acceptingRunners(service string) []*state.Instance {
	var out []*state.Instance
	for _, r := range h.fleet.Runners(service) {
		out = append(out, r.Instance)
	}
	return out
}

// tunnelRunner returns a runner that other hosts may reach through this one, or nil.
func (h *Host) tunnelRunner(id state.InstanceID) *state.Instance {
	if r := h.fleet.Runner(id); r != nil {
		return r.Instance
	}
	return nil
}

// tunnelAddr returns the address at which a host takes tunnels: the port behind that for peers.
func (h *Host) tunnelAddr(peer state.Peer) (string, error) {
	ip, _, err := net.SplitHostPort(peer.Addr)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(ip, strconv.Itoa(h.settings.PeerPort+1)), nil
}

// loopbackIP returns an address of the loopback network, and nil for any other. By default the source of
// all connections on that network is 127.0.0.1, whichever host makes them.
func loopbackIP(addr string) net.IP {
	if ip := net.ParseIP(addr); ip.IsLoopback() {
		return ip
	}
	return nil
}

// linkMetrics counts evidence of links to runners, and shows in gauges how many runners this host
// reaches.
type linkMetrics struct {
	metrics *hostMetrics
	counts  func(g reach.Group) reach.Counts
	// onChange is called when the state of a link changes.
	onChange func(id state.InstanceID)
	groups   atomic.Int64
}

// LinkFailed implements reach.Observer.
func (m *linkMetrics) LinkFailed(service string, e reach.Evidence) {
	m.metrics.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_link_failures_total{service=%q,evidence=%q}`, service, e)).Inc()
}

// LinkChanged implements reach.Observer. Connections that are kept unused may be dead, or lead through another
// host without need.
func (m *linkMetrics) LinkChanged(id state.InstanceID, _ reach.State) { m.onChange(id) }

// GroupAdded implements reach.Observer.
func (m *linkMetrics) GroupAdded(g reach.Group) {
	if m.groups.Add(1) > maxLinkGroups {
		return
	}
	for _, s := range reach.States {
		m.metrics.gauge(fmt.Sprintf(`thymerack_links{service=%q,failure_domain=%q,state=%q}`, g.Service, g.FailureDomain, s),
			func() float64 { return float64(m.counts(g)[s]) })
	}
}

var _ reach.Observer = (*linkMetrics)(nil)
