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
	// lookEvery is the time between two rounds.
	lookEvery = 2 * time.Second
	// heardWithin is how long a host counts as alive after it was heard.
	heardWithin = 3 * time.Second
	// pingTimeout bounds a question, and pingViaTimeout one by way of a helper.
	pingTimeout    = 500 * time.Millisecond
	pingViaTimeout = 2 * pingTimeout
	// suspectRounds is how many rounds in a row a host must be silent: ten seconds and
	// more, which hosts that are frozen, stopped or restarted mostly don't need.
	suspectRounds = 5
	// mostSilent is the share of its hosts that may be silent: a looker that hears less
	// is more likely to be cut off itself, and removes nobody.
	mostSilent = 0.25
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
	PingVia(ctx context.Context, helper, addr string) error
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
	// silent counts the rounds in a row in which nothing was heard of an entry.
	silent map[entryID]int
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
	return &Monitor{o: o, silent: map[entryID]int{}}, nil
}

// Run looks in rounds until ctx ends.
func (l *Monitor) Run(ctx context.Context) {
	for l.o.Clock.Sleep(ctx, lookEvery) == nil {
		l.round(ctx)
	}
}

// round looks for hosts that can't be heard.
func (l *Monitor) round(ctx context.Context) {
	var domain, own []Entry
	for _, h := range l.o.Hosts() {
		if h.FailureDomain != l.o.Self.FailureDomain || h.Addr == l.o.Self.Addr {
			continue
		}
		domain = append(domain, h)
		if l.o.Monitors(h.Addr) {
			own = append(own, h)
		}
	}
	silent := map[entryID]int{}
	var gone []Entry
	for _, h := range own {
		if l.heard(ctx, h, domain) {
			continue
		}
		id := entryID{h.Name, h.Version}
		silent[id] = l.silent[id] + 1
		if silent[id] == 1 {
			l.o.Log.Info("host is silent", "name", h.Name, "addr", h.Addr)
		}
		if silent[id] >= suspectRounds {
			gone = append(gone, h)
		}
	}
	l.silent = silent
	if float64(len(silent)) > max(1, mostSilent*float64(len(own))) {
		l.o.Log.Warn("too many hosts are silent; none is removed", "silent", len(silent), "hosts", len(own))
		return
	}
	for _, h := range gone {
		l.remove(ctx, h)
	}
}

// heard reports whether a host has been heard recently, or answers.
func (l *Monitor) heard(ctx context.Context, h Entry, domain []Entry) bool {
	if l.o.Clock.Now().Sub(l.o.LastContact(h.Addr)) < heardWithin {
		return true
	}
	if l.ping(ctx, h.Addr) {
		return true
	}
	helper := l.helper(h, domain)
	if helper == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pingViaTimeout)
	defer cancel()
	return l.o.Peers.PingVia(ctx, helper, h.Addr) == nil
}

func (l *Monitor) ping(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return l.o.Peers.Ping(ctx, addr) == nil
}

// helper is a host of the domain that was heard recently; "" if there is none.
func (l *Monitor) helper(of Entry, domain []Entry) string {
	for _, h := range domain {
		if h.Addr != of.Addr && l.o.Clock.Now().Sub(l.o.LastContact(h.Addr)) < heardWithin {
			return h.Addr
		}
	}
	return ""
}

func (l *Monitor) remove(ctx context.Context, h Entry) {
	if err := l.o.Remove(ctx, h); err != nil {
		l.o.Log.Info("host that is gone not removed", "name", h.Name, "cause", err.Error())
		return
	}
	l.o.Log.Info("host that is gone removed", "name", h.Name, "addr", h.Addr, "version", h.Version, "rounds", suspectRounds)
}
