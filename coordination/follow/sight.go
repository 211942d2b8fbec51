package follow

import (
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// Answers counts what the store answered a mirror.
type Answers struct {
	// Current are answers as new as the copy or newer, Gaps watches whose history was gone, and
	// Older answers whose state of the store was older than the copy, which aren't taken.
	Current, Gaps, Older uint64
}

// answerStats notes what the store answers. Lines that repeat are logged once per sightEvery, so that
// they don't crowd others out.
type answerStats struct {
	mu       sync.Mutex
	counts   Answers
	loggedAt map[string]time.Time
	omitted  map[string]uint64
}

// repeatedLogInterval is the shortest pause between two lines of the same text.
const repeatedLogInterval = time.Second

// Answers returns the counts since the start.
func (m *Mirror) Answers() Answers {
	m.answerStats.mu.Lock()
	defer m.answerStats.mu.Unlock()
	return m.answerStats.counts
}

// countAnswer notes an answer of the store that tells its state at a revision.
func (m *Mirror) countAnswer(revision uint64) {
	copied := m.Revision()
	m.answerStats.mu.Lock()
	defer m.answerStats.mu.Unlock()
	if revision >= copied {
		m.answerStats.counts.Current++
		return
	}
	m.answerStats.counts.Older++
	m.logRateLimited("the store's state is older than the copy; not taken", "store_revision", store.FormatVersion(revision), "revision", store.FormatVersion(copied))
}

// countGap notes a watch whose history is gone.
func (m *Mirror) countGap() {
	copied := m.Revision()
	m.answerStats.mu.Lock()
	defer m.answerStats.mu.Unlock()
	m.answerStats.counts.Gaps++
	m.logRateLimited("history is gone; listing again", "revision", store.FormatVersion(copied))
}

// logRateLimited logs a line unless the same text was logged a moment ago; m.sight.mu is held.
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

// applyList takes a list of the store.
func (m *Mirror) applyList(objects []store.Object, revision uint64) {
	m.countAnswer(revision)
	m.replace(objects, revision)
}

// applyBatch takes a watch's changes.
func (m *Mirror) applyBatch(b store.Batch) {
	m.countAnswer(b.Revision)
	m.apply(b)
}
