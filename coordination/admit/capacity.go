package admit

import (
	"fmt"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Capacity is the work that this host may have in flight for a service, and the
// speed at which it is served.
type Capacity struct {
	// Runners is the number of runners that take work.
	Runners int
	// Requests and PrefillTokens are the host's share of the work that the fleet
	// is to have in flight. The host may always have this much in flight.
	Requests, PrefillTokens int64
	// FreeRequests and FreePrefillTokens are the host's share of the unused part
	// of that work. The host may start this much beyond its own share until the
	// capacity is recomputed.
	FreeRequests, FreePrefillTokens int64
	// InFlight is the work that the host had in flight when the capacity was
	// computed, as counted at the runners. It can exceed the granted work, since
	// prompts can need more prefill there than predicted.
	InFlight snapshot.Work
	// Seq increases whenever the capacity is recomputed; zero if it is fixed.
	Seq uint64
	// PrefillPerSecond and DecodePerSecond are this host's share of the fleet's
	// speed, in tokens per second. For a service that isn't an engine,
	// PrefillPerSecond is in requests per second, or zero if unknown.
	PrefillPerSecond, DecodePerSecond float64
	// EnginePrefillPerSecond is the mean prefill speed of one engine, in tokens per
	// second.
	EnginePrefillPerSecond float64
	// TokenInterval is the time between the tokens of an answer at the engine
	// where it is shortest; engines with a free batch slot go before others.
	TokenInterval time.Duration
	// FirstTokenWait is the shortest time, over all engines, in which an engine
	// prefills its backlog. Started requests wait for it, unless they are urgent.
	FirstTokenWait time.Duration
}

// CapacitySource provides the capacity for a service.
type CapacitySource interface {
	// Capacity returns the present capacity for a service; zero if the service
	// has no runners. It must not block.
	Capacity(service string) Capacity
}

// Speeds assumed for an engine that hasn't reported any.
const (
	// defaultPrefillPerSecond is in prompt tokens per second.
	defaultPrefillPerSecond = 8000
	// defaultStep is the duration of a decode step, which yields one token for
	// each request of the batch.
	defaultStep = 25 * time.Millisecond
)

// Speeds provides the speeds of an engine in its present role.
type Speeds interface {
	// SpeedsAt returns the prompt tokens per second of an engine and the duration
	// of its decode step with a batch of the given size.
	SpeedsAt(engine string, batch int) (prefillPerSecond float64, step time.Duration)
	// TokenInterval returns the time between tokens that callers observe with a
	// batch of the given size.
	TokenInterval(engine string, batch int) time.Duration
}

// FleetCapacityOptions configures a FleetCapacity. Zero values mean the defaults.
type FleetCapacityOptions struct {
	// Clock, View and Hosts are required. Hosts is the number of hosts that
	// share the fleet, this one included.
	Clock state.Clock
	View  func() *snapshot.View
	Hosts func() int
	// Speeds provides the speeds of the engines; route.Router implements it. If
	// nil, the speeds are those that the engines report.
	Speeds Speeds
	// Batch is the target number of requests in flight per engine; default 32.
	Batch int
	// ServiceConcurrency is the target number of requests in flight per runner of
	// a service that isn't an engine; default 64.
	ServiceConcurrency int
	// PrefillBacklog is the target prefill backlog of an engine, as the time to
	// compute it; default 1 s. PrefillRoleBacklog is that of an engine of the
	// prefill role, where a backlog delays no decoding; default 2 s.
	PrefillBacklog, PrefillRoleBacklog time.Duration
	// MaxAge is how long a computed capacity is used if the view stays the same;
	// default 20 ms.
	MaxAge time.Duration
}

// FleetCapacity is a CapacitySource that computes a host's share from its views of
// the fleet. Each host may use an equal share of the fleet's capacity and, beyond
// that, an equal share of its unused capacity. So the whole fleet can be used even
// if the callers use few hosts, and hosts that see the same unused capacity don't
// all take it.
type FleetCapacity struct {
	options FleetCapacityOptions

	mu sync.Mutex
	// cache holds the capacities by service.
	cache map[string]cachedCapacity
	// lastSeq is the Seq of the capacity computed last.
	lastSeq uint64
}

// cachedCapacity is a capacity with the number of the view that it was computed
// from and the time.
type cachedCapacity struct {
	viewSeq    uint64
	computedAt time.Time
	capacity   Capacity
}

// NewFleetCapacity returns a FleetCapacity, or an error that names the missing
// options.
func NewFleetCapacity(o FleetCapacityOptions) (*FleetCapacity, error) {
	if o.Clock == nil || o.View == nil || o.Hosts == nil {
		return nil, fmt.Errorf("admit: FleetCapacityOptions.Clock, View or Hosts is nil; pass all three")
	}
	if o.Batch == 0 {
		o.Batch = 32
	}
	if o.ServiceConcurrency == 0 {
		o.ServiceConcurrency = 64
	}
	if o.PrefillBacklog == 0 {
		o.PrefillBacklog = time.Second
	}
	if o.PrefillRoleBacklog == 0 {
		o.PrefillRoleBacklog = 2 * time.Second
	}
	if o.MaxAge == 0 {
		o.MaxAge = 20 * time.Millisecond
	}
	return &FleetCapacity{options: o, cache: map[string]cachedCapacity{}}, nil
}

// Capacity implements CapacitySource.
func (f *FleetCapacity) Capacity(service string) Capacity {
	v := f.options.View()
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	cached, ok := f.cache[service]
	if ok && (cached.viewSeq == v.Seq && now.Sub(cached.computedAt) < f.options.MaxAge) {
		return cached.capacity
	}
	if len(v.RunnersOf(service)) == 0 {
		delete(f.cache, service)
		return Capacity{}
	}
	cached = cachedCapacity{v.Seq, now, f.compute(v.RunnersOf(service))}
	f.lastSeq++
	cached.capacity.Seq = f.lastSeq
	f.cache[service] = cached
	return cached.capacity
}

// fleetTotals aggregates the runners of one service.
type fleetTotals struct {
	// Numbers of the runners that take work: all, engines that prefill, engines
	// that decode, and runners that aren't engines.
	runners, prefillers, decoders, serviceRunners int
	prefillPerSecond, decodePerSecond             float64       // tokens per second
	prefillTokens                                 float64       // target backlog of prompt tokens
	tokenInterval                                 float64       // seconds; see Capacity.TokenInterval
	freeSlot                                      bool          // the engine of tokenInterval has a free batch slot
	own, peers                                    snapshot.Work // in flight, of all runners
	firstTokenWait                                float64       // seconds; see Capacity.FirstTokenWait
}

// compute returns this host's capacity over the runners of a service.
func (f *FleetCapacity) compute(runners []*snapshot.Runner) Capacity {
	var s fleetTotals
	for _, r := range runners {
		own := r.InFlight.Load()
		s.own = s.own.Plus(own)
		s.peers = s.peers.Plus(r.PeerWork)
		if r.TakesWork() {
			f.addRunner(&s, r)
		}
	}
	return f.hostShare(&s)
}

// addRunner adds a runner that takes work to the totals.
func (f *FleetCapacity) addRunner(s *fleetTotals, r *snapshot.Runner) {
	s.runners++
	if r.Kind == state.KindService {
		s.serviceRunners++
		return
	}
	prefill, step, currentStep := f.speeds(r)
	if r.Target.Role != state.RoleDecode {
		s.prefillers++
		s.prefillPerSecond += prefill
		s.prefillTokens += prefill * f.prefillBacklog(r.Target.Role).Seconds()
		wait := float64(max(0, r.InFlight.Load().Plus(r.PeerWork).PrefillTokens)) / prefill
		if s.prefillers == 1 || wait < s.firstTokenWait {
			s.firstTokenWait = wait
		}
	}
	if r.Target.Role != state.RolePrefill {
		s.decoders++
		s.addTokenInterval(currentStep, r.InFlight.Load().Plus(r.PeerWork).Requests < int64(f.options.Batch))
		s.decodePerSecond += float64(f.options.Batch) / step
	}
}

// addTokenInterval updates the shortest token interval, in seconds. Engines with a
// free batch slot go before others.
func (s *fleetTotals) addTokenInterval(interval float64, freeSlot bool) {
	if s.tokenInterval == 0 || freeSlot && !s.freeSlot || freeSlot == s.freeSlot && interval < s.tokenInterval {
		s.tokenInterval, s.freeSlot = interval, freeSlot
	}
}

// prefillBacklog returns the target prefill backlog of an engine of a role.
func (f *FleetCapacity) prefillBacklog(role state.Role) time.Duration {
	if role == state.RolePrefill {
		return f.options.PrefillRoleBacklog
	}
	return f.options.PrefillBacklog
}

// speeds returns an engine's prompt tokens per second, the duration of its decode
// step with a full batch, and the time between tokens that one more request would
// have now, both in seconds.
func (f *FleetCapacity) speeds(r *snapshot.Runner) (prefill, fullStep, currentStep float64) {
	if f.options.Speeds != nil {
		rate, step := f.options.Speeds.SpeedsAt(r.Name, f.options.Batch)
		interval := f.options.Speeds.TokenInterval(r.Name, int(r.InFlight.Load().Plus(r.PeerWork).Requests)+1)
		return rate, step.Seconds(), interval.Seconds()
	}
	prefill = r.Load.PrefillTokensPerSecond
	if prefill <= 0 {
		prefill = defaultPrefillPerSecond
	}
	currentStep = r.Load.DecodeStepMillis / 1000
	if currentStep <= 0 {
		currentStep = defaultStep.Seconds()
	}
	return prefill, currentStep, currentStep
}

// hostShare returns this host's share of the fleet's totals.
func (f *FleetCapacity) hostShare(s *fleetTotals) Capacity {
	n := int64(max(1, f.options.Hosts()))
	hosts := float64(n)
	requests := int64(s.decoders*f.options.Batch + s.serviceRunners*f.options.ServiceConcurrency)
	prefillTokens := int64(s.prefillTokens)
	taken := s.own.Plus(s.peers)
	capacity := Capacity{
		Runners:           s.runners,
		InFlight:          s.own,
		Requests:          requests / n,
		PrefillTokens:     prefillTokens / n,
		FreeRequests:      max(0, requests-taken.Requests) / n,
		FreePrefillTokens: max(0, prefillTokens-taken.PrefillTokens) / n,
		PrefillPerSecond:  s.prefillPerSecond / hosts,
		DecodePerSecond:   s.decodePerSecond / hosts,
	}
	if s.prefillers > 0 {
		capacity.EnginePrefillPerSecond = s.prefillPerSecond / float64(s.prefillers)
	}
	capacity.TokenInterval = seconds(s.tokenInterval)
	capacity.FirstTokenWait = seconds(s.firstTokenWait)
	return capacity
}
