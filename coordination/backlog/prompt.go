package backlog

import "github.com/thymerack/thymerack/coordination/contention"

// Part is a section of a prompt that other prompts may share.
type Part struct {
	// ID identifies the part; it is a hash of the name that the caller gave it.
	ID     uint64
	Tokens int
}

// Prompt is the prompt of one prefill.
type Prompt struct {
	// Parts are the shareable parts in the order of the prompt. OwnTokens is the number of
	// tokens after them, which no other prompt shares.
	Parts     []Part
	OwnTokens int
	// FetchableTokens is how many tokens of Parts, from the first on, can be fetched from
	// another engine. FetchMS is the time to fetch all of them, in milliseconds.
	FetchableTokens int
	FetchMS         float64
	// Class orders the prompt among others. AheadOfShare says that its customer is ahead of its
	// share while prompts of others wait.
	Class        contention.Class
	AheadOfShare bool
}

// prefill is the work that an engine has to do for a prompt.
type prefill struct {
	// newTokens are computed, after cachedTokens that the engine has or fetches in fetchMS
	// milliseconds.
	newTokens, cachedTokens int
	fetchMS                 float64
}

// numFeatures is the number of terms in which the duration of a prefill is linear.
const numFeatures = 4

// features are the terms in which the duration of a prefill is linear. The last one counts the
// prefills that began at an idle engine: only their duration includes the engine's latency.
type features [numFeatures]float64

// latencyFeature is the index of the last feature.
const latencyFeature = numFeatures - 1

const (
	// thousand and million scale the features to similar magnitudes.
	thousand = 1e3
	million  = 1e6
)

// features returns the features of the work of a prefill: 1, thousands of new tokens, and millions of
// pairs of a new token and a token before it.
func (p prefill) features() features {
	newTokens, cachedTokens := float64(p.newTokens), float64(p.cachedTokens)
	return features{1, newTokens / thousand, newTokens * (cachedTokens + newTokens/2) / million, 0}
}
