package follow

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// A host that learns of all instances at once, as after its start, or of the loss of all, logs a few
// lines whatever the size of the fleet; the counts are complete.
func TestLogVolumeDoesNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{10, 1000, 10_000, 20_000} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			l := NewInstances(InstancesOptions{
				Clock: clocktest.Bubble{}, Log: slog.New(slog.NewTextHandler(&out, nil)), Publish: func(state.InstanceChanges) {}, OnUnusable: func() {}, OnDeparture: func(Departure, time.Duration) {},
				Decode: func(id string, _ []byte) (state.Instance, error) {
					return state.Instance{ID: state.InstanceID{Name: id}, Service: "s", Addr: id}, nil
				},
				EntriesMayBeMissing: func() bool { return false }, HoldFor: time.Second, Leaving: func(state.InstanceID) bool { return false }, HeartbeatTimeout: time.Second,
			})
			c := Copy{Revision: 1}
			for i := range n {
				c.Objects = append(c.Objects, store.Object{Name: fmt.Sprint("i-", i), Version: 1})
			}
			l.update(c)
			l.update(Copy{Revision: 2})
			lines := strings.Count(out.String(), "\n")
			t.Logf("%d instances: %d lines, %d bytes", n, lines, out.Len())
			is.Equal(lines, 2*min(n, maxBatchLines+1))
			if n > maxBatchLines {
				is.Equal(strings.Count(out.String(), fmt.Sprintf("instances=%d ", n-maxBatchLines)), 2)
			}
		})
	}
}
