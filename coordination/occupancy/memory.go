package occupancy

import "github.com/thymerack/thymerack/coordination/contention"

const (
	// errorShare is the part of an engine's memory that is never reserved. Engines allocate memory in
	// blocks, which costs up to 16 tokens for each of 128 requests (0.4% of 530,000 tokens), and some
	// outputs exceed their estimate. An engine whose requests exceed its memory crashes.
	errorShare = 1.0 / 32
	// keptShare is the part of an engine's memory that is kept from each level for more urgent ones:
	// 33,000 of 530,000 tokens hold 20 urgent requests of 1,500 tokens. At 50 urgent requests per
	// second over 10 engines, each of which decodes for 0.5 s, 2.5 are expected.
	keptShare = 1.0 / 16
)

// memoryLimit returns the number of tokens that may be reserved at an engine with the given memory,
// in tokens, including a new request of the class.
func memoryLimit(engineTokens int, c contention.Class) int {
	share := 1 - errorShare
	if c.Levels > 1 {
		share -= keptShare * float64(c.Index())
	}
	return int(share * float64(engineTokens))
}

// hasMemory reports whether the memory of the request can be reserved at the engine. The memory of
// cached prefixes isn't counted, since an engine evicts them for requests that run.
func (e *engine) hasMemory(req Request) bool {
	if req.EngineTokens <= 0 || req.MemoryTokens <= 0 {
		return true
	}
	return e.tokens+req.MemoryTokens <= memoryLimit(req.EngineTokens, req.Class)
}

// MemoryRefusals returns how many reservations this owner has refused for lack of memory at the
// engine.
func (t *Tracker) MemoryRefusals() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.memoryRefusals
}
