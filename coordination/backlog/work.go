package backlog

// Part is a piece of a prompt that other prompts may share, in the order of the prompt.
type Part struct {
	// ID tells parts apart; it is a hash of the caller's name of the part.
	ID     uint64
	Tokens int
}

// Work is one prompt to be read.
type Work struct {
	// Shared are the parts before the prompt's own, Own the tokens of that.
	Shared []Part
	Own    int
	// Fetched is how many tokens of Shared, from the first on, can be fetched from
	// another engine, and FetchMS how long that takes for all of them.
	Fetched int
	FetchMS float64
}

// reading is what an engine has to do for a prompt.
type reading struct {
	// fresh tokens are read, after kept ones that the engine has.
	fresh, kept int
	fetchMS     float64
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
func (r reading) features() features {
	fresh, kept := float64(r.fresh), float64(r.kept)
	return features{1, fresh / thousand, fresh * (kept + fresh/2) / million}
}
