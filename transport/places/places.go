// Package places carries the calls for places at engines between hosts.
package places

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// Enter asks for a place at an engine.
type Enter struct {
	Engine   string  `msgpack:"e"`
	Most     int     `msgpack:"m"`
	Size     float64 `msgpack:"s"`
	TargetMS int64   `msgpack:"t"`
	KeepMS   int64   `msgpack:"k"`
}

// Entered answers an Enter; ID is 0 if no place was given.
type Entered struct {
	ID uint64 `msgpack:"i"`
}

// Leave ends a place.
type Leave struct {
	Engine string `msgpack:"e"`
	ID     uint64 `msgpack:"i"`
	Done   bool   `msgpack:"d"`
}

// Left answers a Leave.
type Left struct{}

// Register lets the server answer peers from the host's book.
func Register(s *peer.Server, book *occupancy.Book) {
	s.Handle(peerapi.KindEnter, peer.HandleMsg(func(_ context.Context, _ state.HostID, q Enter) (Entered, error) {
		id, _ := book.Enter(occupancy.Ask{Engine: q.Engine, Most: q.Most, Size: q.Size, Target: millis(q.TargetMS), Keep: millis(q.KeepMS)})
		return Entered{id}, nil
	}))
	s.Handle(peerapi.KindLeave, peer.HandleMsg(func(_ context.Context, _ state.HostID, q Leave) (Left, error) {
		book.Leave(q.Engine, q.ID, q.Done)
		return Left{}, nil
	}))
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Peers calls the books of other hosts.
type Peers struct{ Client *peer.Client }

var _ occupancy.Peers = Peers{}

// Enter implements occupancy.Peers.
func (p Peers) Enter(ctx context.Context, addr string, a occupancy.Ask) (uint64, bool, error) {
	q := Enter{Engine: a.Engine, Most: a.Most, Size: a.Size, TargetMS: a.Target.Milliseconds(), KeepMS: a.Keep.Milliseconds()}
	got, err := peer.CallMsg[Enter, Entered](ctx, p.Client, addr, peerapi.KindEnter, q)
	return got.ID, got.ID != 0, err
}

// Leave implements occupancy.Peers.
func (p Peers) Leave(ctx context.Context, addr, engine string, id uint64, done bool) error {
	_, err := peer.CallMsg[Leave, Left](ctx, p.Client, addr, peerapi.KindLeave, Leave{engine, id, done})
	return err
}
