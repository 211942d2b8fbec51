package callerconn

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/thymerack/thymerack/transport/wallclock"
)

const (
	// minAcceptPause is the wait after a failed accept. Each failure in a row doubles it, up to maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 100 * time.Millisecond
	// acceptQuiet is how long no accept may have failed for an episode of failures to be over.
	acceptQuiet = time.Second
)

// temporary are the errors of accept that a later one need not return.
var temporary = []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR}

// RetryOptions configures a RetryListener. All fields but Failed are required.
type RetryOptions struct {
	// Use names the listener in the log.
	Use string
	Log *slog.Logger
	// Failed, if set, counts accepts that failed and are made again.
	Failed func()
}

// RetryListener repeats accepts that fail for a lack of file descriptors or memory: a server would end with the first
// of them, while the kernel goes on to take connections that nobody reads.
type RetryListener struct {
	net.Listener
	o         RetryOptions
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// failures counts those of the present episode, from firstAt to lastAt; 0 if there is none.
	failures        int
	firstAt, lastAt time.Time
}

// NewRetryListener returns a listener that accepts the connections of ln.
func NewRetryListener(ln net.Listener, o RetryOptions) *RetryListener {
	return &RetryListener{Listener: ln, o: o, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *RetryListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		c, err := l.Listener.Accept()
		if err == nil {
			l.endEpisode(acceptQuiet)
			return c, nil
		}
		if !slices.ContainsFunc(temporary, func(t error) bool { return errors.Is(err, t) }) {
			return nil, err
		}
		l.noteFailure(err)
		select {
		case <-time.After(pause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener. It ends an accept that waits for the next attempt.
func (l *RetryListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	l.endEpisode(0)
	return l.Listener.Close()
}

func (l *RetryListener) noteFailure(err error) {
	l.endEpisode(acceptQuiet)
	if l.o.Failed != nil {
		l.o.Failed()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAt = wallclock.Now()
	if l.failures++; l.failures == 1 {
		l.firstAt = l.lastAt
		l.o.Log.Warn("accepts fail and are repeated", "use", l.o.Use, "cause", err.Error())
	}
}

// endEpisode ends the episode of failures if none has followed for a time.
func (l *RetryListener) endEpisode(quiet time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures == 0 || wallclock.Since(l.lastAt) < quiet {
		return
	}
	l.o.Log.Info("accepts no longer fail", "use", l.o.Use, "failures", l.failures, "failed_for", l.lastAt.Sub(l.firstAt))
	l.failures = 0
}
