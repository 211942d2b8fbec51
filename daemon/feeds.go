package daemon

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/subset"
	"github.com/thymerack/thymerack/state"
)

// hostLister reads the platform's list of machines; a waiting call counts as one.
type hostLister interface {
	Hosts(ctx context.Context) (list []state.Listed, changed bool, err error)
}

// listFeed brings the platform's list to the host. During an outage the last
// list stays in force.
type listFeed struct {
	lister hostLister
	clock  state.Clock
	log    *slog.Logger
	// pause is waited after a failed call.
	pause time.Duration
	heard func(sent time.Time)
	take  func(list []state.Listed, changed bool)
}

// Run reads the list until ctx ends.
func (f *listFeed) Run(ctx context.Context) error {
	for {
		sent := f.clock.Now()
		list, changed, err := f.lister.Hosts(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			f.log.Warn("the platform's list can't be read; the last one stays in force", "error", err)
			if err := f.clock.Sleep(ctx, f.pause); err != nil {
				return err
			}
			continue
		}
		f.heard(sent)
		f.take(list, changed)
	}
}

// takeList takes over an answer of the platform with its list, an unchanged one
// included.
func (d *Daemon) takeList(list []state.Listed, changed bool) {
	d.member.SetListed(list)
	contended := d.planners.contended()
	if !changed && d.listed.Load() != nil && slices.Equal(contended, d.subsetFor) {
		return
	}
	d.subsetFor = contended
	upstreams := map[string]state.Upstream{}
	for _, l := range list {
		if u, ok := snapshot.UpstreamOf(l); ok {
			upstreams[u.Name] = u
		}
	}
	d.listed.Store(&upstreams)
	d.keepRunners(list)
}

// keepRunners gives the keeper this host's subset of each service's runners.
func (d *Daemon) keepRunners(list []state.Listed) {
	names := map[string][]string{}
	rows := map[string]state.Listed{}
	for _, l := range list {
		if l.Kind == state.ListedHost {
			continue
		}
		names[l.Service] = append(names[l.Service], l.Name)
		rows[l.Name] = l
	}
	var kept []state.Listed
	hosts := liveHosts(list)
	for service, of := range names {
		size := subset.Size(hosts, len(of))
		if slices.Contains(d.subsetFor, service) {
			size = len(of) // a planner decides about all of them
		}
		for _, name := range subset.Choose(d.id.Name, of, size) {
			kept = append(kept, rows[name])
		}
	}
	d.keeper.SetListed(kept)
	var live []state.Upstream
	for _, r := range d.keeper.View().Runners {
		live = append(live, r.Upstream)
	}
	d.upstream.Retain(live)
}

// liveHosts counts the hosts that the platform lists as live; 1 if it lists
// none. The subsets are sized by it and not by the peers that answer: those are
// none when a host starts, which would then deal with every runner there is, and
// half when a region is cut off, which would move all subsets just then.
func liveHosts(list []state.Listed) int {
	n := 0
	for _, l := range list {
		if l.Kind == state.ListedHost && l.State == state.ListedLive {
			n++
		}
	}
	return max(1, n)
}
