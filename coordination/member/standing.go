package member

import (
	"time"
)

// Standing tells by what right a host takes new work.
type Standing uint8

// The standings of a host.
const (
	// StandingNone takes no new work.
	StandingNone Standing = iota
	// StandingSponsored takes new work while its sponsor confirms it.
	StandingSponsored
	// StandingMember has its own object at the platform.
	StandingMember
)

// String returns the standing's name.
func (s Standing) String() string {
	switch s {
	case StandingMember:
		return "member"
	case StandingSponsored:
		return "sponsored"
	default:
		return "none"
	}
}

// Isolated reports whether the host must refuse new work: it is neither a member
// that has heard the platform or a peer lately nor confirmed by a sponsor. It
// takes no lock.
func (m *Manager) Isolated() bool {
	return m.opts.Clock.Now().Sub(m.start) >= time.Duration(m.takesUntil.Load())
}

// Standing returns the present standing.
func (m *Manager) Standing() Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standing
}

// HeardPlatform notes that the platform answered a call that was sent at the
// given time. The time of the answer wouldn't do: a paused process may take up
// an answer long after it was given.
func (m *Manager) HeardPlatform(sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sent.After(m.platformAt) {
		m.platformAt = sent
	}
	m.heard(sent)
}

// heard extends a member's right to take new work; m.mu is held. A member that
// was isolated for too long may have been taken for gone, so it loses its
// standing here and has to get it back.
func (m *Manager) heard(sent time.Time) {
	if m.standing != StandingMember {
		if m.standing == StandingSponsored && m.fault == faultServeAlone {
			m.extend(sent.Add(m.opts.IsolatedAfter))
		}
		return
	}
	if sent.Sub(m.until) > m.opts.LapseAfter {
		m.setStanding(StandingNone)
		return
	}
	m.extend(sent.Add(m.opts.IsolatedAfter))
}

// confirmed extends a sponsored host's right to take new work; m.mu is held.
func (m *Manager) confirmed(sent time.Time) {
	if m.standing == StandingSponsored {
		m.extend(sent.Add(m.opts.SponsorFor))
	}
}

// setStanding changes the standing; m.mu is held. Losing it takes effect at once.
func (m *Manager) setStanding(s Standing) {
	if m.standing == s {
		return
	}
	m.opts.Log.Info("standing changed", "host", m.opts.Self.ID.String(), "from", m.standing.String(), "to", s.String())
	m.standing = s
	m.until = m.start
	m.takesUntil.Store(0)
}

// extend moves the end of the right to take new work; m.mu is held.
func (m *Manager) extend(until time.Time) {
	if until.After(m.until) {
		m.until = until
		m.takesUntil.Store(int64(until.Sub(m.start)))
	}
}
