package pings

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

// serve starts a host that answers pings.
func serve(t *testing.T, name string) (addr string, p Peers) {
	t.Helper()
	id := state.HostID{Name: name, Incarnation: "1"}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, err := peer.NewClient(peer.ClientOptions{Self: id})
	if err != nil {
		t.Fatal(err)
	}
	server, err := peer.NewServer(peer.ServerOptions{Self: id})
	if err != nil {
		t.Fatal(err)
	}
	Register(server, Peers{client})
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, ln) }()
	t.Cleanup(func() {
		client.Close()
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String(), Peers{client}
}

func TestHostsAreAskedDirectlyAndByWayOfAnother(t *testing.T) {
	is := is.New(t)
	_, looker := serve(t, "looker")
	helper, _ := serve(t, "helper")
	other, _ := serve(t, "other")
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(gone.Close())
	is.NoErr(looker.Ping(t.Context(), other))
	is.NoErr(looker.PingVia(t.Context(), helper, other))
	is.True(looker.Ping(t.Context(), gone.Addr().String()) != nil)
	is.True(looker.PingVia(t.Context(), helper, gone.Addr().String()) != nil)
}
