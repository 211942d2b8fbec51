package wallclock

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// standStill is a machine whose steady clock, the bubble's, stands still while it is
// suspended, and whose time of day may be set.
type standStill struct {
	*suspension
	began           time.Time
	asleep, stepped atomic.Int64
	noBoot          bool
	bootReads       int
}

func newStandStill() *standStill {
	m := &standStill{began: time.Now()}
	m.suspension = newSuspension(sources{
		clocks: func() (day, steady time.Duration) {
			steady = time.Since(m.began)
			return steady + time.Duration(m.asleep.Load()+m.stepped.Load()), steady
		},
		boot: func() (time.Duration, bool) {
			m.bootReads++
			return time.Hour + time.Since(m.began) + time.Duration(m.asleep.Load()), !m.noBoot
		},
	})
	return m
}

func TestSuspendedTimeCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newStandStill()
		before := m.now()
		m.asleep.Add(int64(8 * time.Second))
		is.Equal(m.now()-before, 8*time.Second) // at the first reading
		time.Sleep(time.Second)
		m.asleep.Add(int64(300 * time.Millisecond))
		is.Equal(m.now()-before, 9300*time.Millisecond)
	})
}

func TestStepOfTheTimeOfDayIsNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newStandStill()
		before := m.now()
		for _, step := range []time.Duration{2 * time.Second, -4 * time.Second, 2 * time.Second} {
			m.stepped.Add(int64(step))
			is.Equal(m.now()-before, time.Duration(0))
		}
		m.stepped.Store(int64(-2 * time.Second)) // both at once
		m.asleep.Store(int64(5 * time.Second))
		is.Equal(m.now()-before, 5*time.Second)
		reads := m.bootReads
		for range 100 {
			m.now()
		}
		is.Equal(m.bootReads, reads) // one reading of the other clocks is enough
	})
}

func TestWithoutBootTimeTheSteadyClockIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newStandStill()
		m.noBoot = true
		before := m.now()
		m.stepped.Store(int64(time.Minute))
		time.Sleep(time.Second)
		is.Equal(m.now()-before, time.Second)
	})
}

// Who sleeps is woken when their time was over while the machine was suspended, and sleeps on
// for what is left otherwise.
func TestSleepEndsInTheMachinesTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newStandStill()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.watch(ctx)
		began := time.Now()
		short, long := make(chan time.Duration, 1), make(chan time.Duration, 1)
		sleep := func(d time.Duration, woken chan time.Duration) {
			if m.sleep(ctx, d) == nil {
				woken <- time.Since(began)
			}
		}
		go sleep(6*time.Second, short)
		go sleep(20*time.Second, long)
		time.Sleep(time.Second + lookEvery/2)
		m.asleep.Add(int64(8 * time.Second))
		is.True(<-short <= time.Second+2*lookEvery)
		is.Equal(<-long, 12*time.Second)
		go func() {
			time.Sleep(time.Second)
			cancel()
		}()
		is.Equal(m.sleep(ctx, time.Minute), context.Canceled)
	})
}

func TestMachinesClockRuns(t *testing.T) {
	is := is.New(t)
	a := Now()
	is.True(Since(a) >= 0)
	is.True(Clock{}.Sleep(t.Context(), time.Millisecond) == nil)
	is.True(Since(a) >= time.Millisecond)
	d := time.Since(a)
	is.True(-time.Minute < d && d < time.Minute)
	_, ok := bootTime()
	is.True(ok)
}

// Measured in ns for each reading.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
