package occupancy

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
)

// A change between slow and normal speed of an engine is logged once.
func TestSpeedChangeOfEngineIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.NewTextHandler(&out, nil)))
		prefill := func(engine string, took time.Duration, times int) {
			for range times {
				id := tracker.Enter(prefillRequest(engine)).ID
				time.Sleep(took)
				tracker.Leave(instanceID(engine), id, true)
			}
		}
		prefill("a", 50*time.Millisecond, 40)
		is.Equal(out.Len(), 0)
		prefill("b", 250*time.Millisecond, 12)
		is.Equal(strings.Count(out.String(), "slow=true"), 1)
		prefill("b", 50*time.Millisecond, 20)
		is.Equal(strings.Count(out.String(), "slow=false"), 1)
		is.Equal(strings.Count(out.String(), "instance=b"), 2)
	})
}
