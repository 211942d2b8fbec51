package runners

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/thymerack/thymerack/coordination/reach"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
	"github.com/thymerack/thymerack/transport/tunnel"
)

const (
	// DirectTimeout is some twenty times the round trip between failure domains (2.8 ms) with a
	// handshake of 1 ms: a runner that takes longer doesn't answer.
	DirectTimeout = 150 * time.Millisecond
	// PeerTimeout is how long another host tries to connect for this one, so that its reply arrives by the time
	// at which the direct attempt fails.
	PeerTimeout = 100 * time.Millisecond
	// connectTimeout bounds the making of a connection by all paths.
	connectTimeout = 3 * DirectTimeout
)

// TCP returns the options of TCP connections to runners and tunnels. localIP is their source address; nil
// lets the kernel choose.
func TCP(localIP net.IP) *httpclient.Options {
	return &httpclient.Options{LocalIP: localIP, UserTimeout: userTimeout, KeepAlive: keepAlive}
}

// Dialer makes connections to runners, over this host's own links and through other hosts.
type Dialer struct {
	TCP     *httpclient.Options
	Tunnels *tunnel.Client
}

var _ reach.Dialer[net.Conn] = Dialer{}

// Direct implements reach.Dialer.
func (d Dialer) Direct(ctx context.Context, i *state.Instance) (net.Conn, reach.Evidence, error) {
	ctx, cancel := context.WithTimeout(ctx, DirectTimeout)
	defer cancel()
	c, err := d.TCP.DialTCP(ctx, i.Addr)
	if err != nil {
		return nil, evidenceOf(ctx, err), err
	}
	return c, "", nil
}

// ViaPeer implements reach.Dialer.
func (d Dialer) ViaPeer(ctx context.Context, peer state.Peer, i *state.Instance) (net.Conn, reach.Reply, bool, error) {
	c, reply, replied, err := d.Tunnels.Open(ctx, peer, i)
	if err != nil {
		return nil, reply, replied, err
	}
	return c, reply, true, nil
}

// evidenceOf returns what a failed attempt to connect says of the link; "" if it says nothing: the
// attempt was cancelled, or this host lacks resources.
func evidenceOf(ctx context.Context, err error) reach.Evidence {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return ""
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return reach.EvidenceRefused
	case ctx.Err() != nil, errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return reach.EvidenceNoAnswer
	default:
		return ""
	}
}
