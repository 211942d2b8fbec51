// Package daemon assembles one host from its layers: it wires the clients and
// servers of transport to the decisions of coordination, starts them in the
// order that the promises need, and shuts them down without cutting a request.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/coordination/answer"
	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/explain"
	"github.com/thymerack/thymerack/coordination/member"
	"github.com/thymerack/thymerack/coordination/order"
	"github.com/thymerack/thymerack/coordination/probe"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/rollout"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/settings"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/callerconn"
	"github.com/thymerack/thymerack/transport/elsewhere"
	"github.com/thymerack/thymerack/transport/front"
	"github.com/thymerack/thymerack/transport/measure"
	"github.com/thymerack/thymerack/transport/operators"
	"github.com/thymerack/thymerack/transport/peer"
	"github.com/thymerack/thymerack/transport/platform"
	"github.com/thymerack/thymerack/transport/upstreams"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// Bounds of what one host keeps.
const (
	// namedCustomers have metrics of their own; the rest share a label.
	namedCustomers = 200
	// keptDecisions stay in memory for `why`.
	keptDecisions = 20000
	// explainInterval is the time between two batches of decisions.
	explainInterval = 10 * time.Second
	// probeFailures in a row keep new work from a runner.
	probeFailures = 3
	// probesAtOnce bounds the probes under way.
	probesAtOnce = 32
	// feedPause is waited after a failed read of the platform's list.
	feedPause = 500 * time.Millisecond
	// leaveTimeout bounds the last writes of a host whose requests are finished.
	leaveTimeout = 10 * time.Second
)

// Daemon is one host.
type Daemon struct {
	settings settings.Settings
	log      *slog.Logger
	id       state.HostID
	clock    state.Clock
	rnd      *rand.Rand

	keeper   *snapshot.Keeper
	metrics  *measure.Set
	platform *platform.Client
	upstream *upstreams.Client
	// advice is what upstreams ask of this host.
	advice  *backpressure.Registry
	book    *loggedBook
	answers *answer.Registry
	watcher *order.Watcher
	prober  *probe.Prober
	decide  *decisions
	front   *front.Server

	member     *member.Manager
	peers      *peer.Client
	peerServer *peer.Server
	// store is the platform's, and tells the membership of every answer.
	store     store.Store
	rollout   *rollout.Manager
	policies  *policies
	operators *operators.API
	level     *slog.LevelVar
	desk      *order.Requester
	planners  *planners
	roles     *roles
	elsewhere *elsewhere.Finder
	// crashes finds upstreams that crashed, quarantine keeps requests that do it from them.
	crashes    *crash.Detector
	quarantine *quarantine.Registry
	endCrashes context.CancelFunc
	// listed are all upstreams of the platform's list, by name.
	listed atomic.Pointer[map[string]state.Upstream]
	// subsetFor are the services for whose planner this host contended when its
	// subset was chosen; the list's feed alone uses it.
	subsetFor []string
	// joined is set once the host is a member or sponsored and knows the orders.
	joined atomic.Bool

	// loops are those that end with the process's background context.
	loops []loop
}

// loop is a function that runs until its context ends, with a name for the log.
type loop struct {
	name string
	run  func(ctx context.Context) error
}

// New assembles a host; nothing runs yet. Operators change level at run time.
func New(s settings.Settings, log *slog.Logger, level *slog.LevelVar) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		log:      log.With("host", s.Host.Name),
		level:    level,
		id:       state.HostID{Name: s.Host.Name, Incarnation: uuid.Must(uuid.NewV7()).String()},
		clock:    wallclock.Clock{},
		rnd:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		keeper:   snapshot.NewKeeper(),
		metrics:  measure.New(namedCustomers),
	}
	d.policies = &policies{d: d}
	steps := []func() error{
		d.newClients, d.newFleet, d.newQuarantine, d.newCoordination, d.newRollout, d.newOrders, d.newRoles,
		d.newElsewhere, d.newOperators, d.newFront, d.newGauges,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Daemon) newClients() error {
	var err error
	s := d.settings
	d.platform, err = platform.New(platform.Options{
		Addr: s.Platform.Addr, Caller: s.Host.Name, Timeout: s.Platform.Timeout, WatchWait: s.Platform.WatchWait,
		CallsPerSecond: s.Platform.CallsPerSecond, Burst: s.Platform.Burst,
	})
	if err != nil {
		return err
	}
	d.advice, err = backpressure.New(backpressure.Options{
		Clock: d.clock, Log: d.log, Observer: d.metrics, Broadcast: func(backpressure.Notice) {}, OnLeaving: func(state.InstanceID) {},
	})
	if err != nil {
		return err
	}
	d.upstream, err = upstreams.New(upstreams.Options{Backoff: d.rests})
	return err
}

