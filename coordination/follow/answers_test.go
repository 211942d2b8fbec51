package follow

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
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

	mu         sync.Mutex
	lastCallAt time.Time
	// longestPause is the longest time between the beginnings of two calls.
	longestPause time.Duration
}

// noteCall counts a call and the pause before it.
func (s *fixedRevisionStore) noteCall() {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastCallAt.IsZero() {
		s.longestPause = max(s.longestPause, time.Since(s.lastCallAt))
	}
	s.lastCallAt = time.Now()
}

// pause returns the longest pause so far, the one since the last call included.
func (s *fixedRevisionStore) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.longestPause, time.Since(s.lastCallAt))
}

// watchTime is how long the store takes for a watch.
const watchTime = 5 * time.Millisecond

func (s *fixedRevisionStore) List(context.Context, string) ([]store.Object, uint64, error) {
	s.noteCall()
	return nil, s.revision.Load(), nil
}

func (s *fixedRevisionStore) Watch(ctx context.Context, _ string, _ uint64) (store.Batch, error) {
	s.noteCall()
	return store.Batch{Gap: true}, clocktest.Bubble{}.Sleep(ctx, watchTime)
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
	for name, c := range map[string]struct {
		revision uint64
		// longest is the longest pause, with its jitter.
		longest time.Duration
	}{"older": {44, defaultDelays.Retry}, "without history": {48, defaultDelays.Coalesce}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fixedRevisionStore{}
				s.revision.Store(48)
				m, err := New(Options{Delays: defaultDelays, RetryGroup: &RetryGroup{}, Store: s, Clock: clocktest.Bubble{}, Kind: "things", OnChange: func(Copy) {}, Log: quiet})
				is.NoErr(err)
				end := run(t, m)
				time.Sleep(time.Millisecond)
				s.revision.Store(c.revision)
				const duration = 30 * time.Second
				time.Sleep(duration)
				end()
				const maxCallsPerSecond = 4
				is.True(s.calls.Load() <= maxCallsPerSecond*int64(duration/time.Second))
				is.True(s.pause() <= c.longest+watchTime) // a change is still noticed in time
				is.Equal(m.Lost(), c.revision < 48)
			})
		})
	}
}
