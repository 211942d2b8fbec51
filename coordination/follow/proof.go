package follow

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// proof is the time that ProvenAt returns and the epoch of the store's answer. The copy of a later
// epoch may lack writes that were acknowledged by then. The proof still holds for this host, which
// had seen them, but not for its peers.
type proof struct {
	at    time.Time
	epoch uint64
}

// ProvenAt returns a time, by the clock of this host, at which the copy held everything that the
// store had acknowledged; zero if none is known. Reads of the copy after ProvenAt returns are at
// least as new.
//
// It is the time at which the call was sent whose answer brought the copy up to date: the store
// is linearizable, so that each answer holds all writes acknowledged before the call. The time of
// the answer proves nothing, since a watch may wait without noticing changes. A peer's answer
// proves as much as the peer's own proof, aged by the full duration of the request to the peer, so
// that no two clocks are compared.
func (m *Mirror) ProvenAt() time.Time {
	if p := m.proof.Load(); p != nil {
		return p.at
	}
	return time.Time{}
}

// recordProof records that the copy holds all writes that were acknowledged before p.at. The copy must
// already include the answer.
func (m *Mirror) recordProof(p proof) {
	for {
		known := m.proof.Load()
		if known != nil && !known.at.Before(p.at) {
			return
		}
		if m.proof.CompareAndSwap(known, &p) {
			return
		}
	}
}

// recordStoreProof records that the store answered a call sent at sentAt with its state at a revision. A
// restored store lacks acknowledged writes until they are repeated, so that its answers prove nothing
// for RecoveryTime.
func (m *Mirror) recordStoreProof(sentAt time.Time, revision uint64) {
	if m.proofsSuspended.Load() {
		return
	}
	at := m.restoredAt.Load()
	if at != nil && store.EpochOf(revision) >= store.EpochOf(m.Revision()) && sentAt.Before(at.Add(m.o.RecoveryTime)) {
		return
	}
	m.recordProof(proof{sentAt, store.EpochOf(revision)})
}

// recordPeerProof records the proof of a peer whose copy, at that revision, this mirror has merged. It
// is ignored for a copy of another epoch: that may have held writes that this mirror never had.
func (m *Mirror) recordPeerProof(at time.Time, revision uint64) {
	if store.EpochOf(revision) == store.EpochOf(m.Revision()) {
		m.recordProof(proof{at, store.EpochOf(revision)})
	}
}

// SuspendProofs makes the store's answers prove nothing until ResumeProofs: a host that has just
// started can't know whether the store was restored a moment ago.
func (m *Mirror) SuspendProofs() { m.proofsSuspended.Store(true) }

// ResumeProofs ends SuspendProofs. revision is that of a peer's copy, 0 if no peer answered. ago is
// how long ago that peer regained the store, and ever is false if it never lost it. If the store's
// epoch is later than the peer's, the store was restored after the peer's last contact with it.
func (m *Mirror) ResumeProofs(revision uint64, ago time.Duration, ever bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if store.RestoredBetween(revision, m.revision) {
		ago, ever = 0, true
	}
	if ever && ago < m.o.RecoveryTime {
		at := m.o.Clock.Now().Add(-ago)
		m.restoredAt.Store(&at)
		m.o.Log.Info("the store may have been restored; not trusting its answers as proofs yet", "kind", m.o.Kind, "ago", ago, "for", m.o.RecoveryTime-ago)
	}
	m.peerRevision = revision
	m.proofsSuspended.Store(false)
}

// Prove asks the store for changes at once and applies them. It may be called while Run runs.
func (m *Mirror) Prove(ctx context.Context) error {
	if p, ok := m.o.Store.(Poller); ok && m.Revision() > 0 {
		if applied, err := m.poll(ctx, p); applied || err != nil {
			return err
		}
	}
	return m.proveByList(ctx)
}

// poll asks the store for the changes since the present copy and applies them; applied is false if
// the store no longer has them.
func (m *Mirror) poll(ctx context.Context, p Poller) (applied bool, err error) {
	sentAt := m.o.Clock.Now()
	batch, err := p.Poll(ctx, m.o.Kind, m.Revision())
	if err != nil || batch.Gap {
		return false, err
	}
	m.applyBatch(batch, SourcePoll)
	m.recordStoreProof(sentAt, batch.Revision)
	return true, nil
}

// proveByList replaces the copy by a list from the store.
func (m *Mirror) proveByList(ctx context.Context) error {
	sentAt := m.o.Clock.Now()
	objects, revision, err := m.o.Store.List(ctx, m.o.Kind)
	if err != nil {
		return err
	}
	m.applyList(objects, revision)
	m.recordStoreProof(sentAt, revision)
	return nil
}
