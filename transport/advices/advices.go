// Package advices broadcasts backpressure notices: advice that one host receives from a runner
// and that all hosts apply.
package advices

import (
	"context"
	"log/slog"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/state/packed"
)

// topic is the fanout topic of the notices.
const topic fanout.Topic = "advice"

// notice is a backpressure.Notice on the wire. Born is when the run of the runner began, in Unix
// milliseconds; Limit is in requests per second.
type notice struct {
	Name    string  `msgpack:"n"`
	Born    int64   `msgpack:"b,omitempty"`
	Service string  `msgpack:"s"`
	Kind    string  `msgpack:"w"`
	Limit   float64 `msgpack:"l,omitempty"`
}

// Publish sends a notice to all hosts. A host that misses it gets the advice with the runner's
// responses to its own requests.
func Publish(ctx context.Context, n *fanout.Node, msg backpressure.Notice) error {
	body, err := msgpack.Marshal(notice{msg.Instance.Name, msg.Instance.Born, msg.Service, string(msg.Kind), msg.Limit})
	if err != nil {
		return err
	}
	n.Publish(ctx, topic, body)
	return nil
}

// Subscribe calls handle with the notices of all hosts, including this one. Notices that can't be
// decoded or whose limit is negative or not a number are logged and dropped.
func Subscribe(n *fanout.Node, handle func(backpressure.Notice), log *slog.Logger) {
	n.Subscribe(topic, func(body []byte) {
		var m notice
		if err := packed.Decode(body, &m); err != nil || !(m.Limit >= 0) {
			log.Warn("invalid backpressure notice; run the same version on all hosts", "limit", m.Limit, "cause", err)
			return
		}
		handle(backpressure.Notice{Instance: state.InstanceID{Name: m.Name, Born: m.Born}, Service: m.Service, Kind: backpressure.Kind(m.Kind), Limit: m.Limit})
	})
}
