package reach

import "time"

// LostMost reports whether this host has lost most of its links, or all of those to a service. Its failures to
// connect then say nothing of the runners.
func (t *Tracker) LostMost(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lostMost(service)
}

// Partitioned is LostMost, and also true while several links fail at the same moment.
func (t *Tracker) Partitioned(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lostMost(service) || t.failing() >= minPartitionLinks
}

// lostMost implements LostMost; t.mu is held.
func (t *Tracker) lostMost(service string) bool {
	lost, direct, serviceLost, serviceDirect := 0, 0, 0, 0
	for g, s := range t.groups {
		lost, direct = lost+s.counts.lost(), direct+s.counts[Direct]
		if g.Service == service {
			serviceLost, serviceDirect = serviceLost+s.counts.lost(), serviceDirect+s.counts[Direct]
		}
	}
	return lost >= minPartitionLinks && lost > direct || serviceLost > 1 && serviceDirect == 0
}

// Inconclusive reports whether the failure of an attempt to connect, which began at the time, says nothing of
// the runner, since this host is partitioned. A host that got no answer and heard no runner over its own links
// since may be partitioned, too.
func (t *Tracker) Inconclusive(service string, e Evidence, began time.Time) bool {
	if t.Partitioned(service) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return e == EvidenceNoAnswer && !t.heardDirectAt.After(began)
}

// failing returns the number of links that failed within partitionWindow; t.mu is held.
func (t *Tracker) failing() int {
	out, since := 0, t.o.Clock.Now().Add(-partitionWindow)
	for _, l := range t.links {
		if l.lostAt.After(since) || l.brokenAt.After(since) {
			out++
		}
	}
	return out
}
