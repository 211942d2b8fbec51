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

var limited = state.InstanceID{Name: "r", Born: 1}

// take asks a book for permits in quick succession for so long and counts those that it gives.
func take(b *Book, rate float64, long time.Duration) int {
	n := 0
	for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if b.Permit(PermitAsk{Runner: limited, Rate: rate}, whole).Granted {
			n++
		}
	}
	return n
}

// A limit is used, and not passed, whether it is high, low, a fraction or nothing at all: of a
// runner that takes nothing, one request in ten seconds finds out whether that is over.
func TestPermitsKeepTheLimit(t *testing.T) {
	for rate, want := range map[float64]int{50: 1000, 8.4: 168, 0.3: 6, 0.1: 2, 0: 2} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
				got := take(b, rate, 20*time.Second)
				t.Logf("%d in 20 s", got)
				is.True(got <= want+1)
				is.True(got >= want*9/10)
			})
		})
	}
}

// What isn't used is kept for a moment only, and a book that is new has nothing saved.
func TestUnusedPermitsAreNotSavedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		is.Equal(take(b, 50, time.Millisecond), 1)
		time.Sleep(time.Hour)
		saved := 0
		for b.Permit(PermitAsk{Runner: limited, Rate: 50}, whole).Granted {
			saved++
		}
		is.Equal(saved, 10) // 200 ms of 50 a second
	})
}

// A permit that takes a wait is given at once, one after the other, and none that takes longer.
func TestPermitsAreGivenAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBook(clocktest.Bubble{}, slog.New(slog.DiscardHandler))
		a := PermitAsk{Runner: limited, Rate: 4, MaxWait: 600 * time.Millisecond}
		is.Equal(b.Permit(a, whole), Permit{Granted: true})
		is.Equal(b.Permit(a, whole), Permit{Granted: true, Wait: 250 * time.Millisecond})
		is.Equal(b.Permit(a, whole), Permit{Granted: true, Wait: 500 * time.Millisecond})
		is.Equal(b.Permit(a, whole), Permit{Wait: 750 * time.Millisecond})
	})
}

// However hosts are cut off from each other, the parts of a limit that they may give are less
// than one and a half times the limit.
func TestPartsOfALimitAreBounded(t *testing.T) {
	is := is.New(t)
	total := aloneShare
	for rank := range maxRanked {
		total += shareOfRank(rank)
	}
	is.True(total < 1.5)
	is.Equal(shareOfRank(0), 1.0)
	is.Equal(shareOfRank(-1), 1.0)
	is.Equal(shareOfRank(1<<40), shareOfRank(maxRanked))
}

// While the first owner of a runner is lost the next one gives a part, and a host that reaches
// nobody gives itself one.
func TestNextOwnerGivesAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, gates := fleet(t, 1, 1, 1, 1, 1, 1, 1)
		ranked := gates[0].ranking(limited)
		is.Equal(len(ranked), maxRanked)
		var asker *Gate
		for _, g := range gates {
			is.Equal(g.ranking(limited), ranked) // all hosts agree
			if g.o.Self != ranked[0] && g.o.Self != ranked[1] && g.o.Self != ranked[2] && g.o.Self != ranked[3] {
				asker = g
			}
		}
		ask := func(long time.Duration) int {
			got := 0
			for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if asker.Permit(t.Context(), PermitAsk{Runner: limited, Rate: 20}).Granted {
					got++
				}
			}
			return got
		}
		whole := ask(10 * time.Second)
		is.True(whole >= 195 && whole <= 205)
		n.lost[ranked[0]] = true
		part := ask(10 * time.Second)
		is.True(part >= 45 && part <= 52)
		for _, host := range ranked {
			n.lost[host] = true
		}
		alone := ask(70 * time.Second)
		is.True(alone >= 10 && alone <= 30) // 20 x 0.1 / 7 a second, and what was left of the owners' parts
	})
}

// While hosts are updated one by one, an owner that knows no permits yet is asked for places all
// the same, and the next one gives its part.
func TestOwnerThatKnowsNoPermitsStaysOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, gates := fleet(t, 1, 1, 1, 1, 1, 1, 1)
		ranked := gates[0].ranking(limited)
		n.ignorant[ranked[0]] = true
		for _, g := range gates {
			if g.o.Self == ranked[0] || g.o.Self == ranked[1] {
				continue
			}
			time.Sleep(time.Second)
			is.True(g.Permit(t.Context(), PermitAsk{Runner: limited, Rate: 20}).Granted)
			is.Equal(g.Owner(limited), ranked[0])
		}
	})
}
