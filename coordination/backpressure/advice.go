// Package backpressure keeps what runners ask of hosts in their answers: a limit on the
// requests of all hosts together, a rest for a host that was turned away, and that they leave.
//
// It is kept for each run of a runner: a later run under the same name has asked nothing yet.
// What a runner asks of all hosts is told to them; a rest concerns the host that got it.
package backpressure

import "time"

// Advice is what one answer of a runner asks. The zero value asks nothing.
type Advice struct {
	// Limited says that the runner names a limit: Limit requests a second of all hosts
	// together, 0 or more, for as long as its answers say so.
	Limited bool
	Limit   float64
	// Leaving says that the runner is about to go.
	Leaving bool
	// Backoff is how long the runner, which turned a request away, wants nothing from this
	// host; 0 for none.
	Backoff time.Duration
	// Unreadable are the fields that were there and can't be used.
	Unreadable []Field
}

// Field is a part of an advice, with what the runner wrote.
type Field struct{ Name, Value string }

// nonEmpty reports whether the answer says anything.
func (a Advice) nonEmpty() bool {
	return a.Limited || a.Leaving || a.Backoff > 0 || len(a.Unreadable) > 0
}

// Kind is what an advice is counted by.
type Kind string

// The kinds.
const (
	KindLimit      Kind = "limit"
	KindLifted     Kind = "lifted"
	KindLeaving    Kind = "leaving"
	KindBackoff    Kind = "rest"
	KindUnreadable Kind = "unreadable"
)
