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
	// paceHalfLife is the age at which half of a learnt pace is left.
	paceHalfLife = 5 * time.Second
	// plateauReports in a row with the same batch, and plateauExcess requests
	// more than that there, mean that the batch is full.
	plateauReports = 4
	plateauExcess  = 4
	// noticeable is the ratio to the others' bias from which an engine is slow.
	noticeable = 2
	// latencyWeight is the weight of a new latency sample of a plain service.
	latencyWeight = 0.1
	// defaultLatency is assumed of a plain service before the first answer.
	defaultLatency = 0.01
	// sendSlot and sendSlots give the memory of what was sent lately.
	sendSlot  = 100 * time.Millisecond
	sendSlots = 32
)

// learnt is what the router has learnt of one runner. The floats are read
// without a lock; mu orders the writers.
type learnt struct {
	name     string
	defaults Speeds
	// generation grows when the engine starts anew or loses cache events: what
	// the cache index says of older generations is void.
	generation atomic.Uint32

	// current are the speeds; what it points to is never changed.
	current atomic.Pointer[Speeds]
	// bias is the ratio of actual to predicted time to the first token, pace
	// that of the actual to the engine's own time between tokens.
	bias, pace atomicFloat
	// slow is by how much the engine is slower than it says, next to the others.
	slow    atomicFloat
	pacedAt atomic.Int64
	seconds atomicFloat

	// sentRequests and sentPrefill count all that this host sent here, the bases
	// what of it was sent before the report taken at reportNano (Unix time).
	sentRequests, sentPrefill atomic.Int64
	baseRequests, basePrefill atomic.Int64
	reportNano                atomic.Int64

	mu          sync.Mutex
	incarnation string
	role        state.Role
	reportedAt  time.Time
	fresh       bool // no speed was learnt in the present role
	fit         stepFit
	plateau     float64
	plateaus    int
	sends       [sendSlots]sendCount
}

// sendCount is what this host sent to a runner within one slot of time.
type sendCount struct {
	slot     int64
	requests int64
	prefill  int64
}

func newLearnt(name string, d Speeds) *learnt {
	l := &learnt{name: name, defaults: d}
	l.current.Store(&d)
	l.bias.Store(1)
	l.pace.Store(1)
	l.slow.Store(1)
	l.seconds.Store(defaultLatency)
	return l
}

// speeds are what the engine does; they must not be changed.
func (l *learnt) speeds() *Speeds { return l.current.Load() }

// setSpeeds publishes changed speeds; l.mu is held.
func (l *learnt) setSpeeds(change func(*Speeds)) {
	s := *l.current.Load()
	change(&s)
	l.current.Store(&s)
}

// latency is the mean time of a plain service's answer in seconds.
func (l *learnt) latency() float64 { return l.seconds.Load() }

// observe takes over a runner's report; one that was seen before is ignored.
func (l *learnt) observe(r *snapshot.Runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Incarnation != l.incarnation {
		l.restart(r.Incarnation)
	}
	if !r.Load.TakenAt.After(l.reportedAt) {
		return
	}
	l.reportedAt = r.Load.TakenAt
	requests, prefill := l.recentSends(l.reportedAt.UnixNano())
	l.baseRequests.Store(l.sentRequests.Load() - requests)
	l.basePrefill.Store(l.sentPrefill.Load() - prefill)
	l.reportNano.Store(l.reportedAt.UnixNano())
	if r.Load.Shown.Role != l.role {
		l.role = r.Load.Shown.Role
		l.unlearn()
	}
	l.learnSpeeds(&r.Load, float64(r.Track.Load().Plus(r.Peers).Requests))
}

// unlearn forgets what was learnt in another role.
func (l *learnt) unlearn() {
	l.fit = stepFit{}
	l.bias.Store(1)
	l.pace.Store(1)
	l.fresh = true
	d := l.defaults
	l.current.Store(&d)
}

func (l *learnt) restart(incarnation string) {
	if l.incarnation != "" {
		l.generation.Add(1)
		l.unlearn()
	}
	l.incarnation = incarnation
}

