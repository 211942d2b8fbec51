package callerconn

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Gone reports whether the other side has closed or reset the connection.
// It looks without reading, so that a pipelined request stays where it is, and
// past the connection's read deadline, which belongs to the request before.
// Connections that can't be looked at count as alive.
func Gone(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = (err == nil && n == 0) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.ETIMEDOUT)
	})
	return gone || errors.Is(err, net.ErrClosed)
}
