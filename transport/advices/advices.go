// Package advices carries what runners ask of all hosts from the host that hears it to the
// others.
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

// topic is that of the notices.
const topic fanout.Topic = "advice"

// notice is a backpressure.Notice.
type notice struct {
	Name    string  `msgpack:"n"`
	Born    int64   `msgpack:"b,omitempty"`
	Service string  `msgpack:"s"`
	Kind    string  `msgpack:"w"`
	Limit   float64 `msgpack:"l,omitempty"`
}

// Publish tells all hosts. One that isn't reached learns of it by answers of its own.
func Publish(ctx context.Context, n *fanout.Node, msg backpressure.Notice) error {
	body, err := msgpack.Marshal(notice{msg.Instance.Name, msg.Instance.Born, msg.Service, string(msg.Kind), msg.Limit})
	if err != nil {
		return err
	}
	n.Publish(ctx, topic, body)
	return nil
}

// Subscribe takes the notices of all hosts, this one too.
func Subscribe(n *fanout.Node, handle func(backpressure.Notice), log *slog.Logger) {
	n.Subscribe(topic, func(body []byte) {
		var m notice
		if err := packed.Decode(body, &m); err != nil || !(m.Limit >= 0) {
			log.Warn("notice of what a runner asks not readable; run the same version on all hosts", "limit", m.Limit, "cause", err)
			return
		}
		handle(backpressure.Notice{Instance: state.InstanceID{Name: m.Name, Born: m.Born}, Service: m.Service, Kind: backpressure.Kind(m.Kind), Limit: m.Limit})
	})
}
