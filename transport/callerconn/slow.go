package callerconn

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/thymerack/thymerack/transport/wallclock"
)

const (
	// slowPoll is the time between two looks at the connections.
	slowPoll = 250 * time.Millisecond
	// minBlocked is how long a write must be blocked to count. Over the slowest link (10 Mbit/s) a
	// part of 64 KiB takes 52 ms.
	minBlocked = slowPoll
	// slowAfter is how long a write must be blocked for its caller to be a slow reader.
	slowAfter = time.Second
	// maxSlowLines bounds the log lines of one look.
	maxSlowLines = 4
)

// SlowOptions configure SlowReaders.
type SlowOptions struct {
	// MaxBytes bounds the bytes held for callers whose connection is blocked; 0 for no bound.
	MaxBytes int64
	// ConnBytes is what the host holds for such a connection apart from the kernel's send buffer
	// and what waits to be written to it.
	ConnBytes int64
	Log       *slog.Logger
}

// SlowReaders looks for callers that don't take what is written to them. If the bytes held for them
// exceed a bound, it closes the connections that have been blocked longest until they don't.
type SlowReaders struct {
	o     SlowOptions
	slow  atomic.Int64
	held  atomic.Int64
	ended atomic.Uint64

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewSlowReaders returns SlowReaders without connections.
func NewSlowReaders(o SlowOptions) *SlowReaders {
	return &SlowReaders{o: o, conns: map[*Conn]struct{}{}}
}

// Count returns the number of connections whose caller has taken nothing for over a second, and Held
// the bytes held for all blocked connections, both as of the last look.
func (s *SlowReaders) Count() int64 { return s.slow.Load() }

// Held returns the bytes held for blocked connections; see Count.
func (s *SlowReaders) Held() int64 { return s.held.Load() }

// Ended returns how many connections were closed because of the bound.
func (s *SlowReaders) Ended() uint64 { return s.ended.Load() }

// Run looks at the connections until ctx is done.
func (s *SlowReaders) Run(ctx context.Context) {
	tick := time.NewTicker(slowPoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.look(wallclock.Now())
		}
	}
}

// blockedConn is a connection on which a write is blocked.
type blockedConn struct {
	*Conn
	// since is the value of writingSince.
	since   int64
	blocked time.Duration
	bytes   int64
}

// look counts the blocked connections and enforces the bound.
func (s *SlowReaders) look(now time.Time) {
	blocked, held, slow := s.blocked(now), int64(0), int64(0)
	for _, b := range blocked {
		held += b.bytes
		if b.blocked >= slowAfter {
			slow++
		}
	}
	if s.o.MaxBytes > 0 && held > s.o.MaxBytes {
		held, slow = s.enforce(blocked, held, slow)
	}
	s.slow.Store(slow)
	s.held.Store(held)
}

// blocked returns the blocked connections.
func (s *SlowReaders) blocked(now time.Time) []blockedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []blockedConn
	for c := range s.conns {
		since := c.writingSince.Load()
		if since == 0 {
			continue
		}
		if d := now.Sub(time.Unix(0, since)); d >= minBlocked {
			out = append(out, blockedConn{c, since, d, s.o.ConnBytes + c.unwritten.Load() + c.unsent()})
		}
	}
	return out
}

// enforce closes the connections that have been blocked longest until the rest is within the bound, and
// returns the bytes held and the number of slow readers that are left.
func (s *SlowReaders) enforce(blocked []blockedConn, held, slow int64) (int64, int64) {
	slices.SortFunc(blocked, func(a, b blockedConn) int { return cmp.Compare(b.blocked, a.blocked) })
	n := 0
	for _, b := range blocked {
		if held <= s.o.MaxBytes {
			break
		}
		held -= b.bytes
		if b.blocked >= slowAfter {
			slow--
		}
		if b.writingSince.Load() != b.since {
			continue // the caller has taken the part by now
		}
		if n++; n <= maxSlowLines {
			s.o.Log.Warn("slow reader ended", "caller", b.RemoteAddr().String(), "blocked", b.blocked, "bytes", b.bytes, "held", held+b.bytes, "bound", s.o.MaxBytes)
		}
		b.noteEnd(CauseSlowReader, nil)
		b.reset()
	}
	s.ended.Add(uint64(n))
	if n > maxSlowLines {
		s.o.Log.Warn("more slow readers ended", "count", n-maxSlowLines, "held", held, "bound", s.o.MaxBytes)
	}
	return held, slow
}

func (s *SlowReaders) add(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *SlowReaders) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// unsent returns the bytes that the kernel holds for the caller; 0 if that isn't known.
func (c *Conn) unsent() int64 {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	if raw.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return 0
	}
	return int64(bytes)
}
