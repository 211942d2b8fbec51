package liveness

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/clocktest"
	"github.com/thymerack/thymerack/state"
)

// testDomain is the hosts of a failure domain that host h0 monitors.
type testDomain struct {
	hosts []Entry
	// Dead hosts answer no host, unreachable ones don't answer the monitor but other hosts,
	// and those in noContact answer but follow another relay.
	dead, unreachable, noContact map[string]bool
	removed                      []string
	pings                        int
	monitored                    bool
}

func newTestDomain(n int) *testDomain {
	d := &testDomain{dead: map[string]bool{}, unreachable: map[string]bool{}, noContact: map[string]bool{}, monitored: true}
	for i := range n {
		d.hosts = append(d.hosts, Entry{Peer: state.Peer{Addr: fmt.Sprint("h", i), FailureDomain: "d"}, Name: fmt.Sprint("n", i), Version: uint64(i + 1)})
	}
	d.hosts = append(d.hosts, Entry{Peer: state.Peer{Addr: "other", FailureDomain: "e"}, Name: "other", Version: 99})
	d.dead["other"] = true // monitored in its own domain
	return d
}

var errNoAnswer = errors.New("no answer")

// Ping implements Peers.
func (d *testDomain) Ping(ctx context.Context, addr string) error {
	d.pings++
	if d.dead[addr] || d.unreachable[addr] {
		<-ctx.Done()
		return errNoAnswer
	}
	return nil
}

// PingVia implements Peers.
func (d *testDomain) PingVia(ctx context.Context, proxy, addr string) error {
	if d.dead[addr] || d.dead[proxy] {
		<-ctx.Done()
		return errNoAnswer
	}
	return nil
}

func (d *testDomain) lastContact(addr string) time.Time {
	if d.dead[addr] || d.unreachable[addr] || d.noContact[addr] {
		return time.Time{}
	}
	return time.Now()
}

func (d *testDomain) remove(_ context.Context, h Entry) error {
	d.removed = append(d.removed, h.Name)
	for i, other := range d.hosts {
		if other.Name == h.Name && other.Version == h.Version {
			d.hosts = append(append([]Entry(nil), d.hosts[:i]...), d.hosts[i+1:]...)
			return nil
		}
	}
	return errors.New("another version")
}

// run runs the monitor for the given time.
func (d *testDomain) run(t *testing.T, m *Monitor, span time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	m.Run(ctx)
}

func (d *testDomain) newMonitor(t *testing.T) *Monitor {
	t.Helper()
	m, err := New(Options{
		Self: d.hosts[0].Peer, Hosts: func() []Entry { return d.hosts }, Monitors: func(string) bool { return d.monitored }, LastContact: d.lastContact,
		Peers: d, Remove: d.remove, Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func runInDomain(t *testing.T, n int, test func(is *is.I, d *testDomain, m *Monitor)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newTestDomain(n)
		test(is.New(t), d, d.newMonitor(t))
	})
}

// Dead hosts are removed, but not before they have had the time to restart.
func TestDeadHostsAreRemoved(t *testing.T) {
	runInDomain(t, 60, func(is *is.I, d *testDomain, m *Monitor) {
		d.dead["h7"], d.dead["h30"] = true, true
		d.run(t, m, 8*time.Second)
		is.Equal(len(d.removed), 0) // they may still be restarting
		d.run(t, m, 30*time.Second)
		is.Equal(d.removed, []string{"n7", "n30"})
	})
}

// Hosts stay in the list if they answer anyone, if the monitor itself is likely to be
// partitioned, or if another host monitors them.
func TestLiveHostsAreNotRemoved(t *testing.T) {
	for name, c := range map[string]func(d *testDomain){
		"they follow another relay":         func(d *testDomain) { d.noContact["h3"], d.noContact["h4"] = true, true },
		"only the monitor can't reach them": func(d *testDomain) { d.unreachable["h3"] = true },
		"too many are silent": func(d *testDomain) {
			for i := range 20 {
				d.dead[fmt.Sprint("h", i+1)] = true
			}
		},
		"another host monitors them": func(d *testDomain) { d.dead["h3"], d.monitored = true, false },
	} {
		t.Run(name, func(t *testing.T) {
			runInDomain(t, 60, func(is *is.I, d *testDomain, m *Monitor) {
				c(d)
				d.run(t, m, time.Minute)
				is.Equal(len(d.removed), 0)
			})
		})
	}
}

// A host that is suspended or restarts for some seconds isn't removed, and the rounds of a
// host that writes its entry again are counted anew.
func TestShortSilenceDoesNotRemoveHosts(t *testing.T) {
	runInDomain(t, 60, func(is *is.I, d *testDomain, m *Monitor) {
		for range 5 {
			d.dead["h5"] = true
			d.run(t, m, 6*time.Second)
			d.dead["h5"] = false
			d.run(t, m, 4*time.Second)
		}
		d.dead["h5"] = true
		d.run(t, m, 8*time.Second)
		d.hosts[5].Version = 200
		d.run(t, m, 8*time.Second)
		is.Equal(len(d.removed), 0)
	})
}

// Hosts that poll the monitoring host for changes aren't pinged.
func TestHostsInContactAreNotPinged(t *testing.T) {
	runInDomain(t, 60, func(is *is.I, d *testDomain, m *Monitor) {
		d.run(t, m, time.Minute)
		is.Equal(d.pings, 0)
	})
}
