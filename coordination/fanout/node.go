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
	// startupRelayWait is how long a host that has no copy yet waits for relays that start
	// with it, and startRetry the pause before one is asked again: when all hosts return
	// at once, each asking the store would be some thousand calls. A relay needs some
	// tens of milliseconds once its process runs.
	startupRelayWait     = 1500 * time.Millisecond
	startupRetryInterval = 100 * time.Millisecond
	// relayLinger is how long a host goes on following the store after it was asked last:
	// some questions of each follower may be lost.
	relayLinger = 10 * time.Second
	// recheckInterval is how often a host that has nobody to follow looks again.
	recheckInterval = 500 * time.Millisecond
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
	o        Options
	notices  *noticeLog
	handlers map[Topic]func([]byte)
	// cursors is how far the notices of each relay were cursors; Run alone uses it.
	cursors map[string]Cursor

	mu          sync.Mutex
	backoffs    map[string]relayBackoff
	lastFetchAt time.Time
	// lastFetchFrom is when hosts asked this one, by their addresses.
	lastFetchFrom map[string]time.Time
	leaving       bool
	// changed is closed when a copy or the word of the store changes.
	changed chan struct{}
	// cancelFetch ends the question that waits at a relay.
	cancelFetch context.CancelFunc
	// source is the relay that is followed; "" for the store.
	source string
	// nextStoreProbe is when the store may be asked next while the relays have lost it.
	nextStoreProbe time.Time
	// peekIndex is the index of the peer that was peeked at last, and settled is set once a peer has told
	// whether the store was restored recently, or none could; Run alone uses them.
	peekIndex      int
	restoreChecked bool
	// checkedRevision is the latest of the copies when they were last looked at for a restoration; Run
	// alone uses it.
	checkedRevision uint64
	// startedAt is when Run began; Run alone uses it.
	startedAt time.Time
	// cachedPlan is the plan for the list of hosts of plannedOf; Run alone uses them.
	cachedPlan      plan
	cachedPlanHosts []state.Peer
	// stopFollowing ends the runs of the copies at the store; nil while a relay is followed.
	stopFollowing func()
}

// New validates the options.
func New(o Options) (*Node, error) {
	if o.Self.Addr == "" || o.RunID == "" || o.Hosts == nil || len(o.Copies) == 0 || o.Peers == nil || o.Clock == nil || o.Rand == nil || o.Log == nil || o.FetchWait <= 0 {
		return nil, errors.New("fanout: a field of Options is missing; set all of them")
	}
	return &Node{o: o, notices: newNoticeLog(o.RunID), handlers: map[Topic]func([]byte){}, cursors: map[string]Cursor{}, backoffs: map[string]relayBackoff{}, lastFetchFrom: map[string]time.Time{}, changed: make(chan struct{})}, nil
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
	return n.stopFollowing != nil
}

// Run keeps the copies up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer n.stopFollowingStore()
	n.startedAt = n.o.Clock.Now()
	for _, m := range n.o.Copies {
		m.Doubt()
	}
	for ctx.Err() == nil {
		n.step(ctx)
	}
}

// step asks one relay, or waits if there is none to ask.
func (n *Node) step(ctx context.Context) {
	p, now := n.currentPlan(), n.o.Clock.Now()
	hasFollowers := n.hasFollowers(now)
	isRelay := p.isRelay || hasFollowers
	source := n.firstUsable(p.sources, now)
	switch {
	case !isRelay && len(p.sources) > 0 && n.waitsForRelays(now):
		n.fetchOrSleep(ctx, source, startupRetryInterval)
		return
	case !isRelay && source == "" && n.allUnavailable(p.sources) && !n.lacksCopy() && !n.FollowsStore():
		n.probeStore(ctx, now)
		return
	case isRelay || source == "" || n.lacksCopy():
		n.followStore(ctx)
		if !n.restoreChecked {
			n.checkRestoreAtStart(ctx)
		}
		n.peekAfterRestore(ctx)
	}
	// A relay that is asked follows another one beside the store: what one of them misses
	// in a cut that it hasn't noticed, it hears from the other.
	switch {
	case source != "" && (!isRelay || hasFollowers || n.storeUnavailable()):
		n.fetch(ctx, source, isRelay)
	case n.storeUnavailable():
		n.peekNext(ctx) // it may still reach the store
		_ = n.o.Clock.Sleep(ctx, recheckInterval)
	default:
		_ = n.o.Clock.Sleep(ctx, recheckInterval)
	}
}

// fetchOrSleep asks a relay, or waits if there is none to ask.
func (n *Node) fetchOrSleep(ctx context.Context, source string, pause time.Duration) {
	if source == "" {
		_ = n.o.Clock.Sleep(ctx, pause)
		return
	}
	n.fetch(ctx, source, false)
}

// currentPlan is what this host does by the present list of hosts.
func (n *Node) currentPlan() plan {
	hosts := n.o.Hosts()
	if n.cachedPlan.computed && state.SameList(n.cachedPlanHosts, hosts) {
		return n.cachedPlan
	}
	n.cachedPlan, n.cachedPlanHosts = computePlan(n.o.Self, hosts), hosts
	n.cachedPlan.computed = true
	n.dropUnlisted(hosts)
	return n.cachedPlan
}

// waitsForRelays reports whether this host has no copy yet and its relays may have none.
func (n *Node) waitsForRelays(now time.Time) bool {
	return now.Sub(n.startedAt) < startupRelayWait && n.lacksCopy()
}

// lacksCopy reports whether this host lacks a copy: a relay that is lacksCopy too needs a
// moment to have one.
func (n *Node) lacksCopy() bool {
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

// storeUnavailable reports whether the store doesn't answer this host for some kind.
func (n *Node) storeUnavailable() bool {
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

func (n *Node) hasFollowers(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.lastFetchAt.IsZero() && now.Sub(n.lastFetchAt) < relayLinger
}
