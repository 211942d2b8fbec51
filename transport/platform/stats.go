package platform

import "sync/atomic"

// OpStats counts the calls of one operation.
type OpStats struct {
	// Calls are attempts that reached the network, Failures those of them that
	// gave no usable answer. A 404 or 409 is an answer.
	Calls, Failures uint64
	// Refused are attempts that the own rate limit or the breaker held back.
	Refused uint64
	// BytesSent and BytesReceived are of the bodies.
	BytesSent, BytesReceived uint64
}

// Stats counts the calls since the client was made, by operation.
type Stats struct {
	Get, Put, Delete, List, Watch, Hosts OpStats
}

// op is an operation of the object API.
type op int

const (
	opGet op = iota
	opPut
	opDelete
	opList
	opWatch
	opHosts
	opCount
)

// write reports whether the operation can have an effect at the platform.
func (o op) write() bool { return o == opPut || o == opDelete }

// waits reports whether the platform may hold the call for a change.
func (o op) waits() bool { return o == opWatch || o == opHosts }

type opCounters struct {
	calls, failures, refused atomic.Uint64
	sent, received           atomic.Uint64
}

func (c *opCounters) stats() OpStats {
	return OpStats{
		Calls: c.calls.Load(), Failures: c.failures.Load(), Refused: c.refused.Load(),
		BytesSent: c.sent.Load(), BytesReceived: c.received.Load(),
	}
}

// Stats returns the counts so far.
func (c *Client) Stats() Stats {
	return Stats{
		Get: c.counters[opGet].stats(), Put: c.counters[opPut].stats(),
		Delete: c.counters[opDelete].stats(), List: c.counters[opList].stats(),
		Watch: c.counters[opWatch].stats(), Hosts: c.counters[opHosts].stats(),
	}
}
