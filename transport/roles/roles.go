// Package roles lets the host that orders engines tell the others which engines are
// about to change their role, so that they send them nothing that would be refused.
package roles

import (
	"context"
	"log/slog"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/state/packed"
)

// topic is that of the notices.
const topic fanout.Topic = "roles"

// change says that engines are about to take a role.
type change struct {
	Engines []engine `msgpack:"e"`
	Role    string   `msgpack:"r"`
	// WithinMS is how long the change may take to show in the list of instances.
	WithinMS int64 `msgpack:"w"`
}

// engine is one run of an engine.
type engine struct {
	Name string `msgpack:"n"`
	Born int64  `msgpack:"b,omitempty"`
}

// Expect notes that engines are about to take a role, for so long at most.
type Expect func(engines []state.InstanceID, role state.Role, within time.Duration)

// Subscribe takes the changes that hosts announce, this one too.
func Subscribe(n *fanout.Node, expect Expect, log *slog.Logger) {
	n.Subscribe(topic, func(body []byte) {
		var c change
		if err := packed.Decode(body, &c); err != nil {
			log.Warn("announcement of a role not readable", "cause", err.Error())
			return
		}
		ids := make([]state.InstanceID, 0, len(c.Engines))
		for _, e := range c.Engines {
			ids = append(ids, state.InstanceID(e))
		}
		expect(ids, state.Role(c.Role), time.Duration(c.WithinMS)*time.Millisecond)
	})
}

// Announce tells all hosts. One that isn't reached learns of the change by refusals and
// the list.
func Announce(ctx context.Context, n *fanout.Node, engines []state.InstanceID, role state.Role, within time.Duration) error {
	c := change{Role: string(role), WithinMS: within.Milliseconds()}
	for _, id := range engines {
		c.Engines = append(c.Engines, engine(id))
	}
	body, err := msgpack.Marshal(c)
	if err != nil {
		return err
	}
	n.Publish(ctx, topic, body)
	return nil
}
