package forward

import (
	"testing"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/occupancy"
)

func TestSizeClassIsAgainstTheRoutesMean(t *testing.T) {
	is := is.New(t)
	var s sizes
	is.Equal(s.class("r", 1000), SizeLarge) // the first one is the mean
	for range 500 {
		s.class("r", 900)
		s.class("r", 1100)
	}
	mean := s.mean["r"]
	is.True(mean > 950 && mean < 1050)
	for _, c := range []struct {
		tokens int
		want   SizeClass
	}{{0, SizeSmall}, {300, SizeSmall}, {400, SizeMedium}, {800, SizeMedium}, {900, SizeLarge}, {1700, SizeLarge}, {1900, SizeHuge}, {100000, SizeHuge}} {
		s.mean["r"] = mean
		is.Equal(s.class("r", c.tokens), c.want)
	}
	is.Equal(s.class("other", 7), SizeLarge) // a route of its own
}

// Prompts that find no room tell their size, whichever kind of engine reads them.
func TestDeferredPromptTellsItsSize(t *testing.T) {
	full := []occupancy.Verdict{occupancy.Full, occupancy.Full, occupancy.Full, occupancy.Full}
	for name, make := range map[string]func(*testing.T, int, ...reply) *world{"apart": newWorld, "mixed": newMixedWorld} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := make(t, plenty, promptRead, generated)
			if name == "mixed" {
				w.up.replies = []reply{generated}
			}
			w.sizes.mean = map[string]float64{"r": 1000}
			w.gate.verdicts = full
			w.served(t) // a prompt of 9000 tokens
			is.True(w.up.attempts[0].Deferred)
			is.Equal(w.up.attempts[0].Size, SizeHuge)
		})
	}
}
