package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// initialLatency is assumed of a runner without samples; its size hardly
	// matters, as all start alike.
	initialLatency = 20 * time.Millisecond
	// latencyGain is the weight of a new sample.
	latencyGain = 0.1
	// failureGain is the weight of a new outcome.
	failureGain = 0.25
	// failureHalfLife is how soon an unused runner's failures are half forgotten:
	// a few seconds, as the shortest faults of the platform's days last.
	failureHalfLife = 2 * time.Second
	// suspectMinBackoff is how long a runner is avoided after its first silent or
	// broken connection; each further one in a row doubles it up to suspectMost.
	suspectMinBackoff = 500 * time.Millisecond
	suspectMaxBackoff = 4 * time.Second
	// refusalMinBackoff and refusedMost are the same for a refusal: a full runner has
	// room after a few runs (15 ms and more), a change of role takes 3 s.
	refusalMinBackoff = 100 * time.Millisecond
	refusalMaxBackoff = time.Second
)

// Load is what this host knows of one instance from its own requests.
type Load struct {
	clock    state.Clock
	inFlight atomic.Int64
	// suspectUntil and heardAt are in nanoseconds since the load was made; 0 for never.
	suspectUntil atomic.Int64
	respondedAt  atomic.Int64
	// unresponsiveUntil is as long as another host's word holds that the runner is silent.
	unresponsiveUntil atomic.Int64
	createdAt         time.Time

	mu sync.Mutex
	// expectedRole is the role that the instance is about to take; "" if none is known.
	expectedRole        state.Role
	latency             float64 // seconds
	failureRate         float64 // 0 to 1
	failureRateAt       time.Time
	consecutiveFailures int
}

func newLoad(clock state.Clock) *Load {
	return &Load{clock: clock, createdAt: clock.Now(), latency: initialLatency.Seconds()}
}

// Begin counts a sending in; the returned function counts it out.
func (l *Load) Begin() (end func()) {
	l.inFlight.Add(1)
	var once atomic.Bool
	return func() {
		if !once.Swap(true) {
			l.inFlight.Add(-1)
		}
	}
}

// InFlight is what this host has sent and not yet seen ended.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }

// Latency is the smoothed time to the head of a response.
func (l *Load) Latency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.latency * float64(time.Second))
}

// MarkResponsive notes that the runner answered something.
func (l *Load) MarkResponsive() { l.respondedAt.Store(int64(l.clock.Now().Sub(l.createdAt)) + 1) }

// RespondedWithin reports whether the runner answered something in the last d.
func (l *Load) RespondedWithin(d time.Duration) bool {
	at := l.respondedAt.Load()
	return at > 0 && int64(l.clock.Now().Sub(l.createdAt))-at < int64(d)
}

// RecordSuccess notes a response in time.
func (l *Load) RecordSuccess(latency time.Duration) {
	l.MarkResponsive()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency += latencyGain * (latency.Seconds() - l.latency)
	l.failureRate = l.decayedFailureRate(l.clock.Now()) * (1 - failureGain)
	l.failureRateAt = l.clock.Now()
	l.consecutiveFailures = 0
	if l.expectedRole == "" {
		l.suspectUntil.Store(0)
	}
}

// RecordFailure notes a response that says the runner can't do its part.
func (l *Load) RecordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addFailure()
}

func (l *Load) addFailure() {
	now := l.clock.Now()
	l.failureRate = l.decayedFailureRate(now)*(1-failureGain) + failureGain
	l.failureRateAt = now
}

// RecordRefusal notes a request that the runner did not take: it is full, changes its
// role or has another than the list says.
func (l *Load) RecordRefusal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addFailure()
	l.backOff(refusalMinBackoff, refusalMaxBackoff)
}

// RecordConnectionFailure notes a connection that was refused, reset or silent.
func (l *Load) RecordConnectionFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addFailure()
	l.backOff(suspectMinBackoff, suspectMaxBackoff)
}

// backOff makes the runner a suspect, each time in a row for twice as long.
func (l *Load) backOff(minBackoff, maxBackoff time.Duration) {
	backoff := min(minBackoff<<min(l.consecutiveFailures, 8), maxBackoff)
	l.consecutiveFailures++
	until := int64(l.clock.Now().Sub(l.createdAt) + backoff)
	l.suspectUntil.Store(max(until, l.suspectUntil.Load()))
}

// Suspect reports whether the runner is avoided for now.
func (l *Load) Suspect(now time.Time) bool {
	return int64(now.Sub(l.createdAt)) < l.suspectUntil.Load() || l.Unresponsive(now)
}

// Unresponsive reports whether other hosts hear nothing of the runner.
func (l *Load) Unresponsive(now time.Time) bool {
	return int64(now.Sub(l.createdAt)) < l.unresponsiveUntil.Load()
}

// applyReport takes other hosts' word of the runner: that it is silent, for so long, or, with 0,
// that it answers again. What this host has just heard itself goes before it.
func (l *Load) applyReport(unresponsiveFor time.Duration) {
	now := l.clock.Now()
	if unresponsiveFor > 0 {
		if !l.RespondedWithin(responseOverridesReport) {
			l.unresponsiveUntil.Store(int64(now.Sub(l.createdAt) + unresponsiveFor))
		}
		return
	}
	l.unresponsiveUntil.Store(0)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expectedRole == "" {
		l.consecutiveFailures = 0
		l.suspectUntil.Store(0)
	}
}

// responseOverridesReport is how long this host's own hearing of a runner outweighs the others' word:
// about the time in which they come to it.
const responseOverridesReport = 300 * time.Millisecond

// expectRole avoids the runner until it has the role, for so long at most.
func (l *Load) expectRole(role state.Role, timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expectedRole = role
	l.suspectUntil.Store(int64(l.clock.Now().Sub(l.createdAt) + timeout))
}

// confirmRole takes the runner back if it has the role that was expected.
func (l *Load) confirmRole(role state.Role) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expectedRole != "" && l.expectedRole == role {
		l.expectedRole = ""
		l.suspectUntil.Store(0)
	}
}

// FailureRate is the share of lately failed requests, 0 to 1.
func (l *Load) FailureRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decayedFailureRate(now)
}

func (l *Load) decayedFailureRate(now time.Time) float64 {
	if l.failureRate == 0 {
		return 0
	}
	return l.failureRate * math.Exp2(-now.Sub(l.failureRateAt).Seconds()/failureHalfLife.Seconds())
}
