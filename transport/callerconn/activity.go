package callerconn

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Activity counts the connections on which a request is read or a response
// written, and knows those between two requests. The zero value is ready.
type Activity struct {
	active atomic.Int64

	mu     sync.Mutex
	unused map[*Conn]struct{}
}

// Note takes a connection's change of state; it is a fasthttp.Server's ConnState.
func (a *Activity) Note(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	a.noteUnused(c, state == fasthttp.StateIdle)
	active := state == fasthttp.StateActive
	if c.active.Swap(active) == active {
		return
	}
	if active {
		a.active.Add(1)
	} else {
		a.active.Add(-1)
	}
}

func (a *Activity) noteUnused(c *Conn, unused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !unused {
		delete(a.unused, c)
		return
	}
	if a.unused == nil {
		a.unused = map[*Conn]struct{}{}
	}
	a.unused[c] = struct{}{}
}

// Active is the number of connections that a request is read from or a response
// written to. A response is written after its handler has returned.
func (a *Activity) Active() int64 { return a.active.Load() }

// CloseUnused closes the connections between two requests. A request that arrives
// at that moment is not read, so that its caller may send it again. A connection
// that has just become unused may be missed: call it until nothing is open.
func (a *Activity) CloseUnused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.unused {
		// The server's read ends at once and it closes the connection; a request
		// whose first byte it has read is served.
		_ = c.SetReadDeadline(longAgo)
	}
}

// longAgo ends a wait at once.
var longAgo = time.Unix(1, 0)
