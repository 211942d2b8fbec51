package fanout

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/propagation"
	"github.com/thymerack/thymerack/state"
)

const (
	// startupRelayWait is how long a host that lacks a copy waits for relays that are starting
	// too before it follows the store, and startupRetryInterval the pause before it tries a
	// relay again: when all hosts restart at once, the store would get some thousand calls
	// otherwise. A relay has its copies some tens of milliseconds after its process started.
	startupRelayWait     = 1500 * time.Millisecond
	startupRetryInterval = 100 * time.Millisecond
	// startupStorePerSecond is the number of hosts per second that go on to follow the store after
	// startupRelayWait, each at a random time, if a relay has answered them: a whole list for each of
	// hundreds of hosts would saturate the store's link for longer than the relays take.
	startupStorePerSecond = 20
	// relayLinger is how long a host goes on following the store after the last fetch that it
	// received: some fetches of each follower may be lost.
	relayLinger = 10 * time.Second
	// recheckInterval is how often a host that has no relay to fetch from reconsiders its plan.
	recheckInterval = 500 * time.Millisecond
)

// Options configure a Node. All fields are required.
type Options struct {
	// Self is this host.
	Self state.Peer
	// RunID identifies this run of the host; no other run of any host has the same.
	RunID string
	// Hosts lists all hosts. The caller must not modify a list after returning it.
	Hosts func() []state.Peer
	// Copies are this host's copies of the store's objects, by kind.
	Copies map[string]*follow.Mirror
	Peers  Peers
	Clock  state.Clock
	// Rand spreads the times at which hosts retry a relay or the store. It is used by the
	// goroutine of Run only.
	Rand *rand.Rand
	Log  *slog.Logger
	// Delays are the longest delays of the steps by which changes propagate. A fetch waits for
	// RelayWait at a relay, and a host backs off from a relay that doesn't respond within that and
	// RelaySlack.
	Delays propagation.Delays
}

// Node keeps the copies of one host up to date, and serves them to its followers.
type Node struct {
	o       Options
	notices *noticeLog
	// handlers are the functions set by Subscribe.
	handlers map[Topic]func([]byte)
	// cursors are the positions up to which the notices of each relay were read, by the relay's
	// address. Used by Run only.
	cursors map[string]Cursor

	mu sync.Mutex
	// backoffs are the relays that failed, by address.
	backoffs map[string]relayBackoff
	// lastFetchAt is when the last fetch of any host came in; zero if none has.
	lastFetchAt time.Time
	// lastFetchFrom is when the last fetch of each host came in, by the host's address.
	lastFetchFrom map[string]time.Time
	// responseLimiters are the limiters of the responses to other hosts, by address.
	responseLimiters map[string]*rate.Limiter
	cachedLayout     layout
	// leaving is set once this host no longer relays because it shuts down.
	leaving bool
	// changed is closed, and replaced, when a copy, the store's availability or the notices
	// change.
	changed chan struct{}
	// cancelFetch cancels the pending fetch, so that a follower that receives a fetch itself
	// follows the store at once; nil if no fetch is pending or this host relays already.
	cancelFetch context.CancelFunc
	// source is the address of the relay that is followed; "" if it is the store.
	source string
	// nextStoreProbe is when the store may be probed next while all relays have lost it. Used by
	// Run only.
	nextStoreProbe time.Time
	// peekIndex, modulo the number of hosts, is the index in cachedPlanHosts of the peer that was
	// peeked at last. Used by Run only.
	peekIndex int
	// restoreChecked is set once a peer has reported whether the store was restored recently, or
	// no peer could. Used by Run only.
	restoreChecked bool
	// checkedRevision is the highest revision of the copies at the last check for a restoration
	// of the store. Used by Run only.
	checkedRevision uint64
	// startedAt is when Run began, and startupSpread a random number from 0 to 1. Used by Run only.
	startedAt     time.Time
	startupSpread float64
	// relayAnswered is set once a relay has answered a fetch. Used by Run only.
	relayAnswered bool
	// startupTimeouts is the number of fetches that timed out while this host lacked a copy. Used by
	// Run only.
	startupTimeouts int
	// cachedPlan is the plan for the list of hosts cachedPlanHosts. Used by Run only.
	cachedPlan      plan
	cachedPlanHosts []state.Peer
	// stopFollowing ends the runs of the copies that follow the store; nil while a relay is
	// followed.
	stopFollowing func()
}

