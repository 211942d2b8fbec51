// Package connleases carries the calls of package connlease between hosts: requests for parts of the connections to
// runners.
package connleases

import (
	"context"
	"errors"

	"github.com/thymerack/thymerack/coordination/connlease"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// request is a connlease.Request on the wire. The lists have one value per item.
type request struct {
	Seq  uint64   `msgpack:"s"`
	Name []string `msgpack:"n"`
	Born []int64  `msgpack:"b"`
	Want []int    `msgpack:"w"`
	Held []int    `msgpack:"h"`
	Used []int    `msgpack:"u"`
}

// response is a connlease.Response on the wire.
type response struct {
	Granted []int `msgpack:"g"`
}

const (
	// maxItems is above what a host asks for in one request, and maxConns above the connections that any runner accepts.
	maxItems = 1024
	maxConns = 1 << 20
)

// errRange reports a request with values out of range, as sent by a host of another version.
var errRange = errors.New("connleases: a request's lists differ in length or have values out of range; run the same version on all hosts")

func encode(req connlease.Request) request {
	m := request{Seq: req.Seq}
	for _, i := range req.Items {
		m.Name, m.Born = append(m.Name, i.Runner.Name), append(m.Born, i.Runner.Born)
		m.Want, m.Held, m.Used = append(m.Want, i.Want), append(m.Held, i.Held), append(m.Used, i.Used)
	}
	return m
}

func (m request) decode() (connlease.Request, error) {
	n := len(m.Name)
	if n > maxItems || len(m.Born) != n || len(m.Want) != n || len(m.Held) != n || len(m.Used) != n {
		return connlease.Request{}, errRange
	}
	out := connlease.Request{Seq: m.Seq, Items: make([]connlease.Item, n)}
	for k := range out.Items {
		i := connlease.Item{Runner: state.InstanceID{Name: m.Name[k], Born: m.Born[k]}, Want: m.Want[k], Held: m.Held[k], Used: m.Used[k]}
		if i.Want < 0 || i.Want > maxConns || i.Held < 0 || i.Held > i.Want || i.Used < 0 || i.Used > i.Held {
			return connlease.Request{}, errRange
		}
		out.Items[k] = i
	}
	return out, nil
}

// Register makes s answer peers from this host's part of the connections.
func Register(s *peer.Server, table *connlease.Table) {
	s.Handle(peerapi.KindLend, peer.HandleMsg(func(_ context.Context, from state.HostID, m request) (response, error) {
		req, err := m.decode()
		if err != nil {
			return response{}, err
		}
		return response(table.Grant(from, req)), nil
	}))
}

// Peers implements connlease.Peers over calls between hosts.
type Peers struct{ Client *peer.Client }

var _ connlease.Peers = Peers{}

// Lend implements connlease.Peers.
func (p Peers) Lend(ctx context.Context, addr string, req connlease.Request) (connlease.Response, error) {
	resp, err := peer.CallMsg[request, response](ctx, p.Client, addr, peerapi.KindLend, encode(req))
	return connlease.Response(resp), err
}
