// Package fleetloads carries the load of engines between hosts: the samples that the holder of the
// lease asks the owners for, and its notices to all hosts.
package fleetloads

import (
	"context"
	"log/slog"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/fleetload"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/state/packed"
	"github.com/thymerack/thymerack/transport/peer"
)

// topic is the fanout topic of the notices.
const topic fanout.Topic = "load"

// request asks for a sample.
type request struct{}

// Register makes s answer peers with samples.
func Register(s *peer.Server, take func() (fleetload.Sample, error)) {
	s.Handle(peerapi.KindLoad, peer.HandleMsg(func(context.Context, state.HostID, request) (sample, error) {
		got, err := take()
		if err != nil {
			return sample{}, err
		}
		return encodeSample(got), nil
	}))
}

// Peers implements fleetload.Peers over calls between hosts.
type Peers struct{ Client *peer.Client }

var _ fleetload.Peers = Peers{}

// Sample implements fleetload.Peers.
func (p Peers) Sample(ctx context.Context, addr string) (fleetload.Sample, error) {
	got, err := peer.CallMsg[request, sample](ctx, p.Client, addr, peerapi.KindLoad, request{})
	if err != nil {
		return fleetload.Sample{}, err
	}
	return got.decode()
}

// Publish sends a notice to all hosts, including this one.
func Publish(ctx context.Context, n *fanout.Node, notice fleetload.Notice) error {
	body, err := msgpack.Marshal(encodeNotice(notice))
	if err != nil {
		return err
	}
	n.Publish(ctx, topic, body)
	return nil
}

// Subscribe calls receive with the notices that hosts publish, including this one.
func Subscribe(n *fanout.Node, receive func(fleetload.Notice), log *slog.Logger) {
	n.Subscribe(topic, func(body []byte) {
		got, err := decodeNotice(body)
		if err != nil {
			log.Warn("invalid load notice", "cause", err.Error())
			return
		}
		receive(got)
	})
}

// decodeNotice reads a notice that a host published.
func decodeNotice(body []byte) (fleetload.Notice, error) {
	var m notice
	if err := packed.Decode(body, &m); err != nil {
		return fleetload.Notice{}, err
	}
	return m.decode()
}
