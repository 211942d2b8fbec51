package routed

import (
	"context"
	"math/rand/v2"

	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/liveness"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/origin"
	"github.com/thymerack/thymerack/coordination/outlier"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/quota"
	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/advices"
	"github.com/thymerack/thymerack/transport/occupancies"
	"github.com/thymerack/thymerack/transport/origins"
	"github.com/thymerack/thymerack/transport/outliers"
	"github.com/thymerack/thymerack/transport/peer"
	"github.com/thymerack/thymerack/transport/pings"
	"github.com/thymerack/thymerack/transport/quarantines"
	"github.com/thymerack/thymerack/transport/quotas"
	"github.com/thymerack/thymerack/transport/relay"
	"github.com/thymerack/thymerack/transport/roles"
)

// buildPeers creates the components for calls between hosts. Hosts identify each other by their
// entries in the store; the settings provide no shared key.
func (h *Host) buildPeers() error {
	var err error
	h.peers, err = peer.NewClient(peer.ClientOptions{
		Self: h.id, MaxBodyBytes: relay.MaxBodyBytes, Log: h.log,
		DialTimeout: peerDialTimeout, GreetTimeout: peerDialTimeout, SilenceTimeout: peerSilenceTimeout,
	})
	if err != nil {
		return err
	}
	h.peerServer, err = peer.NewServer(peer.ServerOptions{
		Self: h.id, MaxBodyBytes: relay.MaxBodyBytes, Log: h.log, GreetTimeout: peerDialTimeout, SilenceTimeout: peerSilenceTimeout,
	})
	if err != nil {
		return err
	}
	h.fanout, err = fanout.New(fanout.Options{
		Self: h.members.self(), RunID: h.id.String(), Hosts: h.members.All, Peers: relay.Peers{Client: h.peers}, Clock: h.clock, Rand: newRand(), Log: h.log, Delays: h.delays(),
		Copies: map[string]*follow.Mirror{platform.KindConfig: h.configMirror, platform.KindInstances: h.instanceMirror, kindHosts: h.members.mirror, quarantine.Kind: h.heldMirror},
	})
	if err != nil {
		return err
	}
	relay.Register(h.peerServer, h.fanout)
	pingers := pings.Peers{Client: h.peers}
	pings.Register(h.peerServer, pingers)
	h.monitor, err = liveness.New(liveness.Options{
		Self: h.members.self(), Hosts: func() []liveness.Entry { return *h.members.entries.Load() },
		Monitors: h.fanout.Monitors, LastContact: h.fanout.LastFetchFrom, Peers: pingers, Remove: h.members.remove, Clock: h.clock, Log: h.log,
	})
	if err != nil {
		return err
	}
	return h.buildGate()
}

// newRand returns a randomly seeded generator.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// buildGate creates the gate that requests admission from the owners of engines.
func (h *Host) buildGate() error {
	tracker := occupancy.NewTracker(h.clock, h.log)
	h.tracker = tracker
	h.metrics.gauge("thymerack_memory_refusals_total", func() float64 { return float64(tracker.MemoryRefusals()) })
	roles.Subscribe(h.fanout, h.fleet.ExpectRole, h.log)
	advices.Subscribe(h.fanout, h.advice.HandleNotice, h.log)
	var err error
	h.gate, err = occupancy.NewGate(occupancy.GateOptions{
		Tracker: tracker, Peers: occupancies.Peers{Client: h.peers}, Self: h.members.addr(h.settings.IP), Hosts: h.members.All,
		Clock: h.clock, Log: h.log,
	})
	if err != nil {
		return err
	}
	occupancies.Register(h.peerServer, tracker, h.gate)
	if err := h.buildLoad(tracker); err != nil {
		return err
	}
	if err := h.buildQuotas(); err != nil {
		return err
	}
	if err := h.buildOrigins(); err != nil {
		return err
	}
	return h.buildOutliers()
}

// buildQuotas creates the limiter of customers' quotas and this host's ledger of them.
func (h *Host) buildQuotas() error {
	ledger := quota.NewLedger(h.clock, h.gate.EligibleSince)
	quotas.Register(h.peerServer, ledger)
	var err error
	h.quotas, err = quota.NewLimiter(quota.LimiterOptions{
		Self: h.members.addr(h.settings.IP), Ledger: ledger, Peers: quotas.Peers{Client: h.peers}, HostCount: h.members.Hosts,
		Replicas: func(customer string) []string { return h.gate.Replicas(customer, quota.ReplicaCount) },
		Tolerance: quota.Tolerance{
			Window: h.settings.Bounds.QuotaWindow, Overage: h.settings.Bounds.QuotaOverage, Units: h.settings.Bounds.QuotaSlack,
		},
		Observer: h.metrics, Clock: h.clock, Log: h.log,
	})
	return err
}

