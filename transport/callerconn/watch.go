// Package callerconn is the callers' side of a connection, below HTTP: write limits
// for each part of a response, activity, and callers that leave while they wait.
package callerconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errGone is what the caller's end of a connection looks like while its request is answered.
var errGone = errors.New("the caller has closed its side of the connection, or reset it")

// Watch ends the work of callers that have left, and all work when the server
// closes. One goroutine looks for all
// of them: most calls are over before the first look, and a goroutine and a
// ticker for each would cost more than the call's own decisions.
type Watch struct {
	interval time.Duration

	mu     sync.Mutex
	calls  map[*Call]struct{}
	closed bool
}

// Call is a call whose caller is looked for.
type Call struct {
	Conn   net.Conn
	Cancel context.CancelFunc
}

// NewWatch returns a watch that looks every interval once it runs.
func NewWatch(interval time.Duration) *Watch {
	return &Watch{interval: interval, calls: map[*Call]struct{}{}}
}

// Add begins to look for a caller until Remove is called.
func (w *Watch) Add(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[c] = struct{}{}
	if w.closed {
		c.Cancel()
	}
}

// Remove ends the looking for a caller.
func (w *Watch) Remove(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
}

// Run looks every interval until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	tick := time.NewTicker(w.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			w.close()
			return
		case <-tick.C:
		}
		for _, c := range w.present() {
			if Gone(c.Conn) {
				NoteEnd(c.Conn, CauseCallerLeft, errGone)
				c.Cancel()
			}
		}
	}
}

func (w *Watch) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for c := range w.calls {
		c.Cancel()
	}
}

func (w *Watch) present() []*Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*Call, 0, len(w.calls))
	for c := range w.calls {
		out = append(out, c)
	}
	return out
}
