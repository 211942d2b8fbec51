package routed

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/coordination/fleetclock"
	"github.com/thymerack/thymerack/coordination/lease"
	"github.com/thymerack/thymerack/coordination/scale"
	"github.com/thymerack/thymerack/coordination/usage"
	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/httpclient"
	"github.com/thymerack/thymerack/transport/usages"
)

// leaseName is the name of the lease of the host that performs the duties: setting the roles of
// engines, scaling runners and reporting usage. A single lease keeps polls and renewals to one
// set. Its name is that of the first duty, so that it also excludes hosts of earlier versions.
const leaseName = "engine-roles"

// buildLease creates the lease of the duties that one host at a time performs.
func (h *Host) buildLease() error {
	var err error
	h.lease, err = lease.New(lease.Options{
		Store: h.store, Clock: h.clock, Rand: newRand(),
		Name: leaseName, Holder: h.id, Machine: h.settings.Host + "@" + h.settings.IP,
		TTL: leaseTTL, PollInterval: h.leasePollInterval, Log: h.log,
		CallGap: h.settings.Bounds.LeaseTime + h.settings.Bounds.ThawTime, MaxCallTime: dutyCallTimeout, MayBeLost: h.leaseMayBeLost,
	})
	return err
}

// leaseMayBeLost reports whether the store may have lost the lease's object: it can lose
// acknowledged writes, and either this isn't the first start of the fleet or the store was
// restored.
func (h *Host) leaseMayBeLost() bool {
	return h.epochs.MayLose() && (!h.settings.FirstStart || h.epochs.Restored())
}

// buildDuties creates the components of the optional duties that the settings enable.
func (h *Host) buildDuties() error {
	if h.settings.DutiesAddr == "" {
		return nil
	}
	var err error
	if h.duties, err = h.newDutiesClient(); err != nil {
		return err
	}
	if err := h.buildUsage(); err != nil {
		return err
	}
	return h.buildScaler()
}

// buildScaler creates the manager that scales runners, if the settings enable it.
func (h *Host) buildScaler() error {
	if !h.settings.ScalesRunners {
		return nil
	}
	var err error
	h.scaler, err = scale.New(scale.Options{
		Platform: h.duties, Lease: h.lease, InitialCounts: scale.InitialCounts{Store: h.store}, Clock: h.clock, Log: h.log,
		Services: h.scalableServices, Instances: h.fleet.Instances, RequiredShare: h.options.RequiredRunnerShare,
		NoTrafficUntil: h.noTrafficUntil(),
		Load:           h.load.collector.Summary,
	})
	return err
}

// noTrafficUntil returns the time before which no requests arrive: FirstTrafficDelay after the
// first start of the deployment. It is zero at later starts, when callers are already there.
func (h *Host) noTrafficUntil() time.Time {
	if !h.settings.FirstStart || h.options.FirstTrafficDelay <= 0 {
		return time.Time{}
	}
	return h.clock.Now().Add(h.options.FirstTrafficDelay)
}

// scalableServices returns the services whose number of runners may be changed; none while the
// list of runners isn't up to date.
func (h *Host) scalableServices() []state.ServiceSpec {
	table := h.config.Table()
	if table == nil || h.instanceMirror.Lost() {
		return nil
	}
	var out []state.ServiceSpec
	for _, s := range table.Config.Services {
		if s.Scale != nil {
			out = append(out, s)
		}
	}
	return out
}

// buildUsage creates the components that count requests by customer and report them, if the
// settings enable it.
func (h *Host) buildUsage() error {
	if !h.settings.ReportsUsage {
		return nil
	}
	window := h.settings.Bounds.UsageWindow
	clock := fleetclock.New(h.clock)
	h.metrics.usage = usage.NewCounter(window, clock.At)
	collector := usage.NewCollector(window)
	peers := usages.Peers{Client: h.peers}
	var err error
	h.pusher, err = usage.NewPusher(usage.PusherOptions{
		Self: h.members.self(), Run: h.id.String(), Hosts: h.members.All, Peers: peers, Counter: h.metrics.usage, Collector: collector,
		Time: clock, Clock: h.clock, Log: h.log,
	})
	if err != nil {
		return err
	}
	usages.Register(h.peerServer, h.pusher, collector)
	h.reporter, err = usage.NewReporter(usage.Options{
		WindowLength: window, MaxError: h.settings.Bounds.UsageOff, Lease: h.lease, Store: h.store, Receiver: h.duties, Peers: peers, Collector: collector,
		Self: h.members.self(), Run: h.id.String(), Hosts: h.members.All, Time: clock, Clock: h.clock, Log: h.log,
	})
	return err
}

// newDutiesClient returns a client for the platform's interface for duties.
func (h *Host) newDutiesClient() (platform.Duties, error) {
	client, err := httpclient.New(httpclient.Options{
		Addr: h.settings.DutiesAddr, DialTimeout: dutyCallTimeout, WriteTimeout: dutyCallTimeout, UserTimeout: dutyCallTimeout,
		MaxConns: dutyMaxConns, MaxIdle: storeMaxIdle, MaxHeaderBytes: storeMaxHeaderBytes,
	})
	if err != nil {
		return platform.Duties{}, err
	}
	return platform.NewDuties(platform.DutiesOptions{Client: client, Addr: h.settings.DutiesAddr, Host: h.settings.Host, Timeout: dutyCallTimeout}), nil
}

// runDuties performs the duties of the lease holder until ctx ends with the term of the lease.
func (h *Host) runDuties(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { h.manager.Hold(ctx) })
	group.Go(func() { h.collectLoad(ctx) })
	if h.scaler != nil {
		group.Go(func() { h.scaler.Hold(ctx) })
	}
	if h.reporter != nil {
		group.Go(func() { h.reporter.Hold(ctx) })
	}
	return nil
}
