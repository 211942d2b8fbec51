package occupancy

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/state"
)

const (
	// maxOwners bounds the hosts that own counts, and with them each host's connections to
	// peers, independently of the number of hosts. Hosts of a lower class become owners only while there
	// are fewer than minOwners, since a count is useful only if its owner answers within
	// milliseconds.
	maxOwners = 16
	minOwners = 4
	// ownerTimeout allows for several round trips between failure domains (2.8 ms each) after
	// two or three bodies on a slow link (7 ms each). An owner that takes longer is down or
	// stalled, and the next one answers sooner.
	ownerTimeout = 25 * time.Millisecond
	// maxOwnersTried bounds the owners that are tried for one request: if the first doesn't
	// answer, the engine's next owner is tried.
	maxOwnersTried = 2
	// leaveTimeout bounds the call that reports the end of a reservation. No caller waits for it.
	leaveTimeout = time.Second
	// minBackoff is how long a host that didn't answer is not chosen as owner. Each further
	// failure in a row doubles the time, up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 16 * time.Second
)

// Peers calls the trackers of other hosts at their peer addresses.
type Peers interface {
	Enter(ctx context.Context, addr string, req Request) (Response, error)
	Remaining(ctx context.Context, addr string, engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress, error)
	Leave(ctx context.Context, addr string, engine state.InstanceID, id uint64, done bool) error
	Permit(ctx context.Context, addr string, req PermitRequest) (Permit, error)
}

// GateOptions configures a Gate. All fields are required.
type GateOptions struct {
	Tracker *Tracker
	Peers   Peers
	// Self is this host's peer address, and Hosts lists all hosts. A returned list must not be
	// modified; a changed list is returned as another slice.
	Self  string
	Hosts func() []state.Peer
	Clock state.Clock
	Log   *slog.Logger
}

// Gate requests admission from the owners of engines. It is safe for concurrent use.
type Gate struct {
	o GateOptions

	mu         sync.Mutex
	ownerOrder hostOrder
	backoffs   map[string]hostBackoff
}

// hostOrder caches the hosts in the order in which they become owners.
type hostOrder struct {
	hosts []state.Peer
	order []state.Peer
	// eligible are the hosts that become owners while none is in backoff, and eligibleSince is when
	// this host first knew of them.
	eligible      []state.Peer
	eligibleSince time.Time
}

// hostBackoff is the backoff of a host that didn't answer.
type hostBackoff struct {
	until    time.Time
	failures int
}

// NewGate validates the options and returns a Gate.
func NewGate(o GateOptions) (*Gate, error) {
	if o.Tracker == nil || o.Peers == nil || o.Self == "" || o.Hosts == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("occupancy: a field of GateOptions is missing; set all of them")
	}
	return &Gate{o: o, backoffs: map[string]hostBackoff{}}, nil
}

// Reservation is an admitted request at an engine. Exactly one of Done and Cancel must be
// called; both do nothing on nil.
type Reservation struct {
	gate   *Gate
	owner  string
	engine state.InstanceID
	id     uint64
}

// Result is the outcome of a Request.
type Result struct {
	// Reservation is nil if the request wasn't admitted.
	Reservation *Reservation
	Response
	// LocalOnly says that no owner could be reached, so that only this host's own work was
	// counted.
	LocalOnly bool
}

// Enter requests admission from the engine's owner, or from this host's own tracker if the
// owners don't answer.
func (g *Gate) Enter(ctx context.Context, req Request) Result {
	for range maxOwnersTried {
		owner := g.Owner(req.Engine)
		if owner == "" || owner == g.o.Self {
			return g.enterLocal(req, owner == "")
		}
		resp, err := g.askOwner(ctx, owner, req)
		if err == nil {
			return g.result(owner, req, resp, false)
		}
	}
	return g.enterLocal(req, true)
}

// askOwner requests admission from one owner. An owner that doesn't answer is put into backoff,
// unless the caller has cancelled the request.
func (g *Gate) askOwner(ctx context.Context, owner string, req Request) (Response, error) {
	bounded, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	resp, err := g.o.Peers.Enter(bounded, owner, req)
	switch {
	case err == nil:
		g.resetBackoff(owner)
	case ctx.Err() == nil:
		g.backOff(owner, err)
	}
	return resp, err
}

// enterLocal requests admission from this host's tracker; fallback is set if this host isn't the
// engine's owner.
func (g *Gate) enterLocal(req Request, fallback bool) Result {
	return g.result(g.o.Self, req, g.o.Tracker.Enter(req), fallback)
}

func (g *Gate) result(owner string, req Request, resp Response, localOnly bool) Result {
	out := Result{Response: resp, LocalOnly: localOnly}
	if resp.ID != 0 {
		out.Reservation = &Reservation{g, owner, req.Engine, resp.ID}
	}
	return out
}

// Remaining predicts when the prefill of the reservation ends. The progress is Unknown if the
// owner doesn't answer, and on nil.
func (r *Reservation) Remaining(ctx context.Context) (backlog.Forecast, backlog.Progress) {
	if r == nil {
		return backlog.Forecast{}, backlog.Unknown
	}
	if r.owner == r.gate.o.Self {
		return r.gate.o.Tracker.Remaining(r.engine, r.id)
	}
	bounded, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	f, progress, err := r.gate.o.Peers.Remaining(bounded, r.owner, r.engine, r.id)
	if err != nil {
		return backlog.Forecast{}, backlog.Unknown
	}
	return f, progress
}

// Done ends a reservation whose work was completed.
func (r *Reservation) Done() { r.leave(true) }

