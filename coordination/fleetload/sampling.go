package fleetload

import (
	"cmp"
	"math"
	"slices"
)

const (
	// hashRange is the number of values of a part's hash, 2^64.
	hashRange = 1 << 64
	// maxWorkingSet exceeds the tokens of any working set, and its product with the number of owners
	// fits into an int. Without it, 128 parts of a peer with hashes near 0 made the estimate negative.
	maxWorkingSet = 1 << 50
)

// partHash mixes a part's id (Fibonacci hashing), since nothing is known of how ids are spread.
func partHash(id uint64) uint64 { return id * 0x9E3779B97F4A7C15 }

// Sampled reports whether samples contain the part; the same at all hosts.
func Sampled(id uint64) bool { return partHash(id) < hashRange/SampledParts }

// LimitParts returns the MaxParts parts with the lowest hashes, in the order of their hashes. It
// reorders the given slice.
func LimitParts(parts []PartUse) []PartUse {
	slices.SortFunc(parts, func(a, b PartUse) int {
		if c := cmp.Compare(partHash(a.ID), partHash(b.ID)); c != 0 {
			return c
		}
		return cmp.Compare(a.Service, b.Service)
	})
	return parts[:min(len(parts), MaxParts)]
}

// LimitSpeeds returns the MaxSpeeds engines whose relative speeds deviate most. It reorders the given slice.
func LimitSpeeds(speeds []EngineSpeed) []EngineSpeed {
	slices.SortFunc(speeds, func(a, b EngineSpeed) int {
		if c := cmp.Compare(b.Deviation(), a.Deviation()); c != 0 {
			return c
		}
		return compareEngines(a, b)
	})
	return speeds[:min(len(speeds), MaxSpeeds)]
}

// LimitThroughputs returns the MaxSpeeds engines whose throughput differs most from the median of their
// service. The usual engines are dropped first: without the slow ones, none
// would be found to be slow.
func LimitThroughputs(throughputs []EngineSpeed) []EngineSpeed {
	if len(throughputs) <= MaxSpeeds {
		return throughputs
	}
	byService := map[string][]float64{}
	for _, e := range throughputs {
		byService[e.Service] = append(byService[e.Service], e.Speed)
	}
	medians := make(map[string]float64, len(byService))
	for service, values := range byService {
		slices.Sort(values)
		medians[service] = values[len(values)/2]
	}
	ranked := make([]rankedSpeed, 0, len(throughputs))
	for _, e := range throughputs {
		ranked = append(ranked, rankedSpeed{EngineSpeed{Speed: e.Speed / medians[e.Service]}.Deviation(), e})
	}
	slices.SortFunc(ranked, func(a, b rankedSpeed) int {
		return cmp.Or(cmp.Compare(b.deviation, a.deviation), compareEngines(a.EngineSpeed, b.EngineSpeed))
	})
	out := make([]EngineSpeed, 0, MaxSpeeds)
	for _, r := range ranked[:MaxSpeeds] {
		out = append(out, r.EngineSpeed)
	}
	return out
}

// rankedSpeed is a throughput with its deviation from the median of the service.
type rankedSpeed struct {
	deviation float64
	EngineSpeed
}

// compareEngines orders engines by name and run.
func compareEngines(a, b EngineSpeed) int {
	return cmp.Or(cmp.Compare(a.Engine.Name, b.Engine.Name), cmp.Compare(a.Engine.Born, b.Engine.Born))
}

// workingSet returns the tokens of the distinct parts in use by service, estimated from samples.
//
// A sample with MaxParts parts lacks those with higher hashes than its last one. Only the parts below
// the lowest such hash are therefore counted, and each stands for correspondingly more parts.
func workingSet(samples []Sample) map[string]int {
	limit := uint64(hashRange / SampledParts)
	for _, s := range samples {
		if len(s.Parts) >= MaxParts {
			limit = min(limit, partHash(s.Parts[len(s.Parts)-1].ID)+1)
		}
	}
	type key struct {
		service string
		id      uint64
	}
	counted, tokens := map[key]bool{}, map[string]int{}
	for _, s := range samples {
		for _, p := range s.Parts {
			if k := (key{p.Service, p.ID}); partHash(p.ID) < limit && !counted[k] {
				counted[k] = true
				tokens[p.Service] += p.Tokens
			}
		}
	}
	for service, n := range tokens {
		tokens[service] = int(math.Round(min(float64(n)*(hashRange/float64(limit)), maxWorkingSet)))
	}
	return tokens
}
