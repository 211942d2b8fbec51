package bound

import "time"

// Engine is the published performance model of a model engine. Times are in milliseconds, as in the
// engine's data sheet.
type Engine struct {
	// BatchSize is the number of requests in a full batch.
	BatchSize float64
	// StepMS is the base time of one step. StepPerRequestMS is added for each request of the batch, and
	// StepPerKTokensMS for each thousand tokens of each request's context.
	StepMS, StepPerRequestMS, StepPerKTokensMS float64
	// PrefillTokensPerMS is the prefill rate, and AttentionPerMPairsMS the time for each million pairs of
	// tokens that attend to each other.
	PrefillTokensPerMS, AttentionPerMPairsMS float64
	// ChunkTokens is the number of prompt tokens that one step computes; 0 for the whole prompt.
	ChunkTokens float64
	// StepsPerToken is the number of steps for one token of the data sheet.
	StepsPerToken float64
}

// Request is the mean size of the model requests of a class, in tokens.
type Request struct {
	// SharedTokens are computed unless the engines have them cached; OwnTokens are always computed.
	SharedTokens, OwnTokens float64
	// CachedShare is the share of the shared tokens that fits into the engines' memory, from 0 to 1.
	CachedShare  float64
	OutputTokens float64
}

// Work returns the least engine time that one request takes: all shared tokens that fit into the
// memory of the engines are cached, and decode runs in a full batch, where a step serves the most
// requests.
func (e Engine) Work(r Request) time.Duration {
	return time.Duration((e.prefillMS(r) + e.decodeMS(r)) * float64(time.Millisecond))
}

// prefillMS returns the time to prefill a prompt, in ms.
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

// decodeMS returns a request's share of the time of its decode steps, in ms.
func (e Engine) decodeMS(r Request) float64 {
	steps := r.OutputTokens * e.StepsPerToken
	context := r.OwnTokens + steps/2
	step := e.StepMS + e.BatchSize*(e.StepPerRequestMS+e.StepPerKTokensMS*context/1000)
	return steps * step / max(e.BatchSize, 1)
}
