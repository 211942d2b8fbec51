package snapshot

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Keeper is the single writer of views. Its setters publish a new view when
// they change something; readers call View and never wait.
type Keeper struct {
	current atomic.Pointer[View]

	mu      sync.Mutex
	config  *state.Config
	records map[string]*runnerRecord
	orders  map[string]state.Order
	leaving map[string]string // name -> incarnation that leaves, "" for any
	// counters outlive their rows: a runner that drops out of the list and comes
	// back must find the requests still in flight there, or its drain would be
	// acknowledged too early.
	counters map[string]*InFlightCounter
}

// runnerRecord is the keeper's own record of one runner.
type runnerRecord struct {
	upstream   state.Upstream
	unhealthy  bool
	load       state.LoadReport
	peerWork   Work
	peerWorkAt time.Time
}

// NewKeeper returns a keeper with an empty view.
func NewKeeper() *Keeper {
	k := &Keeper{
		records:  map[string]*runnerRecord{},
		orders:   map[string]state.Order{},
		leaving:  map[string]string{},
		counters: map[string]*InFlightCounter{},
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.publish()
	return k
}

// View returns the present view. It never blocks.
func (k *Keeper) View() *View { return k.current.Load() }

// SetConfig puts a validated configuration in force if its version is higher
// than the present one, and reports whether it did.
func (k *Keeper) SetConfig(c *state.Config) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.config != nil && c.Version <= k.config.Version {
		return false
	}
	k.config = c
	k.publish()
	return true
}

// SetListed takes over the platform's list. Upstreams that are no longer listed
// leave; the counts of those that stay go on. A runner that returns with another
// incarnation is a new one: what was known of the old is dropped.
func (k *Keeper) SetListed(list []state.Listed) {
	k.mu.Lock()
	defer k.mu.Unlock()
	listed := map[string]bool{}
	for _, l := range list {
		u, ok := UpstreamOf(l)
		if !ok {
			continue
		}
		listed[l.Name] = true
		k.setUpstream(u)
		if l.State == state.ListedLeaving {
			k.leaving[l.Name] = l.Incarnation
		} else if inc, ok := k.leaving[l.Name]; ok && inc != l.Incarnation {
			delete(k.leaving, l.Name)
		}
	}
	for name := range k.records {
		if !listed[name] {
			delete(k.records, name)
			delete(k.leaving, name)
		}
	}
	k.publish()
}

// UpstreamOf returns the upstream of a listed row; false for a host's.
func UpstreamOf(l state.Listed) (state.Upstream, bool) {
	u := state.Upstream{
		Name: l.Name, Service: l.Service, Addr: l.Addr, FailureDomain: l.FailureDomain,
		Incarnation: l.Incarnation, ChecksFence: l.ChecksFence,
	}
	switch l.Kind {
	case state.ListedEngine:
		u.Kind = state.KindEngine
	case state.ListedService:
		u.Kind = state.KindService
	default:
		return u, false
	}
	return u, true
}

func (k *Keeper) setUpstream(u state.Upstream) {
	r, ok := k.records[u.Name]
	if !ok {
		k.records[u.Name] = &runnerRecord{upstream: u}
		if k.counters[u.Name] == nil {
			k.counters[u.Name] = &InFlightCounter{}
		}
		return
	}
	if r.upstream.Incarnation != u.Incarnation {
		r.load = state.LoadReport{}
		r.unhealthy = false
	}
	r.upstream = u
}

// MarkLeaving notes that an upstream leaves, whoever said so first. It holds
// until the platform lists another incarnation of it. A statement about another
// incarnation than the listed one has no effect.
func (k *Keeper) MarkLeaving(name, incarnation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.records[name]
	if r == nil {
		return
	}
	if inc := r.upstream.Incarnation; incarnation != "" && inc != "" && incarnation != inc {
		return // it is known to be replaced by another run
	}
	if was, ok := k.leaving[name]; ok && was == incarnation {
		return
	}
	k.leaving[name] = incarnation
	k.publish()
}

// Leaving returns the names and incarnations known to leave.
func (k *Keeper) Leaving() map[string]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.leaving)
}

// SetOrder takes over an order object if its fence isn't older than the known one.
func (k *Keeper) SetOrder(o state.Order) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.orders[o.Engine]; ok && o.Fence <= known.Fence {
		return
	}
	k.orders[o.Engine] = o
	k.publish()
}

// Orders returns all order objects known, those of unlisted engines included.
func (k *Keeper) Orders() []state.Order {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Values(k.orders))
}

// SetLoad takes over one load report if it is newer than the known one.
func (k *Keeper) SetLoad(l state.LoadReport) { k.SetLoads([]state.LoadReport{l}) }

