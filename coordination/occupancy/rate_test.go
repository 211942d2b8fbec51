package occupancy

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

var limitedRunner = state.InstanceID{Name: "r", Born: 1}

// countPermits requests a permit each millisecond for the duration and returns the number
// granted.
func countPermits(tracker *Tracker, rate float64, duration time.Duration) int {
	n := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if tracker.Permit(PermitRequest{Runner: limitedRunner, Rate: rate}, fullLimit).Granted {
			n++
		}
	}
	return n
}

// The limit is used up but not exceeded, whether it is high, low, fractional or zero. A runner
// with limit zero gets one request in ten seconds, to find out when the limit is lifted.
func TestPermitsEnforceLimit(t *testing.T) {
	for rate, want := range map[float64]int{50: 1000, 8.4: 168, 0.3: 6, 0.1: 2, 0: 2} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
				got := countPermits(tracker, rate, 20*time.Second)
				t.Logf("%d in 20 s", got)
				is.True(got <= want+1)
				is.True(got >= want*9/10)
			})
		})
	}
}

// Unused permits are kept for burstWindow only, and a new tracker has none saved.
func TestSavedPermitsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		is.Equal(countPermits(tracker, 50, time.Millisecond), 1)
		time.Sleep(time.Hour)
		saved := 0
		for tracker.Permit(PermitRequest{Runner: limitedRunner, Rate: 50}, fullLimit).Granted {
			saved++
		}
		is.Equal(saved, 10) // 200 ms of 50 a second
	})
}

// Permits with a wait are granted one after the other, up to the longest wait that the request
// allows.
func TestPermitsAreGrantedInAdvance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		req := PermitRequest{Runner: limitedRunner, Rate: 4, MaxWait: 600 * time.Millisecond}
		is.Equal(tracker.Permit(req, fullLimit), Permit{Granted: true})
		is.Equal(tracker.Permit(req, fullLimit), Permit{Granted: true, Wait: 250 * time.Millisecond})
		is.Equal(tracker.Permit(req, fullLimit), Permit{Granted: true, Wait: 500 * time.Millisecond})
		is.Equal(tracker.Permit(req, fullLimit), Permit{Wait: 750 * time.Millisecond})
	})
}

// The shares of a limit that hosts may grant add up to less than one and a half times the limit,
// however the hosts are partitioned.
func TestSumOfLimitSharesIsBounded(t *testing.T) {
	is := is.New(t)
	total := isolatedShare
	for rank := range maxPermitOwners {
		total += shareOfRank(rank)
	}
	is.True(total < 1.5)
	is.Equal(shareOfRank(0), 1.0)
	is.Equal(shareOfRank(-1), 1.0)
	is.Equal(shareOfRank(1<<40), shareOfRank(maxPermitOwners))
}

// While the first owner of a runner is unreachable, the next one grants its share, and a host
// that reaches no owner grants itself a small share.
func TestNextOwnerGrantsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers, gates := newGates(t, 1, 1, 1, 1, 1, 1, 1)
		ranked := gates[0].permitOwners(limitedRunner)
		is.Equal(len(ranked), maxPermitOwners)
		var requester *Gate
		for _, g := range gates {
			is.Equal(g.permitOwners(limitedRunner), ranked) // all hosts agree
			if g.o.Self != ranked[0] && g.o.Self != ranked[1] && g.o.Self != ranked[2] && g.o.Self != ranked[3] {
				requester = g
			}
		}
		countPermitsOfRequester := func(duration time.Duration) int {
			got := 0
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if requester.Permit(t.Context(), PermitRequest{Runner: limitedRunner, Rate: 20}).Granted {
					got++
				}
			}
			return got
		}
		fromFirst := countPermitsOfRequester(10 * time.Second)
		is.True(fromFirst >= 195 && fromFirst <= 205)
		peers.unreachable[ranked[0]] = true
		fromSecond := countPermitsOfRequester(10 * time.Second)
		is.True(fromSecond >= 45 && fromSecond <= 52)
		for _, host := range ranked {
			peers.unreachable[host] = true
		}
		isolated := countPermitsOfRequester(70 * time.Second)
		is.True(isolated >= 10 && isolated <= 30) // 20 x 0.1 / 7 a second, and the rest of the owners' shares
	})
}

// During an upgrade an owner may not know permits yet. It still owns the runner's count, and the
// next owner grants its share of permits.
func TestOwnerWithoutPermitsStaysOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers, gates := newGates(t, 1, 1, 1, 1, 1, 1, 1)
		ranked := gates[0].permitOwners(limitedRunner)
		peers.withoutPermits[ranked[0]] = true
		for _, g := range gates {
			if g.o.Self == ranked[0] || g.o.Self == ranked[1] {
				continue
			}
			time.Sleep(time.Second)
			is.True(g.Permit(t.Context(), PermitRequest{Runner: limitedRunner, Rate: 20}).Granted)
			is.Equal(g.Owner(limitedRunner), ranked[0])
		}
	})
}
