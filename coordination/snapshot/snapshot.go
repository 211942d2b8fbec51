// Package snapshot keeps what a host knows of its upstreams and configuration
// as one immutable View, replaced whole by a single writer, and counts the
// host's own work in flight at each upstream.
package snapshot

import (
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Work is an amount of model work.
type Work struct {
	Requests      int64 `msgpack:"r"`
	PrefillTokens int64 `msgpack:"p"`
	DecodeTokens  int64 `msgpack:"d"`
}

// InFlightCounter counts the work that this host has in flight at one upstream. It is
// shared by all views and outlives them.
type InFlightCounter struct {
	requests      atomic.Int64
	prefillTokens atomic.Int64
	decodeTokens  atomic.Int64
}

// Load returns the present counts.
func (t *InFlightCounter) Load() Work {
	return Work{
		Requests:      t.requests.Load(),
		PrefillTokens: t.prefillTokens.Load(),
		DecodeTokens:  t.decodeTokens.Load(),
	}
}

// Add changes the counts by w; negative amounts take away.
func (t *InFlightCounter) Add(w Work) {
	t.requests.Add(w.Requests)
	t.prefillTokens.Add(w.PrefillTokens)
	t.decodeTokens.Add(w.DecodeTokens)
}

// Negate returns the opposite amount.
func (w Work) Negate() Work {
	return Work{Requests: -w.Requests, PrefillTokens: -w.PrefillTokens, DecodeTokens: -w.DecodeTokens}
}

// Plus returns the sum of both amounts.
func (w Work) Plus(o Work) Work {
	return Work{
		Requests:      w.Requests + o.Requests,
		PrefillTokens: w.PrefillTokens + o.PrefillTokens,
		DecodeTokens:  w.DecodeTokens + o.DecodeTokens,
	}
}

// Runner is one upstream as a View shows it. It is never changed once published;
// only the counts behind InFlight move.
type Runner struct {
	state.Upstream
	// Target is the role, model and adapters the engine has, as far as known.
	Target state.Target
	// Order is the engine's order object as last seen; zero when there is none.
	Order state.Order
	// Leaving is true once the platform or a peer said that it leaves.
	Leaving bool
	// Unhealthy is true while its health checks fail.
	Unhealthy bool
	// Load is the last report; its TakenAt is zero when there is none.
	Load state.LoadReport
	// PeerWork is what the other hosts say they have in flight here.
	PeerWork Work
	// PeerWorkAt is when Peers was last told.
	PeerWorkAt time.Time
	// InFlight counts this host's own work here.
	InFlight *InFlightCounter
}

// TakesWork reports whether the runner may be given new work.
func (r *Runner) TakesWork() bool {
	return !r.Leaving && !r.Unhealthy && r.Order.TakesWork()
}

// View is what a host knows at one moment. It is immutable.
type View struct {
	// Seq grows by one with every view.
	Seq uint64
	// Config is the shared configuration in force; nil before the first.
	Config *state.Config
	// Runners are sorted by name.
	Runners []Runner

	byName    map[string]int
	byService map[string][]*Runner
	services  map[string]*state.Service
	classes   map[string]*state.Class
	byModel   map[string]*state.Service
	customers *state.CustomerIndex
}

// Runner returns the runner of that name, or nil.
func (v *View) Runner(name string) *Runner {
	i, ok := v.byName[name]
	if !ok {
		return nil
	}
	return &v.Runners[i]
}

// RunnersOf returns the runners of a service, sorted by name.
func (v *View) RunnersOf(service string) []*Runner { return v.byService[service] }

// Service returns the service of that name, or nil.
func (v *View) Service(name string) *state.Service { return v.services[name] }

// ServiceOfModel returns the service that serves a model, or nil.
func (v *View) ServiceOfModel(model string) *state.Service { return v.byModel[model] }

// Class returns the class of that name, or nil.
func (v *View) Class(name string) *state.Class { return v.classes[name] }

// CustomerOfKey returns the customer whose key has that digest, or nil.
func (v *View) CustomerOfKey(d state.KeyDigest) *state.Customer { return v.customers.ByDigest(d) }

// index builds the look-up maps of a new view.
func (v *View) index() {
	v.byName = make(map[string]int, len(v.Runners))
	v.byService = make(map[string][]*Runner)
	for i := range v.Runners {
		r := &v.Runners[i]
		v.byName[r.Name] = i
		v.byService[r.Service] = append(v.byService[r.Service], r)
	}
}

// indexConfig builds the look-up maps of a configuration, or takes them over
// from the previous view when the configuration is the same.
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
