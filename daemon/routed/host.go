package routed

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/thymerack/thymerack/coordination/auth"
	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/bodies"
	"github.com/thymerack/thymerack/coordination/buffers"
	"github.com/thymerack/thymerack/coordination/connlease"
	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/liveness"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/origin"
	"github.com/thymerack/thymerack/coordination/outlier"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/quota"
	"github.com/thymerack/thymerack/coordination/reach"
	"github.com/thymerack/thymerack/coordination/scale"
	"github.com/thymerack/thymerack/coordination/stages"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/coordination/usage"
	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/advices"
	"github.com/thymerack/thymerack/transport/gateway"
	"github.com/thymerack/thymerack/transport/httpclient"
	"github.com/thymerack/thymerack/transport/peer"
	"github.com/thymerack/thymerack/transport/roles"
	"github.com/thymerack/thymerack/transport/runners"
	"github.com/thymerack/thymerack/transport/tunnel"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// Host is one serving host with all its components. Create it with New and start it with Run.
type Host struct {
	options  Options
	settings platform.Settings
	// id identifies this run of the host to its peers and in the lease.
	id    state.HostID
	log   *slog.Logger
	clock wallclock.Clock

	store *platform.Store
	// epochs tracks how often the store was restored.
	epochs *platform.Epochs
	// boundedStore is the store with watches short enough to keep the bounds on changes, and
	// proofStore with watches short enough to prove in time that keys are still valid.
	boundedStore   *platform.Store
	proofStore     *platform.Store
	keys           *auth.Checker
	members        *members
	config         *follow.Config
	configMirror   *follow.Mirror
	instances      *follow.Instances
	instanceMirror *follow.Mirror
	fleet          *placement.Fleet
	pool           *runners.Pool
	// conns bounds the connections to runners, and lends and borrows parts of them.
	conns *connlease.Table
	// links keeps what this host knows of its own links to runners, and tunnels connects to runners for
	// other hosts.
	links   *reach.Tracker
	tunnels *tunnel.Server
	// advice holds the backpressure signals of runners: limits, backoff and leaving.
	advice  *backpressure.Registry
	gateway *gateway.Server
	// buffers bounds what is held of answers, and bodies what is held of requests' bodies.
	buffers *buffers.Pool
	bodies  *bodies.Pool
	// knownMaxConns maps services to the last number of connections that their runners accept.
	knownMaxConns sync.Map
	// lease is the lease of the duties that one host at a time performs.
	lease   *lease.Lease
	manager *stages.Manager
	// pusher pushes the usage counts of this host to collectors, and reporter reports those of all
	// hosts. Both are nil if usage isn't reported.
	pusher   *usage.Pusher
	reporter *usage.Reporter
	// scaler sets the number of runners of each service; nil if the settings don't enable it.
	scaler  *scale.Manager
	duties  platform.Duties
	metrics *hostMetrics
	ready   *readiness
	// peers calls other hosts, peerServer answers them.
	peers      *peer.Client
	peerServer *peer.Server
	// fanout updates the mirrors of the store, from the store or from peers.
	fanout *fanout.Node
	// monitor removes failed hosts from the list of hosts.
	monitor *liveness.Monitor
	// outliers detects runners that don't answer, until stopDetectors is called.
	outliers *outlier.Detector
	// crashes detects runners that crashed, until stopDetectors is called.
	crashes       *crash.Detector
	stopDetectors context.CancelFunc
	// quarantine blocks requests that crash runners, and heldMirror mirrors the store's list of
	// these held requests.
	quarantine *quarantine.Registry
	heldMirror *follow.Mirror
	// gate requests admission of prompts from the owners of engines, which count them over all hosts.
	gate *occupancy.Gate
	load hostLoad
	// tracker holds the counts that this host owns.
	tracker *occupancy.Tracker
	// origins knows which version of its runner's software began each stream, and versions notes at the store which
	// there were.
	origins  *origin.Registry
	versions *origin.Ledger
	// quotas admits requests within their customers' quotas.
	quotas *quota.Limiter
}

// New creates a host and wires its components; nothing is started. It returns an error if an
// option is invalid.
func New(o Options) (*Host, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	h := &Host{options: o, settings: o.Settings, log: o.Log.With("host", o.Settings.Host), metrics: newHostMetrics()}
	h.id = state.HostID{Name: h.settings.Host, Incarnation: uuid.Must(uuid.NewV7()).String()}
	for _, build := range []func() error{h.buildStore, h.buildMirrors, h.buildPeers, h.buildPool, h.buildKeys, h.buildGateway, h.buildLease, h.buildManager, h.buildDuties} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	h.ready = newReadiness(h.isReady)
	h.buildGauges()
	return h, nil
}

