package peer

import (
	"net"
	"sync/atomic"
)

// Stats are running totals since the start.
type Stats struct {
	BytesIn, BytesOut   uint64
	FramesIn, FramesOut uint64
	// Requests were sent by a client or taken by a server.
	Requests uint64
	// Refused greetings: another version, another key, or no peer at all.
	Refused uint64
	// Connections are those open at present.
	Connections int64
}

type counters struct {
	bytesIn, bytesOut   atomic.Uint64
	framesIn, framesOut atomic.Uint64
	requests, refused   atomic.Uint64
	connections         atomic.Int64
}

func (c *counters) stats() Stats {
	return Stats{
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		FramesIn: c.framesIn.Load(), FramesOut: c.framesOut.Load(),
		Requests: c.requests.Load(), Refused: c.refused.Load(),
		Connections: c.connections.Load(),
	}
}

// countedConn counts the bytes of a connection, greeting included.
type countedConn struct {
	net.Conn
	counters *counters
}

// Read implements io.Reader.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesIn.Add(uint64(n))
	return n, err
}

// Write implements io.Writer.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesOut.Add(uint64(n))
	return n, err
}
