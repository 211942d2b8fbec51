package reach

import "time"

// groupStatus is what was last logged of a group.
type groupStatus struct {
	counts Counts
	level  lossLevel
	// since is when links were lost first while level is above noneLost.
	since time.Time
}

// lossLevel says how many links of a group are lost.
type lossLevel int

const (
	noneLost lossLevel = iota
	someLost
	allLost
)

// Counts returns the links of a group by state.
func (t *Tracker) Counts(g Group) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Counts{}
	if s := t.groups[g]; s != nil {
		for state, n := range s.counts {
			out[state] = n
		}
	}
	return out
}

// heardAgo formats the time since a response; "never" if there was none.
func heardAgo(at, now time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).String()
}

// logGroup logs whether none, some or all links of a group are lost, if that has changed; t.mu is
// held.
func (t *Tracker) logGroup(g Group) {
	s := t.groups[g]
	level := s.counts.level()
	if level == s.level {
		return
	}
	now := t.o.Clock.Now()
	if s.level == noneLost {
		s.since = now
	}
	s.level = level
	attrs := []any{"service", g.Service, "failure_domain", g.FailureDomain, "direct", s.counts[Direct], "indirect", s.counts[Indirect], "unreachable", s.counts[Unreachable], "evidence", t.evidence(g), "since", now.Sub(s.since)}
	if level == noneLost {
		t.o.Log.Info("links to runners of a service restored", attrs...)
		return
	}
	t.o.Log.Warn("links to runners of a service lost", attrs...)
}

// evidence counts the lost links of a group by evidence; t.mu is held.
func (t *Tracker) evidence(g Group) map[Evidence]int {
	out := map[Evidence]int{}
	for _, l := range t.links {
		if l.group == g && l.state() != Direct {
			out[l.evidence]++
		}
	}
	return out
}

// level says how many of the links are lost.
func (c Counts) level() lossLevel {
	switch {
	case c.lost() == 0:
		return noneLost
	case c[Direct] > 0:
		return someLost
	default:
		return allLost
	}
}
