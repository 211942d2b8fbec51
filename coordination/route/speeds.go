package route

import (
	"math"
	"sync/atomic"
)

// Speeds describes how fast an engine runs.
type Speeds struct {
	// PrefillTokensPerSecond is the prefill speed without other load.
	PrefillTokensPerSecond float64
	// StepSeconds is the time between tokens of a sequence in a batch of one.
	StepSeconds float64
	// StepSecondsPerSequence is added to StepSeconds for each further sequence.
	StepSecondsPerSequence float64
	// ChunkTokens is the number of prompt tokens that a mixed engine computes
	// between two decode steps (chunked prefill).
	ChunkTokens float64
	// MaxBatch is the largest number of sequences decoded at a time.
	MaxBatch float64
	// TransferTokensPerSecond is the speed at which the KV cache of a prompt is
	// transferred between engines, in prompt tokens.
	TransferTokensPerSecond float64
}

// Speeds assumed for an engine that hasn't reported any. Until the first report only
// their ratio to each other matters.
const (
	defaultPrefillTokensPerSecond  = 8000
	defaultStepSeconds             = 0.02
	defaultStepSecondsPerSequence  = 0.0003
	defaultChunkTokens             = 512
	defaultTransferTokensPerSecond = 50000
	defaultMaxBatch                = 32
)

// withDefaults returns the speeds with the default for each one that isn't set.
func (s Speeds) withDefaults() Speeds {
	if s.PrefillTokensPerSecond <= 0 {
		s.PrefillTokensPerSecond = defaultPrefillTokensPerSecond
	}
	if s.StepSeconds <= 0 {
		s.StepSeconds = defaultStepSeconds
	}
	if s.StepSecondsPerSequence <= 0 {
		s.StepSecondsPerSequence = defaultStepSecondsPerSequence
	}
	if s.ChunkTokens <= 0 {
		s.ChunkTokens = defaultChunkTokens
	}
	if s.MaxBatch <= 0 {
		s.MaxBatch = defaultMaxBatch
	}
	if s.TransferTokensPerSecond <= 0 {
		s.TransferTokensPerSecond = defaultTransferTokensPerSecond
	}
	return s
}

// batchStepSeconds returns the predicted time between tokens in a batch of n.
func (s *Speeds) batchStepSeconds(n float64) float64 {
	return s.StepSeconds + s.StepSecondsPerSequence*max(0, n-1)
}

// stepFit is a linear regression of the time between tokens over the batch size. It
// holds sums over the samples, whose weights decay exponentially.
type stepFit struct {
	sumWeights, sumBatch, sumSeconds, sumBatchSquared, sumBatchSeconds float64
}

const (
	// stepFitDecay is the factor on a sample's weight with each later sample.
	stepFitDecay = 0.98
	// minBatchVariance is the variance of the batch sizes below which a fitted
	// slope would be noise.
	minBatchVariance = 1
)

func (f *stepFit) add(batch, seconds float64) {
	f.sumWeights = f.sumWeights*stepFitDecay + 1
	f.sumBatch = f.sumBatch*stepFitDecay + batch
	f.sumSeconds = f.sumSeconds*stepFitDecay + seconds
	f.sumBatchSquared = f.sumBatchSquared*stepFitDecay + batch*batch
	f.sumBatchSeconds = f.sumBatchSeconds*stepFitDecay + batch*seconds
}

// line returns the fitted time of a batch of one and the time added by each further
// sequence, in seconds. The given slope is used while the batch sizes vary too
// little to fit one.
func (f *stepFit) line(slope float64) (alone, perSequence float64) {
	meanB, meanS := f.sumBatch/f.sumWeights, f.sumSeconds/f.sumWeights
	if variance := f.sumBatchSquared/f.sumWeights - meanB*meanB; variance >= minBatchVariance {
		slope = max(0, (f.sumBatchSeconds/f.sumWeights-meanB*meanS)/variance)
	}
	alone = meanS - slope*(meanB-1)
	if alone <= 0 {
		return meanS, 0
	}
	return alone, slope
}

// atomicFloat is a float64 with atomic access.
type atomicFloat struct{ bits atomic.Uint64 }

func (a *atomicFloat) Load() float64   { return math.Float64frombits(a.bits.Load()) }
func (a *atomicFloat) Store(f float64) { a.bits.Store(math.Float64bits(f)) }
