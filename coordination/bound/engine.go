package bound

import "time"

// Engine is the published time model of a model engine. Times are in milliseconds, as
// their sheets give them.
type Engine struct {
	// Slots is the number of requests in a batch.
	Slots float64
	// StepMS is the time of one step, StepPerSlotMS what each request in the batch
	// adds, ContextPerKMS what each thousand tokens in memory add.
	StepMS, StepPerSlotMS, ContextPerKMS float64
	// ReadPerMS is the number of prompt tokens read in a millisecond, PairsPerMMS the
	// time for a million pairs of tokens that attend to each other.
	ReadPerMS, PairsPerMMS float64
	// ChunkTokens of a prompt are read in one step; 0: all of them.
	ChunkTokens float64
	// StepsPerToken is how many steps one token of the sheets stands for.
	StepsPerToken float64
}

// Request is the mean size of a class's model requests, in tokens.
type Request struct {
	// Shared parts are read unless the engines keep them, Own is read for each request.
	Shared, Own float64
	// Kept is the part of the shared tokens that the engines' memory can keep.
	Kept   float64
	Output float64
}

// Work is the time of an engine that one request takes at best: what the memory of all
// engines can keep of its shared parts is kept, and it generates in a full batch, where a
// step serves most.
func (e Engine) Work(r Request) time.Duration {
	return time.Duration((e.read(r) + e.generate(r)) * float64(time.Millisecond))
}

// read is the time to read a prompt, in ms.
func (e Engine) read(r Request) float64 {
	tokens := r.Own + (1-r.Kept)*r.Shared
	out := e.PairsPerMMS * tokens * (r.Shared + r.Own - tokens/2) / 1e6
	if e.ReadPerMS > 0 {
		out += tokens / e.ReadPerMS
	}
	if e.ChunkTokens > 0 {
		out += tokens / e.ChunkTokens * e.StepMS
	}
	return out
}

// generate is a request's part of the steps in which it generates, in ms.
func (e Engine) generate(r Request) float64 {
	steps := r.Output * e.StepsPerToken
	context := r.Own + steps/2
	step := e.StepMS + e.Slots*(e.StepPerSlotMS+e.ContextPerKMS*context/1000)
	return steps * step / max(e.Slots, 1)
}
