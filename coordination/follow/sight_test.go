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

// fixedRevisionStore is a store that lists nothing, at a revision, and has no history.
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

// Guards against a store whose lists are refused without a sign of it: the revision of the list
// and that of the copy must be told, and the lines must not crowd out all others.
func TestLogsAndCountsStoreBehindCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		s := &fixedRevisionStore{}
		s.revision.Store(48)
		m, err := New(Options{
			RetryGroup: &RetryGroup{}, Store: s, Clock: clocktest.Bubble{}, Kind: "things", OnChange: func(Copy) {},
			Log: slog.New(slog.NewTextHandler(&log, nil)),
		})
		is.NoErr(err)
		end := run(t, m)
		time.Sleep(time.Millisecond)
		s.revision.Store(44)
		time.Sleep(3 * time.Second)
		end()
		const line = "the store's state is older than the copy; not taken"
		is.True(strings.Contains(log.String(), `msg="`+line+`" kind=things omitted=0 store_revision=44 revision=48`))
		is.True(strings.Count(log.String(), line) <= 4)
		is.True(strings.Count(log.String(), "history is gone") <= 4)
		is.True(m.Answers().Older > 0)
		is.True(m.Answers().Gaps > 0)
		is.True(m.Answers().Current > 0)
	})
}

// Guards against a host that asks the store hundreds of times a second, because what it is told
// brings it nothing: the copy is newer than the store, or the store has no history.
func TestBacksOffFromStoreWithoutProgress(t *testing.T) {
	for name, revision := range map[string]uint64{"older": 44, "without history": 48} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fixedRevisionStore{}
				s.revision.Store(48)
				m, err := New(Options{RetryGroup: &RetryGroup{}, Store: s, Clock: clocktest.Bubble{}, Kind: "things", OnChange: func(Copy) {}, Log: quiet})
				is.NoErr(err)
				end := run(t, m)
				time.Sleep(time.Millisecond)
				s.revision.Store(revision)
				const duration = 30 * time.Second
				time.Sleep(duration)
				end()
				const maxCallsPerSecond = 4
				is.True(s.calls.Load() <= maxCallsPerSecond*int64(duration/time.Second))
				is.True(s.calls.Load() >= int64(duration/maxRetryDelay)) // a change is noticed all the same
				is.Equal(m.Lost(), revision < 48)
			})
		})
	}
}
