package member

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Hosts returns the live hosts, this one included, sorted: those that the
// platform lists as live and that answer. Before the first list it is whoever
// answers. Hosts may differ in it for some seconds. The slice is shared; it must
// not be changed. It takes no lock.
func (m *Manager) Hosts() []state.HostID {
	if h := m.hosts.Load(); h != nil {
		return *h
	}
	return []state.HostID{m.opts.Self.ID}
}

// publishHosts works out the live hosts anew; m.mu is held. Of two runs of one
// name that both answer, the later is the host.
func (m *Manager) publishHosts() {
	now := m.opts.Clock.Now()
	newest := map[string]state.HostID{}
	for key, e := range m.entries {
		id := e.static.ID
		if key != m.key && !(m.takesWork(e, now) && m.eligible(id)) {
			continue
		}
		if id.Incarnation > newest[id.Name].Incarnation {
			newest[id.Name] = id
		}
	}
	out := make([]state.HostID, 0, len(newest))
	for _, id := range newest {
		out = append(out, id)
	}
	slices.SortFunc(out, compareIDs)
	if old := m.hosts.Load(); old == nil || !slices.Equal(*old, out) {
		m.hosts.Store(&out)
	}
}

// takesWork reports whether another host answers and has a standing.
func (m *Manager) takesWork(e *entry, now time.Time) bool {
	return now.Sub(e.at) <= m.liveAfter() && !e.beat.Left && e.beat.Standing != StandingNone
}

// eligible reports whether the platform's list lets that run of a host in.
func (m *Manager) eligible(id state.HostID) bool {
	if m.list.at.IsZero() {
		return true
	}
	return m.list.lists(id) && m.list.hosts[id.Name].State == state.ListedLive
}

// HostVersion is the configuration in force at one host, as last heard.
type HostVersion struct {
	Member  state.Member
	Version uint64
	// Age is how long ago the host said so.
	Age time.Duration
	// Answers is true if that was within LiveAfter.
	Answers bool
}

// ConfigVersions returns the configuration in force at every host known, this
// one included, sorted by host.
func (m *Manager) ConfigVersions() []HostVersion {
	m.renew()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	out := make([]HostVersion, 0, len(m.entries))
	for _, e := range m.entries {
		age := now.Sub(e.at)
		out = append(out, HostVersion{Member: e.member(), Version: e.beat.ConfigVersion, Age: age, Answers: age <= m.liveAfter()})
	}
	slices.SortFunc(out, func(a, b HostVersion) int { return compareIDs(a.Member.ID, b.Member.ID) })
	return out
}

// Member returns what is known of a host's addresses.
func (m *Manager) Member(id state.HostID) (state.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries.of(id); e != nil {
		return e.member(), true
	}
	if r, ok := m.members[id.Name]; ok && r.member.ID == id {
		return r.member, true
	}
	return state.Member{}, false
}