// buildGauges registers the gauges, whose values are read when the metrics are scraped.
func (h *Host) buildGauges() {
	for kind, m := range map[string]*follow.Mirror{platform.KindConfig: h.configMirror, platform.KindInstances: h.instanceMirror, kindHosts: h.members.mirror, quarantine.Kind: h.heldMirror} {
		h.buildMirrorGauges(kind, m)
	}
	h.metrics.gauge("thymerack_store_epoch", func() float64 { return float64(h.epochs.Known()) })
	h.metrics.gauge("thymerack_config_version", h.configVersion)
	h.metrics.gauge("thymerack_follows_store", func() float64 {
		if h.fanout.FollowsStore() {
			return 1
		}
		return 0
	})
	h.metrics.gauge("thymerack_key_proof_age_seconds", func() float64 { return h.clock.Now().Sub(h.configProvenAt()).Seconds() })
	h.metrics.gauge("thymerack_hosts", func() float64 { return float64(h.members.Hosts()) })
	h.metrics.gauge("thymerack_instances_unconfirmed", func() float64 { return float64(h.instances.Unconfirmed()) })
	h.metrics.gauge("thymerack_quarantined", func() float64 { return float64(h.quarantine.Size()) })
	h.metrics.gauge(`thymerack_runners_asking{what="limit"}`, func() float64 { return float64(h.advice.Count().Limited) })
	h.metrics.gauge(`thymerack_runners_asking{what="leaving"}`, func() float64 { return float64(h.advice.Count().Leaving) })
	h.metrics.gauge(`thymerack_runners_asking{what="rest"}`, func() float64 { return float64(h.advice.Count().BackingOff) })
	h.metrics.gauge("thymerack_held_answer_bytes", func() float64 { return float64(h.buffers.Held()) })
	h.metrics.gauge("thymerack_held_request_bytes", func() float64 { return float64(h.bodies.Held()) })
	h.metrics.gauge("thymerack_requests_waiting_for_memory", func() float64 { return float64(h.bodies.Waiting()) })
	h.metrics.gauge("thymerack_request_memory_waits_total", func() float64 { return float64(h.bodies.Waits()) })
	h.metrics.gauge("thymerack_slow_readers", func() float64 { return float64(h.gateway.SlowReaders().Count()) })
	h.metrics.gauge("thymerack_slow_reader_bytes", func() float64 { return float64(h.gateway.SlowReaders().Held()) })
	h.metrics.gauge("thymerack_slow_readers_ended_total", func() float64 { return float64(h.gateway.SlowReaders().Ended()) })
	h.metrics.gauge("thymerack_log_lines_dropped_total", func() float64 { return float64(h.options.LogLinesDropped()) })
}

// buildMirrorGauges registers the gauges of the mirror of one kind of object.
func (h *Host) buildMirrorGauges(kind string, m *follow.Mirror) {
	h.metrics.gauge(fmt.Sprintf(`thymerack_store_lost{kind=%q}`, kind), func() float64 {
		if m.Lost() {
			return 1
		}
		return 0
	})
	h.metrics.gauge(fmt.Sprintf(`thymerack_copy_revision{kind=%q}`, kind), func() float64 { return float64(store.RevisionOf(m.Revision())) })
	h.metrics.gauge(fmt.Sprintf(`thymerack_copy_epoch{kind=%q}`, kind), func() float64 { return float64(store.EpochOf(m.Revision())) })
	h.metrics.gauge(fmt.Sprintf(`thymerack_copy_age_seconds{kind=%q}`, kind), func() float64 { return h.clock.Now().Sub(m.ProvenAt()).Seconds() })
	for answer, count := range map[string]func(follow.Answers) uint64{
		"current": func(a follow.Answers) uint64 { return a.Current },
		"gap":     func(a follow.Answers) uint64 { return a.Gaps },
		"older":   func(a follow.Answers) uint64 { return a.Older },
	} {
		h.metrics.gauge(fmt.Sprintf(`thymerack_store_answers_total{kind=%q,answer=%q}`, kind, answer), func() float64 { return float64(count(m.Answers())) })
	}
}

