package fanout

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/state"
)

const (
	// silenceSlack is how much longer than asked for a relay's answer may take: a host
	// with a fifth of a core stands still for a tenth of a second at times.
	silenceSlack = 250 * time.Millisecond
	// avoidFirst is how long a relay that is of no use is passed over, a quarter more or
	// less; each further time in a row doubles it up to avoidMost. All sources can be
	// tried in the meantime, each for silenceSlack.
	avoidFirst = 2 * time.Second
	avoidMost  = 4 * time.Second
	// startPatience is how long a host that has no copy yet waits for relays that start
	// with it, and startRetry the pause before one is asked again: when all hosts return
	// at once, each asking the store would be some thousand calls. A relay needs some
	// tens of milliseconds once its process runs.
	startPatience = 1500 * time.Millisecond
	startRetry    = 100 * time.Millisecond
	// startWait is how long a question waits at a relay that may be starting too.
	startWait = 250 * time.Millisecond
	// startSlack is how much longer its answer may take: a first copy of the list of 3,000
	// instances has some 100 KB, and the relay's link sends it to thirty hosts at once.
	startSlack = 400 * time.Millisecond
	// reachEvery is the pause between two questions to the store of a host whose relays all
	// say that they lost it: those ask it every second, and tell of its return.
	reachEvery   = 2 * time.Second
	reachTimeout = 500 * time.Millisecond
	// relayFor is how long a host goes on following the store after it was asked last:
	// some questions of each follower may be lost.
	relayFor = 10 * time.Second
	// checkEvery is how often a host that has nobody to follow looks again.
	checkEvery = 500 * time.Millisecond
	// freshPoll is how often a relay that is asked looks whether the store has answered.
	freshPoll = 10 * time.Millisecond
)

// Revisions are those of a host's copies, by kind.
type Revisions map[string]uint64

// Question is what a host asks a relay.
type Question struct {
	// From is the host that asks.
	From string
	// Since are the revisions that the host has, and Read how far it has read the
	// relay's notices.
	Since Revisions
	Read  Cursor
	// Wait is how long the relay waits if it has nothing for the host.
	Wait time.Duration
	// Peek asks for what the other has at this moment, and not to relay from then on.
	Peek bool
}

// News is what a relay answers.
type News struct {
	// Lost says that the relay doesn't follow the store at present.
	Lost bool
	// Regained is how long ago the store answered the relay again; Ever is false if it
	// always has.
	Regained time.Duration
	Ever     bool
	// Changes are by kind.
	Changes map[string]follow.Delta
	Notices []Notice
	// Read is the cursor after Notices.
	Read Cursor
}

// Peers reaches other hosts.
type Peers interface {
	// Follow asks the host at addr for what it has beyond the question.
	Follow(ctx context.Context, addr string, q Question) (News, error)
	// Post tells the host at addr a notice.
	Post(ctx context.Context, addr string, n Notice) error
}

// Options configure a Node. All fields are required.
type Options struct {
	Self state.Peer
	// Run names this run of the host, unlike any other.
	Run string
	// Hosts lists all hosts. A list that has been returned is never changed.
	Hosts func() []state.Peer
	// Copies are this host's, by kind.
	Copies map[string]*follow.Mirror
	Peers  Peers
	Clock  state.Clock
	// Rand spreads the times at which hosts come back to a relay; Run alone uses it.
	Rand *rand.Rand
	Log  *slog.Logger
	// Wait is how long a question waits at a relay. A relay that is silent for that long
	// and a moment more is passed over: a quarter of the time in which changes must be
	// in force leaves room for the next one's answer.
	Wait time.Duration
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
	// begunAt is when Run began; Run alone uses it.
	begunAt time.Time
	// planned is the plan for the list of hosts of plannedOf; Run alone uses them.
	planned   plan
	plannedOf []state.Peer
	// stop ends the runs of the copies at the store; nil while a relay is followed.
	stop func()
}

// avoidance passes over a relay that was of no use.
type avoidance struct {
	until    time.Time
	failures int
	// lost is set if the relay answered that it doesn't follow the store.
	lost bool
}

