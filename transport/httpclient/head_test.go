package httpclient

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against a check and a library that find different ends of a head, or different statuses: the one would pass on as
// the body what the other took for fields.
func FuzzAcceptedHeadsAreReadAlike(f *testing.F) {
	for _, head := range []string{
		okResponse, "HTTP/1.0 204 \r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\nC: d\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\n\nC: d\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 O\rK\r\n\r\n",
		"HTTP/1.1 103 A\r\nB: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 \r\nA:\r\n\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		is := is.New(t)
		br := bufio.NewReaderSize(bytes.NewReader(head), 4<<10)
		status, err := peekHead(br)
		if err != nil {
			return
		}
		end := bytes.Index(head, []byte("\r\n\r\n")) + len("\r\n\r\n")
		unread := br.Buffered()
		var h fasthttp.ResponseHeader
		if h.Read(br) != nil {
			return // the library knows faults that this check doesn't
		}
		is.Equal(unread-br.Buffered(), end)
		is.Equal(h.StatusCode(), status)
		for name := range h.All() {
			is.True(!strings.ContainsAny(string(name), " \t\r\n"))
		}
	})
}