// SetLoads takes over those of the load reports that are newer than the known
// ones, in one new view.
func (k *Keeper) SetLoads(reports []state.LoadReport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for _, l := range reports {
		r := k.records[l.Engine]
		if r != nil && l.TakenAt.After(r.load.TakenAt) {
			r.load = l
			changed = true
		}
	}
	if changed {
		k.publish()
	}
}

// SetHealth notes the outcome of an upstream's health checks.
func (k *Keeper) SetHealth(name string, healthy bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.records[name]
	if r == nil || r.unhealthy == !healthy {
		return
	}
	r.unhealthy = !healthy
	k.publish()
}

// SetPeerWork replaces what the other hosts have in flight, by upstream name.
func (k *Keeper) SetPeerWork(at time.Time, work map[string]Work) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for name, r := range k.records {
		changed = changed || r.peerWork != work[name]
		r.peerWork = work[name]
		r.peerWorkAt = at
	}
	if changed {
		k.publish()
	}
}

// publish builds and publishes the next view; k.mu is held.
func (k *Keeper) publish() {
	previous := k.current.Load()
	v := &View{Config: k.config, Runners: make([]Runner, 0, len(k.records))}
	if previous != nil {
		v.Seq = previous.Seq + 1
	}
	for _, name := range slices.Sorted(maps.Keys(k.records)) {
		v.Runners = append(v.Runners, k.buildRunner(k.records[name]))
	}
	v.index()
	v.indexConfig(previous)
	k.current.Store(v)
}

func (k *Keeper) buildRunner(r *runnerRecord) Runner {
	out := Runner{
		Upstream: r.upstream, Unhealthy: r.unhealthy, Load: r.load,
		PeerWork: r.peerWork, PeerWorkAt: r.peerWorkAt, InFlight: k.counters[r.upstream.Name],
		Order: k.orders[r.upstream.Name],
	}
	_, out.Leaving = k.leaving[r.upstream.Name]
	out.Target = r.load.Shown
	if out.Order.State == state.OrderSettled {
		out.Target = out.Order.Desired
	}
	return out
}

// Ticket is one request counted in at one upstream.
type Ticket struct {
	counter *InFlightCounter
	// prefill and decode are the tokens still counted in.
	prefill, decode atomic.Int64
	requests        int64
	done            atomic.Bool
}

func newTicket(counter *InFlightCounter, w Work) *Ticket {
	t := &Ticket{counter: counter, requests: w.Requests}
	t.prefill.Store(w.PrefillTokens)
	t.decode.Store(w.DecodeTokens)
	return t
}

// PrefillDone counts the prompt out once its first token is there; the request
// and its output stay counted in.
func (t *Ticket) PrefillDone() {
	t.counter.Add(Work{PrefillTokens: -t.prefill.Swap(0)})
}

// Done counts the request out; calling it again has no effect.
func (t *Ticket) Done() {
	if t.done.CompareAndSwap(false, true) {
		t.counter.Add(Work{
			Requests:      -t.requests,
			PrefillTokens: -t.prefill.Swap(0),
			DecodeTokens:  -t.decode.Swap(0),
		})
	}
}

// Enter counts w in at the runner and only then reads the view again. If the
// runner takes no new work by now it is counted out and Enter returns nil: the
// caller must route anew. The order of the two steps is what makes an
// acknowledged zero true: a request is either counted before the
// acknowledgement is made or sees the drain.
func (k *Keeper) Enter(r *Runner, w Work) *Ticket {
	r.InFlight.Add(w)
	current := k.View().Runner(r.Name)
	if current == nil || current.Incarnation != r.Incarnation || !current.TakesWork() {
		r.InFlight.Add(w.Negate())
		return nil
	}
	return newTicket(r.InFlight, w)
}

// DrainStatus is a host's statement about one engine that takes no new work.
type DrainStatus struct {
	Engine   string
	Fence    uint64
	InFlight int64
}

// Draining lists the engines whose order forbids new work, with this host's
// requests in flight, whether or not the engine is listed at the moment. An
// order is published in a view before it can be read here, so a count of zero
// stays zero for that fence.
func (k *Keeper) Draining() []DrainStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []DrainStatus
	for _, name := range slices.Sorted(maps.Keys(k.orders)) {
		order := k.orders[name]
		if order.TakesWork() {
			continue
		}
		d := DrainStatus{Engine: name, Fence: order.Fence}
		if counter := k.counters[name]; counter != nil {
			d.InFlight = counter.Load().Requests
		}
		out = append(out, d)
	}
	return out
}
