package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/store/storetest"
)

// slowLists is a store whose lists take a time, or get no answer as long as silent is set.
type slowLists struct {
	*storetest.Client
	silent atomic.Bool
	takes  time.Duration
}

// List implements store.Store.
func (s *slowLists) List(ctx context.Context, kind string) ([]store.Object, uint64, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if err := (clocktest.Bubble{}).Sleep(ctx, s.takes); err != nil {
		return nil, 0, err
	}
	return s.Client.List(ctx, kind)
}

// Guards against a host that waits for the whole time of a first list, eight seconds, when the list after
// a gap in the store's history gets no answer: its copy must be current again before the bounds apply.
// A list that takes longer than the first timeout is still received.
func TestListAfterGapThatGetsNoAnswerIsRepeatedInTime(t *testing.T) {
	for name, takes := range map[string]time.Duration{"fast list": 5 * time.Millisecond, "slow list": 1800 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := storetest.NewPlatform(20 * time.Second)
				put(t, p, "a", "1", store.Absent)
				s := &slowLists{Client: p.Client("h"), takes: takes}
				m, err := New(Options{Delays: defaultDelays, Store: s, Clock: clocktest.Bubble{}, Log: quiet, Kind: "things", RetryGroup: &RetryGroup{}, OnChange: func(Copy) {}})
				is.NoErr(err)
				defer run(t, m)()
				time.Sleep(3 * time.Second)
				s.silent.Store(true)
				put(t, p, "b", "1", store.Absent)
				p.DropHistory()
				time.Sleep(10 * time.Millisecond)
				s.silent.Store(false)
				limit := defaultDelays.ListTimeout + defaultDelays.Retry + takes
				if takes > defaultDelays.ListTimeout {
					limit += 4 * (defaultDelays.ListTimeout + defaultDelays.Retry)
				}
				time.Sleep(limit)
				is.Equal(values(m.Export()), []string{"a=1", "b=1"})
			})
		})
	}
}
