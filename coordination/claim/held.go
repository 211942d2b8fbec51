package claim

import (
	"context"
	"sync/atomic"

	"github.com/thymerack/thymerack/state"
)

// Held is a claim that this host has made. Exactly one of its methods must be
// called, once; later calls return an error and change nothing.
type Held struct {
	c        *Claimer
	entry    Entry
	finished atomic.Bool
}

// Done records the answer that the caller gets. An answer larger than
// MaxAnswerBytes is recorded without its body and marked as truncated.
// *PendingError: the answer isn't recorded yet and is retried in the
// background. *LostError: it can't be recorded any more. In both cases the
// answer may be given to the caller all the same.
func (h *Held) Done(ctx context.Context, a state.RecordedAnswer) error {
	kept := h.c.keep(a)
	return h.finish(ctx, OpDone, &kept)
}

// NotRun records that no byte of the call was sent, which the caller of this
// method must be able to prove. Only when it returns nil may anyone be told
// that the call was not run; after an error the caller is told "unknown".
func (h *Held) NotRun(ctx context.Context) error {
	if h.c.skip.record {
		return nil
	}
	return h.finish(ctx, OpNotRun, nil)
}

// Unknown records that the call may or may not have run.
func (h *Held) Unknown(ctx context.Context) error {
	return h.finish(ctx, OpUnknown, nil)
}

// finish writes the outcome. A crash before the write leaves the record claimed.
func (h *Held) finish(ctx context.Context, op Op, a *state.RecordedAnswer) error {
	if !h.finished.CompareAndSwap(false, true) {
		return errFinished
	}
	e := h.entry
	e.Op, e.Answer = op, a
	r := h.c.commitOne(ctx, e)
	switch r.Code {
	case CodeRecord:
		h.c.open.remove(e.Seq)
		if h.c.mayBeDeleted(e.Key) {
			h.c.noteLateWrite(e)
			return &LostError{Key: e.Key.String()}
		}
		if r.Record.madeBy(e) && r.Record.Claim.State == op.state() {
			return nil
		}
		return &LostError{Key: e.Key.String(), Present: r.Record.Claim.State}
	case CodeAbsent:
		h.c.open.remove(e.Seq)
		return &LostError{Key: e.Key.String()}
	default:
		h.c.open.pend(e)
		return &PendingError{Key: e.Key.String(), Cause: r.cause()}
	}
}

// state is the state that an operation moves a record to.
func (op Op) state() state.ClaimState {
	switch op {
	case OpDone:
		return state.ClaimDone
	case OpNotRun, OpVoid:
		return state.ClaimNotRun
	case OpUnknown:
		return state.ClaimUnknown
	default:
		return state.ClaimClaimed
	}
}

// keep returns the answer as recorded: its body and content type together take
// at most MaxAnswerBytes.
func (c *Claimer) keep(a state.RecordedAnswer) state.RecordedAnswer {
	if len(a.ContentType)+len(a.Body) <= c.o.MaxAnswerBytes {
		return a
	}
	kept := state.RecordedAnswer{Status: a.Status, Truncated: true}
	if len(a.ContentType) <= c.o.MaxAnswerBytes {
		kept.ContentType = a.ContentType
	}
	return kept
}
