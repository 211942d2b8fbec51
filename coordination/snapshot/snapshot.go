// Package snapshot holds a host's state of its upstreams and configuration as
// one immutable View. A Keeper, the single writer, replaces the View as a
// whole; readers load it without locking. The package also counts the host's
// own work in flight at each upstream.
package snapshot

import (
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Work is an amount of model work: a number of requests, and their tokens to
// prefill (prompt) and to decode (output).
type Work struct {
	Requests      int64 `msgpack:"r"`
	PrefillTokens int64 `msgpack:"p"`
	DecodeTokens  int64 `msgpack:"d"`
}

// InFlightCounter counts the work that this host has in flight at one upstream.
// All views share one counter per upstream name. It is safe for concurrent use;
// the three counts are updated separately, so that a reader may see part of an
// update.
type InFlightCounter struct {
	requests      atomic.Int64
	prefillTokens atomic.Int64
	decodeTokens  atomic.Int64
}

// Load returns the current counts.
func (t *InFlightCounter) Load() Work {
	return Work{
		Requests:      t.requests.Load(),
		PrefillTokens: t.prefillTokens.Load(),
		DecodeTokens:  t.decodeTokens.Load(),
	}
}

// Add adds w to the counts; negative amounts are subtracted.
func (t *InFlightCounter) Add(w Work) {
	t.requests.Add(w.Requests)
	t.prefillTokens.Add(w.PrefillTokens)
	t.decodeTokens.Add(w.DecodeTokens)
}

// Negate returns w with all amounts negated.
func (w Work) Negate() Work {
	return Work{Requests: -w.Requests, PrefillTokens: -w.PrefillTokens, DecodeTokens: -w.DecodeTokens}
}

// Plus returns the sum of w and o.
func (w Work) Plus(o Work) Work {
	return Work{
		Requests:      w.Requests + o.Requests,
		PrefillTokens: w.PrefillTokens + o.PrefillTokens,
		DecodeTokens:  w.DecodeTokens + o.DecodeTokens,
	}
}

// Runner is the state of one upstream in a View. It is immutable once published;
// only the counts behind InFlight change.
type Runner struct {
	state.Upstream
	// Target is the role, model and adapters of the engine: those of a settled
	// order, otherwise those of its last load report; zero if unknown.
	Target state.Target
	// Order is the latest known order object of the engine; zero if there is none.
	Order state.Order
	// Leaving is true once the platform or a peer has reported that the upstream
	// is shutting down.
	Leaving bool
	// Unhealthy is true while the upstream's health checks fail.
	Unhealthy bool
	// Load is the latest load report; its TakenAt is zero if there is none.
	Load state.LoadReport
	// PeerWork is the sum of the work that the other hosts report in flight at
	// this upstream.
	PeerWork Work
	// PeerWorkAt is the time of PeerWork. An update that leaves all amounts as they
	// are publishes no view, so PeerWorkAt may be older than the last update.
	PeerWorkAt time.Time
	// InFlight counts this host's own work in flight at this upstream.
	InFlight *InFlightCounter
}

// TakesWork reports whether the runner accepts new work: it isn't leaving, its
// health checks pass and its order permits work.
func (r *Runner) TakesWork() bool {
	return !r.Leaving && !r.Unhealthy && r.Order.TakesWork()
}

// View is a host's state of its upstreams and configuration at one moment. It is
// immutable.
type View struct {
	// Seq is one higher than in the previous view; the first view has 0.
	Seq uint64
	// Config is the shared configuration in force; nil before the first one arrives.
	Config *state.Config
	// Runners lists all upstreams, sorted by name.
	Runners []Runner

	byName    map[string]int
	byService map[string][]*Runner
	services  map[string]*state.Service
	classes   map[string]*state.Class
	byModel   map[string]*state.Service
	customers *state.CustomerIndex
}

// Runner returns the runner of that name, or nil if none is listed.
func (v *View) Runner(name string) *Runner {
	i, ok := v.byName[name]
	if !ok {
		return nil
	}
	return &v.Runners[i]
}

// RunnersOf returns the runners of a service, sorted by name.
func (v *View) RunnersOf(service string) []*Runner { return v.byService[service] }

// Service returns the configured service of that name, or nil.
func (v *View) Service(name string) *state.Service { return v.services[name] }

// ServiceOfModel returns the configured service that serves a model, or nil.
func (v *View) ServiceOfModel(model string) *state.Service { return v.byModel[model] }

// Class returns the configured class of that name, or nil.
func (v *View) Class(name string) *state.Class { return v.classes[name] }

// CustomerOfKey returns the customer with a key of that digest, or nil.
func (v *View) CustomerOfKey(d state.KeyDigest) *state.Customer { return v.customers.ByDigest(d) }

// index builds the lookup maps over v.Runners.
func (v *View) index() {
	v.byName = make(map[string]int, len(v.Runners))
	v.byService = make(map[string][]*Runner)
	for i := range v.Runners {
		r := &v.Runners[i]
		v.byName[r.Name] = i
		v.byService[r.Service] = append(v.byService[r.Service], r)
	}
}

// indexConfig builds the lookup maps over v.Config, or reuses those of the
// previous view if the configuration hasn't changed.
func (v *View) indexConfig(previous *View) {
	if previous != nil && previous.Config == v.Config {
		v.services = previous.services
		v.classes = previous.classes
		v.byModel = previous.byModel
		v.customers = previous.customers
		return
	}
	v.services = map[string]*state.Service{}
	v.classes = map[string]*state.Class{}
	v.byModel = map[string]*state.Service{}
	v.customers = nil
	if v.Config == nil {
		return
	}
	for i := range v.Config.Services {
		s := &v.Config.Services[i]
		v.services[s.Name] = s
		for _, m := range s.Models {
			v.byModel[m] = s
		}
	}
	for i := range v.Config.Classes {
		v.classes[v.Config.Classes[i].Name] = &v.Config.Classes[i]
	}
	v.customers = state.NewCustomerIndex(v.Config.Customers)
}
