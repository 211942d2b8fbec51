package relay

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
	"github.com/thymerack/thymerack/transport/wallclock"
)

func hostID(name string) state.HostID { return state.HostID{Name: name, Incarnation: "1"} }

func newClient(t *testing.T) *peer.Client {
	t.Helper()
	c, err := peer.NewClient(peer.ClientOptions{Self: hostID("asks"), MaxBodyBytes: MaxBodyBytes})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// newNode returns the fanout node of a host that follows the store of p.
func newNode(t *testing.T, p *storetest.Platform) *fanout.Node {
	t.Helper()
	var n *fanout.Node
	m, err := follow.New(follow.Options{
		Delays: propagation.New(propagation.Bounds{}), Store: p.Client("answers"), Clock: wallclock.Clock{}, Log: slog.New(slog.DiscardHandler), Kind: "a",
		OnChange: func(follow.Copy) {}, RetryGroup: &follow.RetryGroup{}, Notify: func() { n.WakeFollowers() },
	})
	if err != nil {
		t.Fatal(err)
	}
	n, err = fanout.New(fanout.Options{
		Self: state.Peer{Addr: "answers"}, RunID: "answers-1", Hosts: func() []state.Peer { return nil }, Copies: map[string]*follow.Mirror{"a": m},
		Peers: Peers{}, Clock: wallclock.Clock{}, Rand: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler), Delays: propagation.New(propagation.Bounds{}),
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func serve(t *testing.T, n *fanout.Node) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := peer.NewServer(peer.ServerOptions{Self: hostID("answers"), MaxBodyBytes: MaxBodyBytes})
	if err != nil {
		t.Fatal(err)
	}
	Register(s, n)
	ctx, stop := context.WithCancel(context.Background())
	served, ran := make(chan error, 1), make(chan struct{})
	go func() { served <- s.Serve(ctx, ln) }()
	go func() {
		defer close(ran)
		n.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
		<-ran
	})
	return ln.Addr().String()
}

func TestFetchAndSendNoticeOverNetwork(t *testing.T) {
	is := is.New(t)
	p := storetest.NewPlatform(20 * time.Second)
	c := p.Client("operator")
	first, err := c.Put(t.Context(), "a", "x", store.Absent, []byte(`{"v":1}`))
	is.NoErr(err)
	addr := serve(t, newNode(t, p))
	peers := Peers{Client: newClient(t)}
	response, err := peers.Fetch(t.Context(), addr, fanout.Request{Wait: time.Minute})
	is.NoErr(err)
	is.True(!response.Unavailable && !response.HadOutage)
	full := response.Changes["a"]
	is.True(full.Full)
	is.Equal(full.Objects, []store.Object{{Kind: "a", Name: "x", Version: first, Value: []byte(`{"v":1}`)}})
	responses := make(chan fanout.Response, 1)
	go func() {
		response, err := peers.Fetch(context.Background(), addr, fanout.Request{Since: fanout.Revisions{"a": full.Revision}, Cursor: response.Cursor, Wait: time.Minute})
		if err != nil {
			t.Error(err)
		}
		responses <- response
	}()
	is.NoErr(c.Delete(t.Context(), "a", "x", first))
	response = <-responses
	is.True(!response.Changes["a"].Full)
	is.Equal(len(response.Changes["a"].Deleted), 1)
	is.Equal(response.Changes["a"].Deleted[0].Name, "x")
	notice := fanout.Notice{Origin: "h-1", Number: 3, Topic: "t", Body: []byte("body")}
	is.NoErr(peers.SendNotice(t.Context(), addr, notice))
	response, err = peers.Fetch(t.Context(), addr, fanout.Request{Since: fanout.Revisions{"a": response.Changes["a"].Revision}, Cursor: response.Cursor, Wait: time.Minute})
	is.NoErr(err)
	is.Equal(response.Notices, []fanout.Notice{notice})
}

func TestUnreachablePeerIsError(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = Peers{Client: newClient(t)}.Fetch(t.Context(), addr, fanout.Request{})
	is.True(err != nil)
}

// Any response bytes of a peer are either decoded or refused, and a decoded response survives
// encoding.
func FuzzResponse(f *testing.F) {
	regained := int64(-5)
	for _, r := range []Response{
		{Unavailable: true},
		{RecoveredAgoMS: &regained, Changes: map[string]Delta{"a": {Revision: 9, Full: true, Objects: []Object{{"x", 8, []byte("{}")}}}}},
		{Changes: map[string]Delta{"a": {Revision: 1 << 63, Deleted: []Object{{"", 1 << 63, nil}}}}},
	} {
		body, err := msgpack.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var r Response
		if msgpack.Unmarshal(body, &r) != nil {
			return
		}
		response, err := r.decode()
		if err != nil {
			return
		}
		if response.RecoveredAgo < 0 {
			t.Errorf("the store recovers in the future: %s", -response.RecoveredAgo)
		}
		again, err := encode(response).decode()
		if err != nil || len(again.Changes) != len(response.Changes) || again.Unavailable != response.Unavailable || again.HadOutage != response.HadOutage {
			t.Errorf("%v was decoded as %v after encoding", response, again)
		}
	})
}

// The compressed list of 3,000 instances takes about 50 ms on a small host's link of 20 Mbit/s.
func TestListsAreCompressed(t *testing.T) {
	is := is.New(t)
	r := Response{Changes: map[string]Delta{"a": {Revision: 9, Full: true}}}
	d := r.Changes["a"]
	for i := range 3000 {
		entry := fmt.Sprintf(`{"service":"huvo11a","addr":"10.128.%d.%d:8080","zone":"hall-nord","version":"v1","slots":12,"state":"ready","cold-left-ms":0,"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],"seq":%d}`, i/250, i%250, i)
		d.Objects = append(d.Objects, Object{fmt.Sprintf("i-%08x", i*7919), uint64(i), []byte(entry)})
	}
	r.Changes["a"] = d
	p, err := pack(r)
	is.NoErr(err)
	is.True(len(p.S2) > 0 && len(p.S2) < 130_000)
	back, err := p.unpack()
	is.NoErr(err)
	is.Equal(back, r)
	small, err := pack(Response{Unavailable: true})
	is.NoErr(err)
	is.True(len(small.Plain) > 0 && len(small.S2) == 0)
	for _, bad := range []Packed{{S2: []byte{0xff, 0xff, 0xff, 0xff, 0x0f}}, {S2: []byte{5, 1}}, {Plain: []byte{0xc1}}} {
		_, err := bad.unpack()
		is.True(err != nil)
	}
}