// buildOrigins creates the registry of the versions that began streams.
func (h *Host) buildOrigins() error {
	history, table := origin.NewHistory(h.clock), origin.NewTable(h.clock)
	var err error
	h.versions, err = origin.NewLedger(origin.LedgerOptions{
		Self: h.members.addr(h.settings.IP), Store: h.store, History: history, Writes: h.writesVersions, Epoch: h.epochs.Known, Hosts: h.members.Hosts,
		OnNoted: h.fleet.SetNoted, Clock: h.clock, Log: h.log,
	})
	if err != nil {
		return err
	}
	h.epochs.OnRestored(h.versions.Recheck)
	h.origins, err = origin.New(origin.Options{
		Self: h.members.addr(h.settings.IP), Table: table, History: history, Peers: origins.Peers{Client: h.peers},
		Replicas: func(id string) []string { return h.gate.Replicas(id, origin.ReplicaCount) },
		Ledger:   h.versions, Observer: h.metrics, Clock: h.clock, Log: h.log,
	})
	if err != nil {
		return err
	}
	origins.Register(h.peerServer, h.origins, table)
	h.metrics.gauge("thymerack_stream_origins", func() float64 { return float64(table.Len()) })
	return nil
}

// writesVersions reports whether this host writes the services' versions to the store: it is one of the given number, and its list
// of runners is as new as a copy that is watched without a fault can be, just before the answer to a watch that brings nothing new.
func (h *Host) writesVersions(writers int) bool {
	d := h.delays()
	listAge := h.clock.Now().Sub(h.instanceMirror.ProvenAt())
	return listAge <= d.WatchWait+d.AnswerTimeout+d.Coalesce && h.gate.IsAmongFirst(writers)
}

// buildOutliers creates the detector of silent runners, whose verdicts are broadcast to all hosts.
func (h *Host) buildOutliers() error {
	ctx, cancel := context.WithCancel(context.Background())
	h.stopDetectors = cancel
	var err error
	h.outliers, err = outlier.New(ctx, outlier.Options{
		Self: h.members.addr(h.settings.IP), Owner: h.gate.Owner, Peers: outliers.Peers{Client: h.peers}, Clock: h.clock, Log: h.log,
		Siblings: h.fleet.ServiceSize,
		Probe: func(ctx context.Context, id state.InstanceID) outlier.Finding {
			r := h.fleet.Runner(id)
			if r == nil {
				return outlier.Silent // no verdict is published on a runner that isn't listed
			}
			return h.pool.Find(ctx, r.Instance)
		},
		Publish: func(v outlier.Verdict) {
			if err := outliers.Publish(ctx, h.fanout, v); err != nil {
				h.log.Error("verdict on silent runner not broadcast", "instance", v.Instance, "cause", err.Error())
			}
		},
	})
	if err != nil {
		return err
	}
	outliers.Register(h.peerServer, h.outliers.HandleReport)
	outliers.Subscribe(h.fanout, h.applyVerdict, h.log)
	return h.buildQuarantine(ctx)
}

// buildQuarantine creates the quarantine that blocks requests that crash runners, until ctx ends.
func (h *Host) buildQuarantine(ctx context.Context) error {
	var err error
	h.quarantine, err = quarantine.New(quarantine.Options{
		Host: h.settings.Host, Table: quarantine.NewTable(h.clock), Store: h.store, FollowsStore: h.fanout.FollowsStore, Clock: h.clock, Log: h.log,
		Publish: func(n quarantine.Notice) {
			if err := quarantines.Publish(ctx, h.fanout, n); err != nil {
				h.log.Error("crashes not broadcast", "crashes", len(n.Crashes), "held", len(n.Held), "cause", err.Error())
			}
		},
	})
	if err != nil {
		return err
	}
	quarantines.Subscribe(h.fanout, h.quarantine.Receive, h.log)
	return h.buildCrashes(ctx)
}

// buildCrashes creates the detector of crashed runners, which runs until ctx ends.
func (h *Host) buildCrashes(ctx context.Context) error {
	var err error
	h.crashes, err = crash.New(ctx, crash.Options{
		Probe:    func(ctx context.Context, i *state.Instance) crash.RunStatus { return h.pool.Probe(ctx, i) },
		Listed:   func(i *state.Instance) bool { return h.fleet.Accepts(i.ID) },
		Replaced: h.fleet.Replaced,
		OnCrash: func(r crash.Report) {
			h.metrics.countCrash(r)
			h.quarantine.ReportCrash(r.Instance.ID, h.clock.Now(), r.Suspects)
		},
		Clock: h.clock, Log: h.log,
	})
	return err
}

// applyVerdict applies the fleet's verdict on whether a runner is silent.
func (h *Host) applyVerdict(v outlier.Verdict) {
	if v.Silent {
		h.fleet.ApplyReport(v.Instance, v.TTL)
		return
	}
	h.fleet.ApplyReport(v.Instance, 0)
}