// configVersion returns the version of the configuration in force; 0 if there is none yet.
func (h *Host) configVersion() float64 {
	table := h.config.Table()
	if table == nil {
		return 0
	}
	return float64(table.Version)
}

// buildStore creates the clients of the store and the list of hosts.
func (h *Host) buildStore() error {
	client, err := httpclient.New(httpclient.Options{
		Addr: h.settings.StoreAddr, DialTimeout: storeTimeout, WriteTimeout: storeTimeout,
		UserTimeout: storeUserTimeout, KeepAlive: storeKeepAlive, KeepAliveCount: storeKeepAliveCount,
		MaxConns: storeMaxConns, MaxIdle: storeMaxIdle, MaxHeaderBytes: storeMaxHeaderBytes,
	})
	if err != nil {
		return err
	}
	h.epochs = platform.NewEpochs(h.clock, h.log)
	o := platform.StoreOptions{
		Client: client, Host: h.settings.StoreAddr, Epochs: h.epochs, Timeout: storeTimeout, ListTimeout: listTimeout, WatchWait: watchWait,
	}
	h.store = platform.NewStore(o)
	o.WatchWait, o.Timeout = h.delays().WatchWait, h.delays().AnswerTimeout
	h.boundedStore = platform.NewStore(o)
	o.WatchWait = h.proofWatchWait()
	h.proofStore = platform.NewStore(o)
	h.members = newMembers(h.store, h.settings, h.log)
	return nil
}

// bounds returns the bounds on the propagation of changes of instances and of the configuration.
func (h *Host) bounds() propagation.Bounds {
	inForce := h.settings.Bounds.Drain
	if config := h.settings.Bounds.ConfigInForce; config > 0 {
		inForce = min(inForce, config)
	}
	return propagation.Bounds{InForce: inForce, Contact: h.settings.Bounds.Contact}
}

// delays returns the delays of the steps by which changes of instances and of the configuration
// propagate to this host.
func (h *Host) delays() propagation.Delays { return propagation.New(h.bounds()) }

// buildMirrors creates the mirrors of the store and the components that they update.
func (h *Host) buildMirrors() error {
	delays := h.delays()
	var err error
	h.advice, err = backpressure.New(backpressure.Options{Clock: h.clock, Log: h.log, Observer: h.metrics, Broadcast: h.broadcastAdvice, OnLeaving: func(id state.InstanceID) { h.instances.Republish(id) }})
	if err != nil {
		return err
	}
	h.links, err = reach.New(reach.Options{Clock: h.clock, Log: h.log, Observer: &linkMetrics{
		metrics: h.metrics, counts: func(g reach.Group) reach.Counts { return h.links.Counts(g) }, onChange: func(id state.InstanceID) { h.pool.CloseIdle(id) },
	}})
	if err != nil {
		return err
	}
	h.fleet = placement.NewFleet(placement.Options{Clock: h.clock, FailureDomain: h.settings.FailureDomain, Advice: h.advice, Links: h.links})
	h.config = follow.NewConfig(platform.ConfigName, platform.DecodeConfig, h.log)
	h.instances = follow.NewInstances(follow.InstancesOptions{
		Clock: h.clock, Log: h.log, Decode: platform.DecodeInstance, Publish: h.publish, OnUnusable: h.metrics.countUnusableEntry, OnDeparture: h.metrics.observeDeparture,
		EntriesMayBeMissing: func() bool { return h.instanceMirror.UnavailableWithin(delays.Hold) },
		HoldFor:             delays.OutageHold, Leaving: h.advice.Leaving, HeartbeatTimeout: missedHeartbeats*cmp.Or(h.settings.Heartbeat, defaultHeartbeatInterval) + heartbeatSlack,
	})
	retryGroup := &follow.RetryGroup{}
	h.configMirror, err = follow.New(follow.Options{RetryGroup: retryGroup, Store: h.proofStore, Clock: h.clock, Log: h.log, Kind: platform.KindConfig, Delays: delays, OnChange: h.config.Update, CoalesceDelay: min(configCoalesceDelay, delays.Coalesce), RecoveryTime: storeRecoveryTime, Newer: newerConfig, Notify: h.notifyFollowers})
	if err != nil {
		return err
	}
	h.instanceMirror, err = follow.New(follow.Options{RetryGroup: retryGroup, Store: h.boundedStore, Clock: h.clock, Log: h.log, Kind: platform.KindInstances, Delays: delays, OnDelta: h.instances.Apply, CoalesceDelay: delays.Coalesce, Notify: h.notifyFollowers})
	if err != nil {
		return err
	}
	h.members.mirror, err = follow.New(follow.Options{RetryGroup: retryGroup, Store: h.store, Clock: h.clock, Log: h.log, Kind: kindHosts, Delays: delays, OnChange: h.applyHosts, CoalesceDelay: hostsCoalesceDelay, Notify: h.notifyFollowers})
	if err != nil {
		return err
	}
	// Held requests are broadcast to all hosts at once, so a long watch suffices.
	h.heldMirror, err = follow.New(follow.Options{RetryGroup: retryGroup, Store: h.store, Clock: h.clock, Log: h.log, Kind: quarantine.Kind, Delays: delays, OnChange: h.applyHeldRequests, CoalesceDelay: holdsCoalesceDelay, Notify: h.notifyFollowers})
	return err
}