// rests notes that a run of an upstream wants no work of this host for so long. Limits, and that
// it leaves, are no part of what upstreams say in their answers: the list tells of the latter.
func (d *Daemon) rests(u state.Upstream, rest time.Duration) {
	d.advice.Record(runOf(u), d.clock.Now(), backpressure.Advice{Backoff: rest}, true)
}

func (d *Daemon) restsUntil(r *snapshot.Runner) time.Time {
	return d.advice.BackoffUntil(runOf(r.Upstream).ID)
}

// newRand returns a random source of its own for one component.
func (d *Daemon) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(d.rnd.Uint64(), d.rnd.Uint64()))
}

func (d *Daemon) add(name string, run func(ctx context.Context) error) {
	d.loops = append(d.loops, loop{name, run})
}

// Run serves until ctx ends, then shuts down: unready first, every request
// finished however long it takes, then gone. Ending cut stops the wait.
func (d *Daemon) Run(ctx, cut context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer d.endCrashes()
	callers, err := listen("callers.listen", d.settings.Callers.Listen)
	if err != nil {
		return err
	}
	peers, err := listen("peers.listen", d.settings.Peers.Listen)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	d.add("peers", func(ctx context.Context) error { return d.peerServer.Serve(ctx, peers) })
	var group conc.WaitGroup
	for _, l := range d.loops {
		group.Go(func() { d.runLogged(background, l) })
	}
	group.Go(func() { d.join(ctx) })
	group.Go(func() { wallclock.Watch(background) })
	serving := make(chan error, 1)
	accepting := callerconn.NewRetryListener(callers, callerconn.RetryOptions{Use: "callers", Log: d.log})
	group.Go(func() { serving <- d.front.Serve(accepting) })
	d.log.Info("serving", "callers", callers.Addr().String(), "peers", peers.Addr().String(), "incarnation", d.id.Incarnation)
	select {
	case <-ctx.Done():
		d.shutdown(cut)
	case err = <-serving:
		err = fmt.Errorf("the callers' listener ended: %w", err)
	}
	closeErr := d.front.Close()
	stop()
	group.Wait()
	d.peers.Close()
	return errors.Join(err, closeErr)
}

func listen(key, addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%s %s can't be used (%w); choose a free address", key, addr, err)
	}
	return ln, nil
}

// join makes the host a member before it serves.
func (d *Daemon) join(ctx context.Context) {
	standing, err := d.member.Join(ctx)
	if err != nil {
		d.log.Error("the host could not join the fleet", "error", err)
		return
	}
	d.joined.Store(true)
	d.log.Info("joined", "standing", standing.String())
}

func (d *Daemon) runLogged(ctx context.Context, l loop) {
	if err := l.run(ctx); err != nil && ctx.Err() == nil {
		d.log.Error("a loop ended early", "loop", l.name, "error", err)
	}
}

