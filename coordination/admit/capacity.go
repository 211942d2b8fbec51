package admit

import (
	"fmt"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Capacity is how much work a host may have in flight for a service, and how fast
// that work goes.
type Capacity struct {
	// Runners is the number of runners that take work.
	Runners int
	// Requests and PrefillTokens are the host's part of what the fleet is to have
	// in flight: it may always have so much.
	Requests, PrefillTokens int64
	// FreeRequests and FreePrefillTokens are its part of what nobody has taken:
	// it may take so much beyond.
	FreeRequests, FreePrefillTokens int64
	// InFlight is what the host had in flight when these figures were taken, as
	// counted at the runners; prompts can turn out dearer there than forecast.
	InFlight snapshot.Work
	// Seq changes whenever the figures are taken anew; zero when they never are.
	Seq uint64
	// PrefillPerSecond and DecodePerSecond are this host's share of the fleet's
	// speed in tokens; for a plain service PrefillPerSecond is in requests and
	// zero when unknown.
	PrefillPerSecond, DecodePerSecond float64
	// EnginePrefillPerSecond is the speed of one engine.
	EnginePrefillPerSecond float64
	// TokenInterval is the time between the tokens of one answer, at the engine
	// where it is shortest.
	TokenInterval time.Duration
	// FirstTokenWait is the least backlog that a started request finds at an
	// engine. Urgent ones go before it.
	FirstTokenWait time.Duration
}

// CapacitySource tells the room for a service. It must not block.
type CapacitySource interface {
	Capacity(service string) Capacity
}

// Speeds assumed of an engine that never reported.
const (
	defaultPrefillPerSecond = 8000
	defaultStep             = 25 * time.Millisecond
)

// Speeds tells what an engine does in its present role.
type Speeds interface {
	// SpeedsAt returns prompt tokens a second and the engine's own time between
	// tokens in a batch of that size.
	SpeedsAt(engine string, batch int) (prefillPerSecond float64, step time.Duration)
	// TokenInterval is the time between tokens as callers see it.
	TokenInterval(engine string, batch int) time.Duration
}

// FleetCapacityOptions configure a Fleet. Zero values stand for the defaults.
type FleetCapacityOptions struct {
	// Clock, View and Hosts are required. Hosts is the number of hosts that
	// share the fleet, this one included.
	Clock state.Clock
	View  func() *snapshot.View
	Hosts func() int
	// Speeds tells what engines do; nil takes their reports. A route.Router
	// knows them.
	Speeds Speeds
	// Batch is how many requests an engine is to have at a time; default 32.
	Batch int
	// ServiceConcurrency is the same for a runner of a plain service; default 64.
	ServiceConcurrency int
	// PrefillBacklog is the prefill backlog that a mixed engine is to have; default
	// 1 s. One of the prefill role, where it holds up no decoding, is to have
	// PrefillRoleBacklog; default 2 s.
	PrefillBacklog, PrefillRoleBacklog time.Duration
	// MaxAge is how long figures of an older view are used; default 20 ms.
	MaxAge time.Duration
}

// FleetCapacity is a Capacity over the views of a host. A host may use an equal part of
// the fleet and beyond that an equal part of what nobody uses: so the fleet is
// used up when the callers come to few hosts, and hosts that see the same free
// room don't all take it.
type FleetCapacity struct {
	options FleetCapacityOptions

	mu      sync.Mutex
	cache   map[string]cachedCapacity
	lastSeq uint64
}

type cachedCapacity struct {
	viewSeq    uint64
	computedAt time.Time
	capacity   Capacity
}

// NewFleetCapacity returns a fleet, or an error that names the wrong option.
func NewFleetCapacity(o FleetCapacityOptions) (*FleetCapacity, error) {
	if o.Clock == nil || o.View == nil || o.Hosts == nil {
		return nil, fmt.Errorf("admit: FleetOptions.Clock, View or Hosts is nil; pass all three")
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

// Capacity implements Capacity.
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

// fleetTotals are the figures of a fleet added up.
type fleetTotals struct {
	runners, prefillers, decoders, serviceRunners int
	prefillPerSecond, decodePerSecond             float64 // tokens per second
	prefillTokens                                 float64 // tokens that may be waiting
	tokenInterval                                 float64 // seconds, the least with room
	freeSlot                                      bool    // interval is of an engine with room
	own, peers                                    snapshot.Work
	firstTokenWait                                float64 // seconds, the least
}

func (f *FleetCapacity) compute(runners []*snapshot.Runner) Capacity {
	var s fleetTotals
	for _, r := range runners {
		own := r.Track.Load()
		s.own = s.own.Plus(own)
		s.peers = s.peers.Plus(r.Peers)
		if r.TakesWork() {
			f.addRunner(&s, r)
		}
	}
	return f.hostShare(&s)
}

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
		wait := float64(max(0, r.Track.Load().Plus(r.Peers).PrefillTokens)) / prefill
		if s.prefillers == 1 || wait < s.firstTokenWait {
			s.firstTokenWait = wait
		}
	}
	if r.Target.Role != state.RolePrefill {
		s.decoders++
		s.addTokenInterval(currentStep, r.Track.Load().Plus(r.Peers).Requests < int64(f.options.Batch))
		s.decodePerSecond += float64(f.options.Batch) / step
	}
}

// addTokenInterval takes in an engine's time between tokens; engines with room in
// their batch go before others.
func (s *fleetTotals) addTokenInterval(interval float64, freeSlot bool) {
	if s.tokenInterval == 0 || freeSlot && !s.freeSlot || freeSlot == s.freeSlot && interval < s.tokenInterval {
		s.tokenInterval, s.freeSlot = interval, freeSlot
	}
}

// prefillBacklog is the prefill backlog that an engine is to have.
func (f *FleetCapacity) prefillBacklog(role state.Role) time.Duration {
	if role == state.RolePrefill {
		return f.options.PrefillRoleBacklog
	}
	return f.options.PrefillBacklog
}

// speeds returns an engine's prompt tokens a second and its seconds between
// tokens in a full batch and in the present one.
func (f *FleetCapacity) speeds(r *snapshot.Runner) (prefill, fullStep, currentStep float64) {
	if f.options.Speeds != nil {
		rate, step := f.options.Speeds.SpeedsAt(r.Name, f.options.Batch)
		interval := f.options.Speeds.TokenInterval(r.Name, int(r.Track.Load().Plus(r.Peers).Requests)+1)
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

// hostShare turns the fleet's figures into this host's.
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
