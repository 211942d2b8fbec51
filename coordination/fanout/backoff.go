package fanout

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// backoffInitial is how long a relay that failed isn't used, varied by up to a quarter. It
	// doubles with each further failure in a row, up to backoffMax. All other sources can be
	// tried within that time, each for responseSlack.
	backoffInitial = 2 * time.Second
	backoffMax     = 4 * time.Second
)

// relayBackoff is the backoff of a relay that failed.
type relayBackoff struct {
	// until is when the relay may be tried again.
	until time.Time
	// failures is the number of failures in a row.
	failures int
	// unavailable is set if the relay's last response was that it doesn't follow the store.
	unavailable bool
}

// firstUsable returns the first source that isn't backed off from, or "".
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

// backOff records a failure of a relay; unavailable says that the relay responded but doesn't follow
// the store. The first failure in a row is logged.
func (n *Node) backOff(source, cause string, unavailable bool) {
	lacksCopy := n.lacksCopy() // before n.mu is locked: takes the copies' locks, which they hold while they call WakeFollowers
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.backoffs[source]
	pause := min(backoffInitial<<min(a.failures, 8), backoffMax)
	if unavailable {
		pause = n.o.Delays.RelayBackoff * 4 / 5 // before jitter
	}
	if lacksCopy {
		pause = startupRetryInterval
	}
	pause = pause*3/4 + time.Duration(n.o.Rand.Int64N(int64(pause/2)))
	n.backoffs[source] = relayBackoff{n.o.Clock.Now().Add(pause), a.failures + 1, unavailable}
	if a.failures == 0 {
		n.o.Log.Info("relay not usable, backing off", "peer", source, "avoided", pause, "cause", cause)
	}
}

// resetBackoff clears the failures of a relay that proved usable.
func (n *Node) resetBackoff(source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.backoffs, source)
}

// resetBackoffs clears the failures of all relays.
func (n *Node) resetBackoffs() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.backoffs)
}

// allUnavailable reports whether all sources, at least one, responded that they don't follow the store.
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

// dropUnlisted removes the backoffs and cursors of hosts that are no longer listed.
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
