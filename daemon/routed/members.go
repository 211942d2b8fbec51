package routed

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// kindHosts is the kind under which hosts list themselves.
const kindHosts = "thymerack-hosts"

// member is a host's own entry.
type member struct {
	Addr string `json:"addr"`
	// Class is higher for stronger hosts.
	Class int `json:"class"`
}

// members is the list of hosts: where peers are and how many share the limits.
// Each host writes itself once; nobody removes an entry, so that the number can
// only be too high and the shares too small.
type members struct {
	store *platform.Store
	s     platform.Settings
	log   *slog.Logger
	clock wallclock.Clock
	// seeds and listed are replaced whole.
	seeds  atomic.Pointer[[]string]
	listed atomic.Pointer[[]occupancy.Host]
}

func newMembers(s *platform.Store, settings platform.Settings, log *slog.Logger) *members {
	m := &members{store: s, s: settings, log: log}
	m.listed.Store(&[]occupancy.Host{})
	m.reload(settings.Seeds)
	return m
}

// reload takes changed seeds.
func (m *members) reload(seeds []string) { m.seeds.Store(&seeds) }

// Hosts is the number of hosts that share the limits.
func (m *members) Hosts() int {
	if n := len(m.All()); n > 0 {
		return n
	}
	return assumedHosts
}

// All are the listed hosts, this one among them.
func (m *members) All() []occupancy.Host { return *m.listed.Load() }

// Peers are the other hosts' addresses, the seeds before the list is read.
func (m *members) Peers() []string {
	own := m.addr(m.s.IP)
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
		if err == nil && ip != m.s.IP {
			out = append(out, m.addr(ip))
		}
	}
	return out
}

func (m *members) addr(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(m.s.PeerPort)) }

// Run lists this host and reads the list, until ctx ends.
func (m *members) Run(ctx context.Context) {
	registered := false
	for {
		if !registered {
			registered = m.register(ctx)
		}
		m.read(ctx)
		pause := membersEvery
		if len(m.All()) <= 1 {
			pause = membersSettle
		}
		if m.clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// register writes this host's entry; one that is there from an earlier run has
// the same address.
func (m *members) register(ctx context.Context) bool {
	value, err := json.Marshal(member{Addr: m.addr(m.s.IP), Class: classOf(m.s.Limits)})
	if err != nil {
		return false
	}
	_, err = m.store.Put(ctx, kindHosts, m.s.Host, store.Absent, value)
	if err != nil && !store.IsConflict(err) {
		m.log.Warn("host not listed", "cause", err.Error())
		return false
	}
	m.log.Info("host listed", "addr", m.addr(m.s.IP))
	return true
}

func (m *members) read(ctx context.Context) {
	objects, err := m.store.ListStale(ctx, kindHosts)
	if err != nil {
		m.log.Warn("list of hosts not read", "cause", err.Error())
		return
	}
	var hosts []occupancy.Host
	for _, o := range objects {
		var e member
		if err := json.Unmarshal(o.Value, &e); err != nil || e.Addr == "" {
			m.log.Error("entry of a host not readable", "host", o.Name)
			continue
		}
		hosts = append(hosts, occupancy.Host{Addr: e.Addr, Class: e.Class})
	}
	m.listed.Store(&hosts)
	m.log.Info("hosts listed", "hosts", len(hosts))
}

// classOf orders hosts by processor time and link; each doubling of either is a
// class.
func classOf(l platform.Limits) int { return doublings(l.Cores*100) + doublings(l.LinkBits/1e6) }

func doublings(x float64) int {
	if x < 1 {
		return 0
	}
	return int(math.Log2(x))
}
