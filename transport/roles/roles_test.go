package roles

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/relay"
	"github.com/thymerack/thymerack/transport/wallclock"
)

func newNode(t *testing.T) *fanout.Node {
	t.Helper()
	n, err := fanout.New(fanout.Options{
		Self: state.Peer{Addr: "h"}, Run: "h-1", Hosts: func() []state.Peer { return nil }, Copies: map[string]*follow.Mirror{"a": nil},
		Peers: relay.Peers{}, Clock: wallclock.Clock{}, Rand: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler), Wait: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// An announcement reaches its own host too, with the runs that it names.
func TestChangeIsAnnounced(t *testing.T) {
	is := is.New(t)
	n := newNode(t)
	engines := []state.InstanceID{{Name: "e1"}, {Name: "e2", Born: 1_790_000_000_123}}
	heard := 0
	Subscribe(n, func(got []state.InstanceID, role state.Role, within time.Duration) {
		heard++
		is.Equal(got, engines)
		is.Equal(role, state.RolePrefill)
		is.Equal(within, 8*time.Second)
	}, slog.New(slog.DiscardHandler))
	is.NoErr(Announce(t.Context(), n, engines, state.RolePrefill, 8*time.Second))
	is.Equal(heard, 1)
	n.Deliver(fanout.Notice{Origin: "other", Number: 1, Topic: topic, Body: []byte("nonsense")})
	is.Equal(heard, 1)
}
