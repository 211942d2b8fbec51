package gateway

import "github.com/thymerack/thymerack/transport/callerconn"

// streamOverhead is what a stream holds besides the read buffers of its two connections: the write
// buffer (4 KiB), the events that were read (up to 8 KiB), and the stacks of its goroutines.
const streamOverhead = 32 << 10

// slowSendBuffer bounds the kernel's send buffer of a caller's connection, in bytes. It allows 175 Mbit/s
// at a round trip of 3 ms, where the fastest link of a host has 200 Mbit/s. Left to the kernel, the buffer
// of a caller that doesn't read grows to megabytes.
const slowSendBuffer = 64 << 10

// sendBuffer returns the size of callers' send buffers; 0 leaves it to the kernel.
func (s *Server) sendBuffer() int {
	if s.o.SlowReaderBytes <= 0 {
		return 0
	}
	return slowSendBuffer
}

// streamBytes is the memory that a stream holds whose caller doesn't read, apart from the sockets'
// buffers: the read buffers of the caller's and the runner's connection each hold a header.
func streamBytes(maxHeaderBytes int) int64 { return int64(2*maxHeaderBytes + streamOverhead) }

// SlowReaders returns what the server knows about callers that read slowly.
func (s *Server) SlowReaders() *callerconn.SlowReaders { return s.slow }
