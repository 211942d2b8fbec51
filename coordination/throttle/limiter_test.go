package throttle

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
)

const target = 100 * time.Millisecond

const startLimit = 8

func newLimiter() *Limiter { return New(Options{Clock: clocktest.Bubble{}, Start: startLimit}) }

// fill takes tickets up to the bound.
func fill(l *Limiter) []*Ticket {
	var out []*Ticket
	for {
		t := l.Acquire(1, target)
		if t == nil {
			return out
		}
		out = append(out, t)
	}
}

func TestBoundGrowsWhileAnswersComeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiter()
		before := len(fill(l))
		for range 50 {
			limit, inFlight := l.Limit()
			is.True(inFlight <= limit)
			ticket := &Ticket{l: l, weight: 1, target: target, started: time.Now()}
			time.Sleep(target / 2)
			ticket.Done()
			fill(l)
		}
		after, _ := l.Limit()
		is.True(int(after) > before)
	})
}

func TestLateAnswersThatWereUnderWayTogetherShrinkTheBoundOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiter()
		tickets := fill(l)
		time.Sleep(2 * target)
		for _, ticket := range tickets {
			ticket.Done()
			time.Sleep(time.Millisecond)
		}
		limit, inFlight := l.Limit()
		is.Equal(limit, startLimit*shrink)
		is.Equal(inFlight, 0.0)
	})
}

func TestBoundNeverReachesZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiter()
		for range 100 {
			ticket := l.Acquire(1, target)
			is.True(ticket != nil)
			time.Sleep(3 * target)
			ticket.Done()
		}
		limit, _ := l.Limit()
		is.Equal(limit, float64(minLimit))
	})
}

func TestLargeRequestsMayTakeLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiter()
		for range 100 {
			l.Acquire(1, target).Cancel()
		}
		large := l.Acquire(3, target)
		time.Sleep(target + target/2)
		large.Done()
		limit, _ := l.Limit()
		is.Equal(limit, float64(startLimit))
	})
}

func TestIdleHostDoesNotRaiseTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiter()
		for range 100 {
			l.Acquire(1, target).Done()
		}
		limit, _ := l.Limit()
		is.Equal(limit, float64(startLimit))
	})
}

func TestLargeRequestsLeaveLessRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiter()
		for range 100 {
			l.Acquire(1, target).Cancel()
		}
		is.True(l.Acquire(3, target) != nil)
		is.True(len(fill(l)) < startLimit-1)
		is.True(l.Acquire(3, target) == nil)
	})
}
