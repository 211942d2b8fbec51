// Package account sums up a day of one deployment from its hosts' own logs: for each
// route how many requests were served, refused, given up or cut, how long those were held
// that were not served, and how often prompts were moved between engines.
//
// A caller's attempts have ids of their own, so that a log can't tell a first try from one
// that came back.
package account

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/thymerack/thymerack/coordination/forward"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes.
const (
	// Served requests got a runner's answer, a failure of its own among them.
	Served Outcome = "served"
	// RefusedAtOnce requests were told to come back without having been sent anywhere.
	RefusedAtOnce Outcome = "refused at once"
	// RefusedByRunners requests were sent, and no runner took them.
	RefusedByRunners Outcome = "refused by runners"
	// PrefillTimeout prompts were let in and not read in time.
	PrefillTimeout Outcome = "given up"
	// CallerLeft requests lost their caller before an answer.
	CallerLeft Outcome = "caller left"
	// Unknown requests may have run and got no answer, or were cut.
	Unknown Outcome = "unknown"
	// DeadlinePassed requests had no time left.
	DeadlinePassed Outcome = "deadline"
)

// Route is the account of one route's requests.
type Route struct {
	Name string
	// Requests are counted by outcome.
	Requests map[Outcome]int
	// Moved prompts were sent to more than one engine for reading.
	Moved int
	// held are the times of requests that weren't served.
	held []time.Duration
}

// Total is the number of requests.
func (r *Route) Total() int {
	n := 0
	for _, count := range r.Requests {
		n += count
	}
	return n
}

// Held returns how long requests were held that were not served, by quantile, 0 to 1; 0
// if all were.
func (r *Route) Held(quantile float64) time.Duration {
	if len(r.held) == 0 {
		return 0
	}
	slices.Sort(r.held)
	return r.held[int(quantile*float64(len(r.held)-1))]
}

// logLine is what is read of a host's log logLine about a request.
type logLine struct {
	Message  string `json:"msg"`
	Route    string `json:"route"`
	Status   int    `json:"status"`
	TookMS   int64  `json:"took_ms"`
	Refused  string `json:"refused"`
	Sendings struct {
		Steps string `json:"steps"`
	} `json:"sendings"`
}

// requestEnded is the message of the one line of each request.
const requestEnded = "request ended"

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Read sums up logs; what stands before a line's first brace is passed over, and so are
// lines of other messages. Routes come by name.
func Read(r io.Reader) ([]*Route, error) {
	routes := map[string]*Route{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		raw := lines.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 || !bytes.Contains(raw, []byte(requestEnded)) {
			continue
		}
		var l logLine
		if err := json.Unmarshal(raw[start:], &l); err != nil {
			return nil, fmt.Errorf("line %d of the log is not whole JSON (%w); give the hosts' output as it was written", n, err)
		}
		if l.Message == requestEnded {
			add(routes, l)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("the log can't be read to its end: %w", err)
	}
	var out []*Route
	for _, r := range routes {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

func add(routes map[string]*Route, l logLine) {
	r := routes[l.Route]
	if r == nil {
		r = &Route{Name: l.Route, Requests: map[Outcome]int{}}
		routes[l.Route] = r
	}
	outcome := l.outcome()
	r.Requests[outcome]++
	if outcome != Served {
		r.held = append(r.held, time.Duration(l.TookMS)*time.Millisecond)
	}
	if strings.Count(l.Sendings.Steps, "prefill:") > 1 {
		r.Moved++
	}
}

// outcome reads how the request ended from the reason that its caller was told.
func (l logLine) outcome() Outcome {
	sent := strings.Contains(l.Sendings.Steps, "prefill:") || strings.Contains(l.Sendings.Steps, "run:")
	switch {
	case l.Refused == "":
		return Served
	case l.hasReason(forward.ReasonCancelled), strings.Contains(l.Refused, "caller left"):
		return CallerLeft
	case l.hasReason(forward.ReasonOverload) && sent:
		return PrefillTimeout
	case strings.Contains(l.Refused, "was not run") && l.hasReason(forward.ReasonDeadline):
		return DeadlinePassed
	case strings.Contains(l.Refused, "was not run") && sent:
		return RefusedByRunners
	case strings.Contains(l.Refused, "was not run"):
		return RefusedAtOnce
	default:
		return Unknown
	}
}

// hasReason reports whether the caller was told that reason.
func (l logLine) hasReason(r forward.Reason) bool { return strings.Contains(l.Refused, string(r)) }
