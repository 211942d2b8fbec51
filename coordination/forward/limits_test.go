package forward

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A limit that a runner names in its responses must hold over all hosts together. Hosts that
// ignored it overloaded two of four decode engines: with limits of 12 and 8 requests a second
// they got 30 and 20 (129 and 79 in 4 s), and one host alone sent one of them more than its
// whole limit. The engines answered everything in time, so that nothing else made hosts send
// less. If each host applied the limit to its own requests only, seven hosts would send seven
// times as much.
func TestRunnerLimitHoldsAcrossHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimFleet(t, 7)
		rng := rand.New(rand.NewPCG(37, 1))
		l := load{longPrompts: 110, shortPrompts: 17, calls: 50, share: func(n int) float64 { return float64(1 + n) }}
		f.runLoad(rng, l, 4*time.Second)
		limits := map[string]float64{"d1": 12.2, "d2": 8}
		for name, limit := range limits {
			f.setAdvice(func(r *simRunner) { r.limited, r.limit = true, limit }, name)
		}
		limitedAt := time.Now()
		f.runLoad(rng, l, 12*time.Second)
		for _, name := range []string{"d1", "d2"} {
			limit := limits[name]
			got := f.runner(name).maxInWindow(limitWindow, limitedAt.Add(quarantineDelay), time.Now(), nil)
			t.Logf("%s has a limit of %.1f requests/s: at most %d in %s", name, limit, got, limitWindow)
			is.True(float64(got) <= limitFactor*limit*limitWindow.Seconds()+limitSlack)
		}
		t.Logf("%d served, %d of them late, %d unserved", f.served, f.late, f.unserved)
		is.Equal(f.unserved, 0) // two other engines have capacity
	})
}

// onlyFirstHost gives all load to the first host.
func onlyFirstHost(n int) float64 {
	if n == 0 {
		return 1
	}
	return 0
}

// skewedShare gives most of the load to a few hosts.
func skewedShare(n int) float64 { return 1 / float64(1+n) }

// A limit is used up as well as obeyed, for any distribution of callers and number of hosts.
// Callers send more than all runners of the service accept.
func TestLimitIsFullyUsed(t *testing.T) {
	for name, c := range map[string]struct {
		hosts int
		limit float64
		share func(int) float64
	}{
		"7 hosts":                    {7, 50, nil},
		"one host has all callers":   {7, 50, onlyFirstHost},
		"a few have most":            {83, 50, skewedShare},
		"83 hosts, a low limit":      {83, 8.4, nil},
		"300 hosts, a low limit":     {300, 8.4, nil},
		"300 hosts, a few have most": {300, 8.4, skewedShare},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSimFleet(t, c.hosts)
				rng := rand.New(rand.NewPCG(38, 1))
				l := load{calls: 80, share: c.share}
				f.setAdvice(func(r *simRunner) { r.limited, r.limit = true, 0 }, "s13", "s14")
				f.setAdvice(func(r *simRunner) { r.limited, r.limit = true, c.limit }, "s12")
				f.runLoad(rng, l, 5*time.Second)
				began, asks := time.Now(), f.permitAsks.Load()
				f.runLoad(rng, l, 20*time.Second)
				s := f.runner("s12")
				got, most := s.countBetween(began, began.Add(20*time.Second)), s.maxInWindow(limitWindow, began, time.Now(), nil)
				t.Logf("%.1f of %.1f requests/s, at most %d in %s; %.1f permit requests/s", float64(got)/20, c.limit, most, limitWindow, float64(f.permitAsks.Load()-asks)/20)
				is.True(float64(got) >= 0.9*c.limit*20)
				is.True(float64(most) <= limitFactor*c.limit*limitWindow.Seconds()+limitSlack)
				for _, name := range []string{"s13", "s14"} { // with a limit of 0
					is.True(f.runner(name).maxInWindow(limitWindow, began, time.Now(), nil) <= 1)
				}
				for _, r := range f.refused {
					is.True(r.NotRun)
					is.True(r.RetryAfter > 0)
				}
			})
		})
	}
}
