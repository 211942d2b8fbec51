package forward

import (
	"slices"

	"github.com/thymerack/thymerack/coordination/occupancy"
)

// outputMargin times the expected output is reserved. A length hint is right at the median. If the
// logarithm of its error has a standard deviation of 0.7, so that half of the outputs are within a
// factor of 1.6 of it, four times the hint covers 98% of them. The margin costs little memory, since prompts
// that fill an engine's memory are far longer than their outputs.
const outputMargin = 4

// knowsMemory reports whether the configuration tells the memory of the service's engines, so that
// it is reserved.
func (d *Dispatcher) knowsMemory(r *Request) bool {
	return r.Generation != nil && r.Engine != nil && r.Engine.KVTokens > 0
}

// withMemory adds the memory that the request takes while it decodes.
func (d *Dispatcher) withMemory(r *Request, ask occupancy.Request) occupancy.Request {
	if d.knowsMemory(r) {
		ask.MemoryTokens, ask.EngineTokens, ask.Class = r.Generation.PromptTokens+d.outputTokens(r), r.Engine.KVTokens, r.Contention
	}
	return ask
}

// withMixedMemory adds the memory to a prefill at an engine that also decodes.
func (d *Dispatcher) withMixedMemory(r *Request, rec *record, ask occupancy.Request) occupancy.Request {
	if rec.separatePrefill {
		return ask
	}
	return d.withMemory(r, ask)
}

// outputTokens returns the output to reserve memory for, in tokens: by the hint, or else the
// request's maximum. For a request that names neither it is derived from the service's answers. An
// event has one token or more, so that estimate may be too low.
func (d *Dispatcher) outputTokens(r *Request) int {
	g := r.Generation
	expected := 0
	switch {
	case g.OutputHint > 0:
		expected = outputMargin * g.OutputHint
	case g.MaxOutput > 0:
		return g.MaxOutput
	default:
		expected = int(outputMargin * d.outputs.of(r.Service))
	}
	if g.MaxOutput > 0 {
		expected = min(expected, g.MaxOutput)
	}
	return expected
}

// observeOutput records the size of a complete answer.
func (d *Dispatcher) observeOutput(r *Request, events int) {
	if r.Generation != nil {
		d.outputs.observe(r.Service, events)
	}
}

// withRoom returns the candidates with memory for the request, or all if none has.
func withRoom(all []candidate) []candidate {
	if !slices.ContainsFunc(all, func(c candidate) bool { return c.NoMemory }) {
		return all
	}
	if out := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return c.NoMemory }); len(out) > 0 {
		return out
	}
	return all
}

// refusalOutcome is the logged outcome of an engine's refusal of a place.
func refusalOutcome(c candidate) outcome {
	if c.NoMemory {
		return outcomeNoMemory
	}
	return outcomeFull
}
