// Package roles lets the host that orders engines tell the others which engines are
// about to change their role, so that they send them nothing that would be refused.
package roles

import (
	"context"
	"log/slog"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// Change says that engines are about to take a role.
type Change struct {
	Engines []Engine `msgpack:"e"`
	Role    string   `msgpack:"r"`
	// WithinMS is how long the change may take to show in the list of instances.
	WithinMS int64 `msgpack:"w"`
}

// Engine is one run of an engine.
type Engine struct {
	Name string `msgpack:"n"`
	Born int64  `msgpack:"b,omitempty"`
}

// NewChange says that engines are about to take a role.
func NewChange(engines []state.InstanceID, role state.Role, within time.Duration) Change {
	c := Change{Role: string(role), WithinMS: within.Milliseconds()}
	for _, id := range engines {
		c.Engines = append(c.Engines, Engine(id))
	}
	return c
}

// instances are the engines of the change.
func (c Change) instances() []state.InstanceID {
	out := make([]state.InstanceID, 0, len(c.Engines))
	for _, e := range c.Engines {
		out = append(out, state.InstanceID(e))
	}
	return out
}

// Noted answers a Change.
type Noted struct{}

// Expect notes that engines are about to take a role, for so long at most.
type Expect func(engines []state.InstanceID, role state.Role, within time.Duration)

// Register lets the server take the changes that peers announce.
func Register(s *peer.Server, expect Expect) {
	s.Handle(peerapi.KindRoles, peer.HandleMsg(func(_ context.Context, _ state.HostID, c Change) (Noted, error) {
		expect(c.instances(), state.Role(c.Role), time.Duration(c.WithinMS)*time.Millisecond)
		return Noted{}, nil
	}))
}

// Announcer tells peers.
type Announcer struct {
	Client *peer.Client
	Peers  func() []string
	Log    *slog.Logger
}

// Announce tells all peers and waits until they answered or ctx ends. One that isn't
// reached learns of the change by refusals and the list.
func (a Announcer) Announce(ctx context.Context, c Change) {
	var group conc.WaitGroup
	for _, addr := range a.Peers() {
		group.Go(func() {
			if _, err := peer.CallMsg[Change, Noted](ctx, a.Client, addr, peerapi.KindRoles, c); err != nil {
				a.Log.Info("change of role not announced", "peer", addr, "engines", len(c.Engines), "cause", err.Error())
			}
		})
	}
	group.Wait()
}
