package forward

import (
	"fmt"

	"github.com/thymerack/thymerack/coordination/eventstream"
)

// EventTooLongError means that more bytes of a stream have come since its last event than may be held.
type EventTooLongError struct{ Bytes int }

// Error implements error.
func (e *EventTooLongError) Error() string {
	return fmt.Sprintf("%d bytes came without the end of an event; check what the engine sends", e.Bytes)
}

// growBuffer makes room for a read behind the bytes of the buffer. The buffer doubles, so that a long event isn't copied with
// each read.
func (s *Stream) growBuffer() error {
	if cap(s.buf)-len(s.buf) >= streamReadSize/2 {
		return nil
	}
	size := max(len(s.buf)+streamReadSize, 2*len(s.buf))
	s.held.Release()
	if !s.held.Grow(size) {
		return s.dropEvent()
	}
	s.buf = append(make([]byte, 0, size), s.buf...)
	return nil
}

// maxCommentBytes bounds the blocks of comments between two events. A stream may send some to keep its connection, but isn't
// kept alive by them without end.
const maxCommentBytes = 64 << 10

// checkEvent returns an error if too many bytes have come since the last event.
func (s *Stream) checkEvent() error {
	if s.comments <= maxCommentBytes && s.sinceEvent <= s.d.o.Buffers.MaxAnswerBytes() {
		return nil
	}
	return s.dropEvent()
}

// dropEvent counts and logs an event that is too long, and returns the error that ends the run.
func (s *Stream) dropEvent() error {
	err := &EventTooLongError{s.sinceEvent}
	s.d.noteLongAnswer(s.ctx, s.a, LongAnswerEventDropped, err.Bytes)
	return err
}

// readAhead reads the run up to its first event.
func (r *run) readAhead(maxBytes int) {
	r.first = make(chan firstRead, 1)
	go func() {
		var scanner eventstream.Scanner
		var out firstRead
		buf := make([]byte, streamReadSize)
		for out.err == nil && scanner.Events() == 0 {
			var n int
			n, out.err = r.resp.Read(buf)
			out.bytes = append(out.bytes, buf[:n]...)
			for part := buf[:n]; len(part) > 0; {
				used, _ := scanner.Next(part)
				part = part[used:]
			}
			if len(out.bytes) > maxBytes && out.err == nil {
				out.err = &EventTooLongError{len(out.bytes)}
			}
		}
		r.first <- out
	}()
}
