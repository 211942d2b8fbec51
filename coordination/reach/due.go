package reach

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// takeCheck reports whether the link to a runner is lost and due to be checked, and counts the check as
// made.
func (t *Tracker) takeCheck(id state.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if now := t.o.Clock.Now(); l != nil && l.state() == Indirect && !now.Before(l.nextAttempt) {
		l.nextAttempt = now.Add(vary(checkInterval))
		return true
	}
	return false
}

// takeOverdueCheck reports whether the link to a runner seems to work and wasn't checked for an overdue
// response a moment ago, and counts such a check as made.
func (t *Tracker) takeOverdueCheck(i *state.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(i)
	if now := t.o.Clock.Now(); l.state() == Direct && now.Sub(l.overdueAt) >= minOverdueInterval {
		l.overdueAt = now
		return true
	}
	return false
}

// pollInterval returns the time until lost links are polled again.
func (t *Tracker) pollInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.groups {
		if s.counts[Unreachable] > 0 {
			return unreachablePollInterval
		}
	}
	return checkInterval
}

// takePoll returns the runner of the lost link that was polled least recently, and counts it as polled; nil if there is
// none that wasn't polled since the time. Indirect links that requests use are checked by these.
func (t *Tracker) takePoll(since time.Time) *state.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Clock.Now()
	var next *link
	for _, l := range t.links {
		current := l.state()
		due := current == Unreachable || current == Indirect && !now.Before(l.nextAttempt)
		if due && !l.checking && l.polledAt.Before(since) && (next == nil || l.polledAt.Before(next.polledAt)) {
			next = l
		}
	}
	if next == nil {
		return nil
	}
	next.polledAt = now
	return next.instance
}

// beginCheck reports whether no check of the link is running, and begins one; endCheck ends it.
func (t *Tracker) beginCheck(i *state.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(i)
	if l.checking {
		return false
	}
	l.checking = true
	return true
}

func (t *Tracker) endCheck(id state.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[id]; l != nil {
		l.checking = false
	}
}
