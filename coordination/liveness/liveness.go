// Package liveness takes hosts that are gone out of the list of hosts, so that the others'
// shares of what all have in common don't shrink for ever.
//
// The relays of each failure domain look after the others of their domain, each after the
// hosts that would follow it. Hosts that ask it for news are alive by that; one that
// hasn't been heard is asked, by the looker itself and, if that fails, by a helper. Only a
// host that both hear nothing of, again and again, is removed, and one that was merely cut
// off lists itself again.
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
	// contactTTL is how long a host counts as alive after it was heard.
	contactTTL = 3 * time.Second
	// pingTimeout bounds a question, and pingViaTimeout one by way of a helper.
	pingTimeout         = 500 * time.Millisecond
	indirectPingTimeout = 2 * pingTimeout
	// minSilentRounds is how many rounds in a row a host must be silent: ten seconds and
	// more, which hosts that are frozen, stopped or restarted mostly don't need.
	minSilentRounds = 5
	// maxSilentShare is the share of its hosts that may be silent: a looker that hears less
	// is more likely to be cut off itself, and removes nobody.
	maxSilentShare = 0.25
)

// Entry is a host as its entry in the list says.
type Entry struct {
	state.Peer
	// Name and Version are the entry's.
	Name    string
	Version uint64
}

// Peers reaches other hosts.
type Peers interface {
	// Ping asks the host at addr whether it is there.
	Ping(ctx context.Context, addr string) error
	// PingVia has the host at helper ask the one at addr.
	PingVia(ctx context.Context, proxy, addr string) error
}

// Options configure a Monitor. All fields are required.
type Options struct {
	Self state.Peer
	// Hosts lists all hosts, this one too.
	Hosts func() []Entry
	// Monitors reports whether this host looks after the one at addr, of its domain.
	Monitors func(addr string) bool
	// LastContact is when a host asked this one for something; zero if never.
	LastContact func(addr string) time.Time
	Peers       Peers
	// Remove takes an entry of that version out of the list.
	Remove func(ctx context.Context, h Entry) error
	Clock  state.Clock
	Log    *slog.Logger
}

// Monitor looks after the hosts of one domain. It is not safe for concurrent use.
type Monitor struct {
	o Options
	// silentRounds counts the rounds in a row in which nothing was heard of an entry.
	silentRounds map[entryID]int
}

// entryID is one writing of an entry: a host that lists itself again begins anew.
type entryID struct {
	name    string
	version uint64
}

// New validates the options.
func New(o Options) (*Monitor, error) {
	if o.Self.Addr == "" || o.Hosts == nil || o.Monitors == nil || o.LastContact == nil || o.Peers == nil || o.Remove == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("liveness: a field of Options is missing; set all of them")
	}
	return &Monitor{o: o, silentRounds: map[entryID]int{}}, nil
}

// Run looks in rounds until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for m.o.Clock.Sleep(ctx, roundInterval) == nil {
		m.runRound(ctx)
	}
}

// runRound looks for hosts that can't be heard.
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

// isAlive reports whether a host has been isAlive recently, or answers.
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

func (m *Monitor) ping(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return m.o.Peers.Ping(ctx, addr) == nil
}

// pickProxy is a host of the domain that was heard recently; "" if there is none.
func (m *Monitor) pickProxy(target Entry, domain []Entry) string {
	for _, h := range domain {
		if h.Addr != target.Addr && m.o.Clock.Now().Sub(m.o.LastContact(h.Addr)) < contactTTL {
			return h.Addr
		}
	}
	return ""
}

func (m *Monitor) remove(ctx context.Context, h Entry) {
	if err := m.o.Remove(ctx, h); err != nil {
		m.o.Log.Info("host that is gone not removed", "name", h.Name, "cause", err.Error())
		return
	}
	m.o.Log.Info("host that is gone removed", "name", h.Name, "addr", h.Addr, "version", h.Version, "rounds", minSilentRounds)
}
