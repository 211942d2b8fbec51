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

// sight notes what the store answers. Lines that repeat are logged once per sightEvery, so that
// they don't crowd others out.
type sight struct {
	mu       sync.Mutex
	answers  Answers
	loggedAt map[string]time.Time
	omitted  map[string]uint64
}

// sightEvery is the shortest pause between two lines of the same text.
const sightEvery = time.Second

// Answers returns the counts since the start.
func (m *Mirror) Answers() Answers {
	m.sight.mu.Lock()
	defer m.sight.mu.Unlock()
	return m.sight.answers
}

// noteRevision notes an answer of the store that tells its state at a revision.
func (m *Mirror) noteRevision(revision uint64) {
	copied := m.Revision()
	m.sight.mu.Lock()
	defer m.sight.mu.Unlock()
	if revision >= copied {
		m.sight.answers.Current++
		return
	}
	m.sight.answers.Older++
	m.logSeldom("the store's state is older than the copy; not taken", "store_revision", store.FormatVersion(revision), "revision", store.FormatVersion(copied))
}

// noteGap notes a watch whose history is gone.
func (m *Mirror) noteGap() {
	copied := m.Revision()
	m.sight.mu.Lock()
	defer m.sight.mu.Unlock()
	m.sight.answers.Gaps++
	m.logSeldom("history is gone; listing again", "revision", store.FormatVersion(copied))
}

// logSeldom logs a line unless the same text was logged a moment ago; m.sight.mu is held.
func (m *Mirror) logSeldom(text string, args ...any) {
	now := m.o.Clock.Now()
	if at, ever := m.sight.loggedAt[text]; ever && now.Sub(at) < sightEvery {
		m.sight.omitted[text]++
		return
	}
	args = append([]any{"kind", m.o.Kind, "omitted", m.sight.omitted[text]}, args...)
	m.o.Log.Info(text, args...)
	m.sight.loggedAt[text] = now
	delete(m.sight.omitted, text)
}

func newSight() sight {
	return sight{loggedAt: map[string]time.Time{}, omitted: map[string]uint64{}}
}

// takeList takes a list of the store.
func (m *Mirror) takeList(objects []store.Object, revision uint64) {
	m.noteRevision(revision)
	m.replace(objects, revision)
}

// takeBatch takes a watch's changes.
func (m *Mirror) takeBatch(b store.Batch) {
	m.noteRevision(b.Revision)
	m.apply(b)
}
