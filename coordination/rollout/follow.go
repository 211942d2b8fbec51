package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// minRetryPause and maxRetryPause bound the exponential backoff after a failed
	// platform call.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// peerFetchDelay is the delay before a higher version is fetched from a peer. It
	// leaves time for the version to arrive through the platform's watch. A host
	// without a configuration fetches at once.
	peerFetchDelay = 200 * time.Millisecond
	// maxHintFetches bounds the fetches that one signal on hintSignal causes.
	maxHintFetches = 5
)

var errWatchGap = errors.New("the watch missed changes; list the kind again")

// watch keeps up with the object at the platform until ctx ends: it lists the kind,
// then watches for changes, and lists again after a gap or an error.
func (m *Manager) watch(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		revision, err := m.list(ctx)
		for err == nil {
			pause = minRetryPause
			revision, err = m.watchOnce(ctx, revision)
		}
		if errors.Is(err, errWatchGap) {
			continue
		}
		_ = m.opts.Clock.Sleep(ctx, m.jitter(pause))
		pause = min(2*pause, maxRetryPause)
	}
}

// list applies the platform's current object and returns the revision from which to
// watch.
func (m *Manager) list(ctx context.Context) (uint64, error) {
	sent := m.opts.Clock.Now()
	objects, revision, err := m.opts.Store.List(ctx, store.KindConfig)
	if err != nil {
		return 0, err
	}
	m.opts.HeardPlatform(sent)
	for _, o := range objects {
		m.applyObject(o)
	}
	return revision, nil
}

// watchOnce applies one batch of changes after a revision and returns the revision
// of the batch. It returns errWatchGap if the platform no longer has all of them.
func (m *Manager) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	sent := m.opts.Clock.Now()
	batch, err := m.opts.Store.Watch(ctx, store.KindConfig, after)
	if err != nil {
		return 0, err
	}
	m.opts.HeardPlatform(sent)
	if batch.Gap {
		return 0, errWatchGap
	}
	for _, e := range batch.Events {
		if !e.Deleted {
			m.applyObject(e.Object)
		}
	}
	return batch.Revision, nil
}

// applyObject applies the configuration object if its version is higher, and ignores
// other objects. Callers skip deletions: the version in force stays until a higher
// one is written.
func (m *Manager) applyObject(o store.Object) {
	if o.Name == ObjectName {
		m.applyIfHigher(VersionedValue{Version: o.Version, Value: o.Value}, "")
	}
}

// Hint reports that another host has a version in force. If it is higher than the
// local one, Run fetches it from that host. Hint never blocks.
func (m *Manager) Hint(from state.Member, version uint64) {
	m.mu.Lock()
	if version > m.inForce.Version && version >= m.hint.version {
		m.hint = hint{from: from, version: version}
	}
	m.mu.Unlock()
	select {
	case m.hintSignal <- struct{}{}:
	default:
	}
}

// fetchHints fetches the versions passed to Hint until ctx ends.
func (m *Manager) fetchHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.hintSignal:
			m.fetchHinted(ctx)
		}
	}
}

// fetchHinted fetches the hinted version and applies it. A failed fetch is repeated
// from the host of the latest hint, without waiting for another hint: hints come
// only when a host's entry changes, so the next one may be a second away.
func (m *Manager) fetchHinted(ctx context.Context) {
	for range maxHintFetches {
		if !m.isHintCandidate(m.pendingHint(false)) {
			return
		}
		if m.Version() > 0 && m.opts.Clock.Sleep(ctx, m.jitter(peerFetchDelay)) != nil {
			return
		}
		m.fetch(ctx, m.pendingHint(false))
	}
	m.pendingHint(true)
}

// pendingHint returns the latest hint, and clears it if reset is set.
func (m *Manager) pendingHint(reset bool) hint {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hint
	if reset {
		m.hint = hint{}
	}
	return h
}

// isHintCandidate reports whether the hinted version is to be fetched.
func (m *Manager) isHintCandidate(h hint) bool { return m.isCandidate(h.version, h.from.ID.String()) }

// fetch fetches the configuration from the host of the hint and applies it if its
// version is higher than the one in force. A failed fetch has no effect.
func (m *Manager) fetch(ctx context.Context, h hint) {
	if !m.isHintCandidate(h) {
		return
	}
	ctx, cancel := m.withTimeout(ctx, m.opts.FetchTimeout)
	defer cancel()
	v, err := m.opts.Peers.Config(ctx, h.from, Request{Above: m.Version()})
	if err != nil || v.Version == 0 {
		return
	}
	m.applyIfHigher(v, h.from.ID.String())
}