// New validates the options.
func New(o Options) (*Node, error) {
	if o.Self.Addr == "" || o.Run == "" || o.Hosts == nil || len(o.Copies) == 0 || o.Peers == nil || o.Clock == nil || o.Rand == nil || o.Log == nil || o.Wait <= 0 {
		return nil, errors.New("fanout: a field of Options is missing; set all of them")
	}
	return &Node{o: o, board: newBoard(o.Run), topics: map[Topic]func([]byte){}, read: map[string]Cursor{}, avoided: map[string]avoidance{}, heard: map[string]time.Time{}, changed: make(chan struct{})}, nil
}

// Notify is to be called when a copy or the word of the store has changed.
func (n *Node) Notify() {
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
	n.Notify()
}

// HeardAt is when a host asked this one; zero if it hasn't lately.
func (n *Node) HeardAt(addr string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heard[addr]
}

// LooksAfter reports whether this host looks after another of its domain. The first relays
// by the order that all compute, but for those that this host found silent itself, look
// after each other, and each after the hosts that would follow it.
func (n *Node) LooksAfter(addr string) bool {
	if !n.FollowsStore() || !n.fresh() {
		return false
	}
	var lookers []string
	n.mu.Lock()
	for _, h := range inRelayOrder(byDomain(n.o.Hosts())[n.o.Self.FailureDomain]) {
		if n.avoided[h.Addr].failures < deadFailures && len(lookers) < perDomain {
			lookers = append(lookers, h.Addr)
		}
	}
	n.mu.Unlock()
	if !slices.Contains(lookers, n.o.Self.Addr) {
		return false
	}
	return slices.Contains(lookers, addr) || inOrderOf(addr, lookers)[0] == n.o.Self.Addr
}

// deadFailures is how often in a row a relay was of no use before others stand in for it.
const deadFailures = 3

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
	for ctx.Err() == nil {
		n.step(ctx)
	}
}

// step asks one relay, or waits if there is none to ask.
func (n *Node) step(ctx context.Context) {
	p := n.plan()
	now := n.o.Clock.Now()
	asked := n.askedLately(now)
	relays := p.relays || asked
	source := n.usable(p.sources, now)
	if !relays && len(p.sources) > 0 && n.waitsToStart(now) {
		if source != "" {
			n.ask(ctx, source, false)
			return
		}
		_ = n.o.Clock.Sleep(ctx, startRetry)
		return
	}
	if source == "" && !relays && n.lostToAll(p.sources) && !n.starting() && !n.FollowsStore() {
		n.awaitStore(ctx, now)
		return
	}
	if relays || source == "" || n.starting() {
		n.followStore(ctx)
	}
	// A relay follows another one beside the store: what one of them misses in a cut
	// that it hasn't noticed, it hears from the other.
	switch {
	case source != "" && !(relays && !asked && !n.lost()):
		n.ask(ctx, source, relays)
	case n.lost() && len(n.plannedOf) > 1:
		// Some other host may still reach the store.
		n.peek(ctx, n.plannedOf[n.o.Rand.IntN(len(n.plannedOf))].Addr)
		fallthrough
	default:
		_ = n.o.Clock.Sleep(ctx, checkEvery)
	}
}

// lostToAll reports whether all relays answered that they don't follow the store.
func (n *Node) lostToAll(sources []string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, addr := range sources {
		if !n.avoided[addr].lost {
			return false
		}
	}
	return len(sources) > 0
}

// awaitStore asks the store now and then while all relays have lost it, and follows it if
// it answers: they may be turned away, or cut off, and this host not.
func (n *Node) awaitStore(ctx context.Context, now time.Time) {
	for _, m := range n.o.Copies {
		m.Uninformed()
	}
	if now.Before(n.reachAt) {
		_ = n.o.Clock.Sleep(ctx, checkEvery)
		return
	}
	n.reachAt = now.Add(reachEvery*3/4 + time.Duration(n.o.Rand.Int64N(int64(reachEvery/2))))
	bounded, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	for _, m := range n.o.Copies {
		if m.Reached(bounded) {
			n.followStore(ctx)
		}
		return // one copy tells as much as all
	}
}

// plan is what this host does by the present list of hosts.
func (n *Node) plan() plan {
	hosts := n.o.Hosts()
	if n.planned.of(n.plannedOf, hosts) {
		return n.planned
	}
	n.planned, n.plannedOf = planOf(n.o.Self, hosts), hosts
	n.planned.made = true
	return n.planned
}

