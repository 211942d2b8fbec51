// Package roles broadcasts upcoming role changes of engines from the host that orders them, so that
// other hosts don't send requests that the engines would refuse in their new role.
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

// topic is the fanout topic of the announcements.
const topic fanout.Topic = "roles"

// change announces that engines are about to change to a role.
type change struct {
	Engines []engine `msgpack:"e"`
	Role    string   `msgpack:"r"`
	// WithinMS is the longest time in milliseconds until the list of instances shows the change.
	WithinMS int64 `msgpack:"w"`
}

// engine is one run of an engine. Born is when it began, in Unix milliseconds.
type engine struct {
	Name string `msgpack:"n"`
	Born int64  `msgpack:"b,omitempty"`
}

// Expect records that engines are about to change to a role. The expectation expires after within.
type Expect func(engines []state.InstanceID, role state.Role, within time.Duration)

// Subscribe calls expect with the changes that hosts announce, including this one.
func Subscribe(n *fanout.Node, expect Expect, log *slog.Logger) {
	n.Subscribe(topic, func(body []byte) {
		var c change
		if err := packed.Decode(body, &c); err != nil {
			log.Warn("invalid role announcement", "cause", err.Error())
			return
		}
		ids := make([]state.InstanceID, 0, len(c.Engines))
		for _, e := range c.Engines {
			ids = append(ids, state.InstanceID(e))
		}
		expect(ids, state.Role(c.Role), time.Duration(c.WithinMS)*time.Millisecond)
	})
}

// Announce sends a role change to all hosts. A host that misses it learns of the change from the
// engines' refusals and from the list of instances.
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
