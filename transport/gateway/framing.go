package gateway

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

// The faults of a request's framing that the library lets through. Two readers
// could take such a request for different ones.
var (
	errBareLine   = errors.New("a header line ends without CR; end lines with CRLF")
	errFoldedLine = errors.New("a header line is folded; send it on one line")
	errTwoLengths = errors.New("the request has both a length and chunks; send one of them")
	errEncoding   = errors.New("the transfer encoding isn't plain chunked; send chunks or a length")
	errTarget     = errors.New("the request target isn't a path; send the path and the Host header")
)

// checkFraming refuses what isn't framed beyond doubt.
func checkFraming(h *fasthttp.RequestHeader) error {
	if uri := h.RequestURI(); len(uri) == 0 || uri[0] != '/' {
		return errTarget
	}
	raw := h.RawHeaders()
	length, encoding := false, false
	for len(raw) > 0 {
		line := raw
		if i := bytes.IndexByte(raw, '\n'); i >= 0 {
			if i == 0 || raw[i-1] != '\r' {
				return errBareLine
			}
			line, raw = raw[:i-1], raw[i+1:]
		} else {
			raw = nil
		}
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return errFoldedLine
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			length = true
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			encoding = true
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return errEncoding
			}
		}
	}
	if length && encoding {
		return errTwoLengths
	}
	return nil
}
