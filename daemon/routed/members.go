package routed

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/liveness"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// kindHosts is the kind under which hosts list themselves.
const kindHosts = "thymerack-hosts"

// member is a host's own entry.
type member struct {
	Addr string `json:"addr"`
	// Class is higher for stronger hosts.
	Class         int    `json:"class"`
	FailureDomain string `json:"failure_domain"`
}

// members is the list of hosts: where peers are and how many share the limits.
// Each host writes itself once, and again if its entry is gone.
type members struct {
	store    *platform.Store
	settings platform.Settings
	log      *slog.Logger
	clock    wallclock.Clock
	// mirror is this host's mirror of the list.
	mirror *follow.Mirror
	// seeds and listed are replaced whole.
	seeds  atomic.Pointer[[]string]
	listed atomic.Pointer[[]state.Peer]
	// entries are the same hosts with their entries' names and versions.
	entries atomic.Pointer[[]liveness.Entry]
	// registered is set while this host's entry is believed to be in the list.
	registered atomic.Bool
	// minRevision is the store's revision from which on the list must have the entry.
	minRevision atomic.Uint64
	// unreadableVersions are the versions of entries that were logged; changed alone uses it.
	unreadableVersions map[string]uint64
}

func newMembers(s *platform.Store, settings platform.Settings, log *slog.Logger) *members {
	m := &members{store: s, settings: settings, log: log, unreadableVersions: map[string]uint64{}}
	m.listed.Store(&[]state.Peer{})
	m.entries.Store(&[]liveness.Entry{})
	m.setSeeds(settings.Seeds)
	return m
}

// self is this host's own entry.
func (m *members) self() state.Peer {
	return state.Peer{Addr: m.addr(m.settings.IP), Class: capacityClass(m.settings.Limits), FailureDomain: m.settings.FailureDomain}
}

// setSeeds takes changed seeds.
func (m *members) setSeeds(seeds []string) { m.seeds.Store(&seeds) }

// Hosts is the number of hosts that share the limits.
func (m *members) Hosts() int {
	if n := len(m.All()); n > 0 {
		return n
	}
	return assumedHosts
}

// All are the listed hosts, this one among them.
func (m *members) All() []state.Peer { return *m.listed.Load() }

// Peers are the other hosts' addresses, the seeds before the list is read.
func (m *members) Peers() []string {
	own := m.addr(m.settings.IP)
	var out []string
	for _, h := range m.All() {
		if h.Addr != own {
			out = append(out, h.Addr)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, seed := range *m.seeds.Load() {
		ip, _, err := net.SplitHostPort(seed)
		if err == nil && ip != m.settings.IP {
			out = append(out, m.addr(ip))
		}
	}
	return out
}

func (m *members) addr(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(m.settings.PeerPort))
}

// Join lists this host and reads the list for the first time, from a copy that may be
// some seconds old: it is enough to know whom to ask for a newer one. A host that finds
// itself alone, as when the whole fleet starts for the first time, waits for the others.
func (m *members) Join(ctx context.Context) {
	if !m.settings.FirstStart {
		// An earlier run's entry mostly holds; it is written again otherwise.
		m.registered.Store(m.read(ctx) && m.contains(m.self()))
	}
	if !m.registered.Load() {
		m.register(ctx)
	}
	for range maxJoinReads {
		if len(m.All()) > 1 || m.clock.Sleep(ctx, joinReadInterval) != nil {
			return
		}
		m.read(ctx)
	}
}

// contains reports whether the list has the host as it is.
func (m *members) contains(h state.Peer) bool { return slices.Contains(m.All(), h) }

// Run keeps this host's entry in the list until ctx ends.
func (m *members) Run(ctx context.Context) {
	for m.clock.Sleep(ctx, registerInterval) == nil {
		if !m.registered.Load() {
			m.register(ctx)
		}
	}
}

// register writes this host's entry, in place of one that an earlier run left.
func (m *members) register(ctx context.Context) {
	value, err := json.Marshal(member(m.self()))
	if err != nil {
		m.log.Error("host not listed", "cause", err.Error())
		return
	}
	version, err := m.store.Put(ctx, kindHosts, m.settings.Host, store.Absent, value)
	if store.IsConflict(err) {
		version, err = m.replace(ctx, value)
	}
	if err != nil {
		m.log.Warn("host not listed", "cause", err.Error())
		return
	}
	m.minRevision.Store(version)
	m.registered.Store(true)
	m.log.Info("host listed", "addr", m.addr(m.settings.IP), "version", store.FormatVersion(version))
}

// replace brings an entry of this host's name up to date.
func (m *members) replace(ctx context.Context, value []byte) (version uint64, err error) {
	present, err := m.store.Get(ctx, kindHosts, m.settings.Host)
	if err != nil {
		return 0, err
	}
	var e member
	if json.Unmarshal(present.Value, &e) == nil && state.Peer(e) == m.self() {
		return present.Version, nil
	}
	return m.store.Put(ctx, kindHosts, m.settings.Host, present.Version, value)
}

// remove takes the entry of a host that is gone out of the list, unless it was written
// again since.
func (m *members) remove(ctx context.Context, h liveness.Entry) error {
	return m.store.Delete(ctx, kindHosts, h.Name, h.Version)
}

// read takes the list as a stale copy of the store has it.
func (m *members) read(ctx context.Context) bool {
	objects, revision, err := m.store.ListStale(ctx, kindHosts)
	if err != nil {
		m.log.Warn("list of hosts not read", "cause", err.Error())
		return false
	}
	m.mirror.Adopt(follow.Copy{Revision: revision, Objects: objects}, "the store's stale copy")
	return true
}

// applyCopy takes a new copy of the list.
func (m *members) applyCopy(c follow.Copy) {
	hosts, entries := []state.Peer{}, []liveness.Entry{}
	found := false
	for _, o := range c.Objects {
		var e member
		if err := json.Unmarshal(o.Value, &e); err != nil || e.Addr == "" {
			m.logUnreadable(o)
			continue
		}
		found = found || o.Name == m.settings.Host
		hosts = append(hosts, state.Peer(e))
		entries = append(entries, liveness.Entry{Peer: state.Peer(e), Name: o.Name, Version: o.Version})
	}
	before := len(m.All())
	m.listed.Store(&hosts)
	m.entries.Store(&entries)
	if before != len(hosts) {
		m.log.Info("hosts listed", "hosts", len(hosts), "before", before, "revision", store.FormatVersion(c.Revision))
	}
	if !found && c.Revision >= m.minRevision.Load() {
		m.registered.Store(false)
	}
}

func (m *members) logUnreadable(o store.Object) {
	if m.unreadableVersions[o.Name] != o.Version {
		m.unreadableVersions[o.Name] = o.Version
		m.log.Warn("entry of a host not readable", "host", o.Name, "version", store.FormatVersion(o.Version))
	}
}

// capacityClass orders hosts by processor time and link; each doubling of either is a
// class.
func capacityClass(l platform.Limits) int { return doublings(l.Cores*100) + doublings(l.LinkBits/1e6) }

func doublings(x float64) int {
	if x < 1 {
		return 0
	}
	return int(math.Log2(x))
}
