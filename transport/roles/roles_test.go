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
	Register(s, func(engines []state.InstanceID, role state.Role, within time.Duration) {
		got <- NewChange(engines, role, within)
	})
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(gone.Close())
	client, err := peer.NewClient(peer.ClientOptions{Self: state.HostID{Name: "tells", Incarnation: "1"}})
	is.NoErr(err)
	c := NewChange([]state.InstanceID{{Name: "e1"}, {Name: "e2", Born: 1_790_000_000_123}}, state.RolePrefill, 8*time.Second)
	a := Announcer{Client: client, Log: slog.New(slog.DiscardHandler), Peers: func() []string {
		return []string{gone.Addr().String(), ln.Addr().String()}
	}}
	a.Announce(t.Context(), c)
	is.Equal(<-got, c)
	client.Close()
	stop()
	is.NoErr(<-served)
}
