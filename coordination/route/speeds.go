package route

import (
	"math"
	"sync/atomic"
)

// Speeds are what an engine does when left alone.
type Speeds struct {
	// PrefillTokensPerSecond is the speed at which prompts are computed.
	PrefillTokensPerSecond float64
	// StepSeconds is the time between tokens of a sequence that runs alone.
	StepSeconds float64
	// StepSecondsPerSequence is added to it for each further sequence.
	StepSecondsPerSequence float64
	// ChunkTokens is how much of a prompt a mixed engine computes between two
	// decode steps.
	ChunkTokens float64
	// MaxBatch is the most sequences that are decoded at a time.
	MaxBatch float64
	// TransferTokensPerSecond is the speed at which the KV cache of a prompt
	// moves between engines.
	TransferTokensPerSecond float64
}

// Speeds assumed of an engine that never reported; only their ratio to each
// other matters until the first report.
const (
	defaultPrefillTokensPerSecond  = 8000
	defaultStepSeconds             = 0.02
	defaultStepSecondsPerSequence  = 0.0003
	defaultChunkTokens             = 512
	defaultTransferTokensPerSecond = 50000
	defaultMaxBatch                = 32
)

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

// batchStepSeconds is the predicted time between tokens, in seconds, in a batch of n.
func (s *Speeds) batchStepSeconds(n float64) float64 {
	return s.StepSeconds + s.StepSecondsPerSequence*max(0, n-1)
}

// stepFit fits the time between tokens as a line over the batch size, with old
// samples fading.
type stepFit struct {
	sumWeights, sumBatch, sumSeconds, sumBatchSquared, sumBatchSeconds float64
}

const (
	// stepFitDecay is the weight left of a sample after the next one.
	stepFitDecay = 0.98
	// minBatchVariance is the spread of batch sizes below which a slope is noise.
	minBatchVariance = 1
)

func (f *stepFit) add(batch, seconds float64) {
	f.sumWeights = f.sumWeights*stepFitDecay + 1
	f.sumBatch = f.sumBatch*stepFitDecay + batch
	f.sumSeconds = f.sumSeconds*stepFitDecay + seconds
	f.sumBatchSquared = f.sumBatchSquared*stepFitDecay + batch*batch
	f.sumBatchSeconds = f.sumBatchSeconds*stepFitDecay + batch*seconds
}

// line returns the time of a batch of one and the growth per further sequence.
// The given slope is used while the batch sizes seen don't show one.
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

// atomicFloat is a float64 that is read without a lock.
type atomicFloat struct{ bits atomic.Uint64 }

func (a *atomicFloat) Load() float64   { return math.Float64frombits(a.bits.Load()) }
func (a *atomicFloat) Store(f float64) { a.bits.Store(math.Float64bits(f)) }
