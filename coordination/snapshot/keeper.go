package snapshot

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Keeper owns the state that views are built from and is their single writer.
// Its setters publish a new view when something changed; View never blocks. It
// is safe for concurrent use.
type Keeper struct {
	current atomic.Pointer[View]

	mu      sync.Mutex
	config  *state.Config
	records map[string]*runnerRecord
	orders  map[string]state.Order
	leaving map[string]string // upstream name -> incarnation that is leaving, "" for any
	// counters has an entry for each upstream name ever listed. Entries are kept
	// when an upstream is no longer listed: if it is listed again, its requests
	// still in flight must count, or its drain would be acknowledged too early.
	counters map[string]*InFlightCounter
}

// runnerRecord is the keeper's mutable state of one listed runner.
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

// View returns the current view. It never blocks.
func (k *Keeper) View() *View { return k.current.Load() }

// SetConfig puts a validated configuration in force if its version is higher
// than that of the current one, and reports whether it did.
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

// SetListed replaces the list of upstreams by the platform's list. Upstreams
// that are no longer listed are removed; the in-flight counters of all are
// kept. A runner that is listed with another incarnation is a new process: its
// load report and health are reset.
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

// UpstreamOf converts an entry of the platform's list to an upstream. It returns
// false if the entry is neither an engine nor a service, such as a host.
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

// MarkLeaving marks an upstream as leaving until the platform lists another
// incarnation of it. An empty incarnation stands for any. The call has no effect
// if the upstream isn't listed or is listed with another incarnation.
func (k *Keeper) MarkLeaving(name, incarnation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.records[name]
	if r == nil {
		return
	}
	if inc := r.upstream.Incarnation; incarnation != "" && inc != "" && incarnation != inc {
		return // that incarnation has been replaced already
	}
	if was, ok := k.leaving[name]; ok && was == incarnation {
		return
	}
	k.leaving[name] = incarnation
	k.publish()
}

// Leaving returns the upstreams marked as leaving: the incarnation, "" for any,
// by upstream name.
func (k *Keeper) Leaving() map[string]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.leaving)
}

// SetOrder stores an order object if its fence is higher than that of the known
// order of the engine.
func (k *Keeper) SetOrder(o state.Order) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.orders[o.Engine]; ok && o.Fence <= known.Fence {
		return
	}
	k.orders[o.Engine] = o
	k.publish()
}

// Orders returns all known order objects in no particular order, including those
// of engines that aren't listed.
func (k *Keeper) Orders() []state.Order {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Values(k.orders))
}

// SetLoad stores a load report if it is newer than the known one of the engine.
func (k *Keeper) SetLoad(l state.LoadReport) { k.SetLoads([]state.LoadReport{l}) }

// SetLoads stores those load reports that are newer than the known ones of their
// engines, and publishes them in one view. Reports of engines that aren't listed
// are ignored.
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

// SetHealth sets whether an upstream's health checks pass.
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

// SetPeerWork replaces the work that the other hosts have in flight, by upstream
// name; at is the time of the figures.
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

// publish builds and publishes the next view. The caller holds k.mu.
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

// Ticket is the share of one request in the in-flight counts of one upstream. It
// is safe for concurrent use.
type Ticket struct {
	counter *InFlightCounter
	// prefill and decode are the tokens that are still counted.
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

// PrefillDone removes the prompt's tokens from the counts once the first output
// token has arrived; the request and its output tokens remain counted. Calling
// it again has no effect.
func (t *Ticket) PrefillDone() {
	t.counter.Add(Work{PrefillTokens: -t.prefill.Swap(0)})
}

// Done removes everything that is still counted for the request. Calling it
// again has no effect.
func (t *Ticket) Done() {
	if t.done.CompareAndSwap(false, true) {
		t.counter.Add(Work{
			Requests:      -t.requests,
			PrefillTokens: -t.prefill.Swap(0),
			DecodeTokens:  -t.decode.Swap(0),
		})
	}
}

// Enter adds w to the runner's in-flight counts and only then reads the current
// view. If the runner accepts no new work any more, Enter takes w off again and
// returns nil, and the caller must choose another runner. The order of the two
// steps is what makes an acknowledged drain reliable: a request is either
// counted before Draining reads a count of zero, or it sees the drain.
func (k *Keeper) Enter(r *Runner, w Work) *Ticket {
	r.InFlight.Add(w)
	current := k.View().Runner(r.Name)
	if current == nil || current.Incarnation != r.Incarnation || !current.TakesWork() {
		r.InFlight.Add(w.Negate())
		return nil
	}
	return newTicket(r.InFlight, w)
}

// DrainStatus is a host's number of requests in flight at one engine whose order
// forbids new work; Fence is that of the order. The drain is complete on this
// host once InFlight is zero.
type DrainStatus struct {
	Engine   string
	Fence    uint64
	InFlight int64
}

// Draining returns the status of the engines whose order forbids new work,
// sorted by name, including engines that aren't listed. An order is published
// in a view before Draining can see it, so a count of zero stays zero for that
// fence.
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
