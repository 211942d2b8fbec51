package truetime

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
)

// A third of the clocks that are shown are seconds off, the own one among them: the middle is
// right to the milliseconds by which showings are late.
func TestMiddleIsNotMovedByAThird(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := New(clocktest.Bubble{})
		for i := range 11 {
			ahead := 2400 * time.Millisecond // the others are right, and this host's clock is behind
			if i < 3 {
				ahead = 0
			}
			k.Show(fmt.Sprint("h", i), time.Now().Add(ahead-time.Duration(i)*time.Millisecond))
		}
		off := k.Now().Sub(time.Now().Add(2400 * time.Millisecond))
		is.True(off.Abs() < 15*time.Millisecond)
		time.Sleep(showingFor)
		is.Equal(k.Now(), time.Now()) // nobody shows a clock any more: the own one is as good
	})
}

// A host that hears of few clocks takes the middle of one that hears of many.
func TestMiddleOfMostClocksCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := New(clocktest.Bubble{})
		k.Tell(time.Now().Add(time.Hour), leastShowings-1) // too few to be trusted
		is.Equal(k.Now(), time.Now())
		k.Tell(time.Now().Add(time.Second), 20)
		k.Tell(time.Now().Add(time.Hour), 5)
		is.Equal(k.Now(), time.Now().Add(time.Second))
		is.Equal(k.At(time.Now().Add(-time.Minute)), time.Now().Add(time.Second-time.Minute))
		time.Sleep(showingFor)
		k.Tell(time.Now().Add(2*time.Second), 5) // the one of most clocks is gone
		is.Equal(k.Now(), time.Now().Add(2*time.Second))
	})
}

func TestFewClocksMoveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := New(clocktest.Bubble{})
		k.Show("other", time.Now().Add(time.Hour))
		is.Equal(k.Now(), time.Now())
		for i := range 2 * mostShowings {
			k.Show(fmt.Sprint("h", i), time.Now())
		}
		_, of := k.Middle()
		is.True(of <= mostShowings+1)
	})
}
