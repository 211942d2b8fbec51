package follow

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// proof is what Proven returns, with the epoch of the store's answer. A copy of a later epoch may
// lack what was acknowledged by then: the proof holds for this host, which had it, but for no peer.
type proof struct {
	at    time.Time
	epoch uint64
}

// ProvenAt is a moment, by the clock of this host, at which the copy held all that the store
// had acknowledged; zero if none is known. What was read of the copy after ProvenAt returned
// holds it too.
//
// It is the moment at which the question was asked whose answer brought the copy up to
// date: the store's answers are linearizable, so that each holds what was acknowledged
// before its question. When the answer came proves nothing, since a watch may wait, unaware
// of changes. An answer of a peer proves as much as the peer's own proof, aged by the whole
// time of the question, so that no two clocks are compared.
func (m *Mirror) ProvenAt() time.Time {
	if p := m.proof.Load(); p != nil {
		return p.at
	}
	return time.Time{}
}

// recordProof notes that the copy holds what was acknowledged before a question of that time. The
// copy must have taken the answer before.
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

// recordStoreProof notes that the store answered a question of that time with its state at a revision. A store
// that was restored lacks what it had acknowledged and lost, until that is written again.
func (m *Mirror) recordStoreProof(asked time.Time, revision uint64) {
	if m.proofsSuspended.Load() {
		return
	}
	at := m.restoredAt.Load()
	if at != nil && store.EpochOf(revision) >= store.EpochOf(m.Revision()) && asked.Before(at.Add(m.o.RecoveryTime)) {
		return
	}
	m.recordProof(proof{asked, store.EpochOf(revision)})
}

// recordPeerProof notes a proof of a peer whose copy, of that revision, this one has taken. Another
// epoch's copy may hold what this one never had.
func (m *Mirror) recordPeerProof(at time.Time, revision uint64) {
	if store.EpochOf(revision) == store.EpochOf(m.Revision()) {
		m.recordProof(proof{at, store.EpochOf(revision)})
	}
}

// SuspendProofs makes the store's answers prove nothing until Settled: a host that has just started can't
// know whether the store was restored a moment ago.
func (m *Mirror) SuspendProofs() { m.proofsSuspended.Store(true) }

// ResumeProofs ends Doubt. revision is that of a peer's copy, 0 if no peer answered, and ago is how long ago
// that peer regained the store, if it ever lost it. A store of a later epoch than the peer's has been
// restored since the peer last heard of it.
func (m *Mirror) ResumeProofs(revision uint64, ago time.Duration, ever bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if store.RestoredBetween(revision, m.revision) {
		ago, ever = 0, true
	}
	if ever && ago < m.o.RecoveryTime {
		at := m.o.Clock.Now().Add(-ago)
		m.restoredAt.Store(&at)
		m.o.Log.Info("the store may have been restored; its answers prove nothing yet", "kind", m.o.Kind, "ago", ago, "for", m.o.RecoveryTime-ago)
	}
	m.peerRevision = revision
	m.proofsSuspended.Store(false)
}

// Prove asks the store for changes at once and takes them. It may be called while Run
// follows the store.
func (m *Mirror) Prove(ctx context.Context) error {
	if p, ok := m.o.Store.(Poller); ok && m.Revision() > 0 {
		if taken, err := m.poll(ctx, p); taken || err != nil {
			return err
		}
	}
	return m.proveByList(ctx)
}

// poll asks the store for the changes since the present copy and takes them; taken is false if
// it can't tell them.
func (m *Mirror) poll(ctx context.Context, p Poller) (taken bool, err error) {
	asked := m.o.Clock.Now()
	batch, err := p.Poll(ctx, m.o.Kind, m.Revision())
	if err != nil || batch.Gap {
		return false, err
	}
	m.applyBatch(batch)
	m.recordStoreProof(asked, batch.Revision)
	return true, nil
}

func (m *Mirror) proveByList(ctx context.Context) error {
	asked := m.o.Clock.Now()
	objects, revision, err := m.o.Store.List(ctx, m.o.Kind)
	if err != nil {
		return err
	}
	m.applyList(objects, revision)
	m.recordStoreProof(asked, revision)
	return nil
}
