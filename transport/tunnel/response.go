package tunnel

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"
)

const (
	// maxLine bounds the bytes that are kept of a head or of a chunk's first line.
	maxLine = 64 << 10
	// chunkedLength is fasthttp's content length of a body in chunks.
	chunkedLength = -1
)

// responses follows the responses on a runner's connection, to know whether one is whole. It needs no more of HTTP
// than the framing of bodies. After bytes that it can't read, no response counts as whole.
type responses struct {
	// line is what has come of a head or of a chunk's first line, and skip the number of bytes that follow until the next
	// such line.
	line []byte
	skip uint64
	// chunked is set within a body in chunks, interim after a head that another one of the same response follows, and
	// unknown where the connection's end is that of the response.
	chunked, interim, unknown bool
}

// pass takes the next bytes, and reports whether a whole response ends with them. bodiless says that the request was
// one whose response has no body.
func (r *responses) pass(b []byte, bodiless bool) (whole bool) {
	for len(b) > 0 && !r.unknown {
		if r.skip > 0 {
			n := min(r.skip, uint64(len(b)))
			r.skip -= n
			b = b[n:]
			continue
		}
		b = r.passLine(b, bodiless)
	}
	return len(r.line) == 0 && r.skip == 0 && !r.chunked && !r.interim && !r.unknown
}

// passLine takes the bytes of a head or of a chunk's first line, and returns those that follow.
func (r *responses) passLine(b []byte, bodiless bool) (rest []byte) {
	end := []byte("\r\n\r\n")
	if r.chunked {
		end = end[:2]
	}
	line, rest, found := r.cutLine(b, end)
	if !found {
		r.unknown = len(r.line) > maxLine
		return nil
	}
	if r.chunked {
		r.noteChunk(line)
	} else {
		r.noteHead(line, bodiless)
	}
	return rest
}

// cutLine returns what has come up to the end, which is valid until the next call, and the bytes that follow. Without an end
// it keeps the bytes. Only a line that comes in several parts is copied: a body may have very many chunks.
func (r *responses) cutLine(b, end []byte) (line, rest []byte, found bool) {
	if len(r.line) == 0 {
		if i := bytes.Index(b, end); i >= 0 {
			return b[:i+len(end)], b[i+len(end):], true
		}
	}
	from := max(0, len(r.line)-len(end)+1)
	r.line = append(r.line, b...)
	i := bytes.Index(r.line[from:], end)
	if i < 0 {
		return nil, nil, false
	}
	line = r.line[:from+i+len(end)]
	rest = b[len(b)-(len(r.line)-len(line)):]
	r.line = r.line[:0]
	return line, rest, true
}

// noteHead notes how the body after a head is framed.
func (r *responses) noteHead(line []byte, bodiless bool) {
	var h fasthttp.ResponseHeader
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(line), len(line))); err != nil {
		r.unknown = true
		return
	}
	status, length := h.StatusCode(), h.ContentLength()
	r.interim = status < fasthttp.StatusOK
	switch {
	case r.interim, bodiless, status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
	case length >= 0:
		r.skip = uint64(length)
	default:
		r.chunked = length == chunkedLength
		r.unknown = !r.chunked
	}
}

// noteChunk notes how long a chunk is. The last one has no bytes; trailers aren't known.
func (r *responses) noteChunk(line []byte) {
	size, _, _ := bytes.Cut(bytes.TrimSpace(line), []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
	r.unknown = err != nil
	r.skip = n + uint64(len("\r\n"))
	r.chunked = n > 0
}
