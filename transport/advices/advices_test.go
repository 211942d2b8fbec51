package advices

import (
	"log/slog"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/fanout/fanouttest"
	"github.com/thymerack/thymerack/state"
)

// A notice is also delivered on the host that publishes it, with the runner's run; invalid notices
// are dropped.
func TestPublishDeliversNotice(t *testing.T) {
	is := is.New(t)
	n := fanouttest.NewNode(t)
	want := backpressure.Notice{Instance: state.InstanceID{Name: "i", Born: 1_790_000_000_123}, Service: "s", Kind: backpressure.KindLimit, Limit: 8.4}
	received := 0
	Subscribe(n, func(got backpressure.Notice) {
		received++
		is.Equal(got, want)
	}, slog.New(slog.DiscardHandler))
	is.NoErr(Publish(t.Context(), n, want))
	is.Equal(received, 1)
	want.Limit = math.NaN()
	is.NoErr(Publish(t.Context(), n, want))
	n.Deliver(fanout.Notice{Origin: "other", Number: 1, Topic: topic, Body: []byte("nonsense")})
	is.Equal(received, 1)
}
