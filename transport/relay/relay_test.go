package relay

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// mirror is a copy in memory.
type mirror struct {
	copy    follow.Copy
	adopted int
}

func (m *mirror) Export() follow.Copy { return m.copy }
func (m *mirror) Revision() uint64    { return m.copy.Revision }
func (m *mirror) Adopt(c follow.Copy, _ string) bool {
	m.adopted++
	m.copy = c
	return true
}

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

func serve(t *testing.T, mirrors Mirrors) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := peer.NewServer(peer.ServerOptions{Self: hostID("answers"), MaxBodyBytes: MaxBodyBytes})
	if err != nil {
		t.Fatal(err)
	}
	Register(s, mirrors)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

func TestOnlyNewerCopiesAreSent(t *testing.T) {
	is := is.New(t)
	newer := follow.Copy{Revision: 9, Objects: []store.Object{{Kind: "a", Name: "x", Version: 8, Value: []byte(`{"v":1}`)}}}
	addr := serve(t, Mirrors{"a": &mirror{copy: newer}, "b": &mirror{copy: follow.Copy{Revision: 3}}})
	a, b := &mirror{copy: follow.Copy{Revision: 2}}, &mirror{copy: follow.Copy{Revision: 3}}
	is.NoErr(Ask(t.Context(), newClient(t), addr, Mirrors{"a": a, "b": b}))
	is.Equal(a.copy, newer)
	is.Equal(b.adopted, 0)
}

func TestPeerThatIsGoneIsAnError(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	is.True(Ask(context.Background(), newClient(t), addr, Mirrors{}) != nil)
}
