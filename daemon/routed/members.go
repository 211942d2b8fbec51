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

// kindHosts is the kind of the store's objects under which hosts register.
const kindHosts = "thymerack-hosts"

// member is the stored entry of a host.
type member struct {
	Addr string `json:"addr"`
	// Class is higher for hosts with more resources; see capacityClass.
	Class         int    `json:"class"`
	FailureDomain string `json:"failure_domain"`
}

// memberStore is the store, with lists that may be some seconds old and cost the store little.
type memberStore interface {
	store.Store
	ListStale(ctx context.Context, kind string) ([]store.Object, uint64, error)
}

var _ memberStore = (*platform.Store)(nil)

// members maintains the list of hosts: the addresses of peers and the number of hosts that share
// the limits. Each host registers its entry once, and again if the entry is missing.
type members struct {
	store    memberStore
	settings platform.Settings
	log      *slog.Logger
	clock    wallclock.Clock
	// mirror is this host's copy of the list.
	mirror *follow.Mirror
	// seeds and listed are replaced as a whole, never modified.
	seeds  atomic.Pointer[[]string]
	listed atomic.Pointer[[]state.Peer]
	// entries holds the same hosts as listed, with the names and versions of their entries.
	entries atomic.Pointer[[]liveness.Entry]
	// lastCount is the number of hosts of the last list that wasn't empty.
	lastCount atomic.Int64
	// registered is set while this host's entry is believed to be in the list.
	registered atomic.Bool
	// minRevision is the store's revision from which on the list must contain this host's entry.
	minRevision atomic.Uint64
	// unreadableVersions maps the name of each unreadable entry to the version that was logged. Only
	// applyCopy uses it, so it needs no lock.
	unreadableVersions map[string]uint64
	// directory holds the hosts that the directory is known to list. Only Run uses it.
	directory []state.Peer
}

func newMembers(s memberStore, settings platform.Settings, log *slog.Logger) *members {
	m := &members{store: s, settings: settings, log: log, unreadableVersions: map[string]uint64{}}
	m.listed.Store(&[]state.Peer{})
	m.entries.Store(&[]liveness.Entry{})
	m.setSeeds(settings.Seeds)
	return m
}

// self returns this host as a peer.
func (m *members) self() state.Peer {
	return state.Peer{Addr: m.addr(m.settings.IP), Class: capacityClass(m.settings.Limits), FailureDomain: m.settings.FailureDomain}
}

// setSeeds replaces the seeds.
func (m *members) setSeeds(seeds []string) { m.seeds.Store(&seeds) }

// Hosts returns the number of hosts that share the limits: those of the last list that had any; 0 if
// none was read yet.
func (m *members) Hosts() int { return int(m.lastCount.Load()) }

// All returns the listed hosts, including this one.
func (m *members) All() []state.Peer { return *m.listed.Load() }

// Peers returns the addresses of the other hosts; those of the seeds until the list is read.
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

// Join finds hosts from which to fetch the list, by the directory of the strongest ones. Without it, as
// at the first start of the whole fleet, it registers this host and reads the list from a copy that may
// be some seconds old. A host that is listed alone waits for the others.
func (m *members) Join(ctx context.Context) {
	if !m.settings.FirstStart && m.readDirectory(ctx) {
		m.registered.Store(true) // the entry of an earlier run is usually still valid; the list tells
		return
	}
	if !m.settings.FirstStart {
		// The entry of an earlier run is usually still valid; otherwise it is rewritten.
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

// contains reports whether the list contains the host with exactly these fields.
func (m *members) contains(h state.Peer) bool { return slices.Contains(m.All(), h) }

// Run registers this host again whenever its entry is missing, and keeps the directory up to date,
// until ctx ends.
func (m *members) Run(ctx context.Context) {
	for m.clock.Sleep(ctx, registerInterval) == nil {
		if !m.registered.Load() {
			m.register(ctx)
		}
		m.writeDirectory(ctx)
	}
}

// register writes this host's entry and replaces one that an earlier run left.
func (m *members) register(ctx context.Context) {
	value, err := json.Marshal(member(m.self()))
	if err != nil {
		m.log.Error("host not registered", "cause", err.Error())
		return
	}
	version, err := m.store.Put(ctx, kindHosts, m.settings.Host, store.Absent, value)
	if store.IsConflict(err) {
		version, err = m.replace(ctx, value)
	}
	if err != nil {
		m.log.Warn("host not registered", "cause", err.Error())
		return
	}
	m.minRevision.Store(version)
	m.registered.Store(true)
	m.log.Info("host registered", "addr", m.addr(m.settings.IP), "version", store.FormatVersion(version))
}

// replace updates the existing entry of this host's name and returns its version. An entry that is
// up to date isn't written.
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

// remove deletes the entry of a failed host, unless the entry was rewritten since.
func (m *members) remove(ctx context.Context, h liveness.Entry) error {
	return m.store.Delete(ctx, kindHosts, h.Name, h.Version)
}

// read reads the list from a stale copy of the store and reports whether that succeeded.
func (m *members) read(ctx context.Context) bool {
	objects, revision, err := m.store.ListStale(ctx, kindHosts)
	if err != nil {
		m.log.Warn("list of hosts can't be read", "cause", err.Error())
		return false
	}
	m.mirror.Adopt(follow.Copy{Revision: revision, Objects: objects}, "the store's stale copy")
	return true
}

// applyCopy applies a new copy of the list.
func (m *members) applyCopy(c follow.Copy) {
	hosts, entries := []state.Peer{}, []liveness.Entry{}
	found := false
	for _, o := range c.Objects {
		var e member
		if err := json.Unmarshal(o.Value, &e); err != nil || e.Addr == "" {
			m.logUnreadable(o)
			continue
		}
		found = found || (o.Name == m.settings.Host && state.Peer(e) == m.self())
		hosts = append(hosts, state.Peer(e))
		entries = append(entries, liveness.Entry{Peer: state.Peer(e), Name: o.Name, Version: o.Version})
	}
	before := len(m.All())
	m.listed.Store(&hosts)
	m.entries.Store(&entries)
	if len(hosts) > 0 {
		m.lastCount.Store(int64(len(hosts)))
	}
	if before != len(hosts) {
		m.log.Info("list of hosts changed", "hosts", len(hosts), "before", before, "revision", store.FormatVersion(c.Revision))
	}
	if !found && c.Revision >= m.minRevision.Load() {
		m.registered.Store(false)
	}
}

// logUnreadable logs an entry that can't be decoded, once per version.
func (m *members) logUnreadable(o store.Object) {
	if m.unreadableVersions[o.Name] != o.Version {
		m.unreadableVersions[o.Name] = o.Version
		m.log.Warn("host entry can't be decoded", "host", o.Name, "version", store.FormatVersion(o.Version))
	}
}

// capacityClass ranks a host by its processor cores and its link bandwidth; each doubling of
// either adds one class.
func capacityClass(l platform.Limits) int { return doublings(l.Cores*100) + doublings(l.LinkBits/1e6) }

// doublings returns how often 1 can be doubled without exceeding x.
func doublings(x float64) int {
	if x < 1 {
		return 0
	}
	return int(math.Log2(x))
}
