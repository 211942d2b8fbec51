package follow

import (
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// Answers counts the store's answers to a mirror.
type Answers struct {
	// Current counts answers at least as new as the copy, Gaps counts watches whose history the
	// store no longer has, and Older counts answers that were older than the copy, which are ignored.
	Current, Gaps, Older uint64
}

// answerStats counts the store's answers. Repeated log messages are limited to one per
// repeatedLogInterval, so that they don't crowd out others.
type answerStats struct {
	mu       sync.Mutex
	counts   Answers
	loggedAt map[string]time.Time
	omitted  map[string]uint64
}

// repeatedLogInterval is the shortest interval between two log lines with the same message.
const repeatedLogInterval = time.Second

// Answers returns the counts since the start.
func (m *Mirror) Answers() Answers {
	m.answerStats.mu.Lock()
	defer m.answerStats.mu.Unlock()
	return m.answerStats.counts
}

// countAnswer counts an answer that holds the store's state at a revision.
func (m *Mirror) countAnswer(revision uint64) {
	copied := m.Revision()
	m.answerStats.mu.Lock()
	defer m.answerStats.mu.Unlock()
	if revision >= copied {
		m.answerStats.counts.Current++
		return
	}
	m.answerStats.counts.Older++
	m.logRateLimited("ignored the store's state, which is older than the copy", "store_revision", store.FormatVersion(revision), "revision", store.FormatVersion(copied))
}

// countGap counts a watch whose history the store no longer has.
func (m *Mirror) countGap() {
	copied := m.Revision()
	m.answerStats.mu.Lock()
	defer m.answerStats.mu.Unlock()
	m.answerStats.counts.Gaps++
	m.logRateLimited("the store's history doesn't reach back to the copy; listing again", "revision", store.FormatVersion(copied))
}

// logRateLimited logs a line unless the same message was logged within repeatedLogInterval. The
// number of omitted lines is logged with the next one. m.answerStats.mu is held.
func (m *Mirror) logRateLimited(text string, args ...any) {
	now := m.o.Clock.Now()
	if at, ever := m.answerStats.loggedAt[text]; ever && now.Sub(at) < repeatedLogInterval {
		m.answerStats.omitted[text]++
		return
	}
	args = append([]any{"kind", m.o.Kind, "omitted", m.answerStats.omitted[text]}, args...)
	m.o.Log.Info(text, args...)
	m.answerStats.loggedAt[text] = now
	delete(m.answerStats.omitted, text)
}

func newAnswerStats() answerStats {
	return answerStats{loggedAt: map[string]time.Time{}, omitted: map[string]uint64{}}
}

// applyList counts and applies a list from the store.
func (m *Mirror) applyList(objects []store.Object, revision uint64) {
	m.countAnswer(revision)
	m.replace(objects, revision, SourceList)
}

// applyBatch counts and applies the changes that a watch or a poll returned.
func (m *Mirror) applyBatch(b store.Batch, source Source) {
	m.countAnswer(b.Revision)
	m.apply(b, source)
}
