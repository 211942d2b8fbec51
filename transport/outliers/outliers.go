// Package outliers carries reports and verdicts of silent runners between hosts.
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

// topic is that of the verdicts.
const topic fanout.Topic = "outliers"

// maxVerdictTTL bounds a verdict of a peer, whatever it says.
const maxVerdictTTL = 10 * time.Second

// report says that a host hears nothing of a runner.
type report struct {
	Name string `msgpack:"n"`
	Born int64  `msgpack:"b,omitempty"`
}

// reportResponse answers a report.
type reportResponse struct{}

// verdict tells all hosts whether a runner is silent.
type verdict struct {
	Name   string `msgpack:"n"`
	Born   int64  `msgpack:"b,omitempty"`
	Silent bool   `msgpack:"s,omitempty"`
	TTLMS  int64  `msgpack:"f,omitempty"`
}

// Register lets the server take the reports of peers.
func Register(s *peer.Server, handle func(state.InstanceID)) {
	s.Handle(peerapi.KindReport, peer.HandleMsg(func(_ context.Context, _ state.HostID, m report) (reportResponse, error) {
		handle(state.InstanceID(m))
		return reportResponse{}, nil
	}))
}

// Peers reaches the owners of runners.
type Peers struct{ Client *peer.Client }

var _ outlier.Peers = Peers{}

// Report implements outlier.Peers.
func (p Peers) Report(ctx context.Context, addr string, id state.InstanceID) error {
	_, err := peer.CallMsg[report, reportResponse](ctx, p.Client, addr, peerapi.KindReport, report(id))
	return err
}

// Publish tells all hosts.
func Publish(ctx context.Context, n *fanout.Node, v outlier.Verdict) error {
	body, err := msgpack.Marshal(verdict{Name: v.Instance.Name, Born: v.Instance.Born, Silent: v.Silent, TTLMS: v.TTL.Milliseconds()})
	if err != nil {
		return err
	}
	n.Publish(ctx, topic, body)
	return nil
}

// Subscribe takes the verdicts of all hosts.
func Subscribe(n *fanout.Node, handle func(outlier.Verdict), log *slog.Logger) {
	n.Subscribe(topic, func(body []byte) {
		var m verdict
		if err := packed.Decode(body, &m); err != nil {
			log.Warn("verdict on a runner not readable", "cause", err.Error())
			return
		}
		ttl := time.Duration(min(max(0, m.TTLMS), maxVerdictTTL.Milliseconds())) * time.Millisecond
		handle(outlier.Verdict{Instance: state.InstanceID{Name: m.Name, Born: m.Born}, Silent: m.Silent, TTL: ttl})
	})
}