func (l *learnt) learnSpeeds(p *state.LoadReport, inFlight float64) {
	l.setSpeeds(func(s *Speeds) {
		if p.PrefillTokensPerSecond > 0 {
			l.learnPrefill(s, p.PrefillTokensPerSecond)
		}
		if p.DecodeStepMillis > 0 && p.DecodeRunning > 0 {
			l.learnBatch(s, float64(p.DecodeRunning), inFlight)
			l.fit.add(float64(p.DecodeRunning), p.DecodeStepMillis/1000)
			s.StepSeconds, s.StepSecondsPerSequence = l.fit.line(s.StepSecondsPerSequence)
		}
	})
}

func (l *learnt) learnPrefill(s *Speeds, reported float64) {
	if l.fresh {
		s.PrefillTokensPerSecond = reported
	}
	l.fresh = false
	s.PrefillTokensPerSecond += speedWeight * (reported - s.PrefillTokensPerSecond)
}

// slowness is how much slower than it says an engine is taken to be. Ratios near
// that of the others are noise.
func slowness(relative float64) float64 {
	return min(max(1, relative/noticeable), maxBias)
}

// learnBatch learns the size of a full batch: more than was thought possible
// raises it; the same size in several reports, with more requests there than
// run, is a full one.
func (l *learnt) learnBatch(s *Speeds, running, inFlight float64) {
	s.MaxBatch = max(s.MaxBatch, running)
	if running != l.plateau || inFlight < running+plateauExcess {
		l.plateau, l.plateaus = running, 0
		return
	}
	l.plateaus++
	if l.plateaus >= plateauReports {
		s.MaxBatch = running
	}
}

// firstToken learns from an actual time to the first token.
func (l *learnt) firstToken(predicted, actual time.Duration) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	bias := l.bias.Load()
	// The prediction contained the slowness, so the ratio is taken against one
	// without it.
	ratio := float64(actual) / float64(predicted) * l.slow.Load()
	bias += biasWeight * (ratio - bias)
	l.bias.Store(min(max(bias, minBias), maxBias))
}

// decoded learns from the actual time between tokens, in seconds, next to a
// number of other requests in flight.
func (l *learnt) decoded(now time.Time, interval, inFlight float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ratio := interval / l.speeds().step(inFlight)
	pace := l.paceAt(now.UnixNano())
	pace += biasWeight * (ratio - pace)
	l.pace.Store(min(max(pace, minBias), maxBias))
	l.pacedAt.Store(now.UnixNano())
}

// paceAt is the pace as far as it still holds: without new answers it goes back
// to 1, or an engine once found slow would get nothing that shows otherwise.
func (l *learnt) paceAt(now int64) float64 {
	age := float64(now-l.pacedAt.Load()) / float64(paceHalfLife)
	return 1 + (l.pace.Load()-1)/(1+max(0, age))
}

// answered learns the latency of a plain service.
func (l *learnt) answered(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.seconds.Load()
	l.seconds.Store(was + latencyWeight*(took.Seconds()-was))
}

// sent counts work given to the runner.
func (l *learnt) sent(now time.Time, prefill int64) {
	slot := now.UnixNano() / int64(sendSlot)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.sends[slot%sendSlots]
	if s.slot != slot {
		*s = sendCount{slot: slot}
	}
	s.requests++
	s.prefill += prefill
	l.sentRequests.Add(1)
	l.sentPrefill.Add(prefill)
}

// sentSince returns what was sent from t (Unix time in ns) on, the time of a
// report.
func (l *learnt) sentSince(t int64) (requests, prefill int64) {
	if l.reportNano.Load() == t {
		return l.sentRequests.Load() - l.baseRequests.Load(), l.sentPrefill.Load() - l.basePrefill.Load()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recentSends(t)
}

// recentSends adds up the slots from t on; l.mu is held.
func (l *learnt) recentSends(t int64) (requests, prefill int64) {
	from := t / int64(sendSlot)
	for i := range l.sends {
		if s := &l.sends[i]; s.slot > from {
			requests += s.requests
			prefill += s.prefill
		}
	}
	return requests, prefill
}