// shutdown leaves without cutting a request.
func (d *Daemon) shutdown(cut context.Context) {
	d.log.Info("shutting down", "in_flight", d.front.InFlight())
	d.front.Unready()
	_ = d.clock.Sleep(cut, d.settings.Callers.UnreadyGrace)
	if err := d.front.Drain(cut); err != nil {
		d.log.Warn("shutdown was cut short by a second signal", "in_flight", d.front.InFlight())
		return
	}
	d.log.Info("every request is finished")
	ctx, stop := context.WithTimeout(cut, leaveTimeout)
	defer stop()
	if err := d.decide.claimer.Drain(ctx); err != nil {
		d.log.Warn("outcomes of claims are not recorded", "error", err)
	}
	if err := d.member.Leave(ctx); err != nil {
		d.log.Warn("the host left without telling everybody", "error", err)
	}
}

func (d *Daemon) newCoordination() error {
	s := d.settings
	book, err := explain.New(explain.Options{
		Store: d.store, Clock: d.clock, Host: s.Host.Name, MaxRecords: keptDecisions,
		FlushInterval: explainInterval, MaxBatchBytes: state.MaxConfigBytes, Log: d.log,
	})
	if err != nil {
		return err
	}
	d.book = &loggedBook{Recorder: book, log: d.log}
	d.add("explain", d.book.Run)
	d.answers = answer.NewRegistry(d.clock, s.Streams.AbandonAfter, s.Streams.KeepEnded)
	d.prober, err = probe.New(probe.Options{
		Keeper: d.keeper, Checker: d.upstream, Clock: d.clock,
		PerSecond: s.Probes.PerSecond, PerRequest: s.Probes.PerRequest, Requests: func() uint64 { return d.front.Requests() },
		MinInterval: s.Probes.MinInterval, Timeout: s.Probes.Timeout, FailureThreshold: probeFailures, MaxConcurrent: probesAtOnce,
	})
	if err != nil {
		return err
	}
	d.add("probe", d.prober.Run)
	feed := &listFeed{lister: d.platform, clock: d.clock, log: d.log, pause: feedPause, heard: d.member.HeardPlatform, take: d.takeList}
	d.add("list", feed.Run)
	d.handleExplain()
	d.decide, err = d.newDecisions()
	return err
}

func (d *Daemon) newFront() error {
	s := d.settings
	dispatcher, err := dispatch.New(dispatch.Options{
		Keeper: d.keeper, Engines: d.upstream, Services: d.upstream,
		Router: d.decide.router, Admitter: d.decide.admitter, Retries: d.decide.retries,
		Claimer: d.decide.claimer, Recorder: d.book, Meter: d.metrics, Clock: d.clock, Crashes: brokenWork{d}, Quarantine: d.quarantine,
		NewID: d.newAttemptID, Host: s.Host.Name, MaxAttempts: s.Streams.MaxAttempts,
		StallTimeout: s.Streams.StallTimeout, SplitPromptTokens: s.Streams.PrefillApartTokens,
		RecordTimeout: s.Claims.RecordTimeout, Isolated: d.member.Isolated,
	})
	if err != nil {
		return err
	}
	d.front, err = front.New(front.Options{
		Host: s.Host.Name, FailureDomain: s.Host.FailureDomain, Keeper: d.keeper, Dispatcher: &loggedDispatcher{Dispatcher: dispatcher, d: d},
		Estimator: d.decide.estimator, Answers: d.answers, Elsewhere: d.elsewhere, Observer: d.metrics,
		Policies: d.policies, Log: d.log, ProbeInterval: s.Streams.ProbeInterval,
		Limits: front.Limits{
			BodyBytes: s.Callers.BodyBytes, HeaderBytes: s.Callers.HeaderBytes, ReadTimeout: s.Callers.ReadTimeout,
			WriteTimeout: s.Callers.WriteTimeout, IdleTimeout: s.Callers.IdleTimeout,
			Connections: s.Callers.Connections, MaxTokens: s.Callers.MaxTokens,
		},
		Isolated: d.member.Isolated,
		Ready:    d.ready,
		Mount:    d.operators.Mount,
	})
	return err
}

func (d *Daemon) newAttemptID() string {
	return d.settings.Host.Name + "." + uuid.Must(uuid.NewV7()).String()
}

// ready reports that the host has joined and has a configuration.
func (d *Daemon) ready() bool { return d.joined.Load() && d.keeper.View().Config != nil }