// ask asks a relay for news. One that follows the store is followed from then on, unless
// this host relays as well.
func (n *Node) ask(ctx context.Context, source string, relays bool) {
	wait := n.o.Wait
	switch {
	case !relays && n.starting():
		wait = min(wait, startWait)
	case n.lost() || (!relays && !n.follows(source)):
		wait = 0 // first see whether it is of use
	}
	slack := silenceSlack
	if n.starting() {
		slack = startSlack
	}
	bounded, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	n.interruptible(cancel, !relays)
	news, err := n.o.Peers.Follow(bounded, source, Question{From: n.o.Self.Addr, Since: n.revisions(), Read: n.read[source], Wait: wait})
	n.interruptible(nil, false)
	switch {
	case err == nil:
		n.take(news, source, relays)
	case ctx.Err() == nil && !(n.askedLately(n.o.Clock.Now()) && !relays):
		n.avoid(source, err.Error(), false)
	}
}

// peek takes what some host has, while this one has lost the store and knows no relay.
func (n *Node) peek(ctx context.Context, addr string) {
	bounded, cancel := context.WithTimeout(ctx, silenceSlack)
	defer cancel()
	news, err := n.o.Peers.Follow(bounded, addr, Question{From: n.o.Self.Addr, Since: n.revisions(), Peek: true})
	if err != nil {
		n.o.Log.Debug("peer not reached", "peer", addr, "cause", err.Error())
		return
	}
	for kind, d := range news.Changes {
		if m := n.o.Copies[kind]; m != nil {
			m.Merge(d, addr)
		}
	}
}

// take takes a relay's answer.
func (n *Node) take(news News, source string, relays bool) {
	if !news.Lost && !relays {
		for _, m := range n.o.Copies {
			m.Informed(news.Regained, news.Ever)
		}
	}
	for kind, d := range news.Changes {
		if m := n.o.Copies[kind]; m != nil {
			m.Merge(d, source)
		}
	}
	n.read[source] = news.Read
	for _, notice := range news.Notices {
		n.Deliver(notice)
	}
	if news.Lost {
		n.avoid(source, "it doesn't follow the store", true)
		return
	}
	n.trust(source)
	if !relays {
		n.followPeer(source)
	}
}

// follows reports whether this host follows that relay.
func (n *Node) follows(source string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.source == source
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

// followStore begins to follow the store, unless this host does already.
func (n *Node) followStore(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stop != nil {
		return
	}
	following, cancel := context.WithCancel(ctx)
	var runs conc.WaitGroup
	for _, m := range n.o.Copies {
		runs.Go(func() { m.Run(following) })
	}
	n.stop = func() {
		cancel()
		runs.Wait()
	}
	n.o.Log.Info("following the store", "instead_of", n.source)
	n.source = ""
}

// followPeer goes on with a relay alone.
func (n *Node) followPeer(source string) {
	n.followStoreNoMore()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.source != source {
		n.o.Log.Info("following a peer", "peer", source, "instead_of", n.source)
		n.source = source
	}
}

// followStoreNoMore ends the runs of the copies at the store.
func (n *Node) followStoreNoMore() {
	n.mu.Lock()
	stop := n.stop
	n.stop = nil
	n.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// usable is the first source that isn't passed over, or "".
func (n *Node) usable(sources []string, now time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, addr := range sources {
		if !now.Before(n.avoided[addr].until) {
			return addr
		}
	}
	return ""
}

func (n *Node) avoid(source, cause string, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.avoided[source]
	pause := min(avoidFirst<<min(a.failures, 8), avoidMost)
	if n.starting() {
		pause = startRetry
	}
	pause = pause*3/4 + time.Duration(n.o.Rand.Int64N(int64(pause/2)))
	n.avoided[source] = avoidance{n.o.Clock.Now().Add(pause), a.failures + 1, lost}
	if a.failures == 0 {
		n.o.Log.Info("relay not followed", "peer", source, "avoided", pause, "cause", cause)
	}
}

func (n *Node) trust(source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.avoided, source)
}

// interruptible notes how to end the question that waits; only one of a host that
// doesn't relay is ended when it is asked to.
func (n *Node) interruptible(cancel context.CancelFunc, may bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.interrupt = nil
	if may {
		n.interrupt = cancel
	}
}

func (n *Node) askedLately(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.askedAt.IsZero() && now.Sub(n.askedAt) < relayFor
}
