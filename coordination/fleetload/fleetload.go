// Package fleetload gathers the load of the engines of all hosts. The hosts that own the counts of
// engines (package occupancy) each take a Sample. The host that holds the lease of the duties merges
// the samples to a Summary, scales and divides the engines by it, and broadcasts what the other
// hosts' choices depend on.
//
// Samples and summaries only improve decisions. Without them, or with old ones, each host decides
// by what it knows itself, and no answer becomes wrong.
package fleetload

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// Sample is the load of the engines whose counts one host owns.
type Sample struct {
	Domains []DomainLoad
	// Speeds lists the throughputs of the engines whose speed is known; see LimitThroughputs.
	Speeds []EngineSpeed
	// Parts is a sample of the shareable prompt parts in use; see PartUse.
	Parts []PartUse
}

// DomainLoad is the load of a service's engines in one failure domain.
type DomainLoad struct {
	Service, FailureDomain string
	// Engines is the number of engines with work in progress or of late.
	Engines int
	// Prefill is the prefill work that arrived recently, in engines that it keeps busy.
	Prefill float64
	// LatePrefill is the part of Prefill that was predicted to miss its objective.
	LatePrefill float64
	// Decoding is the number of requests that decode, and DecodeTokens the memory that is reserved
	// for them, in tokens.
	Decoding     int
	DecodeTokens int
}

// EngineSpeed is the speed of one engine: in a Sample its throughput, in prompt tokens per millisecond,
// and in a Notice its speed relative to the median of its service, where 2 is twice as fast.
type EngineSpeed struct {
	Engine  state.InstanceID
	Service string
	Speed   float64
	// Idle is the time since the last request for the engine reached the owner. If two owners
	// report an engine, the one with the shorter time knows its present speed.
	Idle time.Duration
}

// Deviation returns how many times the engine is faster or slower than usual, by its relative speed; at
// least 1.
func (s EngineSpeed) Deviation() float64 { return max(s.Speed, 1/s.Speed) }

// PartUse is a shareable prompt part that was used recently. A host samples parts by the hash of
// their id, so that samples of different hosts contain the same parts and copies are told apart
// from distinct parts. Each part in a sample stands for SampledParts parts.
type PartUse struct {
	Service string
	ID      uint64
	Tokens  int
}

const (
	// SampledParts is the number of parts of which one is sampled.
	SampledParts = 16
	// MaxParts bounds the parts in a sample, which are those with the lowest hashes. MaxSpeeds
	// bounds the engines in the Speeds of a message, which are those that deviate most. As many of both
	// fit into a message of 4 kB.
	MaxParts  = 128
	MaxSpeeds = 64
)

// Summary is the load of all engines.
type Summary struct {
	// TakenAt is when the summary was made, by the clock of the host that made it. Answered is the
	// share of the owners that answered, from 0 to 1. Nothing may be lowered by a summary with
	// Answered under MinAnswered.
	TakenAt  time.Time
	Answered float64
	Domains  []DomainLoad
	// Speeds are the throughputs of the samples until they are weighed, and then relative speeds; see
	// CollectorOptions.Weigh.
	Speeds []EngineSpeed
	// WorkingSet is the number of tokens of the distinct shareable parts in use, by service.
	WorkingSet map[string]int
	// MeanPart is the mean number of tokens of such a part, by service; see MeanParts.
	MeanPart map[string]int
}

const (
	// MinAnswered is the least share of the owners that must answer for a summary to be relied on, and
	// MaxAge the age from which it isn't: several rounds of samples.
	MinAnswered = 0.5
	MaxAge      = 5 * time.Second
)

// Usable reports whether a decision may be based on the summary.
func (s Summary) Usable(now time.Time) bool {
	return now.Sub(s.TakenAt) < MaxAge && s.Answered >= MinAnswered
}

// Notice is what the holder of the lease tells all hosts.
type Notice struct {
	// Term is the number of the holder's lease term, and Number counts the notices of the term. A
	// notice is ignored after one with a higher Term, or with the same Term and a higher Number.
	Term, Number uint64
	Domains      []DomainLoad
	Speeds       []EngineSpeed
	// LocalPrefixes lists the services whose prompts are prefilled in the domain of their host.
	LocalPrefixes []string
}
