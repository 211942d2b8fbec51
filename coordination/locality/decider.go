// Package locality decides, from the load of the whole fleet, for which services prompts are
// prefilled in the failure domain of their host.
//
// The host that holds the lease of the duties decides and broadcasts the result, so that all hosts of
// a domain choose alike. Decisions only affect where prompts are computed and how much traffic
// crosses domains; no answer becomes wrong by an old one.
package locality

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/fleetload"
	"github.com/thymerack/thymerack/state"
)

const (
	// Local prefixes keep a copy of the working set in each domain. They are enabled if the copies
	// need at most enableMemory times the memory of the prefill engines, and disabled above
	// disableMemory. Both exceed 1, since engines evict by recency and parts that were used only
	// once in the last 20 s of the working set hardly count.
	enableMemory  = 1.5
	disableMemory = 1.8
	// enableTransfer is the longest time to move the cached prefix of a mean prompt between domains
	// with which local prefixes are enabled: less than half of a queue that counts as short. They
	// are disabled above disableTransfer.
	enableTransfer  = 15 * time.Millisecond
	disableTransfer = 18 * time.Millisecond
	// minChangeInterval is the shortest time between changes for one service. After each change the
	// parts in use are copied or computed again, which takes some seconds.
	minChangeInterval = 10 * time.Second
	// workingSetWindow is how long parts count as in use. Before that time of traffic the working set
	// isn't known, and caches are cold: each domain would compute the same prefixes.
	workingSetWindow = 20 * time.Second
	// crossDomainFactor is how many times longer a transfer takes between domains than within one.
	crossDomainFactor = 2
)

// Service is a service with the engines that prefill its prompts.
type Service struct {
	Name string
	// Engine describes the engines; nil for plain services.
	Engine *state.EngineSpec
	// PrefillEngines is the number of engines that prefill and accept work, by failure domain.
	PrefillEngines map[string]int
}

// NewService returns the service with its engines among the listed instances.
func NewService(name string, engine *state.EngineSpec, listed []state.Instance) Service {
	out := Service{Name: name, Engine: engine, PrefillEngines: map[string]int{}}
	for _, i := range listed {
		if i.Service == name && !i.Draining && i.Role != state.RoleDecode {
			out.PrefillEngines[i.FailureDomain]++
		}
	}
	return out
}

// engines returns the number of engines that prefill.
func (s Service) engines() int {
	n := 0
	for _, in := range s.PrefillEngines {
		n += in
	}
	return n
}

// memoryShare returns the memory that a copy of the working set in each domain needs, relative to that
// of the prefill engines; 0 if it isn't known.
func (s Service) memoryShare(workingSet int) float64 {
	memory := float64(s.engines()) * float64(s.Engine.KVTokens)
	if memory <= 0 {
		return 0
	}
	return float64(workingSet) * float64(len(s.PrefillEngines)) / memory
}

// transfer returns the time to move the KV cache of tokens between failure domains; 0 if it isn't
// known.
func (s Service) transfer(tokens int) time.Duration {
	if s.Engine.LinkBits <= 0 {
		return 0
	}
	seconds := crossDomainFactor * float64(tokens) * float64(s.Engine.KVTokenBytes) * 8 / s.Engine.LinkBits
	return time.Duration(seconds * float64(time.Second))
}

// Options configure a Decider. All fields are required.
type Options struct {
	Clock state.Clock
	Log   *slog.Logger
}

func (o Options) validate() error {
	if o.Clock == nil || o.Log == nil {
		return errors.New("locality: a field of Options is nil; set all of them")
	}
	return nil
}

// Decider decides for which services the prefixes are local to failure domains. It isn't safe for
// concurrent use.
type Decider struct {
	o      Options
	states map[string]serviceState
}

// serviceState is the decision for one service, and when it was last changed. trafficSince is the time
// since which parts are in use; zero if none are.
type serviceState struct {
	local        bool
	changedAt    time.Time
	trafficSince time.Time
}

// NewDecider returns a Decider for which no service has local prefixes.
func NewDecider(o Options) (*Decider, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Decider{o: o, states: map[string]serviceState{}}, nil
}

// Adopt starts from the decisions of the former holder of the lease.
func (d *Decider) Adopt(local []string) {
	clear(d.states)
	for _, service := range local {
		d.states[service] = serviceState{local: true, changedAt: d.o.Clock.Now()}
	}
}

// Update decides by a summary and returns the services with local prefixes, sorted. A summary that is
// old, or to which too few owners answered, changes nothing.
func (d *Decider) Update(sum fleetload.Summary, services []Service) []string {
	now := d.o.Clock.Now()
	if sum.Usable(now) {
		known := map[string]bool{}
		for _, s := range services {
			known[s.Name] = true
			d.decide(now, sum, s)
		}
		maps.DeleteFunc(d.states, func(name string, _ serviceState) bool { return !known[name] })
	}
	var out []string
	for name, s := range d.states {
		if s.local {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// observe records whether parts of the service are in use.
func (s *serviceState) observe(inUse bool, now time.Time) {
	switch {
	case !inUse:
		s.trafficSince = time.Time{}
	case s.trafficSince.IsZero():
		s.trafficSince = now
	}
}

// windowKnown reports whether the parts in use are known for a whole window.
func (s serviceState) windowKnown(now time.Time) bool {
	return !s.trafficSince.IsZero() && now.Sub(s.trafficSince) >= workingSetWindow
}

// decide decides for one service.
func (d *Decider) decide(now time.Time, sum fleetload.Summary, s Service) {
	before := d.states[s.Name]
	before.observe(sum.WorkingSet[s.Name] > 0, now)
	d.states[s.Name] = before
	local := before.local
	if s.Engine == nil || len(s.PrefillEngines) < 2 {
		local = false
	} else if workingSet, part := sum.WorkingSet[s.Name], sum.MeanPart[s.Name]; workingSet > 0 && part > 0 {
		memory, transfer := s.memoryShare(workingSet), s.transfer(part)
		switch {
		case memory == 0 || transfer == 0: // the engines' memory or links aren't known
			local = false
		case memory <= enableMemory && transfer <= enableTransfer && before.windowKnown(now):
			local = true
		case memory > disableMemory || transfer > disableTransfer:
			local = false
		}
	}
	if local == before.local || (!before.changedAt.IsZero() && now.Sub(before.changedAt) < minChangeInterval) {
		return
	}
	d.states[s.Name] = serviceState{local, now, before.trafficSince}
	d.log(now, sum, s, local)
}

// log writes the line of a change.
func (d *Decider) log(now time.Time, sum fleetload.Summary, s Service, local bool) {
	attrs := []any{
		"service", s.Name, "local", local, "working_set_tokens", sum.WorkingSet[s.Name], "mean_part_tokens", sum.MeanPart[s.Name],
		"prefill_engines", s.engines(), "domains", len(s.PrefillEngines), "answered", sum.Answered, "age", now.Sub(sum.TakenAt),
	}
	if s.Engine != nil {
		attrs = append(attrs, "memory_share", s.memoryShare(sum.WorkingSet[s.Name]), "transfer", s.transfer(sum.MeanPart[s.Name]))
	}
	d.o.Log.Info("locality of prefixes changed", attrs...)
}
