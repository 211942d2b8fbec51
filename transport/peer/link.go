package peer

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// outgoingFrames is how many frames may wait for a connection's writer.
const outgoingFrames = 64

// The states of a queued frame. A frame leaves waiting exactly once, so that
// whoever gives it up knows whether any byte of it was written.
const (
	frameWaiting int32 = iota
	frameTaken
	frameGivenUp
)

// queued is an encoded frame that waits for the writer.
type queued struct {
	bytes []byte
	// written, if set, is closed once the frame and all before it are written.
	written chan struct{}
	state   atomic.Int32
}

// giveUp reports whether the frame was taken back before any byte was written.
func (q *queued) giveUp() bool { return q.state.CompareAndSwap(frameWaiting, frameGivenUp) }

// link is one greeted connection: a writer that owns all writes, and the
// deadlines of both directions.
type link struct {
	conn         net.Conn
	reader       *bufio.Reader
	maxBody      int
	peerMaxBody  int
	writeTimeout time.Duration
	silence      time.Duration
	stats        *counters

	out    chan *queued
	done   chan struct{}
	once   sync.Once
	reason error
}

// close ends the connection; the first reason stays.
func (l *link) close(reason error) {
	l.once.Do(func() {
		l.reason = reason
		close(l.done)
		_ = l.conn.Close()
	})
}

// send queues a frame for the writer. It returns nil when the link has ended.
func (l *link) send(f frame, stop <-chan struct{}) *queued {
	q := &queued{bytes: f.encode()}
	select {
	case l.out <- q:
		return q
	case <-l.done:
		return nil
	case <-stop:
		return nil
	}
}

// write writes queued frames until the link ends. A write that fails or takes
// longer than the write timeout ends it: the stream is cut in mid-frame.
func (l *link) write() {
	for {
		select {
		case <-l.done:
			return
		case q := <-l.out:
			if !q.state.CompareAndSwap(frameWaiting, frameTaken) {
				continue
			}
			if err := l.writeOne(q.bytes); err != nil {
				l.close(err)
				return
			}
			if q.written != nil {
				close(q.written)
			}
		}
	}
}

func (l *link) writeOne(bytes []byte) error {
	if len(bytes) == 0 {
		return nil
	}
	if err := l.conn.SetWriteDeadline(time.Now().Add(l.writeTimeout)); err != nil {
		return err
	}
	if _, err := l.conn.Write(bytes); err != nil {
		return err
	}
	l.stats.framesOut.Add(1)
	return nil
}

// read reads the next frame. The other side must be heard within the silence
// timeout, between frames and within one.
func (l *link) read() (frame, error) {
	if err := l.conn.SetReadDeadline(time.Now().Add(l.silence)); err != nil {
		return frame{}, err
	}
	f, err := readFrame(l.reader, l.maxBody)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errSilent
	}
	if err != nil {
		return frame{}, err
	}
	l.stats.framesIn.Add(1)
	return f, nil
}
