// Package backpressure keeps the advice that runners give in the headers of their answers:
// a limit on the request rate of all hosts together, a backoff (Retry-After) for a host
// whose request was turned away, and the announcement that the runner is leaving.
//
// Advice belongs to one run of a runner, that is, to one process: after a restart under the
// same name the runner has given none yet. Limits and announcements concern all hosts and
// are broadcast to them; a backoff concerns only the host that received it.
package backpressure

import "time"

// Advice is the advice in one answer of a runner. The zero value contains none.
type Advice struct {
	// Limited reports whether the runner sets a limit. Limit is the number of requests per
	// second, 0 or more, that it accepts from all hosts together. It stays in force while
	// the answers contain it.
	Limited bool
	Limit   float64
	// Leaving reports that the runner is about to shut down.
	Leaving bool
	// Backoff is how long this host may send no further request to the runner, which turned
	// one away; 0 if it asks for none.
	Backoff time.Duration
	// Unreadable lists the header fields that are present but can't be parsed.
	Unreadable []Field
}

// Field is a header field with its value as the runner sent it.
type Field struct{ Name, Value string }

// nonEmpty reports whether the answer contains any advice, unreadable fields included.
func (a Advice) nonEmpty() bool {
	return a.Limited || a.Leaving || a.Backoff > 0 || len(a.Unreadable) > 0
}

// Kind is a kind of advice, by which advice is counted.
type Kind string

// The kinds of advice, as named in notices and metrics. KindLifted is the end of a limit,
// KindUnreadable a header field that can't be parsed.
const (
	KindLimit      Kind = "limit"
	KindLifted     Kind = "lifted"
	KindLeaving    Kind = "leaving"
	KindBackoff    Kind = "rest"
	KindUnreadable Kind = "unreadable"
)