// newerConfig reports whether configuration a has a higher version than b. A configuration that
// can't be decoded is never newer.
func newerConfig(a, b store.Object) bool {
	first, err := platform.DecodeConfig(a.Value)
	if err != nil {
		return false
	}
	second, err := platform.DecodeConfig(b.Value)
	return err != nil || first.Version > second.Version
}

// applyHosts applies a new copy of the list of hosts.
func (h *Host) applyHosts(c follow.Copy) {
	h.members.applyCopy(c)
	h.gate.EligibleSince() // from now on this host knows the replicas of the new list
	h.versions.Wake()      // it may be one of those that write the services' versions
}

// applyHeldRequests passes a new copy of the held requests to the quarantine.
func (h *Host) applyHeldRequests(c follow.Copy) { h.quarantine.ApplyCopy(c) }

// notifyFollowers wakes the hosts that wait for changes from this host.
func (h *Host) notifyFollowers() { h.fanout.WakeFollowers() }

// broadcastAdvice sends a runner's backpressure notice to all hosts.
func (h *Host) broadcastAdvice(n backpressure.Notice) {
	if err := advices.Publish(context.Background(), h.fanout, n); err != nil {
		h.log.Error("backpressure notice not broadcast", "instance", n.Instance, "what", string(n.Kind), "cause", err.Error())
	}
}

// publish applies changes of the list of instances to the fleet, the connection pool and the
// backpressure registry.
func (h *Host) publish(c state.InstanceChanges) {
	h.fleet.Apply(c)
	versions := h.fleet.Versions()
	h.metrics.setVersions(versions)
	h.origins.Update(origin.ListingOf(versions))
	h.pool.Retain(h.fleet.Accepts)
	h.links.Retain(h.fleet.Accepts)
	h.advice.UpdateListed(func(id state.InstanceID) bool { return h.fleet.Runner(id) != nil })
}

// buildPool creates the pool of connections to runners.
func (h *Host) buildPool() error {
	if err := h.buildConns(); err != nil {
		return err
	}
	paths, err := h.buildPaths()
	if err != nil {
		return err
	}
	h.pool, err = runners.New(runners.Options{Codec: platform.Codec{}, Conns: h.conns, MaxHeaderBytes: maxHeaderBytes, Heard: h.advice.Record, Links: h.links, Paths: paths})
	return err
}

// maxConns returns the number of connections that a runner of a service accepts. Requests of an earlier
// configuration may go on at a service that the one in force doesn't name: its last number holds.
func (h *Host) maxConns(service string) int {
	known, _ := h.knownMaxConns.Load(service)
	if table := h.config.Table(); table != nil {
		if spec := table.Service(service); spec != nil && spec.MaxConns > 0 {
			if known != spec.MaxConns {
				h.knownMaxConns.Store(service, spec.MaxConns)
			}
			return spec.MaxConns
		}
	}
	if known != nil {
		return known.(int)
	}
	return defaultMaxConns
}

