package subset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%04d", prefix, i)
	}
	return out
}

func TestEveryRunnerIsChosenBySeveralHosts(t *testing.T) {
	cases := []struct{ hosts, runners, size int }{
		{8, 12, 18}, {8, 112, 168}, {96, 112, 21}, {320, 112, 16}, {320, 1800, 85}, {1, 1800, 21600},
	}
	for _, c := range cases {
		is := is.New(t)
		size := Size(c.hosts, c.runners)
		is.Equal(size, c.size)
		runners := names("roster-llm", c.runners)
		chosen := map[string]int{}
		for _, host := range names("host", c.hosts) {
			for _, name := range Choose(host, runners, size) {
				chosen[name]++
			}
		}
		least := c.hosts
		for _, name := range runners {
			least = min(least, chosen[name])
		}
		is.True(least >= min(2, c.hosts)) // with two hosts the loss of one leaves no runner unused
	}
}

func TestRemovedRunnerChangesAtMostOneChoice(t *testing.T) {
	is := is.New(t)
	runners := names("r", 100)
	before := Choose("host-1", runners, 10)
	for i := range runners {
		without := slices.Delete(slices.Clone(runners), i, i+1)
		kept := 0
		for _, name := range Choose("host-1", without, 10) {
			if slices.Contains(before, name) {
				kept++
			}
		}
		is.True(kept >= 9)
	}
	is.Equal(Choose("host-1", runners, 100), Choose("host-2", runners, 200))
}
