package roles

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/fanout/fanouttest"
	"github.com/thymerack/thymerack/state"
)

// An announcement is also delivered on the host that publishes it, with the engines' runs; invalid
// ones are dropped.
func TestAnnounceDeliversRoleChange(t *testing.T) {
	is := is.New(t)
	n := fanouttest.NewNode(t)
	engines := []state.InstanceID{{Name: "e1"}, {Name: "e2", Born: 1_790_000_000_123}}
	received := 0
	Subscribe(n, func(got []state.InstanceID, role state.Role, within time.Duration) {
		received++
		is.Equal(got, engines)
		is.Equal(role, state.RolePrefill)
		is.Equal(within, 8*time.Second)
	}, slog.New(slog.DiscardHandler))
	is.NoErr(Announce(t.Context(), n, engines, state.RolePrefill, 8*time.Second))
	is.Equal(received, 1)
	n.Deliver(fanout.Notice{Origin: "other", Number: 1, Topic: topic, Body: []byte("nonsense")})
	is.Equal(received, 1)
}
