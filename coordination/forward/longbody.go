package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
)

// LongAnswerOutcome is what became of an answer that is too long to be held.
type LongAnswerOutcome string

// The outcomes of long answers: passed on as they arrived, or dropped. An event of a stream that is too long is dropped
// with its run.
const (
	LongAnswerPassedOn     LongAnswerOutcome = "passed_on"
	LongAnswerDropped      LongAnswerOutcome = "dropped"
	LongAnswerEventDropped LongAnswerOutcome = "event_dropped"
)

// longPartBytes is the size of the parts in which a long answer is passed on.
const longPartBytes = 32 << 10

// LongBody is the body of an answer that is too long to be held, and is passed on as it arrives. It isn't safe for
// concurrent use.
type LongBody struct {
	d    *Dispatcher
	ctx  context.Context
	rec  *record
	run  plainRun
	held heldBody
	// passedOn is set once the caller has got what was held, and part has the last part that followed.
	passedOn bool
	part     []byte
	// end is how the body ended, and err why it broke off.
	end BodyEnd
	err error
}

// Next returns the next part, which is valid until the next call. It returns io.EOF at the end of the body.
func (b *LongBody) Next() ([]byte, error) {
	if !b.passedOn {
		b.passedOn = true
		b.note(LongAnswerPassedOn)
		out := b.held.bytes
		b.held.release()
		if len(out) > 0 {
			return out, nil
		}
	}
	if b.part == nil {
		b.part = make([]byte, longPartBytes)
	}
	for b.err == nil && b.end == "" {
		n, err := b.run.resp.Read(b.part)
		switch {
		case err == io.EOF:
			b.end = EndFramed
		case errors.Is(err, ErrUnframed):
			b.end = EndConnection
		case err != nil:
			b.err = err
		}
		if n > 0 {
			return b.part[:n], nil
		}
	}
	if b.err != nil {
		return nil, b.err
	}
	return nil, io.EOF
}

// Close ends the answer. err is why the caller didn't get the rest; nil after the whole body.
func (b *LongBody) Close(err error) {
	if err == nil && b.end == "" {
		err = errUnwritten
	}
	took := b.d.o.Clock.Now().Sub(b.run.started)
	switch {
	case err == nil:
		b.run.resp.Finish()
		b.d.noteBodyEnd(b.run.attempt.Request, b.rec, b.end)
		b.d.noteWholeAnswer(b.ctx, b.run, b.rec, took)
	case b.err != nil:
		b.run.resp.Abort()
		b.d.noteBrokenAnswer(b.ctx, b.run, b.rec, took, b.err)
	default:
		b.run.resp.Abort()
		b.rec.addStep(b.run.attempt.Instance, "run", outcomeAborted, took, err)
	}
	b.release()
	b.rec.trial.End()
	b.d.logRequest(b.ctx, b.run.attempt.Request, b.rec, b.run.resp.Head().Status, err)
}

// drop ends an answer that isn't passed on: another runner has answered, or the time is up. It counts as a failure of its
// runner if isFault is set.
func (b *LongBody) drop(isFault bool) {
	b.run.resp.Abort()
	if isFault {
		b.run.runner.RecordFailure()
	}
	took := b.d.o.Clock.Now().Sub(b.run.started)
	b.rec.addStep(b.run.attempt.Instance, "run", outcomeUnknown, took, &TooLongError{Held: len(b.held.bytes), Declared: b.run.resp.Head().Length})
	b.note(LongAnswerDropped)
	b.release()
}

func (b *LongBody) release() {
	b.held.release()
	b.run.cancel()
	b.run.sent.end()
}

// note counts and logs what becomes of the answer.
func (b *LongBody) note(o LongAnswerOutcome) {
	b.d.noteLongAnswer(b.ctx, b.run.attempt, o, len(b.held.bytes))
}

// noteLongAnswer counts and logs what becomes of an answer of which no more may be held.
func (d *Dispatcher) noteLongAnswer(ctx context.Context, a *Attempt, o LongAnswerOutcome, held int) {
	d.o.Observer.LongAnswer(a.Request.Service, o)
	d.o.Log.LogAttrs(ctx, slog.LevelWarn, "answer too long to be held", slog.String("request_id", a.Request.ID), slog.Any("instance", a.Instance.ID),
		slog.String("outcome", string(o)), slog.Int("held_bytes", held), slog.Int("bound", d.o.Buffers.MaxAnswerBytes()), slog.Int64("held_of_all", d.o.Buffers.Held()))
}
