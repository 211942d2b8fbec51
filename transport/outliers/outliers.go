// Package outliers carries the messages of outlier detection between hosts: reports of silent
// runners to the runners' owners, and the owners' verdicts to all hosts.
package outliers

import (
	"context"
	"log/slog"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/outlier"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/state/packed"
	"github.com/thymerack/thymerack/transport/peer"
)

// topic is the fanout topic of the verdicts.
const topic fanout.Topic = "outliers"

// maxVerdictTTL bounds the TTL of a verdict, whatever value a peer sends.
const maxVerdictTTL = 10 * time.Second

// report reports that a runner is silent for the sending host. Born is when the runner's run began,
// in Unix milliseconds.
type report struct {
	Name string `msgpack:"n"`
	Born int64  `msgpack:"b,omitempty"`
}

// reportResponse is the empty response to a report.
type reportResponse struct{}

// verdict is an outlier.Verdict on the wire. TTLMS is its TTL in milliseconds.
type verdict struct {
	Name   string `msgpack:"n"`
	Born   int64  `msgpack:"b,omitempty"`
	Silent bool   `msgpack:"s,omitempty"`
	TTLMS  int64  `msgpack:"f,omitempty"`
}

// Register makes s pass the reports of peers to handle.
func Register(s *peer.Server, handle func(state.InstanceID)) {
	s.Handle(peerapi.KindReport, peer.HandleMsg(func(_ context.Context, _ state.HostID, m report) (reportResponse, error) {
		handle(state.InstanceID(m))
		return reportResponse{}, nil
	}))
}

// Peers implements outlier.Peers over calls between hosts.
type Peers struct{ Client *peer.Client }

var _ outlier.Peers = Peers{}

// Report implements outlier.Peers.
func (p Peers) Report(ctx context.Context, addr string, id state.InstanceID) error {
	_, err := peer.CallMsg[report, reportResponse](ctx, p.Client, addr, peerapi.KindReport, report(id))
	return err
}

// Publish sends a verdict to all hosts.
func Publish(ctx context.Context, n *fanout.Node, v outlier.Verdict) error {
	body, err := msgpack.Marshal(verdict{Name: v.Instance.Name, Born: v.Instance.Born, Silent: v.Silent, TTLMS: v.TTL.Milliseconds()})
	if err != nil {
		return err
	}
	n.Publish(ctx, topic, body)
	return nil
}

// Subscribe calls handle with the verdicts of all hosts, including this one.
func Subscribe(n *fanout.Node, handle func(outlier.Verdict), log *slog.Logger) {
	n.Subscribe(topic, func(body []byte) {
		var m verdict
		if err := packed.Decode(body, &m); err != nil {
			log.Warn("invalid outlier verdict", "cause", err.Error())
			return
		}
		ttl := time.Duration(min(max(0, m.TTLMS), maxVerdictTTL.Milliseconds())) * time.Millisecond
		handle(outlier.Verdict{Instance: state.InstanceID{Name: m.Name, Born: m.Born}, Silent: m.Silent, TTL: ttl})
	})
}
