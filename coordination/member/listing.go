package member

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// listing is the platform's list as last heard, and how long it was heard.
type listing struct {
	rows []state.Listed
	// leaving are the upstreams that the list shows as leaving.
	leaving []Leaving
	at      time.Time
	// heardFor sums the time during which the list was being heard and every host
	// listed as live answered. It stands still while the platform is down, so
	// nobody is gone because of that; and while this host is cut off from hosts
	// that others may still hear, so nobody is gone who only reaches those.
	heardFor time.Duration
	// answering is true if every host listed as live answered at the last reading.
	answering bool
	// present is the value of heardFor when a run of a host was last listed or
	// heard; names is the same for rows that don't tell runs apart.
	present map[state.HostID]time.Duration
	names   map[string]time.Duration
	// hosts are the listed hosts, by name.
	hosts map[string]state.Listed
}

func newListing() listing {
	return listing{present: map[state.HostID]time.Duration{}, names: map[string]time.Duration{}}
}

// SetListed takes over the platform's list. It is to be called for every answer
// of the platform, an unchanged list included.
func (m *Manager) SetListed(rows []state.Listed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	m.list.take(rows, now, m.opts.MaxListGap, m.allAnswer(rows, now))
	m.publishHosts()
}

// allAnswer reports whether every host that is listed as live has been heard
// lately, directly or through others; m.mu is held.
func (m *Manager) allAnswer(rows []state.Listed, now time.Time) bool {
	if m.fault == faultCountCut {
		return true
	}
	fresh := map[string]bool{m.opts.Self.ID.Name: true}
	for _, e := range m.entries {
		if now.Sub(e.at) <= m.liveAfter() {
			fresh[e.static.ID.Name] = true
		}
	}
	for _, r := range rows {
		if r.Kind == state.ListedHost && r.State == state.ListedLive && !fresh[r.Name] {
			return false
		}
	}
	return true
}

func (l *listing) take(rows []state.Listed, now time.Time, maxGap time.Duration, answering bool) {
	if gap := now.Sub(l.at); !l.at.IsZero() && gap <= maxGap && answering && l.answering {
		l.heardFor += gap
	}
	l.at = now
	l.answering = answering
	l.rows = rows
	l.leaving = nil
	l.hosts = map[string]state.Listed{}
	for _, r := range rows {
		if r.Kind == state.ListedHost {
			l.takeHost(r)
			continue
		}
		if r.State == state.ListedLeaving {
			l.leaving = append(l.leaving, Leaving{Name: r.Name, Incarnation: r.Incarnation})
		}
	}
}

func (l *listing) takeHost(r state.Listed) {
	l.hosts[r.Name] = r
	if r.Incarnation == "" {
		l.names[r.Name] = l.heardFor
		return
	}
	l.present[state.HostID{Name: r.Name, Incarnation: r.Incarnation}] = l.heardFor
}

// heard notes that a run of a host was heard through a digest.
func (l *listing) heard(id state.HostID) { l.present[id] = l.heardFor }

// goneFor returns for how long the list has been heard without that run, and no
// digest of it came either.
func (l *listing) goneFor(id state.HostID) time.Duration {
	return l.heardFor - max(l.present[id], l.names[id.Name])
}

// lists reports whether the list has that run of a host, or can't tell.
func (l *listing) lists(id state.HostID) bool {
	r, ok := l.hosts[id.Name]
	return ok && (r.Incarnation == "" || r.Incarnation == id.Incarnation)
}

// GoneFor returns for how long the platform's list, while it was being heard
// here, has lacked that run of a host and no digest of it arrived. Time during
// which the list wasn't heard, or during which a host that it shows as live didn't
// answer, doesn't count. A host that is gone for longer than GoneBound has no work
// left and takes none, unless it is one of several that hear each other but
// neither the platform nor any listed host.
func (m *Manager) GoneFor(id state.HostID) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.goneFor(id)
}

// GoneBound returns how long a host must be gone before its acknowledgement
// isn't waited for.
func (m *Manager) GoneBound() time.Duration { return m.opts.GoneBound }

// Gone reports whether that run of a host neither is listed nor has been heard
// for LiveAfter (longer in a large fleet). It may still be alive and cut off; see GoneFor.
func (m *Manager) Gone(id state.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.goneFor(id) > m.liveAfter()
}
