// Package logqueue writes log lines without ever holding up who logs: lines wait
// in a bounded queue, and what doesn't fit is dropped and counted.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// capacity is the number of waiting lines: about a second's worth at the highest
// rate of requests that a host of a fifth of a core serves, some 400 KB.
const capacity = 1024

// Writer queues lines; it is an io.Writer that never blocks and never fails.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	closing sync.Once
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, capacity), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer; p is one whole line.
func (w *Writer) Write(p []byte) (int, error) {
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped is the number of lines that did not fit.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits. Nothing may be written after it.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	reported := uint64(0)
	for line := range w.lines {
		if n := w.dropped.Load(); n > reported {
			_, _ = fmt.Fprintf(out, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n-reported)
			reported = n
		}
		// A log that can't be written can't be complained about.
		_, _ = out.Write(line)
	}
}
