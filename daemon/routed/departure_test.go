package routed

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
)

// A host of a fleet that is restarted in turn told its counts once nobody was answered any
// more, and was gone when it had: a request that had come meanwhile, over a connection from
// before, was passed on and its connection closed without an answer (once in a day in which 51
// hosts were restarted).
func TestRequestArrivingDuringFlushIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var active atomic.Int64
		flushes := 0
		d := drainer{
			clock: clocktest.Bubble{}, timeout: 7 * time.Second, active: active.Load, closeUnused: func() {},
			flush: func() {
				flushes++
				if flushes > 1 {
					return
				}
				active.Add(1) // a request arrives and is answered some time later
				time.AfterFunc(300*time.Millisecond, func() { active.Add(-1) })
				time.Sleep(30 * time.Millisecond)
			},
		}
		waited := d.wait()
		is.Equal(active.Load(), int64(0))
		is.True(waited >= minUnreadyTime+300*time.Millisecond)
		is.True(waited < d.timeout)
		is.Equal(flushes, 2)
	})
}

// What is still being answered at the end of the grace is left, and the last things are done.
func TestDrainEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		flushes := 0
		d := drainer{clock: clocktest.Bubble{}, timeout: 7 * time.Second, active: func() int64 { return 1 }, closeUnused: func() {}, flush: func() { flushes++ }}
		is.True(d.wait() < 7*time.Second+2*drainPoll)
		is.Equal(flushes, 1)
	})
}
