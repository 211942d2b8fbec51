package bound

import "time"

// Engine is the published time model of a model engine. Times are in milliseconds, as
// their sheets give them.
type Engine struct {
	// BatchSize is the number of requests in a batch.
	BatchSize float64
	// StepMS is the time of one step, StepPerRequestMS what each request in the batch
	// adds, StepPerKTokensMS what each thousand tokens in memory add.
	StepMS, StepPerRequestMS, StepPerKTokensMS float64
	// PrefillTokensPerMS is the number of prompt tokens read in a millisecond, AttentionPerMPairsMS the
	// time for a million pairs of tokens that attend to each other.
	PrefillTokensPerMS, AttentionPerMPairsMS float64
	// ChunkTokens of a prompt are read in one step; 0: all of them.
	ChunkTokens float64
	// StepsPerToken is how many steps one token of the sheets stands for.
	StepsPerToken float64
}

// Request is the mean size of a class's model requests, in tokens.
type Request struct {
	// SharedTokens parts are read unless the engines keep them, OwnTokens is read for each request.
	SharedTokens, OwnTokens float64
	// CachedShare is the part of the shared tokens that the engines' memory can keep.
	CachedShare  float64
	OutputTokens float64
}

// Work is the time of an engine that one request takes at best: what the memory of all
// engines can keep of its shared parts is kept, and it generates in a full batch, where a
// step serves most.
func (e Engine) Work(r Request) time.Duration {
	return time.Duration((e.prefillMS(r) + e.decodeMS(r)) * float64(time.Millisecond))
}

// prefillMS is the time to prefillMS a prompt, in ms.
func (e Engine) prefillMS(r Request) float64 {
	tokens := r.OwnTokens + (1-r.CachedShare)*r.SharedTokens
	out := e.AttentionPerMPairsMS * tokens * (r.SharedTokens + r.OwnTokens - tokens/2) / 1e6
	if e.PrefillTokensPerMS > 0 {
		out += tokens / e.PrefillTokensPerMS
	}
	if e.ChunkTokens > 0 {
		out += tokens / e.ChunkTokens * e.StepMS
	}
	return out
}

// decodeMS is a request's part of the steps in which it generates, in ms.
func (e Engine) decodeMS(r Request) float64 {
	steps := r.OutputTokens * e.StepsPerToken
	context := r.OwnTokens + steps/2
	step := e.StepMS + e.BatchSize*(e.StepPerRequestMS+e.StepPerKTokensMS*context/1000)
	return steps * step / max(e.BatchSize, 1)
}
