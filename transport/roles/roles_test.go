package roles

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/peer"
)

func TestChangeIsAnnouncedToAllPeersThatAnswer(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, err := peer.NewServer(peer.ServerOptions{Self: state.HostID{Name: "hears", Incarnation: "1"}})
	is.NoErr(err)
	got := make(chan Change, 1)
	Register(s, func(engines []string, role state.Role, within time.Duration) {
		got <- Change{engines, string(role), within.Milliseconds()}
	})
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(gone.Close())
	client, err := peer.NewClient(peer.ClientOptions{Self: state.HostID{Name: "tells", Incarnation: "1"}})
	is.NoErr(err)
	c := Change{Engines: []string{"e1", "e2"}, Role: string(state.RolePrefill), WithinMS: 8000}
	a := Announcer{Client: client, Log: slog.New(slog.DiscardHandler), Peers: func() []string {
		return []string{gone.Addr().String(), ln.Addr().String()}
	}}
	a.Announce(t.Context(), c)
	is.Equal(<-got, c)
	client.Close()
	stop()
	is.NoErr(<-served)
}
