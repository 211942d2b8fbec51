// Package runstatuses carries the questions by which hosts find out whether a run of an upstream has ended for
// others, too.
package runstatuses

import (
	"context"

	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// question names a run.
type question struct {
	Name string `msgpack:"n"`
	Born int64  `msgpack:"b,omitempty"`
}

// response holds the status of the run; neither is set if it is silent or not known.
type response struct {
	Alive bool `msgpack:"a,omitempty"`
	Ended bool `msgpack:"e,omitempty"`
}

// Register makes s answer the questions of peers by status.
func Register(s *peer.Server, status func(context.Context, state.InstanceID) crash.RunStatus) {
	s.Handle(peerapi.KindRunStatus, peer.HandleMsg(func(ctx context.Context, _ state.HostID, q question) (response, error) {
		found := status(ctx, state.InstanceID(q))
		return response{Alive: found == crash.Alive, Ended: found == crash.Ended}, nil
	}))
}

// Ask asks the host at addr for the status of a run.
func Ask(ctx context.Context, c *peer.Client, addr string, id state.InstanceID) (crash.RunStatus, error) {
	r, err := peer.CallMsg[question, response](ctx, c, addr, peerapi.KindRunStatus, question(id))
	switch {
	case err != nil:
		return crash.Silent, err
	case r.Ended:
		return crash.Ended, nil
	case r.Alive:
		return crash.Alive, nil
	default:
		return crash.Silent, nil
	}
}
