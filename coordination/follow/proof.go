package follow

import (
	"context"
	"time"
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
	m.takeBatch(batch)
	m.prove(asked)
	return true, nil
}

func (m *Mirror) proveByList(ctx context.Context) error {
	asked := m.o.Clock.Now()
	objects, revision, err := m.o.Store.List(ctx, m.o.Kind)
	if err != nil {
		return err
	}
	m.takeList(objects, revision)
	m.prove(asked)
	return nil
}
