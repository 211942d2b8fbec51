package follow

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/coordination/store"
)

// fixedRevisionStore is a store without objects and history at a settable revision.
type fixedRevisionStore struct {
	store.Store
	revision atomic.Uint64
	calls    atomic.Int64
}

func (s *fixedRevisionStore) List(context.Context, string) ([]store.Object, uint64, error) {
	s.calls.Add(1)
	return nil, s.revision.Load(), nil
}

func (s *fixedRevisionStore) Watch(ctx context.Context, _ string, _ uint64) (store.Batch, error) {
	s.calls.Add(1)
	return store.Batch{Gap: true}, clocktest.Bubble{}.Sleep(ctx, 5*time.Millisecond)
}

// Guards against a mirror that ignores a store's answers without any sign: the log names the revisions
// of the store and of the copy, and repeated lines are limited so that they don't crowd out others.
func TestLogsAndCountsStoreBehindCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		s := &fixedRevisionStore{}
		s.revision.Store(48)
		m, err := New(Options{
			Delays: defaultDelays, RetryGroup: &RetryGroup{}, Store: s, Clock: clocktest.Bubble{}, Kind: "things", OnChange: func(Copy) {},
			Log: slog.New(slog.NewTextHandler(&log, nil)),
		})
		is.NoErr(err)
		end := run(t, m)
		time.Sleep(time.Millisecond)
		s.revision.Store(44)
		time.Sleep(3 * time.Second)
		end()
		const line = "ignored the store's state, which is older than the copy"
		is.True(strings.Contains(log.String(), `msg="`+line+`" kind=things omitted=0 store_revision=44 revision=48`))
		is.True(strings.Count(log.String(), line) <= 4)
		is.True(strings.Count(log.String(), "the store's history doesn't reach back to the copy") <= 4)
		is.True(m.Answers().Older > 0)
		is.True(m.Answers().Gaps > 0)
		is.True(m.Answers().Current > 0)
	})
}

// Guards against hundreds of calls a second to a store whose answers change nothing, because the copy
// is newer than the store or the store has no history.
func TestBacksOffFromStoreWithoutProgress(t *testing.T) {
	for name, revision := range map[string]uint64{"older": 44, "without history": 48} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fixedRevisionStore{}
				s.revision.Store(48)
				m, err := New(Options{Delays: defaultDelays, RetryGroup: &RetryGroup{}, Store: s, Clock: clocktest.Bubble{}, Kind: "things", OnChange: func(Copy) {}, Log: quiet})
				is.NoErr(err)
				end := run(t, m)
				time.Sleep(time.Millisecond)
				s.revision.Store(revision)
				const duration = 30 * time.Second
				time.Sleep(duration)
				end()
				const maxCallsPerSecond = 4
				is.True(s.calls.Load() <= maxCallsPerSecond*int64(duration/time.Second))
				is.True(s.calls.Load() >= int64(duration/m.maxRetryDelay())) // a change is still noticed in time
				is.Equal(m.Lost(), revision < 48)
			})
		})
	}
}
