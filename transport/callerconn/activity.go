package callerconn

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Activity counts the connections on which a request is read or a response
// written, and knows those without one. The zero value is ready.
type Activity struct {
	active atomic.Int64

	mu sync.Mutex
	// waiting are the connections without a request: new ones, on which nothing
	// has come yet, and idle ones, between two requests.
	waiting map[*Conn]fasthttp.ConnState
}

// Note takes a connection's change of state; it is a fasthttp.Server's ConnState.
func (a *Activity) Note(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	a.noteWaiting(c, state)
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

func (a *Activity) noteWaiting(c *Conn, state fasthttp.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state != fasthttp.StateNew && state != fasthttp.StateIdle {
		delete(a.waiting, c)
		return
	}
	if a.waiting == nil {
		a.waiting = map[*Conn]fasthttp.ConnState{}
	}
	a.waiting[c] = state
}

// Active is the number of connections that a request is read from or a response
// written to. A response is written after its handler has returned.
func (a *Activity) Active() int64 { return a.active.Load() }

// CloseUnused closes the connections between two requests. A request that arrives
// at that moment is not read, so that its caller may send it again. A connection
// that has just become unused may be missed: call it until nothing is open.
func (a *Activity) CloseUnused() { a.closeWaiting(fasthttp.StateIdle) }

// Shutdown runs stop, which closes the listener and waits for the connections of a
// server, and meanwhile closes those without a request. The server alone would wait
// up to 5 s for the first request of a new connection.
func (a *Activity) Shutdown(stop func() error) error {
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	tick := time.NewTicker(closePoll)
	defer tick.Stop()
	for {
		a.closeWaiting(fasthttp.StateNew, fasthttp.StateIdle)
		select {
		case err := <-ended:
			return err
		case <-tick.C:
		}
	}
}

// closePoll is how often Shutdown looks for connections that it may close. The
// server looks every 100 ms whether any are left.
const closePoll = 20 * time.Millisecond

func (a *Activity) closeWaiting(states ...fasthttp.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c, state := range a.waiting {
		if slices.Contains(states, state) {
			c.closeWaiting(state)
		}
	}
}

// closeWaiting ends a connection without a request.
func (c *Conn) closeWaiting(state fasthttp.ConnState) {
	if state == fasthttp.StateNew {
		// The server would answer the end of its first read with a 408 that nobody
		// has asked for.
		_ = c.Close()
		return
	}
	// The server's read ends at once and it closes the connection; a request whose
	// first byte it has read is served.
	_ = c.SetReadDeadline(longAgo)
}

// longAgo ends a wait at once.
var longAgo = time.Unix(1, 0)