// Cancel ends a reservation whose duration is no sample of the engine's speed.
func (r *Reservation) Cancel() { r.leave(false) }

func (r *Reservation) leave(done bool) {
	if r == nil {
		return
	}
	if r.owner == r.gate.o.Self {
		r.gate.o.Tracker.Leave(r.engine, r.id, done)
		return
	}
	go r.sendLeave(done)
}

// sendLeave reports the end to the owner. If that fails, the reservation ends with its TTL.
func (r *Reservation) sendLeave(done bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := r.gate.o.Peers.Leave(ctx, r.owner, r.engine, r.id, done); err != nil {
		r.gate.o.Log.Debug("end of reservation not reported", "owner", r.owner, "engine", r.engine, "cause", err.Error())
	}
}

// IsAmongFirst reports whether this host is one of the first n hosts that are not in backoff, in
// the order in which hosts become owners.
func (g *Gate) IsAmongFirst(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	for _, host := range g.orderedHosts() {
		if n == 0 {
			return false
		}
		if host.Addr == g.o.Self {
			return true
		}
		if !now.Before(g.backoffs[host.Addr].until) {
			n--
		}
	}
	return false
}

// Owner returns the peer address of the host that owns the engine's count, or "" if no host is
// available.
func (g *Gate) Owner(engine state.InstanceID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	best, bestScore, candidates, class := "", uint64(0), 0, 0
	for _, host := range g.orderedHosts() {
		if candidates == maxOwners || (candidates >= minOwners && host.Class < class) {
			break
		}
		if now.Before(g.backoffs[host.Addr].until) {
			continue
		}
		candidates++
		class = host.Class
		if score := xxhash.Sum64String(engine.Name + host.Addr); best == "" || score > bestScore {
			best, bestScore = host.Addr, score
		}
	}
	return best
}

// orderedHosts returns the hosts in the order in which they become owners, which is the same at
// all hosts that know the same list; g.mu is held.
func (g *Gate) orderedHosts() []state.Peer {
	hosts := g.o.Hosts()
	if state.SameList(hosts, g.ownerOrder.hosts) {
		return g.ownerOrder.order
	}
	order := state.StrongestFirst(hosts)
	eligible, since := eligibleOwners(order), g.ownerOrder.eligibleSince
	if !slices.Equal(eligible, g.ownerOrder.eligible) {
		since = g.o.Clock.Now()
	}
	g.ownerOrder = hostOrder{hosts, order, eligible, since}
	for addr := range g.backoffs {
		if !slices.ContainsFunc(hosts, func(h state.Peer) bool { return h.Addr == addr }) {
			delete(g.backoffs, addr)
		}
	}
	return order
}

// eligibleOwners returns the hosts that become owners, given all in their order.
func eligibleOwners(order []state.Peer) []state.Peer {
	for i, host := range order {
		if i == maxOwners || (i >= minOwners && host.Class < order[i-1].Class) {
			return order[:i]
		}
	}
	return order
}

// Owners returns the peer addresses of the hosts that own counts while all of them answer.
func (g *Gate) Owners() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orderedHosts()
	out := make([]string, 0, len(g.ownerOrder.eligible))
	for _, h := range g.ownerOrder.eligible {
		out = append(out, h.Addr)
	}
	return out
}

// Replicas returns the peer addresses of the n hosts that keep what is known by the key: the same at
// all hosts that know the same list, in different failure domains as far as possible. Unlike an
// owner of a count, a replica that doesn't answer isn't replaced while it is listed.
func (g *Gate) Replicas(key string, n int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orderedHosts()
	ranked := rankOwners(key, g.ownerOrder.eligible)
	perDomain := map[string]int{}
	for i := range ranked {
		ranked[i].nth = perDomain[ranked[i].FailureDomain]
		perDomain[ranked[i].FailureDomain]++
	}
	slices.SortStableFunc(ranked, func(a, b rankedHost) int { return cmp.Compare(a.nth, b.nth) })
	var out []string
	for _, h := range ranked[:min(n, len(ranked))] {
		out = append(out, h.Addr)
	}
	return out
}

// EligibleSince returns when this host learned of the hosts among which replicas are chosen.
func (g *Gate) EligibleSince() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orderedHosts()
	return g.ownerOrder.eligibleSince
}

// rankedHost is a host with its score for a key; nth counts the hosts of its failure domain with
// higher scores.
type rankedHost struct {
	state.Peer
	score uint64
	nth   int
}

// rankOwners orders hosts by rendezvous hashing with the key.
func rankOwners(key string, hosts []state.Peer) []rankedHost {
	out := make([]rankedHost, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, rankedHost{Peer: h, score: xxhash.Sum64String(key + h.Addr)})
	}
	slices.SortFunc(out, func(a, b rankedHost) int { return cmp.Compare(b.score, a.score) })
	return out
}

// backOff puts an owner that didn't answer into backoff, for twice as long with each failure in a
// row.
func (g *Gate) backOff(owner string, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	b := g.backoffs[owner]
	if now.Before(b.until) {
		return // a concurrent request has already recorded the failure
	}
	backoff := min(minBackoff<<min(b.failures, 8), maxBackoff)
	g.backoffs[owner] = hostBackoff{now.Add(backoff), b.failures + 1}
	g.o.Log.Info("owner of counts unreachable", "owner", owner, "avoided", backoff, "failures", b.failures+1, "cause", cause.Error())
}

// resetBackoff clears the failures of an owner that answers.
func (g *Gate) resetBackoff(owner string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b, known := g.backoffs[owner]; known {
		delete(g.backoffs, owner)
		g.o.Log.Info("owner of counts answers again", "owner", owner, "failures", b.failures)
	}
}
