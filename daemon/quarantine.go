package daemon

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/quarantines"
	"github.com/thymerack/thymerack/transport/runstatuses"
)

const (
	// crashTold bounds the telling of one host; one that isn't told learns from the store.
	crashTold = 300 * time.Millisecond
	// holdWriters hosts look after the store's entries: one that is lost is stood in for.
	holdWriters = 3
	// gatherHolds lets changes in quick succession cost one call; notices tell at once.
	gatherHolds = time.Second
)

// newQuarantine keeps requests that crash upstreams from them, with the other hosts.
func (d *Daemon) newQuarantine() error {
	var err error
	d.quarantine, err = quarantine.New(quarantine.Options{
		Host: d.id.Name, Table: quarantine.NewTable(d.clock), Store: d.store, FollowsStore: d.writesHolds,
		Publish: d.tellCrashes, Clock: d.clock, Log: d.log,
	})
	if err != nil {
		return err
	}
	quarantines.Register(d.peerServer, d.quarantine.Receive)
	held, err := follow.New(follow.Options{
		Delays: propagation.New(propagation.Bounds{}), Store: d.store, Clock: d.clock, Log: d.log, Kind: quarantine.Kind, OnChange: d.quarantine.ApplyCopy, CoalesceDelay: gatherHolds, RetryGroup: &follow.RetryGroup{},
	})
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	d.endCrashes = end
	confirmer, err := crash.NewConfirmer(crash.ConfirmerOptions{
		Own: d.probeRun, Siblings: d.siblings, Others: d.otherHosts,
		Ask: func(ctx context.Context, addr string, id state.InstanceID) (crash.RunStatus, error) {
			return runstatuses.Ask(ctx, d.peers, addr, id)
		},
	})
	if err != nil {
		return err
	}
	runstatuses.Register(d.peerServer, func(ctx context.Context, id state.InstanceID) crash.RunStatus {
		return confirmer.Conclusive(ctx, &state.Instance{ID: id})
	})
	d.crashes, err = crash.New(ctx, crash.Options{
		Probe: confirmer.Status, Listed: d.listsRun, Replaced: d.replacesRun, Clock: d.clock, Log: d.log,
		OnCrash: func(r crash.Report) { d.quarantine.ReportCrash(r.Instance.ID, d.clock.Now(), r.Suspects) },
	})
	if err != nil {
		return err
	}
	d.add("quarantine", func(ctx context.Context) error {
		d.quarantine.Run(ctx)
		return ctx.Err()
	})
	d.add("held requests", func(ctx context.Context) error {
		held.Run(ctx)
		return ctx.Err()
	})
	return nil
}

// writesHolds reports whether this host is one of those that look after the store's entries.
func (d *Daemon) writesHolds() bool {
	before := 0
	for _, id := range d.member.Hosts() {
		if id.Name < d.id.Name {
			before++
		}
	}
	return before < holdWriters
}

// tellCrashes tells all hosts, this one too.
func (d *Daemon) tellCrashes(n quarantine.Notice) {
	d.quarantine.Receive(n)
	for _, addr := range d.otherHosts() {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), crashTold)
			defer stop()
			if err := quarantines.Send(ctx, d.peers, addr, n); err != nil {
				d.log.Debug("crashes not told", "to", addr, "error", err)
			}
		}()
	}
}

// brokenWork implements dispatch.CrashReporter.
type brokenWork struct{ d *Daemon }

// ReportBroken implements dispatch.CrashReporter.
func (b brokenWork) ReportBroken(u state.Upstream, s quarantine.Suspect) {
	b.d.crashes.ReportBroken(runOf(u), s)
}

// runOf is a run of an upstream, which is told apart by its incarnation.
func runOf(u state.Upstream) *state.Instance {
	return &state.Instance{ID: state.InstanceID{Name: u.Name + "/" + u.Incarnation}, Service: u.Service, Addr: u.Addr}
}

// listedRun is the upstream of a run if the platform lists it, whether it leaves or not.
func (d *Daemon) listedRun(i *state.Instance) (state.Upstream, bool) {
	for _, u := range d.allListed() {
		if runOf(u).ID == i.ID {
			return u, true
		}
	}
	return state.Upstream{}, false
}

// allListed are all upstreams of the platform's list; none before it was read.
func (d *Daemon) allListed() map[string]state.Upstream {
	if listed := d.listed.Load(); listed != nil {
		return *listed
	}
	return nil
}

func (d *Daemon) listsRun(i *state.Instance) bool {
	u, listed := d.listedRun(i)
	if !listed {
		return false
	}
	r := d.keeper.View().Runner(u.Name)
	return r == nil || !r.Leaving
}

// replacesRun reports whether the platform lists another run at the address.
func (d *Daemon) replacesRun(i *state.Instance) bool {
	if _, listed := d.listedRun(i); listed {
		return false
	}
	for _, u := range d.allListed() {
		if u.Addr == i.Addr {
			return true
		}
	}
	return false
}

// siblings returns the other runs of the service that the platform lists.
func (d *Daemon) siblings(i *state.Instance) []*state.Instance {
	u, listed := d.listedRun(i)
	if !listed {
		return nil
	}
	var out []*state.Instance
	for _, other := range d.allListed() {
		if run := runOf(other); other.Service == u.Service && run.ID != i.ID {
			out = append(out, run)
		}
	}
	return out
}

// otherHosts returns the peer addresses of the other members.
func (d *Daemon) otherHosts() []string {
	var out []string
	for _, id := range d.member.Hosts() {
		if m, known := d.member.Member(id); known && id != d.id {
			out = append(out, m.PeerAddr)
		}
	}
	return out
}

// probeRun asks an upstream over this host's own link whether it is there.
func (d *Daemon) probeRun(ctx context.Context, i *state.Instance) crash.RunStatus {
	u, listed := d.listedRun(i)
	if !listed {
		return crash.Silent
	}
	err := d.upstream.Check(ctx, u)
	switch {
	case err == nil:
		return crash.Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return crash.Ended
	default:
		return crash.Silent
	}
}
