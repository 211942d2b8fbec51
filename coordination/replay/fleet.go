package replay

import (
	"fmt"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// fleet is everything that takes part in one replay.
type fleet struct {
	loop    *loop
	trace   *Trace
	setup   *Setup
	model   *Model
	names   []string
	engines map[string]*engine
	hosts   []*host
	result  *recorder
	until   time.Time
}

// Run replays a trace against a setup.
func Run(t *Trace, s Setup) (Result, error) {
	f, err := newFleet(t, &s)
	if err != nil {
		return Result{}, err
	}
	f.scheduleRequests()
	f.scheduleEvents()
	f.scheduleTalk()
	if s.Rebalance {
		if err := f.schedulePlanner(); err != nil {
			return Result{}, err
		}
	}
	f.loop.run()
	return f.result.result(t, &s), nil
}

func newFleet(t *Trace, s *Setup) (*fleet, error) {
	if s.Model == nil {
		m := DefaultModel()
		s.Model = &m
	}
	if s.Hosts == 0 {
		s.Hosts = defaultHosts
	}
	f := &fleet{
		loop: newLoop(), trace: t, setup: s, model: s.Model,
		engines: map[string]*engine{}, result: &recorder{classes: map[string]*classRecorder{}, customers: map[string]*share{}},
	}
	last := t.Requests[len(t.Requests)-1].At
	f.until = epoch.Add(last + state.MaxDeadline/10)
	f.addEngines(s.Start)
	for i := range s.Hosts {
		h, err := newHost(f, i)
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
		h.list(f.listed())
	}
	f.tellLoads()
	return f, nil
}

// addEngines makes the engines, the roles dealt out over the failure domains.
func (f *fleet) addEngines(s Split) {
	for i := range s.Prefill + s.Decode + s.Mixed {
		name := fmt.Sprintf("engine-%02d", i)
		t := state.Target{Role: s.role(i), Model: model}
		f.engines[name] = newEngine(f.loop, f.model, name, domains[i%len(domains)], t)
		f.names = append(f.names, name)
	}
}

// listed is the platform's list at the moment.
func (f *fleet) listed() []state.Listed {
	var out []state.Listed
	for _, name := range f.names {
		e := f.engines[name]
		if e.lost {
			continue
		}
		out = append(out, state.Listed{
			Name: name, Kind: state.ListedEngine, State: state.ListedLive,
			Incarnation: e.incarnation(), FailureDomain: e.domain, Service: service,
		})
	}
	return out
}

func (f *fleet) scheduleRequests() {
	for i := range f.trace.Requests {
		r := &f.trace.Requests[i]
		h := f.hosts[i%len(f.hosts)]
		f.loop.after(r.At, func() { h.arrive(r, i) })
	}
}

func (f *fleet) scheduleEvents() {
	for _, e := range f.trace.Events {
		n := f.engines[e.Engine]
		f.loop.after(e.At, func() { f.event(e.What, n) })
	}
}

func (f *fleet) event(what string, n *engine) {
	switch what {
	case EventLost:
		n.lose()
		f.loop.after(healthLag, func() { f.eachKeeper(func(k *snapshot.Keeper) { k.SetHealth(n.name, !n.lost) }) })
	case EventBack:
		n.restart()
	case EventSlow:
		n.slow = true
		return
	case EventWell:
		n.slow = false
		return
	}
	f.loop.after(listLag, func() {
		list := f.listed()
		for _, h := range f.hosts {
			h.list(list)
		}
		f.eachKeeper(func(k *snapshot.Keeper) { k.SetHealth(n.name, !n.lost) })
	})
}

// health marks an engine that a host couldn't use; its checks bring it back.
func (f *fleet) health(n *engine, h *host, ok bool) {
	if !ok && n.lost {
		h.keeper.SetHealth(n.name, false)
	}
}

func (f *fleet) eachKeeper(do func(*snapshot.Keeper)) {
	for _, h := range f.hosts {
		do(h.keeper)
	}
}

// running reports whether the replay goes on.
func (f *fleet) running() bool { return f.loop.Now().Before(f.until) }

// scheduleTalk starts what goes on all the time: load reports, digests between
// the hosts, and the admitters' look at their queues.
func (f *fleet) scheduleTalk() {
	f.loop.every(f.model.ReportEvery, func() bool {
		f.tellLoads()
		return f.running()
	})
	f.loop.every(cacheEvery, func() bool {
		f.tellCaches()
		return f.running()
	})
	f.loop.every(digestEvery, func() bool {
		f.exchange()
		return f.running()
	})
	f.loop.every(lookEvery, func() bool {
		for _, h := range f.hosts {
			h.admitter.Tick()
		}
		return f.running()
	})
}

// tellLoads samples every engine; the hosts get the reports after their lag.
func (f *fleet) tellLoads() {
	var reports []state.LoadReport
	for _, name := range f.names {
		if e := f.engines[name]; !e.lost {
			reports = append(reports, e.report())
		}
	}
	lag := f.model.ReportLag
	if f.loop.since() == 0 {
		lag = 0 // the fleet has been up for a while
	}
	f.loop.after(lag, func() {
		f.eachKeeper(func(k *snapshot.Keeper) { k.SetLoads(reports) })
	})
}

// tellCaches gives the engines' cache events to every host after a lag.
func (f *fleet) tellCaches() {
	for _, name := range f.names {
		e := f.engines[name]
		events, gap := e.cacheEvents, e.cacheCleared
		e.cacheEvents, e.cacheCleared = nil, false
		if len(events) == 0 && !gap || f.setup.NoPrefix {
			continue
		}
		f.loop.after(f.model.CacheEventLag, func() {
			for _, h := range f.hosts {
				h.router.ApplyCacheEvents(name, gap, events)
			}
		})
	}
}

// exchange tells each host what the others have in flight.
func (f *fleet) exchange() {
	total := map[string]snapshot.Work{}
	for _, h := range f.hosts {
		for name, w := range h.inFlight() {
			total[name] = total[name].Plus(w)
		}
	}
	for _, h := range f.hosts {
		peers := map[string]snapshot.Work{}
		own := h.inFlight()
		for name, w := range total {
			peers[name] = w.Plus(own[name].Negate())
		}
		h.keeper.SetPeerWork(f.loop.Now(), peers)
	}
}

// inFlight is what the host has at each engine.
func (h *host) inFlight() map[string]snapshot.Work {
	out := map[string]snapshot.Work{}
	v := h.keeper.View()
	for i := range v.Runners {
		out[v.Runners[i].Name] = v.Runners[i].InFlight.Load()
	}
	return out
}
