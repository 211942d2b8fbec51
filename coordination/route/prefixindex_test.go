package route

import (
	"testing"

	"github.com/matryer/is"
)

// prompt returns a query of the given number of 64-token blocks. The hashes of its
// last own blocks depend on serial, those of the others on document.
func prompt(document uint64, blocks, own int, serial uint64) *Query {
	q := &Query{Service: "llm", PromptTokens: blocks * 64, BlockTokens: 64}
	for i := range blocks {
		text := document
		if i >= blocks-own {
			text = 1000 + serial
		}
		q.Prefixes = append(q.Prefixes, text<<20+uint64(i))
	}
	return q
}

// heldTokens returns the length of the longest prefix that each runner holds, in tokens.
func heldTokens(c *prefixIndex, q *Query) map[string]int {
	out := map[string]int{}
	for _, h := range c.findHolders(q, nil) {
		out[h.stats.name] = h.tokens
	}
	return out
}

func TestPrefixIndexFindsTheLongestSharedPrefix(t *testing.T) {
	tests := []struct {
		name        string
		blocks, own int
		want        int // shared blocks found; at most sparseInterval-1 less than there are
	}{
		{"short prompt", 8, 2, 6},
		{"dense part", 20, 13, 7},
		{"sparse part", 120, 40, 80},
		{"between two tracked prefixes", 120, 35, 80},
		{"nothing shared", 10, 10, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newPrefixIndex(4096)
			e := newRunnerStats("e", Speeds{})
			c.addPrompt(prompt(1, tt.blocks, tt.own, 1).Prefixes, e)
			is.Equal(heldTokens(c, prompt(1, tt.blocks, tt.own, 2))["e"], tt.want*64)
		})
	}
}

func TestPrefixIndexFollowsEvictionsAndEventGaps(t *testing.T) {
	is := is.New(t)
	c := newPrefixIndex(4096)
	a, b := newRunnerStats("a", Speeds{}), newRunnerStats("b", Speeds{})
	q := prompt(1, 8, 0, 0)
	c.addPrompt(q.Prefixes, a)
	c.addPrompt(q.Prefixes[:4], b)
	is.Equal(heldTokens(c, q), map[string]int{"a": 512, "b": 256})
	c.removeHolder(q.Prefixes[7], a)
	is.Equal(heldTokens(c, q)["a"], 448)
	a.cacheGeneration.Add(1) // lost cache events or a restart
	is.Equal(heldTokens(c, q), map[string]int{"b": 256})
}

func TestPrefixIndexIsBounded(t *testing.T) {
	is := is.New(t)
	c := newPrefixIndex(512)
	e := newRunnerStats("e", Speeds{})
	const prompts = 2000
	kept := 0
	for i := range uint64(prompts) {
		c.addPrompt(prompt(i, 1, 0, 0).Prefixes, e)
	}
	for i := range uint64(prompts) {
		kept += len(c.findHolders(prompt(i, 1, 0, 0), nil))
	}
	is.True(kept > 256 && kept <= 512)
	is.Equal(len(c.findHolders(prompt(prompts-1, 1, 0, 0), nil)), 1) // the newest entry is kept
}

func TestPromptsSharingAPrefixHaveTheSameAffinityEngineAtEveryHost(t *testing.T) {
	is := is.New(t)
	k := engines(12)
	homes := map[string]bool{}
	for i := range uint64(6) {
		r, err := New(Options{Clock: fixedClock{}, Seed: i})
		is.NoErr(err)
		q := prompt(7, 100, 20+int(i)%3, i)
		c, err := r.Pick(k.View(), q)
		is.NoErr(err)
		homes[c.Runner.Name] = true
	}
	is.Equal(len(homes), 1)
}
