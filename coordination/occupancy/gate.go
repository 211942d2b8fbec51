package occupancy

import (
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
	// maxOwners bounds the hosts that keep counts, and with them each host's
	// connections to peers, at any size of the fleet. Hosts of a lower class are
	// taken only while there are fewer than minOwners: a count is of use only while its
	// owner answers within milliseconds.
	maxOwners = 16
	minOwners = 4
	// ownerTimeout is some round trips between failure domains (2.8 ms) behind two
	// or three bodies on a slow link (7 ms each): an owner that takes longer is dark or
	// held up, and the next one answers sooner.
	ownerTimeout = 25 * time.Millisecond
	// maxOwnersTried bounds the owners that are asked for one place: the next one by
	// the engine's order is asked when the first doesn't answer.
	maxOwnersTried = 2
	// leaveTimeout bounds the telling of an end, which nobody waits for.
	leaveTimeout = time.Second
	// minBackoff is how long an owner that didn't answer is passed over; each
	// further failure in a row doubles it up to avoidMost.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 16 * time.Second
)

// Peers reaches the books of other hosts.
type Peers interface {
	Enter(ctx context.Context, addr string, req Request) (Response, error)
	Remaining(ctx context.Context, addr string, engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress, error)
	Leave(ctx context.Context, addr string, engine state.InstanceID, id uint64, done bool) error
	Permit(ctx context.Context, addr string, req PermitRequest) (Permit, error)
}

// GateOptions configure a Gate. All fields are required.
type GateOptions struct {
	Tracker *Tracker
	Peers   Peers
	// Self is this host's peer address, and Hosts lists all hosts. A list that has
	// been returned is never changed: another list is another slice.
	Self  string
	Hosts func() []state.Peer
	Clock state.Clock
	Log   *slog.Logger
}

// Gate asks the owners for places. It is safe for concurrent use.
type Gate struct {
	o GateOptions

	mu         sync.Mutex
	ownerOrder hostOrder
	backoffs   map[string]hostBackoff
}

// hostOrder is the hosts in the order in which they become owners.
type hostOrder struct {
	hosts []state.Peer
	order []state.Peer
}

// hostBackoff passes over a host that didn't answer.
type hostBackoff struct {
	until    time.Time
	failures int
}

// NewGate validates the options.
func NewGate(o GateOptions) (*Gate, error) {
	if o.Tracker == nil || o.Peers == nil || o.Self == "" || o.Hosts == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("occupancy: a field of GateOptions is missing; set all of them")
	}
	return &Gate{o: o, backoffs: map[string]hostBackoff{}}, nil
}

// Reservation is a place at an engine. Exactly one of Done and Cancel is to be called;
// both may be called on nil.
type Reservation struct {
	gate   *Gate
	owner  string
	engine state.InstanceID
	id     uint64
}

// Result is what an Ask came to.
type Result struct {
	// Reservation is nil if none was given.
	Reservation *Reservation
	Response
	// LocalOnly says that no owner could be asked, and that this host's own work alone was
	// counted.
	LocalOnly bool
}

// Enter asks the engine's owner for a place, or this host's own book while the owner
// doesn't answer.
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

// askOwner asks one owner, and passes it over from then on if it doesn't answer.
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

// enterLocal asks this host's book; instead is set if another should have been asked.
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

// Remaining predicts when the reading of the place ends. It is unknown if the owner
// doesn't answer. It may be called on nil.
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

// Done ends a place whose work was done.
func (r *Reservation) Done() { r.leave(true) }

// Cancel ends a place whose time says nothing of the load.
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

// sendLeave tells another host of the end. One that isn't told ends the place when its
// time is over.
func (r *Reservation) sendLeave(done bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := r.gate.o.Peers.Leave(ctx, r.owner, r.engine, r.id, done); err != nil {
		r.gate.o.Log.Debug("end of a place not told", "owner", r.owner, "engine", r.engine, "cause", err.Error())
	}
}

// IsAmongFirst reports whether this host is one of the first n that it believes to be
// there, in the order in which hosts become owners.
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

// Owner is the peer address of the host that keeps the engine's count, or "" if none is
// known.
func (g *Gate) Owner(engine state.InstanceID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	best, bestScore, seen, class := "", uint64(0), 0, 0
	for _, host := range g.orderedHosts() {
		if seen == maxOwners || (seen >= minOwners && host.Class < class) {
			break
		}
		if now.Before(g.backoffs[host.Addr].until) {
			continue
		}
		seen++
		class = host.Class
		if score := xxhash.Sum64String(engine.Name + host.Addr); best == "" || score > bestScore {
			best, bestScore = host.Addr, score
		}
	}
	return best
}

// orderedHosts returns the hosts in their orderedHosts, the same at all hosts that know the same
// ones; g.mu is held.
func (g *Gate) orderedHosts() []state.Peer {
	hosts := g.o.Hosts()
	if state.SameList(hosts, g.ownerOrder.hosts) {
		return g.ownerOrder.order
	}
	order := state.StrongestFirst(hosts)
	g.ownerOrder = hostOrder{hosts, order}
	for addr := range g.backoffs {
		if !slices.ContainsFunc(hosts, func(h state.Peer) bool { return h.Addr == addr }) {
			delete(g.backoffs, addr)
		}
	}
	return order
}

// backOff passes over an owner that didn't answer, for longer each time.
func (g *Gate) backOff(owner string, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	b := g.backoffs[owner]
	if now.Before(b.until) {
		return // another request has noticed it already
	}
	backoff := min(minBackoff<<min(b.failures, 8), maxBackoff)
	g.backoffs[owner] = hostBackoff{now.Add(backoff), b.failures + 1}
	g.o.Log.Info("owner of counts not reached", "owner", owner, "avoided", backoff, "failures", b.failures+1, "cause", cause.Error())
}

// resetBackoff forgets the failures of an owner that answers.
func (g *Gate) resetBackoff(owner string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b, known := g.backoffs[owner]; known {
		delete(g.backoffs, owner)
		g.o.Log.Info("owner of counts answers again", "owner", owner, "failures", b.failures)
	}
}
