package follow

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// Proven is a moment, by the clock of this host, at which the copy held all that the store
// had acknowledged; zero if none is known. What was read of the copy after Proven returned
// holds it too.
//
// It is the moment at which the question was asked whose answer brought the copy up to
// date: the store's answers are linearizable, so that each holds what was acknowledged
// before its question. When the answer came proves nothing, since a watch may wait, unaware
// of changes. An answer of a peer proves as much as the peer's own proof, aged by the whole
// time of the question, so that no two clocks are compared.
func (m *Mirror) Proven() time.Time {
	if at := m.proof.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// prove notes that the copy holds what was acknowledged before a question of that time. The
// copy must have taken the answer before.
func (m *Mirror) prove(asked time.Time) {
	for {
		known := m.proof.Load()
		if known != nil && !known.Before(asked) {
			return
		}
		if m.proof.CompareAndSwap(known, &asked) {
			return
		}
	}
}

// Prove asks the store for changes at once and takes them. It may be called while Run
// follows the store.
func (m *Mirror) Prove(ctx context.Context) error {
	asked := m.o.Clock.Now()
	batch, err := m.poll(ctx)
	if err != nil {
		return err
	}
	if batch.Gap {
		return m.proveByList(ctx)
	}
	m.apply(batch)
	m.prove(asked)
	return nil
}

// poll returns the changes since the present copy; a Gap if the store can't tell them.
func (m *Mirror) poll(ctx context.Context) (store.Batch, error) {
	p, ok := m.o.Store.(Poller)
	revision := m.Revision()
	if !ok || revision == 0 {
		return store.Batch{Gap: true}, nil
	}
	return p.Poll(ctx, m.o.Kind, revision)
}

func (m *Mirror) proveByList(ctx context.Context) error {
	asked := m.o.Clock.Now()
	objects, revision, err := m.o.Store.List(ctx, m.o.Kind)
	if err != nil {
		return err
	}
	m.replace(objects, revision)
	m.prove(asked)
	return nil
}
