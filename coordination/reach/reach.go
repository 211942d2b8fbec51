// Package reach keeps what this host knows of its own links to runners, apart from what it knows
// of the runners themselves: a runner that this host can't connect to may serve all other hosts.
// While a link is lost, the host connects to the runner through another host.
//
// Evidence comes from attempts to connect and from established connections; the state of a link
// follows from it. Other packages read states and don't judge links themselves.
package reach

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Evidence is what an attempt to use a link showed.
type Evidence string

// The kinds of evidence against a link.
const (
	// EvidenceNoAnswer is an attempt that got no answer in time.
	EvidenceNoAnswer Evidence = "no_answer"
	// EvidenceRefused is an attempt to connect that was refused or reset.
	EvidenceRefused Evidence = "refused"
	// EvidenceBroken is an established connection that was reset or timed out.
	EvidenceBroken Evidence = "broken"
)

// State is the state of the link to one runner.
type State string

// The states of a link.
const (
	// Direct means that nothing speaks against the link.
	Direct State = "direct"
	// Indirect means that this host can't connect to the runner, and another host has connected to
	// it for this one.
	Indirect State = "indirect"
	// Unreachable means that this host can't connect to the runner, neither itself nor through
	// another host.
	Unreachable State = "unreachable"
)

// States lists all states.
var States = []State{Direct, Indirect, Unreachable}

// Group is the runners of a service in one failure domain.
type Group struct {
	Service       string
	FailureDomain string
}

// Counts are the numbers of links that this host has used, by state.
type Counts map[State]int

// lost returns the number of links that don't work.
func (c Counts) lost() int { return c[Indirect] + c[Unreachable] }

// PeerFailure is an attempt to connect to a runner through another host that failed.
type PeerFailure struct {
	// Peer is the address of the other host.
	Peer string
	// Evidence is what the other host found; "" if it found nothing, since it is overloaded or can't
	// be reached.
	Evidence Evidence
	// Partitioned says that the other host has lost most of its own links, so that its evidence says
	// nothing of the runner.
	Partitioned bool
}

// NoPathError says that this host can't connect to a runner, neither itself nor through another
// host.
type NoPathError struct {
	Instance state.InstanceID
	// Direct is the evidence of this host.
	Direct Evidence
	Peers  []PeerFailure
	// Alone says that there is no other host.
	Alone bool
	// RetryAt is when the next attempt is made; attempts before it fail with the same error. Known says
	// that this is such an error: nothing was tried.
	RetryAt time.Time
	Known   bool
}

// Error implements error.
func (e *NoPathError) Error() string {
	found := []string{"this host: " + string(e.Direct)}
	for _, p := range e.Peers {
		what := string(p.Evidence)
		if what == "" {
			what = "not asked"
		}
		if p.Partitioned {
			what += ", partitioned"
		}
		found = append(found, p.Peer+": "+what)
	}
	return fmt.Sprintf("no path to runner %s (%s); choose another runner", e.Instance, strings.Join(found, "; "))
}

// RunnerSilent reports whether the error shows that the runner can't be reached by another host either, one
// that isn't partitioned itself.
func (e *NoPathError) RunnerSilent() bool {
	return e.Alone || slices.ContainsFunc(e.Peers, func(p PeerFailure) bool { return p.Evidence != "" && !p.Partitioned })
}

// Refused reports whether another host that isn't partitioned was refused by the runner.
func (e *NoPathError) Refused() bool {
	return slices.ContainsFunc(e.Peers, func(p PeerFailure) bool { return p.Evidence == EvidenceRefused && !p.Partitioned })
}

// RunEnded reports whether the error shows that nothing listens at the runner's address. A host
// that is refused doesn't prove that by itself: the fault may lie with its own link. It takes
// another host that is refused, too, and that isn't partitioned.
func (e *NoPathError) RunEnded() bool {
	if e.Direct != EvidenceRefused {
		return false
	}
	confirmed := e.Alone
	for _, p := range e.Peers {
		if p.Evidence == EvidenceNoAnswer {
			return false
		}
		confirmed = confirmed || p.Evidence == EvidenceRefused && !p.Partitioned
	}
	return confirmed
}