// buildGateway creates the server for callers and the dispatcher of their requests.
func (h *Host) buildGateway() error {
	budget, err := h.newRetryLimiter()
	if err != nil {
		return err
	}
	memory := float64(h.settings.Limits.MemoryBytes)
	h.buffers, err = buffers.New(buffers.Options{MaxBytes: int(heldShare * memory), MaxAnswerBytes: int(heldAnswerShare * memory)})
	if err != nil {
		return err
	}
	dispatcher, err := forward.New(forward.Options{
		Upstream: h.pool, Placer: h.fleet, Gate: h.gate, Budget: budget, Clock: h.clock, Log: h.log, SplitTokens: h.options.SplitTokens,
		Observer: h.metrics, Outliers: h.outliers, Crashes: h.crashes, Quarantine: h.quarantine, Quotas: h.quotas, Origins: h.origins, Advice: h.advice, Buffers: h.buffers,
	})
	if err != nil {
		return err
	}
	h.bodies, err = bodies.New(bodies.Options{
		MaxBytes: int(callersShare * memory), Taken: func() int { return callerConnBytes * h.gateway.Connections() }, MinBytes: int(minBodiesShare * memory),
		MaxWait: bodyWait, Clock: h.clock,
	})
	if err != nil {
		return err
	}
	h.gateway, err = gateway.New(gateway.Options{
		Bodies: h.bodies,
		Codec:  platform.Codec{}, Dispatcher: dispatcher, Keys: h.keys, Table: h.config.Table, Observer: h.metrics, Log: h.log,
		MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: maxHeaderBytes,
		MaxConnections:  max(h.settings.Limits.Descriptors-reservedFDs, reservedFDs),
		SlowReaderBytes: int64(slowReaderShare * float64(h.settings.Limits.MemoryBytes)),
	})
	return err
}

// buildManager creates the manager that sets the roles of engines.
func (h *Host) buildManager() error {
	var err error
	h.manager, err = stages.New(stages.Options{
		Engines: platform.Engines{Caller: runners.Direct{Pool: h.pool}, Timeout: dutyCallTimeout}, Lease: h.lease, Shares: stages.PrefillShares{Store: h.store}, Clock: h.clock, Log: h.log, Host: h.settings.Host,
		Services: h.engineServices, Instances: h.engines,
		Resizing:            h.resizing,
		Speed:               h.fleetSpeed,
		Announce:            h.announce,
		InitialPrefillShare: h.options.PrefillShare,
	})
	return err
}

// resizing reports whether the number of engines of a service is about to change.
func (h *Host) resizing(service string) bool { return h.scaler != nil && h.scaler.Resizing(service) }

// announce announces to all hosts, including this one, which engines are about to change role.
func (h *Host) announce(ctx context.Context, changes []stages.RoleChange) {
	byRole := map[state.Role][]state.InstanceID{}
	for _, c := range changes {
		byRole[c.Role] = append(byRole[c.Role], c.Instance.ID)
	}
	for role, engines := range byRole {
		if err := roles.Announce(ctx, h.fanout, engines, role, stages.AnnouncementTTL); err != nil {
			h.log.Error("change of role not announced", "engines", len(engines), "role", string(role), "cause", err.Error())
		}
	}
}

// leasePollInterval returns the interval at which this host checks whether the lease of the
// duties is free. A few hosts poll frequently. The seeds in the settings can't select them, since
// they are empty if no role serves peers of the platform's own kind.
func (h *Host) leasePollInterval() time.Duration {
	if h.gate.IsAmongFirst(frequentPollers) {
		return frequentPollInterval
	}
	return infrequentPollInterval
}

// engineServices returns the names of the services that engines serve; none while the list of
// instances isn't up to date.
func (h *Host) engineServices() []string {
	table := h.config.Table()
	if table == nil || h.instanceMirror.Lost() {
		return nil
	}
	var out []string
	for _, s := range table.Config.Services {
		if s.Engine != nil {
			out = append(out, s.Name)
		}
	}
	return out
}

// engines returns copies of the listed engines of a service.
func (h *Host) engines(service string) []state.Instance {
	var out []state.Instance
	for _, r := range h.fleet.Runners(service) {
		out = append(out, *r.Instance)
	}
	return out
}

// Reload applies changed settings. Seeds change at once; addresses and resources of the process
// stay as they were at its start.
func (h *Host) Reload(s platform.Settings) {
	h.members.setSeeds(s.Seeds)
	h.log.Info("settings reloaded", "seeds", s.Seeds)
}

// isReady reports whether the host has a configuration, a list of runners and the list of hosts, which
// tells its part of the shared limits.
func (h *Host) isReady() bool {
	return h.config.Table() != nil && h.instanceMirror.Revision() > 0 && h.members.Hosts() > 0
}
