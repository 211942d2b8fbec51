package routed

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/fleetload"
	"github.com/thymerack/thymerack/coordination/locality"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/fleetloads"
)

// maxLoadServices bounds the services with gauges of their own.
const maxLoadServices = 64

// errNoInstances says that this host can't yet assign the engines that it counts to services.
var errNoInstances = errors.New("routed: the list of runners isn't read yet; ask again once the host is ready")

// hostLoad holds what a host knows of the load of all engines.
type hostLoad struct {
	// collector collects it while this host holds the lease, and listener receives what the holder
	// publishes.
	collector *fleetload.Collector
	listener  *fleetload.Listener
	// sample takes this host's own sample.
	sample func() (fleetload.Sample, error)
	// locality decides for which services prefixes are local to failure domains, while this host holds
	// the lease.
	locality *locality.Decider
	// weighers turn the measured speeds of each service's engines into weights, during one term.
	weighers map[string]*placement.Weigher
}

// buildLoad creates the collector of the load of all engines and the listener of its notices.
func (h *Host) buildLoad(tracker *occupancy.Tracker) error {
	var err error
	if h.load.listener, err = fleetload.NewListener(fleetload.ListenerOptions{Clock: h.clock, Log: h.log}); err != nil {
		return err
	}
	tracker.UseSpeeds(h.fleetSpeed)
	fleetloads.Subscribe(h.fanout, func(n fleetload.Notice) { h.load.listener.Receive(n) }, h.log)
	h.load.sample = func() (fleetload.Sample, error) {
		if h.instanceMirror.Revision() == 0 {
			return fleetload.Sample{}, errNoInstances
		}
		return tracker.Sample(h.listedInstance), nil
	}
	fleetloads.Register(h.peerServer, h.load.sample)
	gauges := &loadGauges{metrics: h.metrics, summary: func() (fleetload.Summary, bool) { return h.load.collector.Summary() }}
	if h.load.locality, err = locality.NewDecider(locality.Options{Clock: h.clock, Log: h.log}); err != nil {
		return err
	}
	h.load.collector, err = fleetload.NewCollector(fleetload.CollectorOptions{
		Peers: fleetloads.Peers{Client: h.peers}, Self: h.members.addr(h.settings.IP), Local: h.load.sample, Owners: h.gate.Owners, Enabled: h.hasEngines,
		Term: func() uint64 { return h.lease.Fence() }, Held: func() bool { return h.lease.Held() },
		Publish: h.publishLoad, Listener: h.load.listener, LocalPrefixes: h.localPrefixes, Weigh: h.weighEngines, Observe: gauges.observe, Clock: h.clock, Log: h.log,
	})
	h.metrics.gauge("thymerack_load_age_seconds", gauges.read(func(s fleetload.Summary) float64 { return h.clock.Now().Sub(s.TakenAt).Seconds() }))
	h.metrics.gauge("thymerack_load_answered_ratio", gauges.read(func(s fleetload.Summary) float64 { return s.Answered }))
	return err
}

// fleetSpeed returns the speed of an engine that differs from the usual one, by the last load notice.
func (h *Host) fleetSpeed(engine state.InstanceID) (speed float64, known bool) {
	speed, known = h.load.listener.Current().Speeds[engine]
	return speed, known
}

// listedInstance returns a listed instance, or nil.
func (h *Host) listedInstance(id state.InstanceID) *state.Instance {
	if r := h.fleet.Runner(id); r != nil {
		return r.Instance
	}
	return nil
}

// hasEngines reports whether a service of the configuration is served by engines.
func (h *Host) hasEngines() bool {
	table := h.config.Table()
	if table == nil {
		return false
	}
	for _, s := range table.Config.Services {
		if s.Engine != nil {
			return true
		}
	}
	return false
}

// localPrefixes decides by a summary for which services prompts are prefilled in the failure domain of
// their host.
func (h *Host) localPrefixes(sum fleetload.Summary) []string {
	var services []locality.Service
	if table := h.config.Table(); table != nil {
		for _, s := range table.Config.Services {
			if s.Engine != nil {
				services = append(services, locality.NewService(s.Name, s.Engine, h.engines(s.Name)))
			}
		}
	}
	return h.load.locality.Update(sum, services)
}

// maxWeighedLoad is the prefill work per prefill engine above which engines have no weights. In an
// overload, more than half of the engines of equal speed seem uneven, and moving their sessions loses
// their cached prefixes.
const maxWeighedLoad = 0.85

