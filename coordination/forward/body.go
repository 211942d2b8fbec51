package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/thymerack/thymerack/coordination/buffers"
	"github.com/thymerack/thymerack/coordination/placement"
)

// maxPrefillBytes bounds the answer to a request whose prompt alone is computed, which names a handle.
const maxPrefillBytes = 64 << 10

// TooLongError means that more of an answer has come than may be held. Declared is the length that the runner named; 0
// for none.
type TooLongError struct{ Held, Declared int }

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("the answer is longer than what may be held of one (%d bytes held, %d declared); pass it on as it arrives", e.Held, e.Declared)
}

// LongAnswerOutcome is what became of an answer that is too long to be held.
type LongAnswerOutcome string

// The outcomes of long answers: passed on as they arrived, or dropped. An event of a stream that is too long is dropped
// with its run.
const (
	LongAnswerPassedOn     LongAnswerOutcome = "passed_on"
	LongAnswerDropped      LongAnswerOutcome = "dropped"
	LongAnswerEventDropped LongAnswerOutcome = "event_dropped"
)

// heldBody is what has been read of a body.
type heldBody struct {
	bytes    []byte
	reserved *buffers.Reservation
}

// minBodyBuffer is the first size of a body's buffer, in bytes.
const minBodyBuffer = 512

// read reads the body to its end, and returns how it ended. After a *TooLongError the rest can still be read.
func (h *heldBody) read(resp Response) (BodyEnd, error) {
	declared := resp.Head().bodyBytes()
	for {
		if len(h.bytes) == cap(h.bytes) && !h.grow(declared) {
			return "", &TooLongError{Held: len(h.bytes), Declared: declared}
		}
		n, err := resp.Read(h.bytes[len(h.bytes):cap(h.bytes)])
		h.bytes = h.bytes[:len(h.bytes)+n]
		switch {
		case err == io.EOF:
			return EndFramed, nil
		case errors.Is(err, ErrUnframed):
			return EndConnection, nil
		case err != nil:
			return "", err
		}
	}
}

// grow makes room for more bytes, and reports false if no more may be held. A declared length leaves room for the read that
// shows the end.
func (h *heldBody) grow(declared int) bool {
	size := max(minBodyBuffer, 2*cap(h.bytes), declared+1)
	if !h.reserved.Grow(size) {
		return false
	}
	h.bytes = append(make([]byte, 0, size), h.bytes...)
	return true
}

// release gives back what is counted for the bytes.
func (h *heldBody) release() {
	h.bytes = nil
	h.reserved.Release()
}

// plainRun is a run whose answer is no stream of events.
type plainRun struct {
	attempt *Attempt
	runner  *placement.Runner
	resp    Response
	sent    *inFlight
	started time.Time
	// cancel releases the context of the attempt.
	cancel context.CancelFunc
}

// readAnswer reads the answer to its end. One that is too long to be held is returned with its rest unread.
func (d *Dispatcher) readAnswer(ctx context.Context, p plainRun, rec *record) (*Answer, outcome) {
	head := p.resp.Head()
	held := heldBody{reserved: d.o.Buffers.Reserve()}
	var end BodyEnd
	err := errUnsigned
	if head.Status >= firstErrorStatus || head.Signed {
		end, err = held.read(p.resp)
	}
	if tooLong := (*TooLongError)(nil); errors.As(err, &tooLong) {
		return &Answer{Head: head, Long: &LongBody{d: d, ctx: ctx, rec: rec, run: p, held: held}}, outcomeAnswered
	}
	took := d.o.Clock.Now().Sub(p.started)
	defer p.cancel()
	defer p.sent.end()
	if err == nil {
		d.noteBodyEnd(p.attempt.Request, rec, end)
	}
	if err != nil {
		held.release()
		p.resp.Abort()
		d.noteBrokenAnswer(ctx, p, rec, took, err)
		return nil, outcomeUnknown
	}
	p.resp.Finish()
	d.noteWholeAnswer(ctx, p, rec, took)
	return &Answer{Head: head, Body: held.bytes, reserved: held.reserved}, outcomeAnswered
}

// noteBrokenAnswer records an answer that broke off.
func (d *Dispatcher) noteBrokenAnswer(ctx context.Context, p plainRun, rec *record, took time.Duration, cause error) {
	d.noteBrokenConnection(ctx, p.runner)
	d.reportSuspect(ctx, p.attempt.Request, p.runner, rec, took, true)
	rec.addStep(p.attempt.Instance, "run", outcomeUnknown, took, cause)
}

// noteWholeAnswer records an answer that has been read to its end.
func (d *Dispatcher) noteWholeAnswer(ctx context.Context, p plainRun, rec *record, took time.Duration) {
	p.sent.markAnswered()
	if p.resp.Head().Status >= 500 {
		p.runner.RecordFailure()
		rec.addStep(p.attempt.Instance, "run", outcomeFailed, took, nil)
		return
	}
	p.runner.RecordSuccess(took)
	d.reportAnswered(ctx, p.attempt.Instance, rec)
	rec.addStep(p.attempt.Instance, "run", outcomeAnswered, took, nil)
}

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

// keepFallback keeps an answer that is returned if no other runner gives a better one. The first long answer stays: if a
// second runner's is long as well, such answers are sound.
func (r *record) keepFallback(a *Answer) {
	if r.fallback != nil && r.fallback.Long != nil {
		a.drop(false)
		return
	}
	r.fallback.drop(false)
	r.fallback = a
}

// prefer returns the better one of the answer that was kept and that of the last attempt, which is nil if there is none,
// and drops the other one.
func prefer(kept, last *Answer) *Answer {
	switch {
	case kept == nil:
		return last
	case last == nil:
		return kept
	case kept.Long != nil && (last.Long != nil || last.Head.Status >= 500):
		last.drop(false)
		return kept
	default:
		kept.drop(true)
		return last
	}
}

// takeFallback returns the answer that was kept, if the caller can still get it.
func (r *record) takeFallback(ctx context.Context) *Answer {
	a := r.fallback
	r.fallback = nil
	if a != nil && a.Long != nil && ctx.Err() != nil {
		a.drop(true)
		return nil
	}
	return a
}

// drop releases an answer that isn't returned to the caller.
func (a *Answer) drop(isFault bool) {
	if a == nil {
		return
	}
	if a.Long != nil {
		a.Long.drop(isFault)
	}
	a.Release()
}

// Counted reports whether the body takes a share of what may be held of all answers, so that Release must be called once
// it is written.
func (a *Answer) Counted() bool { return a.reserved != nil && len(a.Body) > buffers.FreeBytes }

// Release gives back what is counted for the body.
func (a *Answer) Release() {
	if a.reserved != nil {
		a.reserved.Release()
	}
}

// readPrefill reads the answer to a request whose prompt alone is computed.
func (d *Dispatcher) readPrefill(r *Request, rec *record, resp Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(responseReader{resp}, maxPrefillBytes+1))
	switch {
	case len(body) > maxPrefillBytes:
		return nil, &TooLongError{Held: len(body), Declared: resp.Head().Length}
	case errors.Is(err, ErrUnframed):
		d.noteBodyEnd(r, rec, EndConnection)
		return body, nil
	case err == nil:
		d.noteBodyEnd(r, rec, EndFramed)
	}
	return body, err
}
