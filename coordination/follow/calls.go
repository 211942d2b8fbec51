package follow

import (
	"context"
	"fmt"

	"github.com/thymerack/thymerack/coordination/store"
)

// maxListDoublings is how often the timeout of a list is doubled, so that a long list gets through to a
// host with a slow link.
const maxListDoublings = 4

// list replaces the copy by a list from the store. The first one takes as long as the store allows. A
// later one, after a gap in the history or a watch that was cut, has a short timeout: the store answers it
// in some milliseconds, the host has a copy that is out of date, and peers that get changes from this
// host shouldn't all switch to the store.
func (m *Mirror) list(ctx context.Context) error {
	sentAt, known := m.o.Clock.Now(), m.Revision()
	listCtx, cancel := ctx, context.CancelFunc(func() {})
	if known > 0 {
		listCtx, cancel = context.WithTimeout(ctx, m.o.Delays.ListTimeout<<min(m.listTimeouts, maxListDoublings))
	}
	defer cancel()
	objects, revision, err := m.o.Store.List(listCtx, m.o.Kind)
	if err != nil {
		if listCtx.Err() != nil {
			m.listTimeouts++
		}
		return err
	}
	m.applyList(objects, revision)
	if revision < known {
		return &storeBehindError{store: revision, copied: known}
	}
	m.markAnswered()
	m.recordStoreProof(sentAt, revision)
	return nil
}

// storeBehindError says that the store's state is older than the copy was before the call.
type storeBehindError struct{ store, copied uint64 }

// Error implements error.
func (e *storeBehindError) Error() string {
	return fmt.Sprintf("the store is at revision %s, behind this host's copy at %s, which is kept until the store catches up; if the store was replaced by another one, restart the hosts", store.FormatVersion(e.store), store.FormatVersion(e.copied))
}

// watch waits for changes and applies them. listed is false if the objects must be listed again.
func (m *Mirror) watch(ctx context.Context) (listed bool, err error) {
	sentAt := m.o.Clock.Now()
	batch, source, err := m.fetchChanges(ctx)
	if err != nil {
		return true, err
	}
	m.markAnswered()
	if batch.Gap {
		m.countGap()
		return false, m.backOffAfterGap(ctx)
	}
	m.consecutiveGaps = 0
	m.applyBatch(batch, source)
	m.recordStoreProof(sentAt, batch.Revision)
	if len(batch.Events) > 0 && m.o.CoalesceDelay > 0 {
		return true, m.o.Clock.Sleep(ctx, m.o.CoalesceDelay)
	}
	return true, nil
}

// backOffAfterGap waits before the list that follows a gap, unless it is the first gap in a row: a
// store that has no history for this host must not be called without a pause.
func (m *Mirror) backOffAfterGap(ctx context.Context) error {
	m.consecutiveGaps++
	if m.consecutiveGaps == 1 {
		return nil
	}
	return m.o.Clock.Sleep(ctx, jitter(min(initialRetryDelay<<min(m.consecutiveGaps-2, 8), m.o.Delays.Coalesce*2/3)))
}

// fetchChanges returns the next changes. A store that didn't answer the last call, or wasn't called
// yet, is polled without a wait: a watch would reveal its recovery only with the next change.
func (m *Mirror) fetchChanges(ctx context.Context) (store.Batch, Source, error) {
	if p, ok := m.o.Store.(Poller); ok && !m.Following() {
		ctx, cancel := context.WithTimeout(ctx, m.o.Delays.AnswerTimeout)
		defer cancel()
		b, err := p.Poll(ctx, m.o.Kind, m.Revision())
		return b, SourcePoll, err
	}
	b, err := m.o.Store.Watch(ctx, m.o.Kind, m.Revision())
	return b, SourceWatch, err
}
