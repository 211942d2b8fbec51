package fanout

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// backoffInitial is how long a relay that is of no use is passed over, a quarter more or
	// less; each further time in a row doubles it up to avoidMost. All sources can be
	// tried in the meantime, each for silenceSlack.
	backoffInitial = 2 * time.Second
	backoffMax     = 4 * time.Second
	// backoffUnavailable is the same for a relay that answers and has lost the store, which it asks every
	// second or so: a change must be in force some seconds after the store's return.
	backoffUnavailable = time.Second
)

// relayBackoff passes over a relay that was of no use.
type relayBackoff struct {
	until    time.Time
	failures int
	// unavailable is set if the relay answered that it doesn't follow the store.
	unavailable bool
}

// firstUsable is the first source that isn't passed over, or "".
func (n *Node) firstUsable(sources []string, now time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, addr := range sources {
		if !now.Before(n.backoffs[addr].until) {
			return addr
		}
	}
	return ""
}

// backOff passes over a relay that was of no use, for longer each time.
func (n *Node) backOff(source, cause string, unavailable bool) {
	lacksCopy := n.lacksCopy() // takes the copies' locks, under which they notify this node
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.backoffs[source]
	pause := min(backoffInitial<<min(a.failures, 8), backoffMax)
	if unavailable {
		pause = backoffUnavailable
	}
	if lacksCopy {
		pause = startupRetryInterval
	}
	pause = pause*3/4 + time.Duration(n.o.Rand.Int64N(int64(pause/2)))
	n.backoffs[source] = relayBackoff{n.o.Clock.Now().Add(pause), a.failures + 1, unavailable}
	if a.failures == 0 {
		n.o.Log.Info("relay not followed", "peer", source, "avoided", pause, "cause", cause)
	}
}

// resetBackoff forgets the failures of a relay that is of use.
func (n *Node) resetBackoff(source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.backoffs, source)
}

// allUnavailable reports whether all relays answered that they don't follow the store.
func (n *Node) allUnavailable(sources []string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, addr := range sources {
		if !n.backoffs[addr].unavailable {
			return false
		}
	}
	return len(sources) > 0
}

// dropUnlisted drops what is known of relays that are no longer listed.
func (n *Node) dropUnlisted(hosts []state.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	unlisted := func(addr string) bool {
		return !slices.ContainsFunc(hosts, func(h state.Peer) bool { return h.Addr == addr })
	}
	for addr := range n.backoffs {
		if unlisted(addr) {
			delete(n.backoffs, addr)
		}
	}
	for addr := range n.cursors {
		if unlisted(addr) {
			delete(n.cursors, addr)
		}
	}
}
