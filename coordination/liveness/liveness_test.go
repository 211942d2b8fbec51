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

// domain is the hosts around one looker, h0.
type domain struct {
	hosts []Entry
	// gone hosts answer nobody; far ones don't answer the looker alone; quiet ones answer,
	// but follow another relay.
	gone, far, quiet map[string]bool
	removed          []string
	pings            int
	looks            bool
}

func newDomain(n int) *domain {
	d := &domain{gone: map[string]bool{}, far: map[string]bool{}, quiet: map[string]bool{}, looks: true}
	for i := range n {
		d.hosts = append(d.hosts, Entry{Peer: state.Peer{Addr: fmt.Sprint("h", i), FailureDomain: "d"}, Name: fmt.Sprint("n", i), Version: uint64(i + 1)})
	}
	d.hosts = append(d.hosts, Entry{Peer: state.Peer{Addr: "other", FailureDomain: "e"}, Name: "other", Version: 99})
	d.gone["other"] = true // another domain's looker sees to it
	return d
}

var errSilent = errors.New("no answer")

// Ping implements Peers.
func (d *domain) Ping(ctx context.Context, addr string) error {
	d.pings++
	if d.gone[addr] || d.far[addr] {
		<-ctx.Done()
		return errSilent
	}
	return nil
}

// PingVia implements Peers.
func (d *domain) PingVia(ctx context.Context, helper, addr string) error {
	if d.gone[addr] || d.gone[helper] {
		<-ctx.Done()
		return errSilent
	}
	return nil
}

func (d *domain) heardAt(addr string) time.Time {
	if d.gone[addr] || d.far[addr] || d.quiet[addr] {
		return time.Time{}
	}
	return time.Now()
}

func (d *domain) remove(_ context.Context, h Entry) error {
	d.removed = append(d.removed, h.Name)
	for i, other := range d.hosts {
		if other.Name == h.Name && other.Version == h.Version {
			d.hosts = append(append([]Entry(nil), d.hosts[:i]...), d.hosts[i+1:]...)
			return nil
		}
	}
	return errors.New("another version")
}

// look runs the looker for a time.
func (d *domain) look(t *testing.T, l *Monitor, span time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	l.Run(ctx)
}

func (d *domain) looker(t *testing.T) *Monitor {
	t.Helper()
	l, err := New(Options{
		Self: d.hosts[0].Peer, Hosts: func() []Entry { return d.hosts }, Monitors: func(string) bool { return d.looks }, LastContact: d.heardAt,
		Peers: d, Remove: d.remove, Clock: clocktest.Bubble{}, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func inDomain(t *testing.T, n int, play func(is *is.I, d *domain, l *Monitor)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(n)
		play(is.New(t), d, d.looker(t))
	})
}

func TestHostsThatAreGoneAreRemovedInSeconds(t *testing.T) {
	inDomain(t, 60, func(is *is.I, d *domain, l *Monitor) {
		d.gone["h7"], d.gone["h30"] = true, true
		d.look(t, l, 8*time.Second)
		is.Equal(len(d.removed), 0) // they may be restarting
		d.look(t, l, 30*time.Second)
		is.Equal(d.removed, []string{"n7", "n30"})
	})
}

func TestHostsThatAreThereStay(t *testing.T) {
	for name, c := range map[string]func(d *domain){
		"they follow another relay":       func(d *domain) { d.quiet["h3"], d.quiet["h4"] = true, true },
		"only the looker is cut off them": func(d *domain) { d.far["h3"] = true },
		"most are silent, so the looker is cut off": func(d *domain) {
			for i := range 20 {
				d.gone[fmt.Sprint("h", i+1)] = true
			}
		},
		"another host looks": func(d *domain) { d.gone["h3"], d.looks = true, false },
	} {
		t.Run(name, func(t *testing.T) {
			inDomain(t, 60, func(is *is.I, d *domain, l *Monitor) {
				c(d)
				d.look(t, l, time.Minute)
				is.Equal(len(d.removed), 0)
			})
		})
	}
}

// A host that is frozen or restarts for some seconds is not removed, and one that lists
// itself again begins anew.
func TestSilenceMustLast(t *testing.T) {
	inDomain(t, 60, func(is *is.I, d *domain, l *Monitor) {
		for range 5 {
			d.gone["h5"] = true
			d.look(t, l, 6*time.Second)
			d.gone["h5"] = false
			d.look(t, l, 4*time.Second)
		}
		d.gone["h5"] = true
		d.look(t, l, 8*time.Second)
		d.hosts[5].Version = 200
		d.look(t, l, 8*time.Second)
		is.Equal(len(d.removed), 0)
	})
}

// Hosts that ask for news cost no question of their own.
func TestHostsThatAreHeardAreNotAsked(t *testing.T) {
	inDomain(t, 60, func(is *is.I, d *domain, l *Monitor) {
		d.look(t, l, time.Minute)
		is.Equal(d.pings, 0)
	})
}
