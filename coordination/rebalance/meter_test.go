package rebalance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// manualClock returns a time that the test sets.
type manualClock struct {
	state.Clock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

func TestMeterMeasuresBothWindows(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: start}
	m := NewMeter(clock)
	for i := range 120 { // the mix of work changes after 90 s
		w := snapshot.Work{Requests: 1, PrefillTokens: 1000, DecodeTokens: 10}
		if i >= 90 {
			w = snapshot.Work{Requests: 2, PrefillTokens: 100, DecodeTokens: 400}
		}
		m.RecordArrival("llm", w, 10*time.Second)
		clock.now = clock.now.Add(time.Second)
	}
	d := m.Demand("llm")
	is.Equal(d.Short.Requests, 2.0)
	is.Equal(d.Short.PrefillTokens, 100.0)
	is.Equal(d.Long.PrefillTokens, 550.0)
	is.Equal(m.Demand("other"), Demand{})
	clock.now = clock.now.Add(LongWindow + time.Second)
	is.Equal(m.Demand("llm"), Demand{})
}

func TestNewMeterDividesByItsAge(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: start}
	m := NewMeter(clock)
	for range 5 {
		m.RecordArrival("llm", snapshot.Work{Requests: 3}, 0)
		clock.now = clock.now.Add(time.Second)
	}
	is.Equal(m.Demand("llm").Long.Requests, 3.0)
}

func TestMeterCountsIntervalBudgets(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: start}
	m := NewMeter(clock)
	m.RecordArrival("llm", snapshot.Work{Requests: 1, DecodeTokens: 200}, 10*time.Second) // 45 ms
	m.RecordArrival("llm", snapshot.Work{Requests: 1, DecodeTokens: 200}, 0)              // no deadline
	clock.now = clock.now.Add(time.Second)
	b := m.Demand("llm").Short.Budgets
	is.Equal(b.shareAllowing(0.04), 1.0)
	is.Equal(b.shareAllowing(0.05), 0.5)
}

func TestMeterLimitsServices(t *testing.T) {
	is := is.New(t)
	m := NewMeter(&manualClock{now: start})
	for i := range 10 * maxServices {
		m.RecordArrival(fmt.Sprint("s", i), snapshot.Work{Requests: 1}, 0)
	}
	is.Equal(len(m.services), maxServices)
}
