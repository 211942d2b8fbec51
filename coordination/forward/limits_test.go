package forward

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// What was seen: two of the four engines that generate named a limit in each answer, 12 and 8
// requests a second from all hosts together, and went on getting 30 and 20: 129 and 79 in 4 s.
//
// How it came about: all engines answered everything in time, so that nothing the hosts looked
// at changed. One host alone sent one of them more than its whole limit.
//
// Cause: no host read what the runners said of a limit, of any kind of answer; and had each
// kept it for itself, seven hosts would have sent seven times as much.
//
// Proof: no sending of any host to the two engines changed after the first answer that named the
// limit, while other engines had room.
func TestLimitOfARunnerHoldsOverAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newAdvisedFleet(t, 7)
		rng := rand.New(rand.NewPCG(37, 1))
		l := load{prompts: 110, questions: 17, calls: 50, share: func(n int) float64 { return float64(1 + n) }}
		f.play(rng, l, 4*time.Second)
		limits := map[string]float64{"d1": 12.2, "d2": 8}
		for name, limit := range limits {
			f.set(func(r *advisedRunner) { r.limited, r.limit = true, limit }, name)
		}
		named := time.Now()
		f.play(rng, l, 12*time.Second)
		for _, name := range []string{"d1", "d2"} {
			limit := limits[name]
			got := f.runner(name).mostIn(limitWindow, named.Add(contact), time.Now())
			t.Logf("%s names %.1f a second: at most %d in %s", name, limit, got, limitWindow)
			is.True(float64(got) <= limitFactor*limit*limitWindow.Seconds()+limitSlack)
		}
		t.Logf("%d served, %d of them late, %d not", f.served, f.late, f.unserved)
		is.Equal(f.unserved, 0) // two other engines have room
	})
}
