// Package relay lets a host that has lost the store read a peer's copies of the
// configuration and of the list of instances, in one call between hosts.
package relay

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

const (
	// MaxBodyBytes bounds a call: a configuration of some hundred routes has about
	// 100 KB, the list of 1,800 instances about 500 KB.
	MaxBodyBytes = 8 << 20
	// callTimeout bounds one call of a peer.
	callTimeout = time.Second
)

// Request names the revisions that the asking host has, by kind.
type Request struct {
	Revisions map[string]uint64 `msgpack:"r"`
}

// Object is an object of the store.
type Object struct {
	Name    string `msgpack:"n"`
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"d"`
}

// Copy is a newer copy of one kind.
type Copy struct {
	Revision uint64   `msgpack:"r"`
	Objects  []Object `msgpack:"o"`
}

// Response has the copies that are newer than the asking host's, by kind.
type Response struct {
	Copies map[string]Copy `msgpack:"c"`
}

// Mirror is a copy that can be read and replaced by a newer one.
type Mirror interface {
	Export() follow.Copy
	Revision() uint64
	Adopt(c follow.Copy, from string) bool
}

// Mirrors are the copies of a host by kind.
type Mirrors map[string]Mirror

// Register lets the server answer peers from the host's copies.
func Register(s *peer.Server, mirrors Mirrors) {
	s.Handle(peerapi.KindCopies, peer.HandleMsg(func(_ context.Context, _ state.HostID, q Request) (Response, error) {
		return mirrors.newer(q), nil
	}))
}

// newer returns the copies that the asking host lacks.
func (m Mirrors) newer(q Request) Response {
	out := Response{Copies: map[string]Copy{}}
	for kind, mirror := range m {
		if mirror.Revision() > q.Revisions[kind] {
			out.Copies[kind] = encode(mirror.Export())
		}
	}
	return out
}

func encode(c follow.Copy) Copy {
	out := Copy{Revision: c.Revision, Objects: make([]Object, 0, len(c.Objects))}
	for _, o := range c.Objects {
		out.Objects = append(out.Objects, Object{o.Name, o.Version, o.Value})
	}
	return out
}

func (c Copy) decode(kind string) follow.Copy {
	out := follow.Copy{Revision: c.Revision, Objects: make([]store.Object, 0, len(c.Objects))}
	for _, o := range c.Objects {
		out.Objects = append(out.Objects, store.Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out
}

// Ask reads the newer copies of the peer at addr into the mirrors.
func Ask(ctx context.Context, c *peer.Client, addr string, mirrors Mirrors) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := Request{Revisions: map[string]uint64{}}
	for kind, m := range mirrors {
		q.Revisions[kind] = m.Revision()
	}
	a, err := peer.CallMsg[Request, Response](ctx, c, addr, peerapi.KindCopies, q)
	if err != nil {
		return err
	}
	for kind, c := range a.Copies {
		if m := mirrors[kind]; m != nil {
			m.Adopt(c.decode(kind), addr)
		}
	}
	return nil
}
