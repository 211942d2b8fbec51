// Package pings carries the questions by which hosts find out which others are gone.
package pings

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/liveness"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// ping asks a host whether it is there; with To, to ask the host there.
type ping struct {
	To string `msgpack:"t,omitempty"`
}

// pong answers a ping.
type pong struct{}

// viaTimeout bounds a question that is asked for another host.
const viaTimeout = 500 * time.Millisecond

// Register lets the server answer pings, and pass them on.
func Register(s *peer.Server, p Peers) {
	s.Handle(peerapi.KindPing, peer.HandleMsg(func(ctx context.Context, _ state.HostID, m ping) (pong, error) {
		if m.To == "" {
			return pong{}, nil
		}
		ctx, cancel := context.WithTimeout(ctx, viaTimeout)
		defer cancel()
		return pong{}, p.Ping(ctx, m.To)
	}))
}

// Peers asks other hosts.
type Peers struct{ Client *peer.Client }

var _ liveness.Peers = Peers{}

// Ping implements liveness.Peers.
func (p Peers) Ping(ctx context.Context, addr string) error {
	_, err := peer.CallMsg[ping, pong](ctx, p.Client, addr, peerapi.KindPing, ping{})
	return err
}

// PingVia implements liveness.Peers.
func (p Peers) PingVia(ctx context.Context, helper, addr string) error {
	_, err := peer.CallMsg[ping, pong](ctx, p.Client, helper, peerapi.KindPing, ping{To: addr})
	return err
}
