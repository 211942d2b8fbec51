package backlog

// Part is a piece of a prompt that other prompts may share, in the order of the prompt.
type Part struct {
	// ID tells parts apart; it is a hash of the caller's name of the part.
	ID     uint64
	Tokens int
}

// Prompt is one prompt to be read.
type Prompt struct {
	// Parts are the parts before the prompt's own, Own the tokens of that.
	Parts     []Part
	OwnTokens int
	// FetchableTokens is how many tokens of Shared, from the first on, can be fetched from
	// another engine, and FetchMS how long that takes for all of them.
	FetchableTokens int
	FetchMS         float64
}

// prefill is what an engine has to do for a prompt.
type prefill struct {
	// newTokens tokens are read, after cachedTokens ones that the engine has.
	newTokens, cachedTokens int
	fetchMS                 float64
}

// features are what the time of a reading is linear in.
type features [3]float64

const (
	// thousand and million bring the features to like size.
	thousand = 1e3
	million  = 1e6
)

// features of a reading: one; thousands of tokens; millions of pairs of a token and one
// before it.
func (r prefill) features() features {
	newTokens, cachedTokens := float64(r.newTokens), float64(r.cachedTokens)
	return features{1, newTokens / thousand, newTokens * (cachedTokens + newTokens/2) / million}
}
