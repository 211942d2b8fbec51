package member

import (
	"math"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

const (
	// paceHosts is the fleet up to which digests are exchanged at the set
	// intervals. Beyond it, each exchange and each beat reaches more hosts, and
	// the intervals grow with the fleet, so that a host's bytes a second don't.
	paceHosts = 32
	// newsFor is how long after a change that others wait for (an
	// acknowledgement, a leaving upstream, a configuration) exchanges are made
	// more often. Such changes are rare; beats and work in flight are not news.
	newsFor = 3 * time.Second
	// workHosts is the largest fleet whose hosts tell each other their work in
	// flight. Beyond it they rely on the engines' reports, which they ask for
	// with every request.
	workHosts = 16
	// workBeats is how many beats pass between two statements of it.
	workBeats = 2
)

// scale is by how much the fleet exceeds paceHosts; m.mu is held.
func (m *Manager) scale() float64 {
	return max(1, float64(len(m.entries))/paceHosts)
}

// stretch lengthens an interval with the fleet; m.mu is held.
func (m *Manager) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * m.scale())
}

// liveAfter is how old an entry may be for its host to count as answering; m.mu
// is held.
func (m *Manager) liveAfter() time.Duration { return m.stretch(m.opts.LiveAfter) }

// step returns the time to the next look at whether an exchange is due: an
// interval of a small fleet, so that news shorten a long wait that has begun.
func (m *Manager) step() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	factor := 1 - jitterShare/2 + jitterShare*m.random.Float64()
	step := time.Duration(float64(m.opts.GossipInterval) * factor)
	return min(step, m.longestInterval())
}

// wait returns how many steps there are to an exchange on average. With news it
// grows with the cube root of the scale only: news then reach the whole fleet in a few
// seconds, and cost little because they are rare.
func (m *Manager) wait() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait := m.scale()
	if m.opts.Clock.Now().Sub(m.newsAt) < newsFor {
		wait = math.Cbrt(wait)
	}
	longest := float64(m.longestInterval()) / float64(m.opts.GossipInterval)
	return max(1, min(wait, longest))
}

// longestInterval keeps a host in touch however large the fleet is: several
// exchanges fit into the time after which it would refuse new work, every second
// one of them with its sponsor if it has one. m.mu is held.
func (m *Manager) longestInterval() time.Duration {
	const exchanges = 4
	if m.standing == StandingSponsored {
		return m.opts.SponsorFor / exchanges
	}
	return m.opts.IsolatedAfter / exchanges
}

// news notes that something was learnt or said that others wait for; m.mu is
// held.
func (m *Manager) news() { m.newsAt = m.opts.Clock.Now() }

// workToTell is the work in flight that this host tells the others; m.mu is held.
// In a large fleet it tells none: each host's share is then small, and telling it
// to all would cost each host about a kilobyte a second for every other.
func (m *Manager) workToTell(v *snapshot.View) []UpstreamWork {
	if len(m.entries) > workHosts {
		return nil
	}
	return workOf(v)
}

// isNews reports whether a delta carries more than signs of life and work.
func (e *entry) isNews(d Delta) bool {
	if d.Drained != nil || d.Leaving != nil || d.Sponsored != nil || d.Static != nil {
		return true
	}
	return d.Beat != nil && *d.Beat != e.beat
}
