package fleetclock

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
)

// Guards against wrong clocks that shift the fleet's time: a third of the clocks, including the local
// one, are seconds off, and the median is right up to the latency of the readings.
func TestMedianToleratesAThirdOfWrongClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := New(clocktest.Bubble{})
		for i := range 11 {
			ahead := 2400 * time.Millisecond // the right clocks; the local one is behind
			if i < 3 {
				ahead = 0
			}
			c.AddReading(fmt.Sprint("h", i), time.Now().Add(ahead-time.Duration(i)*time.Millisecond))
		}
		deviation := c.Now().Sub(time.Now().Add(2400 * time.Millisecond))
		is.True(deviation.Abs() < 15*time.Millisecond)
		time.Sleep(readingLifetime)
		is.Equal(c.Now(), time.Now()) // all readings have expired: only the local clock is left
	})
}

// Guards against different times at hosts with few and with many readings: a host uses the median that
// was computed from the most clocks.
func TestMedianOfMostClocksIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := New(clocktest.Bubble{})
		c.AddMedian(time.Now().Add(time.Hour), minClocks-1) // too few clocks
		is.Equal(c.Now(), time.Now())
		c.AddMedian(time.Now().Add(time.Second), 20)
		c.AddMedian(time.Now().Add(time.Hour), 5)
		is.Equal(c.Now(), time.Now().Add(time.Second))
		is.Equal(c.At(time.Now().Add(-time.Minute)), time.Now().Add(time.Second-time.Minute))
		time.Sleep(readingLifetime)
		c.AddMedian(time.Now().Add(2*time.Second), 5) // the median of 20 clocks has expired
		is.Equal(c.Now(), time.Now().Add(2*time.Second))
	})
}

// Guards against a single wrong clock that shifts the time of a host with few readings, and against an
// unbounded number of readings.
func TestTooFewClocksAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := New(clocktest.Bubble{})
		c.AddReading("other", time.Now().Add(time.Hour))
		is.Equal(c.Now(), time.Now())
		for i := range 2 * maxReadings {
			c.AddReading(fmt.Sprint("h", i), time.Now())
		}
		_, clocks := c.Median()
		is.True(clocks <= maxReadings+1)
	})
}
