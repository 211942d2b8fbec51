package front_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/transport/callerconn"
	"github.com/thymerack/thymerack/transport/front"
)

// heapInUse returns the bytes of the heap after pooled buffers have been collected, which takes two collections.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}

// Guards against kept connections that each hold the buffer of their largest body.
func TestRestingConnectionsHoldNoBodies(t *testing.T) {
	const callers, size = 24, 4 << 20
	body := strings.Repeat("b", size)
	for name, request := range map[string]string{
		"length":      message("POST", "/services/app/x", body),
		"chunks":      message("POST", "/services/app/x", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body), "Transfer-Encoding: chunked"),
		"bad request": message("POST", completions, body),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, func(h *host, o *front.Options) {
				o.Limits.BodyBytes = size
				h.dispatcher.call = func(context.Context, *dispatch.Request, upstream.Call) (upstream.Answer, error) {
					return upstream.Answer{Status: 200, Body: []byte("got")}, nil
				}
			})
			before := heapInUse()
			for range callers {
				c := h.dial(t)
				c.send(request)
				c.receive()
			}
			h.dispatcher.mu.Lock()
			h.dispatcher.calls = nil
			h.dispatcher.mu.Unlock()
			perConn := (heapInUse() - before) / callers
			t.Logf("%d bytes of heap per resting connection", perConn)
			is.New(t).True(perConn <= 2*headerBytes+callerconn.MaxKeptBodyBytes+64<<10)
		})
	}
}
