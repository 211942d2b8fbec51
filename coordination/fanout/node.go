package fanout

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/state"
)

const (
	// startPatience is how long a host that has no copy yet waits for relays that start
	// with it, and startRetry the pause before one is asked again: when all hosts return
	// at once, each asking the store would be some thousand calls. A relay needs some
	// tens of milliseconds once its process runs.
	startPatience = 1500 * time.Millisecond
	startRetry    = 100 * time.Millisecond
	// relayFor is how long a host goes on following the store after it was asked last:
	// some questions of each follower may be lost.
	relayFor = 10 * time.Second
	// checkEvery is how often a host that has nobody to follow looks again.
	checkEvery = 500 * time.Millisecond
)

// Options configure a Node. All fields are required.
type Options struct {
	Self state.Peer
	// RunID names this run of the host, unlike any other.
	RunID string
	// Hosts lists all hosts. A list that has been returned is never changed.
	Hosts func() []state.Peer
	// Copies are this host's, by kind.
	Copies map[string]*follow.Mirror
	Peers  Peers
	Clock  state.Clock
	// Rand spreads the times at which hosts come back to a relay; Run alone uses it.
	Rand *rand.Rand
	Log  *slog.Logger
	// FetchWait is how long a question waits at a relay. A relay that is silent for that long
	// and a moment more is passed over: a quarter of the time in which changes must be
	// in force leaves room for the next one's answer.
	FetchWait time.Duration
}

// Node keeps one host's copies up to date, and those of the hosts that follow it.
type Node struct {
	o      Options
	board  *board
	topics map[Topic]func([]byte)
	// read is how far the notices of each relay were read; Run alone uses it.
	read map[string]Cursor

	mu      sync.Mutex
	avoided map[string]avoidance
	askedAt time.Time
	// heard is when hosts asked this one, by their addresses.
	heard   map[string]time.Time
	leaving bool
	// changed is closed when a copy or the word of the store changes.
	changed chan struct{}
	// interrupt ends the question that waits at a relay.
	interrupt context.CancelFunc
	// source is the relay that is followed; "" for the store.
	source string
	// reachAt is when the store may be asked next while the relays have lost it.
	reachAt time.Time
	// turn is the index of the peer that was peeked at last, and settled is set once a peer has told
	// whether the store was restored recently, or none could; Run alone uses them.
	turn    int
	settled bool
	// revision is the latest of the copies when they were last looked at for a restoration; Run
	// alone uses it.
	revision uint64
	// begunAt is when Run began; Run alone uses it.
	begunAt time.Time
	// planned is the plan for the list of hosts of plannedOf; Run alone uses them.
	planned   plan
	plannedOf []state.Peer
	// stop ends the runs of the copies at the store; nil while a relay is followed.
	stop func()
}

// New validates the options.
func New(o Options) (*Node, error) {
	if o.Self.Addr == "" || o.RunID == "" || o.Hosts == nil || len(o.Copies) == 0 || o.Peers == nil || o.Clock == nil || o.Rand == nil || o.Log == nil || o.FetchWait <= 0 {
		return nil, errors.New("fanout: a field of Options is missing; set all of them")
	}
	return &Node{o: o, board: newBoard(o.RunID), topics: map[Topic]func([]byte){}, read: map[string]Cursor{}, avoided: map[string]avoidance{}, heard: map[string]time.Time{}, changed: make(chan struct{})}, nil
}

// WakeFollowers is to be called when a copy or the word of the store has changed.
func (n *Node) WakeFollowers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Leave sends those who follow this host to others.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.WakeFollowers()
}

// FollowsStore reports whether this host follows the store itself.
func (n *Node) FollowsStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stop != nil
}

// Run keeps the copies up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer n.followStoreNoMore()
	n.begunAt = n.o.Clock.Now()
	for _, m := range n.o.Copies {
		m.Doubt()
	}
	for ctx.Err() == nil {
		n.step(ctx)
	}
}

// step asks one relay, or waits if there is none to ask.
func (n *Node) step(ctx context.Context) {
	p, now := n.plan(), n.o.Clock.Now()
	asked := n.askedLately(now)
	relays := p.relays || asked
	source := n.usable(p.sources, now)
	switch {
	case !relays && len(p.sources) > 0 && n.waitsToStart(now):
		n.askOrSleep(ctx, source, startRetry)
		return
	case !relays && source == "" && n.lostToAll(p.sources) && !n.starting() && !n.FollowsStore():
		n.awaitStore(ctx, now)
		return
	case relays || source == "" || n.starting():
		n.followStore(ctx)
		if !n.settled {
			n.settleAtStart(ctx)
		}
		n.askAfterRestoration(ctx)
	}
	// A relay that is asked follows another one beside the store: what one of them misses
	// in a cut that it hasn't noticed, it hears from the other.
	switch {
	case source != "" && (!relays || asked || n.lost()):
		n.ask(ctx, source, relays)
	case n.lost():
		n.peekAtNext(ctx) // it may still reach the store
		_ = n.o.Clock.Sleep(ctx, checkEvery)
	default:
		_ = n.o.Clock.Sleep(ctx, checkEvery)
	}
}

// askOrSleep asks a relay, or waits if there is none to ask.
func (n *Node) askOrSleep(ctx context.Context, source string, pause time.Duration) {
	if source == "" {
		_ = n.o.Clock.Sleep(ctx, pause)
		return
	}
	n.ask(ctx, source, false)
}

// plan is what this host does by the present list of hosts.
func (n *Node) plan() plan {
	hosts := n.o.Hosts()
	if n.planned.made && state.SameList(n.plannedOf, hosts) {
		return n.planned
	}
	n.planned, n.plannedOf = planOf(n.o.Self, hosts), hosts
	n.planned.made = true
	n.forgetGone(hosts)
	return n.planned
}

// waitsToStart reports whether this host has no copy yet and its relays may have none.
func (n *Node) waitsToStart(now time.Time) bool {
	return now.Sub(n.begunAt) < startPatience && n.starting()
}

// starting reports whether this host lacks a copy: a relay that is starting too needs a
// moment to have one.
func (n *Node) starting() bool {
	for _, m := range n.o.Copies {
		if m.Revision() == 0 {
			return true
		}
	}
	return false
}

func (n *Node) revisions() Revisions {
	out := make(Revisions, len(n.o.Copies))
	for kind, m := range n.o.Copies {
		out[kind] = m.Revision()
	}
	return out
}

// lost reports whether the store doesn't answer this host for some kind.
func (n *Node) lost() bool {
	for _, m := range n.o.Copies {
		if m.Lost() {
			return true
		}
	}
	return false
}

// fresh reports whether the store answers this host for all kinds.
func (n *Node) fresh() bool {
	for _, m := range n.o.Copies {
		if !m.Fresh() {
			return false
		}
	}
	return true
}

func (n *Node) askedLately(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.askedAt.IsZero() && now.Sub(n.askedAt) < relayFor
}
