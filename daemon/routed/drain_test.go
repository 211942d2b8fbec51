package routed

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
)

// Guards against a request that arrives during the flush, over a connection opened earlier, and
// is forwarded but never answered, because the host ends right after the flush. This
// occurred once in a day in which 51 hosts were restarted in turn.
func TestRequestArrivingDuringFlushIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var active atomic.Int64
		flushes := 0
		d := drainer{
			clock: clocktest.Bubble{}, timeout: 7 * time.Second, active: active.Load, closeUnused: func() {}, refuseNew: func() {},
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

// At the timeout the drain ends although a request is still in progress, and flush is called.
func TestDrainEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		flushes := 0
		d := drainer{clock: clocktest.Bubble{}, timeout: 7 * time.Second, active: func() int64 { return 1 }, closeUnused: func() {}, flush: func() { flushes++ }, refuseNew: func() {}}
		is.True(d.wait() < 7*time.Second+2*drainPollInterval)
		is.Equal(flushes, 1)
	})
}

// Guards against a request that arrives after the last look at those in progress, is forwarded, and is cut by the end of the host:
// requests are refused from some moment on, and those from before it are answered.
func TestRequestArrivingAfterTheLastLookIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var active atomic.Int64
		refused := 0
		d := drainer{
			clock: clocktest.Bubble{}, timeout: 7 * time.Second, active: active.Load, closeUnused: func() {}, flush: func() {},
			refuseNew: func() {
				if refused++; refused == 1 {
					active.Add(1) // it arrived just before
					time.AfterFunc(300*time.Millisecond, func() { active.Add(-1) })
				}
			},
		}
		waited := d.wait()
		is.Equal(active.Load(), int64(0))
		is.Equal(refused, 2)
		is.True(waited >= minUnreadyTime+300*time.Millisecond)
	})
}
