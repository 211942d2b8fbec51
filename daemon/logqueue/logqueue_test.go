package logqueue

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestStuckOutputNeverBlocksAndLossIsCounted(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	w := New(out)
	began := time.Now()
	for range 3 * capacity {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(began) < 2*time.Second)
	is.True(w.Dropped() >= capacity)
	close(out.release)
	w.Close()
	text := out.buf.String()
	is.True(strings.Contains(text, "log lines dropped"))
	is.True(strings.Count(text, "line\n") >= capacity)
}

func TestLinesAreCopied(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	line := []byte("first\n")
	_, _ = w.Write(line)
	copy(line, "xxxxx")
	w.Close()
	is.Equal(out.String(), "first\n")
}
