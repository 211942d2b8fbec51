// Package relay carries changes of the platform's store and notices from the hosts that follow the
// store to the hosts that follow those, by long polling.
package relay

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/protocol/peerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

const (
	// MaxBodyBytes bounds the body of a call. A configuration of some hundred routes has about
	// 100 KB, the list of 3,000 instances about 1 MB.
	MaxBodyBytes = 8 << 20
	// maxWait bounds how long a peer's request is held while there is nothing new.
	maxWait = 30 * time.Second
)

// Request is a fanout.Request on the wire. Revisions are those that the requesting host has, by kind;
// WaitMS is in milliseconds.
type Request struct {
	From      string            `msgpack:"f"`
	Revisions map[string]uint64 `msgpack:"r"`
	WaitMS    int64             `msgpack:"w"`
	Cursor    Cursor            `msgpack:"n"`
	Peek      bool              `msgpack:"p,omitempty"`
	// ReadsLists says that the requesting host reads Delta.List.
	ReadsLists bool `msgpack:"l,omitempty"`
}

// Cursor is the requesting host's position in the relay's notices.
type Cursor struct {
	Relay string `msgpack:"r,omitempty"`
	Next  uint64 `msgpack:"n,omitempty"`
}

// Notice is a fanout.Notice on the wire: a message to all hosts.
type Notice struct {
	Origin string `msgpack:"o"`
	Number uint64 `msgpack:"n"`
	Topic  string `msgpack:"t"`
	Body   []byte `msgpack:"b"`
}

// NoticeResponse is the empty response to a Notice.
type NoticeResponse struct{}

