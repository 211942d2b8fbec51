// Package eventstream finds the events in a stream of server-sent events, as the HTML standard defines them
// ("Interpreting an event stream"), without changing or keeping its bytes.
package eventstream

import "bytes"

// Scanner finds the ends of events in a stream that is read in parts. The zero value is at the start of a
// stream.
type Scanner struct {
	// afterCR is set after a CR: an LF that follows belongs to the same end of line.
	afterCR bool
	// inLine is set inside a line, and inComment inside a comment.
	inLine, inComment bool
	// inFields is set once a line since the last event has begun that is no comment.
	inFields bool
	events   int
}

// Next reads p to the end of the next block of lines, and returns how much of p that is; ended is false if p
// ends first. A block ends with a blank line. One of comments only isn't counted as an event.
func (s *Scanner) Next(p []byte) (n int, ended bool) {
	for i, b := range p {
		if b == '\n' && s.afterCR {
			s.afterCR = false
			continue
		}
		s.afterCR = b == '\r'
		switch {
		case b != '\r' && b != '\n':
			s.noteByte(b)
		case s.inLine:
			s.inLine, s.inComment = false, false
		default:
			s.endBlock()
			return s.skipLF(p, i+1), true
		}
	}
	return len(p), false
}

// noteByte reads a byte of a line.
func (s *Scanner) noteByte(b byte) {
	if !s.inLine {
		s.inLine, s.inComment = true, b == ':'
	}
	if !s.inComment {
		s.inFields = true
	}
}

func (s *Scanner) endBlock() {
	if s.inFields {
		s.events++
	}
	s.inFields = false
}

// skipLF returns the offset after the LF of a CRLF whose CR is before offset n.
func (s *Scanner) skipLF(p []byte, n int) int {
	if s.afterCR && n < len(p) && p[n] == '\n' {
		s.afterCR = false
		return n + 1
	}
	return n
}

// Events returns the number of events that have ended.
func (s *Scanner) Events() int { return s.events }

// Inside reports whether the stream is inside an event or a line: if it ended here, it would have been broken
// off.
func (s *Scanner) Inside() bool { return s.inFields || s.inLine }

var (
	byteOrderMark = []byte("\xef\xbb\xbf")
	idField       = []byte("id")
)

// ID returns the ID in a block of lines, and whether it has one. The last one counts. An ID that contains a NUL
// is ignored.
func ID(block []byte) (id string, found bool) {
	block = bytes.TrimPrefix(block, byteOrderMark)
	for len(block) > 0 {
		end := bytes.IndexAny(block, "\r\n")
		if end < 0 {
			end = len(block)
		}
		name, value, _ := bytes.Cut(block[:end], []byte{':'})
		if value = bytes.TrimPrefix(value, []byte{' '}); bytes.Equal(name, idField) && bytes.IndexByte(value, 0) < 0 {
			id, found = string(value), true
		}
		block = block[min(end+1, len(block)):]
	}
	return id, found
}
