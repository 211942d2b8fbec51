package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// latencyStart is assumed of a runner without samples; its size hardly
	// matters, as all start alike.
	latencyStart = 20 * time.Millisecond
	// latencyGain is the weight of a new sample.
	latencyGain = 0.1
	// failureGain is the weight of a new outcome.
	failureGain = 0.25
	// failureHalfLife is how soon an unused runner's failures are half forgotten:
	// a few seconds, as the shortest faults of the platform's days last.
	failureHalfLife = 2 * time.Second
	// suspectFirst is how long a runner is avoided after its first silent or
	// broken connection; each further one in a row doubles it up to suspectMost.
	suspectFirst = 500 * time.Millisecond
	suspectMost  = 4 * time.Second
	// refusedFirst and refusedMost are the same for a refusal: a full runner has
	// room after a few runs (15 ms and more), a change of role takes 3 s.
	refusedFirst = 100 * time.Millisecond
	refusedMost  = time.Second
)

// Load is what this host knows of one instance from its own requests.
type Load struct {
	clock    state.Clock
	inFlight atomic.Int64
	// suspectUntil and heardAt are in nanoseconds since the load was made; 0 for never.
	suspectUntil atomic.Int64
	heardAt      atomic.Int64
	// silentUntil is as long as another host's word holds that the runner is silent.
	silentUntil atomic.Int64
	started     time.Time

	mu sync.Mutex
	// expected is the role that the instance is about to take; "" if none is known.
	expected  state.Role
	latency   float64 // seconds
	failures  float64 // 0 to 1
	failedAt  time.Time
	rowLength int
}

func newLoad(clock state.Clock) *Load {
	return &Load{clock: clock, started: clock.Now(), latency: latencyStart.Seconds()}
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

// Heard notes that the runner answered something.
func (l *Load) Heard() { l.heardAt.Store(int64(l.clock.Now().Sub(l.started)) + 1) }

// HeardWithin reports whether the runner answered something in the last d.
func (l *Load) HeardWithin(d time.Duration) bool {
	at := l.heardAt.Load()
	return at > 0 && int64(l.clock.Now().Sub(l.started))-at < int64(d)
}

// Answered notes a response in time.
func (l *Load) Answered(after time.Duration) {
	l.Heard()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency += latencyGain * (after.Seconds() - l.latency)
	l.failures = l.decayed(l.clock.Now()) * (1 - failureGain)
	l.failedAt = l.clock.Now()
	l.rowLength = 0
	if l.expected == "" {
		l.suspectUntil.Store(0)
	}
}

// Failed notes a response that says the runner can't do its part.
func (l *Load) Failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail()
}

func (l *Load) fail() {
	now := l.clock.Now()
	l.failures = l.decayed(now)*(1-failureGain) + failureGain
	l.failedAt = now
}

// Refused notes a request that the runner did not take: it is full, changes its
// role or has another than the list says.
func (l *Load) Refused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail()
	l.avoid(refusedFirst, refusedMost)
}

// Broken notes a connection that was refused, reset or silent.
func (l *Load) Broken() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail()
	l.avoid(suspectFirst, suspectMost)
}

// avoid makes the runner a suspect, each time in a row for twice as long.
func (l *Load) avoid(first, most time.Duration) {
	pause := min(first<<min(l.rowLength, 8), most)
	l.rowLength++
	until := int64(l.clock.Now().Sub(l.started) + pause)
	l.suspectUntil.Store(max(until, l.suspectUntil.Load()))
}

// Suspect reports whether the runner is avoided for now.
func (l *Load) Suspect(now time.Time) bool {
	return int64(now.Sub(l.started)) < l.suspectUntil.Load() || l.Silent(now)
}

// Silent reports whether other hosts hear nothing of the runner.
func (l *Load) Silent(now time.Time) bool {
	return int64(now.Sub(l.started)) < l.silentUntil.Load()
}

// judge takes other hosts' word of the runner: that it is silent, for so long, or, with 0,
// that it answers again. What this host has just heard itself goes before it.
func (l *Load) judge(silentFor time.Duration) {
	now := l.clock.Now()
	if silentFor > 0 {
		if !l.HeardWithin(heardLately) {
			l.silentUntil.Store(int64(now.Sub(l.started) + silentFor))
		}
		return
	}
	l.silentUntil.Store(0)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expected == "" {
		l.rowLength = 0
		l.suspectUntil.Store(0)
	}
}

// heardLately is how long this host's own hearing of a runner outweighs the others' word:
// about the time in which they come to it.
const heardLately = 300 * time.Millisecond

// expect avoids the runner until it has the role, for so long at most.
func (l *Load) expect(role state.Role, within time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected = role
	l.suspectUntil.Store(int64(l.clock.Now().Sub(l.started) + within))
}

// listed takes the runner back if it has the role that was expected.
func (l *Load) listed(role state.Role) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expected != "" && l.expected == role {
		l.expected = ""
		l.suspectUntil.Store(0)
	}
}

// FailureRate is the share of lately failed requests, 0 to 1.
func (l *Load) FailureRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decayed(now)
}

func (l *Load) decayed(now time.Time) float64 {
	if l.failures == 0 {
		return 0
	}
	return l.failures * math.Exp2(-now.Sub(l.failedAt).Seconds()/failureHalfLife.Seconds())
}
