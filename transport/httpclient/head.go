package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// The faults of a head. The library accepts them, and takes some of them for other statuses, fields or bodies than the server
// may have meant.
const (
	faultLineEnd   = "a line doesn't end with CRLF"
	faultVersion   = "the version isn't HTTP/1.x"
	faultStatus    = "the status isn't one of HTTP"
	faultFieldName = "the field name isn't a token"
	faultEncoding  = "a transfer encoding comes with a length, or not in HTTP/1.1"
)

const (
	// maxInterimHeads bounds the interim responses (1xx) before one response.
	maxInterimHeads = 100
	// maxQuotedBytes bounds what an error quotes of a malformed head.
	maxQuotedBytes = 64
)

// malformed returns the error of a line.
func malformed(fault string, line []byte) *MalformedError {
	return &MalformedError{Fault: fault, Line: bytes.Clone(line[:min(len(line), maxQuotedBytes)])}
}

// awaitHead reads interim responses and drops them, and waits until the whole head of the final response is in the buffer of
// br. It returns an error as soon as a line of a head is malformed.
func awaitHead(br *bufio.Reader) error {
	for range maxInterimHeads + 1 {
		status, err := peekHead(br)
		if err != nil || status >= fasthttp.StatusOK {
			return err
		}
		var interim fasthttp.ResponseHeader
		if err := interim.Read(br); err != nil {
			return err
		}
	}
	return errTooManyInterim
}

// peekHead waits until a whole head is in the buffer of br, and returns its status.
func peekHead(br *bufio.Reader) (status int, err error) {
	var head headCheck
	for n := 1; !head.whole; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return 0, headError(err, n, br.Size())
		}
		buffered, err := br.Peek(br.Buffered())
		if err != nil {
			return 0, err
		}
		if err := head.add(buffered); err != nil {
			return 0, err
		}
	}
	return head.status, nil
}

// headCheck checks a head line by line, as it arrives.
type headCheck struct {
	// checked is the length of the lines that have been checked, in bytes.
	checked int
	status  int
	// isHTTP11, hasLength and hasEncoding tell how the body is framed.
	isHTTP11, hasLength, hasEncoding bool
	// whole is set once the empty line at the end has come.
	whole bool
}

// add checks the lines that have come since the last call. b is all that has come of the head, and may go on behind it.
func (h *headCheck) add(b []byte) error {
	for !h.whole {
		line, _, found := bytes.Cut(b[h.checked:], []byte{'\n'})
		if !found {
			return nil
		}
		if err := h.addLine(line); err != nil {
			return err
		}
		h.checked += len(line) + len("\n")
	}
	return nil
}

// addLine checks one line, whose LF is cut off.
func (h *headCheck) addLine(line []byte) (err error) {
	line, hasCR := bytes.CutSuffix(line, []byte{'\r'})
	switch {
	case !hasCR:
		return malformed(faultLineEnd, line)
	case h.checked == 0:
		h.isHTTP11 = bytes.HasPrefix(line, []byte("HTTP/1.1 "))
		h.status, err = checkStatusLine(line)
		return err
	case len(line) == 0:
		h.whole = true
		return nil
	default:
		return h.addField(line)
	}
}

// addField checks the name of a header field, and whether the body's framing is beyond doubt: two readers could take chunks with
// a length, or in another version, for different bodies (RFC 9112, sections 6.1 and 6.3). A line that continues the one before has no
// name; a proxy may drop a response with such lines (section 5.2).
func (h *headCheck) addField(line []byte) error {
	field, _, found := bytes.Cut(line, []byte{':'})
	name := string(field)
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return malformed(faultFieldName, line)
	}
	h.hasLength = h.hasLength || strings.EqualFold(name, fasthttp.HeaderContentLength)
	h.hasEncoding = h.hasEncoding || strings.EqualFold(name, fasthttp.HeaderTransferEncoding)
	if h.hasEncoding && (h.hasLength || !h.isHTTP11) {
		return malformed(faultEncoding, line)
	}
	return nil
}

// headError returns the error of a head of which the n-th byte can't be read into a buffer of the given size.
func headError(err error, n, size int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return &HeadTooLongError{MaxBytes: size}
	case err == io.EOF && n > 1:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// checkStatusLine returns the status of a response's first line.
func checkStatusLine(line []byte) (int, error) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	if major, _, ok := http.ParseHTTPVersion(string(version)); !ok || major != 1 {
		return 0, malformed(faultVersion, line)
	}
	text, _, _ := bytes.Cut(rest, []byte{' '})
	status, err := strconv.Atoi(string(text))
	// No request of a host asks for another protocol.
	if err != nil || len(text) != len("200") || status < fasthttp.StatusContinue || status == fasthttp.StatusSwitchingProtocols || status >= 600 {
		return 0, malformed(faultStatus, line)
	}
	return status, nil
}