// weighEngines returns the weights of the engines whose speed isn't the usual one of their service.
func (h *Host) weighEngines(sum fleetload.Summary) []fleetload.EngineSpeed {
	work := map[string]float64{}
	for _, l := range sum.Domains {
		work[l.Service] += l.Prefill
	}
	throughputs := map[string]map[state.InstanceID]float64{}
	for _, s := range sum.Speeds {
		if throughputs[s.Service] == nil {
			throughputs[s.Service] = map[state.InstanceID]float64{}
		}
		throughputs[s.Service][s.Engine] = s.Speed
	}
	for service := range throughputs {
		if h.load.weighers[service] == nil {
			h.load.weighers[service] = &placement.Weigher{}
		}
	}
	var out []fleetload.EngineSpeed
	for service, w := range h.load.weighers {
		if engines := h.countPrefillEngines(service); work[service] > maxWeighedLoad*float64(engines) {
			delete(h.load.weighers, service)
			continue
		}
		w.Forget(h.fleet.Accepts)
		for engine, weight := range w.Update(throughputs[service]) {
			out = append(out, fleetload.EngineSpeed{Engine: engine, Service: service, Speed: weight})
		}
	}
	return out
}

// adoptWeights starts from the weights that the former holder published.
func (h *Host) adoptWeights() {
	weights := map[string]map[state.InstanceID]float64{}
	for engine, weight := range h.load.listener.Current().Speeds {
		instance := h.listedInstance(engine)
		if instance == nil {
			continue
		}
		if weights[instance.Service] == nil {
			weights[instance.Service] = map[state.InstanceID]float64{}
		}
		weights[instance.Service][engine] = weight
	}
	h.load.weighers = map[string]*placement.Weigher{}
	for service, current := range weights {
		h.load.weighers[service] = placement.NewWeigher(current)
	}
}

// countPrefillEngines returns the number of a service's engines that do prefill and accept work.
func (h *Host) countPrefillEngines(service string) int {
	total := 0
	for _, n := range h.prefillEngines(service) {
		total += n
	}
	return total
}

// collectLoad collects the load of all engines during one term of the lease. Decisions go on from those
// that the former holder published.
func (h *Host) collectLoad(ctx context.Context) {
	h.load.locality.Adopt(slices.Sorted(maps.Keys(h.load.listener.Current().LocalPrefixes)))
	h.adoptWeights()
	h.load.collector.Hold(ctx)
}

// applyLoadInterval is the time between two checks of what load notices say, which ceases to hold some
// seconds after the last one.
const applyLoadInterval = 500 * time.Millisecond

// applyLoad applies what load notices say to the choice of engines, until ctx ends.
func (h *Host) applyLoad(ctx context.Context) {
	var last *fleetload.Received
	for h.clock.Sleep(ctx, applyLoadInterval) == nil {
		received := h.load.listener.Current()
		if received == last {
			continue
		}
		last = received
		h.fleet.SetLocalPrefixes(slices.Collect(maps.Keys(received.LocalPrefixes)))
		h.fleet.SetSpeeds(received.Speeds)
	}
}

// publishLoad sends a load notice to all hosts.
func (h *Host) publishLoad(ctx context.Context, n fleetload.Notice) {
	if err := fleetloads.Publish(ctx, h.fanout, n); err != nil {
		h.log.Error("load not published", "uneven", len(n.Speeds), "cause", err.Error())
	}
}

// loadGauges shows the summary in gauges, which are NaN at hosts without one.
type loadGauges struct {
	metrics *hostMetrics
	summary func() (fleetload.Summary, bool)

	mu       sync.Mutex
	services map[string]bool
}

// read returns the reader of a gauge.
func (g *loadGauges) read(value func(fleetload.Summary) float64) func() float64 {
	return func() float64 {
		if s, known := g.summary(); known {
			return value(s)
		}
		return math.NaN()
	}
}

// observe registers the gauges of services that are new in a summary.
func (g *loadGauges) observe(s fleetload.Summary) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.services == nil {
		g.services = map[string]bool{}
	}
	for _, l := range s.Domains {
		if g.services[l.Service] || len(g.services) == maxLoadServices {
			continue
		}
		g.services[l.Service] = true
		g.metrics.gauge(fmt.Sprintf(`thymerack_load_prefill_engines{service=%q}`, l.Service), g.total(l.Service, func(l fleetload.DomainLoad) float64 { return l.Prefill }))
		g.metrics.gauge(fmt.Sprintf(`thymerack_load_decoding{service=%q}`, l.Service), g.total(l.Service, func(l fleetload.DomainLoad) float64 { return float64(l.Decoding) }))
	}
}

// total returns the reader of the sum of a value over the failure domains of a service.
func (g *loadGauges) total(service string, value func(fleetload.DomainLoad) float64) func() float64 {
	return g.read(func(s fleetload.Summary) float64 {
		total := 0.0
		for _, l := range s.Domains {
			if l.Service == service {
				total += value(l)
			}
		}
		return total
	})
}