// New returns a node. It fails if a field of the options is missing.
func New(o Options) (*Node, error) {
	if o.Self.Addr == "" || o.RunID == "" || o.Hosts == nil || len(o.Copies) == 0 || o.Peers == nil || o.Clock == nil || o.Rand == nil || o.Log == nil || o.Delays.RelayWait <= 0 {
		return nil, errors.New("fanout: a field of Options is missing; set all of them")
	}
	return &Node{o: o, notices: newNoticeLog(o.RunID), handlers: map[Topic]func([]byte){}, cursors: map[string]Cursor{}, backoffs: map[string]relayBackoff{}, lastFetchFrom: map[string]time.Time{}, responseLimiters: map[string]*rate.Limiter{}, changed: make(chan struct{})}, nil
}

// WakeFollowers answers pending fetches that have something to return. It must be called when
// a copy or the store's availability has changed.
func (n *Node) WakeFollowers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Leave makes this host unavailable as a relay, so that its followers move to others.
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

// Run keeps the copies up to date until ctx ends. It must be called once.
func (n *Node) Run(ctx context.Context) {
	defer n.stopFollowingStore()
	n.startedAt, n.startupSpread = n.o.Clock.Now(), n.o.Rand.Float64()
	for _, m := range n.o.Copies {
		m.SuspendProofs()
	}
	for ctx.Err() == nil {
		n.step(ctx)
	}
}

// step follows the store or a relay as the plan and the state of the relays require, then makes
// one fetch, or sleeps if there is no relay to fetch from.
func (n *Node) step(ctx context.Context) {
	p, now := n.currentPlan(), n.o.Clock.Now()
	hasFollowers := n.hasFollowers(now)
	isRelay := p.isRelay || hasFollowers
	source := n.firstUsable(p.sources, now)
	switch {
	case !isRelay && len(p.sources) > 0 && n.waitsForRelays(now):
		n.fetchAtStart(ctx, source)
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
	// A relay with followers, and a host of a domain without relays, fetches from another host in
	// addition to following the store: if its connection to the store is cut and neither side has
	// noticed, it still gets the changes through the other host.
	switch {
	case source != "" && (!isRelay || hasFollowers || p.alwaysFetches || n.storeUnavailable()):
		n.fetch(ctx, source, isRelay)
	case n.storeUnavailable():
		n.peekNext(ctx) // another host may still reach the store
		_ = n.o.Clock.Sleep(ctx, recheckInterval)
	default:
		_ = n.o.Clock.Sleep(ctx, recheckInterval)
	}
}

// fetchAtStart fetches from a relay while this host lacks a copy. If it still lacks one though relays
// are there, it peeks at another host: after a restart of the whole fleet, the relays are busy with
// hundreds of hosts, and each host that has its copies can pass them on.
func (n *Node) fetchAtStart(ctx context.Context, source string) {
	if source == "" {
		_ = n.o.Clock.Sleep(ctx, startupRetryInterval)
	} else {
		n.fetch(ctx, source, false)
	}
	if !n.relayAnswered || !n.lacksCopy() {
		return
	}
	if n.peekNext(ctx); !n.lacksCopy() {
		n.resetBackoffs() // the relays were busy, and now have changes only to send
	}
}

// currentPlan returns this host's plan for the current list of hosts.
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

// waitsForRelays reports whether this host, which has started recently and lacks a copy, should
// wait for relays that may lack it too.
func (n *Node) waitsForRelays(now time.Time) bool {
	return n.lacksCopy() && now.Before(n.startedAt.Add(n.startupWait()))
}

// startupWait returns how long this host waits for relays before it follows the store. If relays are
// there, the hosts of a large fleet differ, so that startupStorePerSecond of them begin to follow it
// per second.
func (n *Node) startupWait() time.Duration {
	if !n.relayAnswered {
		return startupRelayWait
	}
	spread := time.Duration(len(n.cachedPlanHosts)) * time.Second / startupStorePerSecond
	return startupRelayWait + time.Duration(n.startupSpread*float64(spread))
}

// lacksCopy reports whether this host lacks a copy of some kind.
func (n *Node) lacksCopy() bool {
	for _, m := range n.o.Copies {
		if m.Revision() == 0 {
			return true
		}
	}
	return false
}

// revisions returns the revisions of this host's copies.
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

// fresh reports whether this host follows the store and is answered by it for all kinds.
func (n *Node) fresh() bool {
	for _, m := range n.o.Copies {
		if !m.Following() {
			return false
		}
	}
	return true
}

// hasFollowers reports whether this host has received a fetch within relayLinger.
func (n *Node) hasFollowers(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.lastFetchAt.IsZero() && now.Sub(n.lastFetchAt) < relayLinger
}
