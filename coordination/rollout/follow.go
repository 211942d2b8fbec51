package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// minRetryPause and retryMax bound the pause after a failed platform call.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// peerFetchDelay is how long the platform's own watch is given before a peer that
	// has a higher version is asked for it.
	peerFetchDelay = 200 * time.Millisecond
	// maxHintFetches bounds the fetches that follow one hint.
	maxHintFetches = 5
)

var errWatchGap = errors.New("the watch missed changes; list the kind again")

// watch follows the object at the platform until ctx ends.
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

// applyObject offers the shared object. A deleted object changes nothing: the version in
// force stays until a higher one is written.
func (m *Manager) applyObject(o store.Object) {
	if o.Name == ObjectName {
		m.applyIfHigher(VersionedValue{Version: o.Version, Value: o.Value}, "")
	}
}

// Hint tells that a host has a version in force; one that is higher than the one
// here is fetched. It never blocks.
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

// fetchHints fetches the versions that are hinted at, until ctx ends.
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

// fetchHinted fetches the version hinted at. A fetch that fails is repeated, from the
// host that gave the latest hint: hints come with changes of a host's entry only,
// so the next one may be a second away.
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

// pendingHint returns the hint and, if asked, forgets it.
func (m *Manager) pendingHint(reset bool) hint {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hint
	if reset {
		m.hint = hint{}
	}
	return h
}

func (m *Manager) isHintCandidate(h hint) bool { return m.isCandidate(h.version, h.from.ID.String()) }

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
