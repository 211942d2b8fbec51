package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Weights and bounds of the runners' statistics.
const (
	// speedWeight is the weight of a new sample of the prefill speed.
	speedWeight = 0.3
	// biasWeight is the weight of a new sample of a bias, a ratio of an actual to a
	// predicted time.
	biasWeight = 0.1
	// minBias and maxBias bound a bias, so that one outlier can't exclude an engine
	// or attract all requests to it.
	minBias, maxBias = 0.25, 8
	// intervalBiasHalfLife is the age at which the distance of an interval bias
	// from 1 has halved.
	intervalBiasHalfLife = 5 * time.Second
	// A batch is taken to be full after plateauReports reports in a row with the
	// same number of running sequences, and with at least plateauWaiting further
	// requests in flight.
	plateauReports = 4
	plateauWaiting = 4
	// slowThreshold is the ratio of a runner's first-token bias to that of the
	// others above which the runner is slow; a smaller ratio is noise.
	slowThreshold = 2
	// latencyWeight is the weight of a new sample of a plain service's latency.
	latencyWeight = 0.1
	// defaultLatencySeconds is assumed for a plain service before the first answer.
	defaultLatencySeconds = 0.01
	// Recent sends are counted in sendSlotCount slots of sendSlotWidth each, 3.2 s
	// in all.
	sendSlotWidth = 100 * time.Millisecond
	sendSlotCount = 32
)

// runnerStats holds the statistics of one runner. It outlives the views and indexes.
// The atomic fields are read without a lock; mu serializes their writers.
type runnerStats struct {
	name          string
	defaultSpeeds Speeds
	// cacheGeneration is incremented when the engine restarts or cache events were
	// lost: entries of the prefix index with an older generation are invalid.
	cacheGeneration atomic.Uint32

	// currentSpeeds points to speeds that are replaced, never modified.
	currentSpeeds atomic.Pointer[Speeds]
	// firstTokenBias is the mean ratio of the actual to the predicted time to the
	// first token, intervalBias that of the actual time between tokens to the one
	// that follows from the engine's own reports.
	firstTokenBias, intervalBias atomicFloat
	// slowdown is the factor by which the runner is slower than predicted, relative
	// to the others of its service; at least 1.
	slowdown         atomicFloat
	intervalBiasNano atomic.Int64 // Unix time of the last sample of intervalBias
	latencySeconds   atomicFloat  // mean latency of a plain service

	// sentRequests and sentPrefillTokens count all that this host has sent to the
	// runner; requestsBeforeReport and prefillBeforeReport are the part of them sent
	// before the last load report, taken at reportNano (Unix time).
	sentRequests, sentPrefillTokens           atomic.Int64
	requestsBeforeReport, prefillBeforeReport atomic.Int64
	reportNano                                atomic.Int64

	mu                 sync.Mutex
	incarnation        string
	role               state.Role               // role in the last observed load report
	reportedAt         time.Time                // TakenAt of the last observed load report
	needsPrefillSample bool                     // no prefill speed was observed since the last reset
	fit                stepFit                  // of the time between tokens, from the load reports
	plateauBatch       float64                  // running sequences in the last observed load report
	plateauCount       int                      // further reports in a row that suggest that plateauBatch is a full batch
	sends              [sendSlotCount]sendCount // ring buffer of recent slots
}

// sendCount counts what this host sent to a runner within one slot of time.
type sendCount struct {
	slot     int64 // Unix time in units of sendSlotWidth
	requests int64
	prefill  int64 // tokens
}

func newRunnerStats(name string, d Speeds) *runnerStats {
	st := &runnerStats{name: name, defaultSpeeds: d}
	st.currentSpeeds.Store(&d)
	st.firstTokenBias.Store(1)
	st.intervalBias.Store(1)
	st.slowdown.Store(1)
	st.latencySeconds.Store(defaultLatencySeconds)
	return st
}

// speeds returns the engine's current speeds, which must not be modified.
func (st *runnerStats) speeds() *Speeds { return st.currentSpeeds.Load() }

// setSpeeds publishes a modified copy of the speeds; st.mu must be held.
func (st *runnerStats) setSpeeds(change func(*Speeds)) {
	s := *st.currentSpeeds.Load()
	change(&s)
	st.currentSpeeds.Store(&s)
}

// latency returns the mean latency of a plain service in seconds.
func (st *runnerStats) latency() float64 { return st.latencySeconds.Load() }

// observe updates the statistics from a view of the runner. A new incarnation
// invalidates what was recorded of the previous one; a load report that was observed
// before is ignored.
func (st *runnerStats) observe(r *snapshot.Runner) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if r.Incarnation != st.incarnation {
		st.startIncarnation(r.Incarnation)
	}
	if !r.Load.TakenAt.After(st.reportedAt) {
		return
	}
	st.reportedAt = r.Load.TakenAt
	requests, prefill := st.recentSends(st.reportedAt.UnixNano())
	st.requestsBeforeReport.Store(st.sentRequests.Load() - requests)
	st.prefillBeforeReport.Store(st.sentPrefillTokens.Load() - prefill)
	st.reportNano.Store(st.reportedAt.UnixNano())
	if r.Load.Shown.Role != st.role {
		st.role = r.Load.Shown.Role
		st.reset()
	}
	st.updateSpeeds(&r.Load, float64(r.InFlight.Load().Plus(r.PeerWork).Requests))
}

