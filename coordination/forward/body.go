package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
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
