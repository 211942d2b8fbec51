package callerconn

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/transport/wallclock"
)

// Activity counts the connections on which a request is read or a response
// written, and knows those without one. The zero value is ready.
type Activity struct {
	// Limits returns the limits in force. If it is set, Activity sets the read deadlines of the
	// connections but for those of bodies, and the server must have no read or idle time-out.
	Limits func() Limits
	// Ended is told of connections that ended for a cause. It must not block.
	Ended func(Ending)

	active atomic.Int64

	mu sync.Mutex
	// waiting are the connections without a request, serving those with one.
	waiting map[*Conn]unused
	serving map[*Conn]struct{}
}

// Note takes a connection's change of state; it is a fasthttp.Server's ConnState.
func (a *Activity) Note(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	a.noteWaiting(c, state)
	if state == fasthttp.StateClosed {
		a.report(c)
	}
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

// noteWaiting notes whether a connection waits for a request. What ends a wait holds the lock, so that
// a request whose first byte has been read is never cut by it.
func (a *Activity) noteWaiting(c *Conn, state fasthttp.ConnState) {
	limits := a.limits()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, c)
	delete(a.serving, c)
	switch state {
	case fasthttp.StateNew, fasthttp.StateIdle:
		if a.waiting == nil {
			a.waiting = map[*Conn]unused{}
		}
		a.waiting[c] = unused{state, wallclock.Now(), limits.Idle}
		c.request.Store(nil)
		if a.Limits != nil {
			_ = c.SetReadDeadline(time.Time{})
		}
	case fasthttp.StateActive:
		if a.serving == nil {
			a.serving = map[*Conn]struct{}{}
		}
		a.serving[c] = struct{}{}
		c.ending.Store(nil) // the request crossed the end of the wait
		if a.Limits != nil {
			_ = c.SetReadDeadline(time.Now().Add(tolerated(limits.Header)))
		}
	}
}

func (a *Activity) limits() Limits {
	if a.Limits == nil {
		return Limits{}
	}
	return a.Limits()
}

// Active is the number of connections that a request is read from or a response
// written to. A response is written after its handler has returned.
func (a *Activity) Active() int64 { return a.active.Load() }

// CloseUnused closes the connections between two requests. A request that arrives
// at that moment is not read, so that its caller may send it again. A connection
// that has just become unused may be missed: call it until nothing is open.
func (a *Activity) CloseUnused() { a.closeWaiting(fasthttp.StateIdle) }

// NoteShutdown notes the end of the server as the cause of the end of the connections that have a request.
func (a *Activity) NoteShutdown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.serving {
		c.noteEnd(CauseShutdown, nil)
	}
}

// ReportServing tells of the connections that still have a request, which the end of the process closes.
func (a *Activity) ReportServing() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.serving {
		a.report(c)
	}
}

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
	for c, u := range a.waiting {
		if slices.Contains(states, u.state) {
			c.endWait(CauseLeaving)
		}
	}
}

// endWait ends a connection without a request: the server's read ends at once and it closes the
// connection. A request whose first byte it has read is served.
func (c *Conn) endWait(cause Cause) {
	c.noteEnd(cause, nil)
	_ = c.SetReadDeadline(longAgo)
}

// longAgo ends a wait at once.
var longAgo = time.Unix(1, 0)