// reset discards speeds and biases, which belong to another role or incarnation.
func (st *runnerStats) reset() {
	st.fit = stepFit{}
	st.firstTokenBias.Store(1)
	st.intervalBias.Store(1)
	st.needsPrefillSample = true
	d := st.defaultSpeeds
	st.currentSpeeds.Store(&d)
}

// startIncarnation sets the incarnation. Statistics and cache entries of a previous one
// are discarded.
func (st *runnerStats) startIncarnation(incarnation string) {
	if st.incarnation != "" {
		st.cacheGeneration.Add(1)
		st.reset()
	}
	st.incarnation = incarnation
}

func (st *runnerStats) updateSpeeds(p *state.LoadReport, inFlight float64) {
	st.setSpeeds(func(s *Speeds) {
		if p.PrefillTokensPerSecond > 0 {
			st.updatePrefillSpeed(s, p.PrefillTokensPerSecond)
		}
		if p.DecodeStepMillis > 0 && p.DecodeRunning > 0 {
			st.updateMaxBatch(s, float64(p.DecodeRunning), inFlight)
			st.fit.add(float64(p.DecodeRunning), p.DecodeStepMillis/1000)
			s.StepSeconds, s.StepSecondsPerSequence = st.fit.line(s.StepSecondsPerSequence)
		}
	})
}

// updatePrefillSpeed averages the reported speeds; the first one since a reset replaces
// the default.
func (st *runnerStats) updatePrefillSpeed(s *Speeds, reported float64) {
	if st.needsPrefillSample {
		s.PrefillTokensPerSecond = reported
	}
	st.needsPrefillSample = false
	s.PrefillTokensPerSecond += speedWeight * (reported - s.PrefillTokensPerSecond)
}

// slowdownOf returns the slowdown for a ratio of a runner's first-token bias to that
// of the others.
func slowdownOf(relative float64) float64 {
	return min(max(1, relative/slowThreshold), maxBias)
}

// updateMaxBatch updates the size of a full batch. A larger batch than assumed raises
// it. The same size in several reports in a row, with more requests in flight than
// run, is the size of a full batch.
func (st *runnerStats) updateMaxBatch(s *Speeds, running, inFlight float64) {
	s.MaxBatch = max(s.MaxBatch, running)
	if running != st.plateauBatch || inFlight < running+plateauWaiting {
		st.plateauBatch, st.plateauCount = running, 0
		return
	}
	st.plateauCount++
	if st.plateauCount >= plateauReports {
		s.MaxBatch = running
	}
}

// recordFirstToken updates firstTokenBias.
func (st *runnerStats) recordFirstToken(predicted, actual time.Duration) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	bias := st.firstTokenBias.Load()
	// The prediction includes the slowdown; the bias is relative to one without it.
	ratio := float64(actual) / float64(predicted) * st.slowdown.Load()
	bias += biasWeight * (ratio - bias)
	st.firstTokenBias.Store(min(max(bias, minBias), maxBias))
}

// recordInterval updates intervalBias from an actual time between tokens, in seconds,
// in a batch of inFlight sequences.
func (st *runnerStats) recordInterval(now time.Time, interval, inFlight float64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	ratio := interval / st.speeds().batchStepSeconds(inFlight)
	bias := st.intervalBiasAt(now.UnixNano())
	bias += biasWeight * (ratio - bias)
	st.intervalBias.Store(min(max(bias, minBias), maxBias))
	st.intervalBiasNano.Store(now.UnixNano())
}

// intervalBiasAt returns intervalBias at a time (Unix time in ns), decayed towards 1
// by the age of its last sample. Without the decay, an engine once found slow would
// get no more requests, and so no samples that show its recovery.
func (st *runnerStats) intervalBiasAt(now int64) float64 {
	age := float64(now-st.intervalBiasNano.Load()) / float64(intervalBiasHalfLife)
	return 1 + (st.intervalBias.Load()-1)/(1+max(0, age))
}

// recordLatency updates the latency of a plain service.
func (st *runnerStats) recordLatency(took time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old := st.latencySeconds.Load()
	st.latencySeconds.Store(old + latencyWeight*(took.Seconds()-old))
}

// recordSent counts a request sent to the runner, with its prompt tokens to compute.
func (st *runnerStats) recordSent(now time.Time, prefill int64) {
	slot := now.UnixNano() / int64(sendSlotWidth)
	st.mu.Lock()
	defer st.mu.Unlock()
	s := &st.sends[slot%sendSlotCount]
	if s.slot != slot {
		*s = sendCount{slot: slot}
	}
	s.requests++
	s.prefill += prefill
	st.sentRequests.Add(1)
	st.sentPrefillTokens.Add(prefill)
}

// sentSince returns the requests and prompt tokens sent since t (Unix time in ns),
// the time of a load report.
func (st *runnerStats) sentSince(t int64) (requests, prefill int64) {
	if st.reportNano.Load() == t {
		return st.sentRequests.Load() - st.requestsBeforeReport.Load(), st.sentPrefillTokens.Load() - st.prefillBeforeReport.Load()
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.recentSends(t)
}

// recentSends sums the slots after the one that contains t; st.mu must be held.
func (st *runnerStats) recentSends(t int64) (requests, prefill int64) {
	from := t / int64(sendSlotWidth)
	for i := range st.sends {
		if s := &st.sends[i]; s.slot > from {
			requests += s.requests
			prefill += s.prefill
		}
	}
	return requests, prefill
}
