package serving

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// ClosedByPeer reports whether the other side has closed the connection. It
// looks without taking a byte, so that a server learns of it before it writes.
func ClosedByPeer(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && peekErr == nil || isReset(peekErr)
	})
	return closed || err != nil
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// CancelOnClose calls cancel once the other side has closed conn. It looks every
// period and returns when ctx ends.
func CancelOnClose(ctx context.Context, cancel context.CancelFunc, conn net.Conn, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if ClosedByPeer(conn) {
			cancel()
			return
		}
	}
}
