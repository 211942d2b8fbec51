// Package liveness removes dead hosts from the list of hosts. Shared limits are divided by
// the number of listed hosts, so a dead entry would reduce the share of each other host for
// good.
//
// The relays of each failure domain, which the other hosts of the domain poll for changes,
// also monitor these hosts: each relay monitors the hosts that would poll it. A host that
// polls the monitoring host is alive. Any other is pinged, directly and, if that fails,
// through another host of the domain as a proxy. A host is removed only if both fail in
// several consecutive rounds; a host that was only partitioned adds itself to the list
// again.
package liveness

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// roundInterval is the time between two rounds.
	roundInterval = 2 * time.Second
	// contactTTL is how long a host counts as alive after its last contact.
	contactTTL = 3 * time.Second
	// pingTimeout bounds a direct ping, and indirectPingTimeout one through a proxy.
	pingTimeout         = 500 * time.Millisecond
	indirectPingTimeout = 2 * pingTimeout
	// minSilentRounds is the number of consecutive rounds in which a host must be silent to
	// be removed. They take ten seconds or more, longer than most suspensions and restarts
	// of a host.
	minSilentRounds = 5
	// maxSilentShare is the largest share of the monitored hosts that may be silent: a
	// monitor that finds more of them silent is more likely to be partitioned itself, and
	// removes none.
	maxSilentShare = 0.25
)

// Entry is the entry of a host in the list of hosts.
type Entry struct {
	state.Peer
	// Name and Version are those of the stored object.
	Name    string
	Version uint64
}

// Peers pings other hosts.
type Peers interface {
	// Ping returns nil if the host at addr answers.
	Ping(ctx context.Context, addr string) error
	// PingVia returns nil if the host at proxy gets an answer from the host at addr.
	PingVia(ctx context.Context, proxy, addr string) error
}

// Options configures a Monitor. All fields are required.
type Options struct {
	Self state.Peer
	// Hosts returns the entries of all hosts, this one included.
	Hosts func() []Entry
	// Monitors reports whether this host monitors the host at addr, in the same failure
	// domain.
	Monitors func(addr string) bool
	// LastContact returns when a host last made a request to this one; zero if never.
	LastContact func(addr string) time.Time
	Peers       Peers
	// Remove deletes an entry if it still has the same version.
	Remove func(ctx context.Context, h Entry) error
	Clock  state.Clock
	Log    *slog.Logger
}

// Monitor monitors hosts of the failure domain of this host. It is not safe for concurrent
// use.
type Monitor struct {
	o Options
	// silentRounds is the number of consecutive rounds in which an entry was silent.
	silentRounds map[entryID]int
}

// entryID identifies one version of an entry. The rounds of a host that writes its entry
// again are counted anew.
type entryID struct {
	name    string
	version uint64
}

// New returns an error if an option is missing.
func New(o Options) (*Monitor, error) {
	if o.Self.Addr == "" || o.Hosts == nil || o.Monitors == nil || o.LastContact == nil || o.Peers == nil || o.Remove == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("liveness: a field of Options is missing; set all of them")
	}
	return &Monitor{o: o, silentRounds: map[entryID]int{}}, nil
}

// Run runs a round every roundInterval until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for m.o.Clock.Sleep(ctx, roundInterval) == nil {
		m.runRound(ctx)
	}
}

// runRound checks the monitored hosts and removes those that have been silent in
// minSilentRounds rounds.
func (m *Monitor) runRound(ctx context.Context) {
	var domain, monitored []Entry
	for _, h := range m.o.Hosts() {
		if h.FailureDomain != m.o.Self.FailureDomain || h.Addr == m.o.Self.Addr {
			continue
		}
		domain = append(domain, h)
		if m.o.Monitors(h.Addr) {
			monitored = append(monitored, h)
		}
	}
	silent := map[entryID]int{}
	var expired []Entry
	for _, h := range monitored {
		if m.isAlive(ctx, h, domain) {
			continue
		}
		id := entryID{h.Name, h.Version}
		silent[id] = m.silentRounds[id] + 1
		if silent[id] == 1 {
			m.o.Log.Info("host is silent", "name", h.Name, "addr", h.Addr)
		}
		if silent[id] >= minSilentRounds {
			expired = append(expired, h)
		}
	}
	m.silentRounds = silent
	if float64(len(silent)) > max(1, maxSilentShare*float64(len(monitored))) {
		m.o.Log.Warn("too many hosts are silent; none is removed", "silent", len(silent), "hosts", len(monitored))
		return
	}
	for _, h := range expired {
		m.remove(ctx, h)
	}
}

// isAlive reports whether a host has had contact recently or answers a ping.
func (m *Monitor) isAlive(ctx context.Context, h Entry, domain []Entry) bool {
	if m.o.Clock.Now().Sub(m.o.LastContact(h.Addr)) < contactTTL {
		return true
	}
	if m.ping(ctx, h.Addr) {
		return true
	}
	proxy := m.pickProxy(h, domain)
	if proxy == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, indirectPingTimeout)
	defer cancel()
	return m.o.Peers.PingVia(ctx, proxy, h.Addr) == nil
}

// ping reports whether the host at addr answers within pingTimeout.
func (m *Monitor) ping(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return m.o.Peers.Ping(ctx, addr) == nil
}

// pickProxy returns the address of a host of the domain that has had contact recently; ""
// if there is none.
func (m *Monitor) pickProxy(target Entry, domain []Entry) string {
	for _, h := range domain {
		if h.Addr != target.Addr && m.o.Clock.Now().Sub(m.o.LastContact(h.Addr)) < contactTTL {
			return h.Addr
		}
	}
	return ""
}

// remove deletes the entry of a dead host and logs it.
func (m *Monitor) remove(ctx context.Context, h Entry) {
	if err := m.o.Remove(ctx, h); err != nil {
		m.o.Log.Info("dead host not removed", "name", h.Name, "cause", err.Error())
		return
	}
	m.o.Log.Info("dead host removed", "name", h.Name, "addr", h.Addr, "version", h.Version, "rounds", minSilentRounds)
}
