package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/transport/callerconn"
)

const (
	restingCallers = 24
	largeBody      = 4 << 20
)

// heapInUse returns the bytes of the heap after pooled buffers have been collected, which takes two collections.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}

// chunked frames a body in chunks of 64 KiB.
func chunked(body []byte) string {
	const size = 64 << 10
	var out bytes.Buffer
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		body = body[len(part):]
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(part), part)
	}
	return out.String() + "0\r\n\r\n"
}

// Guards against kept connections that each hold the buffer of their largest body, so that callers who
// move over from a lost host exhaust the memory of the next.
func TestRestingConnectionsHoldNoBodies(t *testing.T) {
	body := bytes.Repeat([]byte{'b'}, largeBody)
	for name, request := range map[string]string{
		"length":   fmt.Sprintf("POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%s", largeBody, body),
		"chunks":   "POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body),
		"no route": fmt.Sprintf("POST /other HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%s", largeBody, body),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, addr := serve(t, func(_ context.Context, r *forward.Request) (*forward.Answer, error) {
				is.Equal(len(r.Body), largeBody)
				return &forward.Answer{Head: &forward.Head{Status: 200}, Body: []byte("got")}, nil
			}, func(o *Options) { o.MaxBodyBytes = largeBody })
			before := heapInUse()
			for range restingCallers {
				conn, br := dial(t, addr)
				if _, err := io.WriteString(conn, request); err != nil {
					t.Fatal(err)
				}
				status, _ := exchange(t, conn, br, "")
				is.True(status == 200 || status == 404)
			}
			perConn := (heapInUse() - before) / restingCallers
			t.Logf("%d bytes of heap per resting connection", perConn)
			is.True(perConn <= int64(2*(16<<10)+callerconn.MaxKeptBodyBytes+streamOverhead))
		})
	}
}