// Object is an object of the store. A deleted object has no value.
type Object struct {
	Name    string `msgpack:"n"`
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"d,omitempty"`
}

// Delta holds the changes of one kind of objects. If Full is set, Objects are all objects of the
// kind.
type Delta struct {
	Revision uint64   `msgpack:"r"`
	Full     bool     `msgpack:"w,omitempty"`
	Objects  []Object `msgpack:"o,omitempty"`
	Deleted  []Object `msgpack:"d,omitempty"`
	// List takes the place of Objects for a long list; see objectList.
	List []byte `msgpack:"l,omitempty"`
	// AgeMS is how long ago the copy was last known to be current, in milliseconds, rounded up;
	// absent if unknown.
	AgeMS *int64 `msgpack:"a,omitempty"`
}

// Response is a fanout.Response on the wire. Changes are the changes after the revisions of the
// request, by kind.
type Response struct {
	Unavailable bool `msgpack:"l,omitempty"`
	// RecoveredAgoMS is how long ago the store became available again, in milliseconds; absent
	// if there was no outage.
	RecoveredAgoMS *int64           `msgpack:"g,omitempty"`
	Changes        map[string]Delta `msgpack:"c"`
	Notices        []Notice         `msgpack:"n,omitempty"`
	Cursor         Cursor           `msgpack:"d"`
}

// Register makes s answer the hosts that follow this one, and deliver the notices of peers to n.
func Register(s *peer.Server, n *fanout.Node) {
	lists := newListCache()
	s.Handle(peerapi.KindCopies, peer.HandleMsg(func(ctx context.Context, _ state.HostID, q Request) (Packed, error) {
		wait := min(max(0, time.Duration(q.WaitMS)*time.Millisecond), maxWait)
		resp := n.Serve(ctx, fanout.Request{From: q.From, Since: q.Revisions, Cursor: fanout.Cursor(q.Cursor), Wait: wait, Peek: q.Peek})
		if !q.ReadsLists {
			return pack(encode(resp))
		}
		return lists.pack(resp)
	}))
	s.Handle(peerapi.KindNotice, peer.HandleMsg(func(_ context.Context, _ state.HostID, m Notice) (NoticeResponse, error) {
		n.Deliver(m.decode())
		return NoticeResponse{}, nil
	}))
}

// Peers implements fanout.Peers over calls between hosts.
type Peers struct{ Client *peer.Client }

var _ fanout.Peers = Peers{}

// Fetch implements fanout.Peers.
func (p Peers) Fetch(ctx context.Context, addr string, q fanout.Request) (fanout.Response, error) {
	m := Request{From: q.From, Revisions: q.Since, WaitMS: q.Wait.Milliseconds(), Cursor: Cursor(q.Cursor), Peek: q.Peek, ReadsLists: true}
	a, err := peer.CallMsg[Request, Packed](ctx, p.Client, addr, peerapi.KindCopies, m)
	if err != nil {
		return fanout.Response{}, err
	}
	r, err := a.unpack()
	if err != nil {
		return fanout.Response{}, err
	}
	return r.decode()
}

// SendNotice implements fanout.Peers.
func (p Peers) SendNotice(ctx context.Context, addr string, n fanout.Notice) error {
	_, err := peer.CallMsg[Notice, NoticeResponse](ctx, p.Client, addr, peerapi.KindNotice, encodeNotice(n))
	return err
}

func encodeNotice(n fanout.Notice) Notice {
	return Notice{Origin: n.Origin, Number: n.Number, Topic: string(n.Topic), Body: n.Body}
}

func (m Notice) decode() fanout.Notice {
	return fanout.Notice{Origin: m.Origin, Number: m.Number, Topic: fanout.Topic(m.Topic), Body: m.Body}
}

func encode(n fanout.Response) Response {
	out := Response{Unavailable: n.Unavailable, Changes: map[string]Delta{}, Cursor: Cursor(n.Cursor)}
	for _, notice := range n.Notices {
		out.Notices = append(out.Notices, encodeNotice(notice))
	}
	if n.HadOutage {
		ms := n.RecoveredAgo.Milliseconds()
		out.RecoveredAgoMS = &ms
	}
	for kind, d := range n.Changes {
		out.Changes[kind] = Delta{Revision: d.Revision, Full: d.Full, Objects: encodeObjects(d.Objects), Deleted: encodeObjects(d.Deleted), AgeMS: encodeAge(d)}
	}
	return out
}

func (r Response) decode() (fanout.Response, error) {
	out := fanout.Response{Unavailable: r.Unavailable, Changes: map[string]follow.Delta{}, Cursor: fanout.Cursor(r.Cursor)}
	for _, m := range r.Notices {
		out.Notices = append(out.Notices, m.decode())
	}
	if r.RecoveredAgoMS != nil {
		out.HadOutage, out.RecoveredAgo = true, max(0, time.Duration(*r.RecoveredAgoMS)*time.Millisecond)
	}
	for kind, d := range r.Changes {
		var err error
		if out.Changes[kind], err = d.decode(kind); err != nil {
			return fanout.Response{}, err
		}
	}
	return out, nil
}

// encodeAge rounds up, because a copy must never be taken for more recent than it is.
func encodeAge(d follow.Delta) *int64 {
	if !d.Proven {
		return nil
	}
	ms := (d.Age + time.Millisecond - 1).Milliseconds()
	return &ms
}

func (d Delta) decode(kind string) (follow.Delta, error) {
	out := follow.Delta{Revision: d.Revision, Full: d.Full, Objects: decodeObjects(kind, d.Objects), Deleted: decodeObjects(kind, d.Deleted)}
	if d.AgeMS != nil {
		out.Proven, out.Age = true, max(0, time.Duration(*d.AgeMS)*time.Millisecond)
	}
	if len(d.List) > 0 {
		objects, err := decodeList(kind, d.List)
		if err != nil {
			return follow.Delta{}, err
		}
		out.Objects = append(out.Objects, objects...)
	}
	return out, nil
}

func encodeObjects(objects []store.Object) []Object {
	out := make([]Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, Object{o.Name, o.Version, o.Value})
	}
	return out
}

func decodeObjects(kind string, objects []Object) []store.Object {
	out := make([]store.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, store.Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out
}
