package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// initialLatency is assumed of a runner without samples. The value hardly matters, as all
	// runners start with the same one.
	initialLatency = 20 * time.Millisecond
	// latencyGain is the weight of a new sample in the moving average.
	latencyGain = 0.1
	// failureGain is the weight of a new outcome in the moving average.
	failureGain = 0.25
	// failureHalfLife is the time after which the failure rate of an unused runner has halved.
	// The shortest faults last a few seconds.
	failureHalfLife = 2 * time.Second
	// suspectMinBackoff is how long a runner is avoided after its first unresponsive or broken
	// connection. Each further failure in a row doubles the time, up to suspectMaxBackoff.
	suspectMinBackoff = 500 * time.Millisecond
	suspectMaxBackoff = 4 * time.Second
	// refusalMinBackoff and refusalMaxBackoff are the same for a refused request. A full runner
	// has capacity again after a few requests (15 ms and more), and a change of role takes 3 s.
	refusalMinBackoff = 100 * time.Millisecond
	refusalMaxBackoff = time.Second
)

// Load holds what this host knows of one instance from its own requests, and from other hosts'
// reports that the instance is unresponsive.
type Load struct {
	clock    state.Clock
	inFlight atomic.Int64
	// suspectUntil and respondedAt are in nanoseconds since createdAt; 0 means never.
	suspectUntil atomic.Int64
	respondedAt  atomic.Int64
	// unresponsiveUntil is when the last report of other hosts that the runner is unresponsive
	// expires, in nanoseconds since createdAt.
	unresponsiveUntil atomic.Int64
	// weight is nil for weight 1, unless another one was set before.
	weight    atomic.Pointer[weightedScore]
	createdAt time.Time

	mu sync.Mutex
	// expectedRole is the role that the instance is about to change to; "" if none is known.
	expectedRole        state.Role
	latency             float64 // seconds
	failureRate         float64 // 0 to 1
	failureRateAt       time.Time
	consecutiveFailures int
}

func newLoad(clock state.Clock) *Load {
	return &Load{clock: clock, createdAt: clock.Now(), latency: initialLatency.Seconds()}
}

// Begin counts an attempt as in flight until the returned function is called. Further calls of
// that function have no effect.
func (l *Load) Begin() (end func()) {
	l.inFlight.Add(1)
	var once atomic.Bool
	return func() {
		if !once.Swap(true) {
			l.inFlight.Add(-1)
		}
	}
}

// InFlight returns the number of this host's attempts that have begun and not ended.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }

// Latency returns the moving average of the time to the head of a response.
func (l *Load) Latency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.latency * float64(time.Second))
}

// MarkResponsive records that the runner answered something.
func (l *Load) MarkResponsive() { l.respondedAt.Store(int64(l.clock.Now().Sub(l.createdAt)) + 1) }

// RespondedWithin reports whether the runner answered something in the last d.
func (l *Load) RespondedWithin(d time.Duration) bool {
	at := l.respondedAt.Load()
	return at > 0 && int64(l.clock.Now().Sub(l.createdAt))-at < int64(d)
}

// RecordSuccess records a response in time and its latency.
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

// RecordFailure records a response that says that the runner can't do its part.
func (l *Load) RecordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addFailure()
}

// addFailure adds a failed outcome to the failure rate; l.mu is held.
func (l *Load) addFailure() {
	now := l.clock.Now()
	l.failureRate = l.decayedFailureRate(now)*(1-failureGain) + failureGain
	l.failureRateAt = now
}

// RecordRefusal records a request that the runner did not accept: it is full, it is changing its
// role, or its role isn't the listed one.
func (l *Load) RecordRefusal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addFailure()
	l.backOff(refusalMinBackoff, refusalMaxBackoff)
}

// RecordConnectionFailure records a connection that was refused, reset or unresponsive.
func (l *Load) RecordConnectionFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addFailure()
	l.backOff(suspectMinBackoff, suspectMaxBackoff)
}

// backOff makes the runner a suspect. The backoff doubles with each failure in a row.
func (l *Load) backOff(minBackoff, maxBackoff time.Duration) {
	backoff := min(minBackoff<<min(l.consecutiveFailures, 8), maxBackoff)
	l.consecutiveFailures++
	until := int64(l.clock.Now().Sub(l.createdAt) + backoff)
	l.suspectUntil.Store(max(until, l.suspectUntil.Load()))
}

// Suspect reports whether the runner is to be avoided now.
func (l *Load) Suspect(now time.Time) bool {
	return int64(now.Sub(l.createdAt)) < l.suspectUntil.Load() || l.Unresponsive(now)
}

// Unresponsive reports whether other hosts currently report the runner as unresponsive.
func (l *Load) Unresponsive(now time.Time) bool {
	return int64(now.Sub(l.createdAt)) < l.unresponsiveUntil.Load()
}

// applyReport applies other hosts' report: that the runner is to be avoided as unresponsive for
// the duration, or, if that is 0, that it responds again. A recent response to this host takes
// precedence over a report that the runner is unresponsive.
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

// responseOverridesReport is how long a response to this host takes precedence over other hosts'
// reports. The hosts need about as long to agree that a runner is unresponsive.
const responseOverridesReport = 300 * time.Millisecond

// expectRole avoids the runner until it has the role, or until the timeout.
func (l *Load) expectRole(role state.Role, timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expectedRole = role
	l.suspectUntil.Store(int64(l.clock.Now().Sub(l.createdAt) + timeout))
}

// confirmRole stops avoiding the runner if the listed role is the expected one.
func (l *Load) confirmRole(role state.Role) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expectedRole != "" && l.expectedRole == role {
		l.expectedRole = ""
		l.suspectUntil.Store(0)
	}
}

// FailureRate returns the share of failed requests among recent ones, from 0 to 1.
func (l *Load) FailureRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decayedFailureRate(now)
}

// decayedFailureRate returns the failure rate after its decay since the last outcome; l.mu is
// held.
func (l *Load) decayedFailureRate(now time.Time) float64 {
	if l.failureRate == 0 {
		return 0
	}
	return l.failureRate * math.Exp2(-now.Sub(l.failureRateAt).Seconds()/failureHalfLife.Seconds())
}
