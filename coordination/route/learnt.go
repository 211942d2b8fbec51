package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Weights and bounds of what is learnt of a runner.
const (
	// speedWeight is the weight of a new prefill speed sample.
	speedWeight = 0.3
	// biasWeight is the weight of a new ratio of actual to predicted time.
	biasWeight = 0.1
	// minBias and maxBias bound that ratio, so that one outlier can't exclude
	// an engine or attract everything to it.
	minBias, maxBias = 0.25, 8
	// intervalBiasHalfLife is the age at which half of a learnt pace is left.
	intervalBiasHalfLife = 5 * time.Second
	// plateauReports in a row with the same batch, and plateauExcess requests
	// more than that there, mean that the batch is full.
	plateauReports = 4
	plateauWaiting = 4
	// slowThreshold is the ratio to the others' bias from which an engine is slow.
	slowThreshold = 2
	// latencyWeight is the weight of a new latency sample of a plain service.
	latencyWeight = 0.1
	// defaultLatencySeconds is assumed of a plain service before the first answer.
	defaultLatencySeconds = 0.01
	// sendSlotWidth and sendSlots give the memory of what was sent lately.
	sendSlotWidth = 100 * time.Millisecond
	sendSlotCount = 32
)

// runnerStats is what the router has runnerStats of one runner. The floats are read
// without a lock; mu orders the writers.
type runnerStats struct {
	name          string
	defaultSpeeds Speeds
	// cacheGeneration grows when the engine starts anew or loses cache events: what
	// the cache index says of older generations is void.
	cacheGeneration atomic.Uint32

	// currentSpeeds are the speeds; what it points to is never changed.
	currentSpeeds atomic.Pointer[Speeds]
	// firstTokenBias is the ratio of actual to predicted time to the first token, intervalBias
	// that of the actual to the engine's own time between tokens.
	firstTokenBias, intervalBias atomicFloat
	// slowdown is by how much the engine is slower than it says, next to the others.
	slowdown         atomicFloat
	intervalBiasNano atomic.Int64
	latencySeconds   atomicFloat

	// sentRequests and sentPrefillTokens count all that this host sent here, the bases
	// what of it was sent before the report taken at reportNano (Unix time).
	sentRequests, sentPrefillTokens           atomic.Int64
	requestsBeforeReport, prefillBeforeReport atomic.Int64
	reportNano                                atomic.Int64

	mu                 sync.Mutex
	incarnation        string
	role               state.Role
	reportedAt         time.Time
	needsPrefillSample bool // no speed was learnt in the present role
	fit                stepFit
	plateauBatch       float64
	plateauCount       int
	sends              [sendSlotCount]sendCount
}

// sendCount is what this host sent to a runner within one slot of time.
type sendCount struct {
	slot     int64
	requests int64
	prefill  int64
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

// speeds are what the engine does; they must not be changed.
func (st *runnerStats) speeds() *Speeds { return st.currentSpeeds.Load() }

// setSpeeds publishes changed speeds; st.mu is held.
func (st *runnerStats) setSpeeds(change func(*Speeds)) {
	s := *st.currentSpeeds.Load()
	change(&s)
	st.currentSpeeds.Store(&s)
}

// latency is the mean time of a plain service's answer in seconds.
func (st *runnerStats) latency() float64 { return st.latencySeconds.Load() }

// observe takes over a runner's report; one that was seen before is ignored.
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
	st.updateSpeeds(&r.Load, float64(r.Track.Load().Plus(r.Peers).Requests))
}

// reset forgets what was learnt in another role.
func (st *runnerStats) reset() {
	st.fit = stepFit{}
	st.firstTokenBias.Store(1)
	st.intervalBias.Store(1)
	st.needsPrefillSample = true
	d := st.defaultSpeeds
	st.currentSpeeds.Store(&d)
}

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

func (st *runnerStats) updatePrefillSpeed(s *Speeds, reported float64) {
	if st.needsPrefillSample {
		s.PrefillTokensPerSecond = reported
	}
	st.needsPrefillSample = false
	s.PrefillTokensPerSecond += speedWeight * (reported - s.PrefillTokensPerSecond)
}

// slowdownOf is how much slower than it says an engine is taken to be. Ratios near
// that of the others are noise.
func slowdownOf(relative float64) float64 {
	return min(max(1, relative/slowThreshold), maxBias)
}

// updateMaxBatch learns the size of a full batch: more than was thought possible
// raises it; the same size in several reports, with more requests there than
// run, is a full one.
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

// recordFirstToken learns from an actual time to the first token.
func (st *runnerStats) recordFirstToken(predicted, actual time.Duration) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	bias := st.firstTokenBias.Load()
	// The prediction contained the slowness, so the ratio is taken against one
	// without it.
	ratio := float64(actual) / float64(predicted) * st.slowdown.Load()
	bias += biasWeight * (ratio - bias)
	st.firstTokenBias.Store(min(max(bias, minBias), maxBias))
}

// recordInterval learns from the actual time between tokens, in seconds, next to a
// number of other requests in flight.
func (st *runnerStats) recordInterval(now time.Time, interval, inFlight float64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	ratio := interval / st.speeds().batchStepSeconds(inFlight)
	pace := st.intervalBiasAt(now.UnixNano())
	pace += biasWeight * (ratio - pace)
	st.intervalBias.Store(min(max(pace, minBias), maxBias))
	st.intervalBiasNano.Store(now.UnixNano())
}

// intervalBiasAt is the pace as far as it still holds: without new answers it goes back
// to 1, or an engine once found slow would get nothing that shows otherwise.
func (st *runnerStats) intervalBiasAt(now int64) float64 {
	age := float64(now-st.intervalBiasNano.Load()) / float64(intervalBiasHalfLife)
	return 1 + (st.intervalBias.Load()-1)/(1+max(0, age))
}

// recordLatency learns the latency of a plain service.
func (st *runnerStats) recordLatency(took time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old := st.latencySeconds.Load()
	st.latencySeconds.Store(old + latencyWeight*(took.Seconds()-old))
}

// recordSent counts work given to the runner.
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

// sentSince returns what was sent from t (Unix time in ns) on, the time of a
// report.
func (st *runnerStats) sentSince(t int64) (requests, prefill int64) {
	if st.reportNano.Load() == t {
		return st.sentRequests.Load() - st.requestsBeforeReport.Load(), st.sentPrefillTokens.Load() - st.prefillBeforeReport.Load()
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.recentSends(t)
}

// recentSends adds up the slots from t on; st.mu is held.
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
