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
	// enterTimeout is some round trips between failure domains (2.8 ms) behind two
	// or three bodies on a slow link (7 ms each): an owner that takes longer is dark or
	// held up, and the next one answers sooner.
	enterTimeout = 25 * time.Millisecond
	// maxOwnersAsked bounds the owners that are asked for one place: the next one by
	// the engine's order is asked when the first doesn't answer.
	maxOwnersAsked = 2
	// leaveTimeout bounds the telling of an end, which nobody waits for.
	leaveTimeout = time.Second
	// avoidFirst is how long an owner that didn't answer is passed over; each
	// further failure in a row doubles it up to avoidMost.
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 16 * time.Second
)

// Peers reaches the books of other hosts.
type Peers interface {
	Enter(ctx context.Context, addr string, a Ask) (Answer, error)
	Remaining(ctx context.Context, addr string, engine state.InstanceID, id uint64) (backlog.Forecast, backlog.Progress, error)
	Leave(ctx context.Context, addr string, engine state.InstanceID, id uint64, done bool) error
	Permit(ctx context.Context, addr string, a PermitAsk) (Permit, error)
}

// GateOptions configure a Gate. All fields are required.
type GateOptions struct {
	Book  *Book
	Peers Peers
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

	mu      sync.Mutex
	ranked  ranking
	avoided map[string]avoidance
}

// ranking is the hosts in the order in which they become owners.
type ranking struct {
	of    []state.Peer
	order []state.Peer
}

// avoidance passes over a host that didn't answer.
type avoidance struct {
	until    time.Time
	failures int
}

// NewGate validates the options.
func NewGate(o GateOptions) (*Gate, error) {
	if o.Book == nil || o.Peers == nil || o.Self == "" || o.Hosts == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("occupancy: a field of GateOptions is missing; set all of them")
	}
	return &Gate{o: o, avoided: map[string]avoidance{}}, nil
}

// Place is a place at an engine. Exactly one of Done and Cancel is to be called;
// both may be called on nil.
type Place struct {
	gate   *Gate
	owner  string
	engine state.InstanceID
	id     uint64
}

// Verdict is what an Ask came to.
type Verdict struct {
	// Place is nil if none was given.
	Place *Place
	Answer
	// Own says that no owner could be asked, and that this host's own work alone was
	// counted.
	Own bool
}

// Enter asks the engine's owner for a place, or this host's own book while the owner
// doesn't answer.
func (g *Gate) Enter(ctx context.Context, a Ask) Verdict {
	for range maxOwnersAsked {
		owner := g.Owner(a.Engine)
		if owner == "" || owner == g.o.Self {
			return g.own(a, owner == "")
		}
		answer, err := g.ask(ctx, owner, a)
		if err == nil {
			return g.verdict(owner, a, answer, false)
		}
	}
	return g.own(a, true)
}

// ask asks one owner, and passes it over from then on if it doesn't answer.
func (g *Gate) ask(ctx context.Context, owner string, a Ask) (Answer, error) {
	bounded, cancel := context.WithTimeout(ctx, enterTimeout)
	defer cancel()
	answer, err := g.o.Peers.Enter(bounded, owner, a)
	switch {
	case err == nil:
		g.trust(owner)
	case ctx.Err() == nil:
		g.avoid(owner, err)
	}
	return answer, err
}

// own asks this host's book; instead is set if another should have been asked.
func (g *Gate) own(a Ask, instead bool) Verdict {
	return g.verdict(g.o.Self, a, g.o.Book.Enter(a), instead)
}

func (g *Gate) verdict(owner string, a Ask, answer Answer, own bool) Verdict {
	v := Verdict{Answer: answer, Own: own}
	if answer.ID != 0 {
		v.Place = &Place{g, owner, a.Engine, answer.ID}
	}
	return v
}

// Remaining predicts when the reading of the place ends. It is unknown if the owner
// doesn't answer. It may be called on nil.
func (p *Place) Remaining(ctx context.Context) (backlog.Forecast, backlog.Progress) {
	if p == nil {
		return backlog.Forecast{}, backlog.Unknown
	}
	if p.owner == p.gate.o.Self {
		return p.gate.o.Book.Remaining(p.engine, p.id)
	}
	bounded, cancel := context.WithTimeout(ctx, enterTimeout)
	defer cancel()
	f, progress, err := p.gate.o.Peers.Remaining(bounded, p.owner, p.engine, p.id)
	if err != nil {
		return backlog.Forecast{}, backlog.Unknown
	}
	return f, progress
}

// Done ends a place whose work was done.
func (p *Place) Done() { p.leave(true) }

// Cancel ends a place whose time says nothing of the load.
func (p *Place) Cancel() { p.leave(false) }

func (p *Place) leave(done bool) {
	if p == nil {
		return
	}
	if p.owner == p.gate.o.Self {
		p.gate.o.Book.Leave(p.engine, p.id, done)
		return
	}
	go p.tell(done)
}

// tell tells another host of the end. One that isn't told ends the place when its
// time is over.
func (p *Place) tell(done bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.gate.o.Peers.Leave(ctx, p.owner, p.engine, p.id, done); err != nil {
		p.gate.o.Log.Debug("end of a place not told", "owner", p.owner, "engine", p.engine, "cause", err.Error())
	}
}

// Among reports whether this host is one of the first n that it believes to be
// there, in the order in which hosts become owners.
func (g *Gate) Among(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	for _, host := range g.order() {
		if n == 0 {
			return false
		}
		if host.Addr == g.o.Self {
			return true
		}
		if !now.Before(g.avoided[host.Addr].until) {
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
	for _, host := range g.order() {
		if seen == maxOwners || (seen >= minOwners && host.Class < class) {
			break
		}
		if now.Before(g.avoided[host.Addr].until) {
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

// order returns the hosts in their order, the same at all hosts that know the same
// ones; g.mu is held.
func (g *Gate) order() []state.Peer {
	hosts := g.o.Hosts()
	if state.SameList(hosts, g.ranked.of) {
		return g.ranked.order
	}
	order := state.StrongestFirst(hosts)
	g.ranked = ranking{hosts, order}
	for addr := range g.avoided {
		if !slices.ContainsFunc(hosts, func(h state.Peer) bool { return h.Addr == addr }) {
			delete(g.avoided, addr)
		}
	}
	return order
}

// avoid passes over an owner that didn't answer, for longer each time.
func (g *Gate) avoid(owner string, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	a := g.avoided[owner]
	if now.Before(a.until) {
		return // another request has noticed it already
	}
	pause := min(avoidFirst<<min(a.failures, 8), avoidMost)
	g.avoided[owner] = avoidance{now.Add(pause), a.failures + 1}
	g.o.Log.Info("owner of counts not reached", "owner", owner, "avoided", pause, "failures", a.failures+1, "cause", cause.Error())
}

// trust forgets the failures of an owner that answers.
func (g *Gate) trust(owner string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a, known := g.avoided[owner]; known {
		delete(g.avoided, owner)
		g.o.Log.Info("owner of counts answers again", "owner", owner, "failures", a.failures)
	}
}
