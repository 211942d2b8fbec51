// Package propagation divides the time in which a change at the platform's store must be in force at
// every host among the steps on the change's way: the store's answer, pauses, retries, relays, and the
// time for which a host keeps instances whose entries are missing. Each step takes its delay from
// Delays, so that no path through them exceeds the bounds of the deployment.
package propagation

import (
	"cmp"
	"time"
)

// Bounds are the limits that a deployment sets.
type Bounds struct {
	// InForce is the time from the store's acknowledgement of a change until the change must be in
	// force at every host. 0 means defaultInForce.
	InForce time.Duration
	// Contact is how long a host must have been undisturbed, and in contact with the store, before
	// InForce binds it. 0 means defaultContact.
	Contact time.Duration
}

// The bounds of a deployment whose settings name none: the shortest of all known deployments.
const (
	defaultInForce = 2 * time.Second
	defaultContact = 3 * time.Second
)

const (
	// RelaySlack is how much longer than the requested wait a relay's answer may take: a host with a
	// fifth of a core stalls for a tenth of a second at times.
	RelaySlack = 250 * time.Millisecond
	// HoldCheck is the interval at which the end of holds is checked.
	HoldCheck = 100 * time.Millisecond
	// maxHold is how long after the return of the platform's store entries of live instances may be
	// missing: "about two seconds" by its documentation.
	maxHold = 2100 * time.Millisecond
	// maxRelayBackoff is the longest pause before a relay is asked again that lost the store. Such a
	// relay calls the store about every second itself.
	maxRelayBackoff = 1250 * time.Millisecond
	// maxCoalesce is the longest pause after a watch that returned changes.
	maxCoalesce = time.Second
)

// Delays are the longest delays of the steps. The zero value isn't usable; call New.
type Delays struct {
	// WatchWait is how long a watch waits at the store for a change, and AnswerTimeout how much longer
	// its answer may take; AnswerTimeout is also the time for the answer to a poll.
	WatchWait, AnswerTimeout time.Duration
	// ListTimeout is the time for the answer to a list of a host that has a copy: after a watch that was
	// cut, or a gap in the store's history.
	ListTimeout time.Duration
	// Coalesce is the pause before the next watch after one that returned changes, and between two
	// lists from a store that has no history.
	Coalesce time.Duration
	// Retry is the pause between two calls to a store that doesn't answer, with its jitter.
	Retry time.Duration
	// PeerCopyWait is how long a copy that the store doesn't answer waits for the answer to another
	// copy of the same host.
	PeerCopyWait time.Duration
	// RelayWait is how long a fetch waits at a relay for a change, and RelaySlack how much longer its
	// answer may take.
	RelayWait, RelaySlack time.Duration
	// RelayBackoff is how long a relay isn't asked that reported that it lost the store, with its jitter.
	RelayBackoff time.Duration
	// OutageHold is how long an instance stays listed whose entry goes missing while the store doesn't
	// answer this host, though it answers a peer.
	OutageHold time.Duration
	// Hold is how long after the store's return, as this host notices it, instances stay listed whose
	// entries are missing, and HoldCheck how much later they may be removed.
	Hold, HoldCheck time.Duration
	// Reserve is left for what has no timeout: a stalled process, and the way to the runner from the
	// last check of its state.
	Reserve time.Duration
}

// New returns the delays that fit the bounds.
func New(b Bounds) Delays {
	inForce, contact := cmp.Or(b.InForce, defaultInForce), cmp.Or(b.Contact, defaultContact)
	answer, retry := min(inForce, contact)/4, contact/4
	reserve, relayWait := inForce/8, inForce/4
	return Delays{
		WatchWait:     contact - 2*answer - reserve,
		AnswerTimeout: answer,
		ListTimeout:   answer,
		Coalesce:      min(maxCoalesce, inForce-relayWait-RelaySlack-reserve),
		Retry:         retry,
		PeerCopyWait:  answer + retry,
		RelayWait:     relayWait,
		RelaySlack:    RelaySlack,
		RelayBackoff:  min(maxRelayBackoff, contact-answer-retry-reserve),
		OutageHold:    inForce - HoldCheck - reserve,
		Hold:          min(maxHold, contact-answer-retry-HoldCheck-reserve),
		HoldCheck:     HoldCheck,
		Reserve:       reserve,
	}
}

// Path is a way of a change, or of the news of a disturbance, through steps that follow each other.
type Path struct {
	Name  string
	Steps []Step
	// Limit is the time that the steps may take together.
	Limit time.Duration
}

// Step is one step of a path with its longest delay.
type Step struct {
	Name  string
	Delay time.Duration
}

// Sum returns the time that the steps take together.
func (p Path) Sum() time.Duration {
	var sum time.Duration
	for _, s := range p.Steps {
		sum += s.Delay
	}
	return sum
}

// Paths returns the longest path for each single fault, with the delays d under the bounds b. The
// limit is InForce from the acknowledgement of a change, and Contact from the end of a disturbance of
// the host or of its connections: from then on InForce binds the host again.
func (d Delays) Paths(b Bounds) []Path {
	inForce, contact := cmp.Or(b.InForce, defaultInForce), cmp.Or(b.Contact, defaultContact)
	coalesce, reserve := Step{"pause after changes", d.Coalesce}, Step{"reserve", d.Reserve}
	list := Step{"list", d.ListTimeout}
	// The store's return is noticed by the first call that begins after it.
	hung, retry := Step{"call without an answer", d.AnswerTimeout}, Step{"pause before the next call", d.Retry}
	return []Path{
		{"no fault", []Step{coalesce, reserve}, inForce},
		{"a watch is cut or its history is gone", []Step{coalesce, list, reserve}, inForce},
		{"the history is gone each time", []Step{coalesce, list, reserve}, inForce},
		{"a relay is lost", []Step{coalesce, {"fetch", d.RelayWait}, {"answer of the relay", d.RelaySlack}, reserve}, inForce},
		{"the answer to a watch is lost", []Step{{"watch", d.WatchWait}, {"its answer", d.AnswerTimeout}, list, reserve}, contact},
		{"the store was silent", []Step{hung, retry, reserve}, contact},
		{"the store was silent, another copy calls it", []Step{{"wait for that copy", d.PeerCopyWait}, reserve}, contact},
		{"the store was silent to the relays of a host", []Step{hung, retry, {"pause before the next fetch", d.RelayBackoff}, reserve}, contact},
		{"an entry is removed while the store is silent to this host", []Step{{"hold", d.OutageHold}, {"check of holds", d.HoldCheck}, reserve}, inForce},
		{"an entry was removed while the store was silent", []Step{hung, retry, {"hold", d.Hold}, {"check of holds", d.HoldCheck}, reserve}, contact},
	}
}
