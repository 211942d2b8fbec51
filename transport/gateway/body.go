package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/transport/callerconn"
)

// source is a body that is passed on as it arrives.
type source interface {
	// Next returns the next part, which is valid until the next call, and io.EOF at the end of a complete body.
	Next() ([]byte, error)
	// Close ends the answer; err is why the caller didn't get the rest.
	Close(err error)
}

// sourceOf returns the body of an answer that is passed on as it arrives; nil if the answer has its whole body.
func sourceOf(a *forward.Answer) source {
	switch {
	case a.Stream != nil:
		return a.Stream
	case a.Long != nil:
		return a.Long
	default:
		return nil
	}
}

// untilEnd is the library's length of a body that is written in chunks until its end.
const untilEnd = -1

// lengthOf returns the length of the answer's body if its runner has declared one. Events are counted by nobody: a stream may
// go on at another runner.
func lengthOf(a *forward.Answer) int {
	if a.Long != nil && a.Head.Length > 0 {
		return a.Head.Length
	}
	return untilEnd
}

// countedBody is a whole body that takes a share of what may be held of all answers, until it is written.
type countedBody struct {
	bytes.Reader
	answer *forward.Answer
}

func newCountedBody(a *forward.Answer) *countedBody {
	b := &countedBody{answer: a}
	b.Reset(a.Body)
	return b
}

// Close implements io.Closer; the library calls it however the answer ends.
func (b *countedBody) Close() error {
	b.answer.Release()
	return nil
}

// passedBody is the body of an answer that is passed on as it arrives. The goroutine of the connection
// takes the parts from it.
type passedBody struct {
	source source
	conn   net.Conn
	done   func()
	err    error
	left   []byte
	closed bool
}

// SupportsBodyWriteTo implements fasthttp.BodyWriterTo.
func (b *passedBody) SupportsBodyWriteTo() bool { return true }

// WriteTo implements io.WriterTo; an error makes the library close the connection
// without the mark that ends a whole body.
func (b *passedBody) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for {
		part, err := b.source.Next()
		if err == io.EOF {
			return written, nil
		}
		if err != nil {
			b.err = err
			callerconn.NoteEnd(b.conn, callerconn.CauseInterrupted, err)
			return written, err
		}
		n, err := w.Write(part)
		written += int64(n)
		if err != nil {
			b.err = fmt.Errorf("write to the caller: %w", err)
			return written, b.err
		}
	}
}

// Read implements io.Reader, as WriteTo.
func (b *passedBody) Read(p []byte) (int, error) {
	if len(b.left) == 0 {
		part, err := b.source.Next()
		if err != nil {
			if err != io.EOF {
				b.err = err
				callerconn.NoteEnd(b.conn, callerconn.CauseInterrupted, err)
			}
			return 0, err
		}
		b.left = part
	}
	n := copy(p, b.left)
	b.left = b.left[n:]
	return n, nil
}

// Close implements io.Closer; the library calls it however the answer ends.
func (b *passedBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.source.Close(b.err)
	b.done()
	return nil
}

// errStreamTooLong is the cause of the refusal of a stream that exceeds what is held for a caller.
var errStreamTooLong = errors.New("the stream is too long to be held for a caller without chunks; send the request as HTTP/1.1")

// collect reads a body to its end. Callers of HTTP/1.0 know no chunks, so that only a length shows them that
// an answer is whole.
func (s *Server) collect(answer *forward.Answer, from source) (*forward.Answer, error) {
	var body []byte
	for {
		part, err := from.Next()
		if body = append(body, part...); err == nil && len(body) > s.o.MaxBodyBytes {
			err = errStreamTooLong
		}
		if err == io.EOF {
			from.Close(nil)
			return &forward.Answer{Head: answer.Head, Body: body}, nil
		}
		if err != nil {
			from.Close(err)
			return nil, &forward.Refusal{Reason: forward.ReasonUnknown, Cause: err}
		}
	}
}
