package fanout

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// avoidFirst is how long a relay that is of no use is passed over, a quarter more or
	// less; each further time in a row doubles it up to avoidMost. All sources can be
	// tried in the meantime, each for silenceSlack.
	avoidFirst = 2 * time.Second
	avoidMost  = 4 * time.Second
	// avoidLost is the same for a relay that answers and has lost the store, which it asks every
	// second or so: a change must be in force some seconds after the store's return.
	avoidLost = time.Second
)

// avoidance passes over a relay that was of no use.
type avoidance struct {
	until    time.Time
	failures int
	// lost is set if the relay answered that it doesn't follow the store.
	lost bool
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

// avoid passes over a relay that was of no use, for longer each time.
func (n *Node) avoid(source, cause string, lost bool) {
	starting := n.starting() // takes the copies' locks, under which they notify this node
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.avoided[source]
	pause := min(avoidFirst<<min(a.failures, 8), avoidMost)
	if lost {
		pause = avoidLost
	}
	if starting {
		pause = startRetry
	}
	pause = pause*3/4 + time.Duration(n.o.Rand.Int64N(int64(pause/2)))
	n.avoided[source] = avoidance{n.o.Clock.Now().Add(pause), a.failures + 1, lost}
	if a.failures == 0 {
		n.o.Log.Info("relay not followed", "peer", source, "avoided", pause, "cause", cause)
	}
}

// trust forgets the failures of a relay that is of use.
func (n *Node) trust(source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.avoided, source)
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

// forgetGone drops what is known of relays that are no longer listed.
func (n *Node) forgetGone(hosts []state.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	gone := func(addr string) bool {
		return !slices.ContainsFunc(hosts, func(h state.Peer) bool { return h.Addr == addr })
	}
	for addr := range n.avoided {
		if gone(addr) {
			delete(n.avoided, addr)
		}
	}
	for addr := range n.read {
		if gone(addr) {
			delete(n.read, addr)
		}
	}
}
