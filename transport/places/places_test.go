package places

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
	"github.com/thymerack/thymerack/transport/wallclock"
)

func hostID(name string) state.HostID { return state.HostID{Name: name, Incarnation: "1"} }

// serve answers for a book and returns its address and calls to it.
func serve(t *testing.T) (string, Peers) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := peer.NewServer(peer.ServerOptions{Self: hostID("keeps")})
	if err != nil {
		t.Fatal(err)
	}
	Register(s, occupancy.NewBook(wallclock.Clock{}))
	c, err := peer.NewClient(peer.ClientOptions{Self: hostID("asks")})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		c.Close()
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String(), Peers{Client: c}
}

func TestPlacesAreGivenAndEndedOverTheNetwork(t *testing.T) {
	is := is.New(t)
	addr, peers := serve(t)
	a := occupancy.Ask{Engine: "e", Size: 2890, Target: time.Minute, Keep: time.Hour}
	var ids []uint64
	for {
		id, given, err := peers.Enter(t.Context(), addr, a)
		is.NoErr(err)
		if !given {
			break
		}
		ids = append(ids, id)
	}
	is.True(len(ids) > 0)
	is.NoErr(peers.Leave(t.Context(), addr, "e", ids[0], false))
	_, given, err := peers.Enter(t.Context(), addr, a)
	is.NoErr(err)
	is.True(given)
}

func TestKeeperOutOfReachIsAnError(t *testing.T) {
	is := is.New(t)
	_, peers := serve(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	_, given, err := peers.Enter(t.Context(), addr, occupancy.Ask{Engine: "e"})
	is.True(err != nil)
	is.True(!given)
}
