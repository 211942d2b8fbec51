// Package idle serves many idle engines and plain services from one process, so
// that hosts can be measured before more runners than a machine holds processes
// for. An idle engine computes nothing: it tells an empty load, shows what it
// was ordered to be, and counts the calls and bytes that all hosts spend on it.
package idle

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/state"
)

// The speeds that an idle engine reports.
const (
	prefillTokensPerSecond = 8000
	decodeStepMillis       = 12
)

// Usage counts what hosts spent on the runners since the start.
type Usage struct {
	Runners int `json:"runners"`
	// Calls counts HTTP requests, BytesIn and BytesOut all bytes on connections,
	// headers included.
	Calls       int64 `json:"calls"`
	Connections int64 `json:"connections"`
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
}

// runner is one idle engine or service.
type runner struct {
	row         state.Listed
	incarnation string

	mu     sync.Mutex
	target state.Target
	fence  uint64
}

func newRunner(row state.Listed, model string) *runner {
	return &runner{
		row: row, incarnation: uuid.Must(uuid.NewV7()).String(),
		target: state.Target{Role: state.RoleMixed, Model: model},
	}
}

// load is the report of an engine without work, as old as lag.
func (r *runner) load(now time.Time, lag time.Duration) state.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return state.LoadReport{
		Engine: r.row.Name, Incarnation: r.incarnation, TakenAt: now.Add(-lag),
		Shown: r.target, Fence: r.fence,
		PrefillTokensPerSecond: prefillTokensPerSecond, DecodeStepMillis: decodeStepMillis,
	}
}

// order takes an order at once; false if its fence is old and checked.
func (r *runner) order(o engineapi.OrderRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fence < r.fence && r.row.ChecksFence {
		return false
	}
	r.fence = max(r.fence, o.Fence)
	r.target = o.Target
	return true
}

func (r *runner) show() engineapi.Shown {
	r.mu.Lock()
	defer r.mu.Unlock()
	return engineapi.Shown{Engine: r.row.Name, Incarnation: r.incarnation, Target: r.target, Fence: r.fence}
}

// counts is a Usage that many connections add to.
type counts struct {
	calls, connections, in, out atomic.Int64
}

func (c *counts) usage(runners int) Usage {
	return Usage{
		Runners: runners, Calls: c.calls.Load(), Connections: c.connections.Load(),
		BytesIn: c.in.Load(), BytesOut: c.out.Load(),
	}
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	counts *counts
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counts.connections.Add(1)
	return countedConn{conn, l.counts}, nil
}

type countedConn struct {
	net.Conn
	counts *counts
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.out.Add(int64(n))
	return n, err
}
