// Package account summarizes a day of one deployment from its hosts' logs: for each route, how
// many requests were served, refused, abandoned or interrupted, how long the requests that
// weren't served were held, and how often prompts were moved between engines.
//
// Each attempt of a caller has a request id of its own, so that the log doesn't distinguish a
// first attempt from a retry.
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

// Outcomes of requests.
const (
	// Served requests got a runner's response, even if it was an error of the runner's own.
	Served Outcome = "served"
	// RefusedAtOnce requests were refused without having been sent to a runner.
	RefusedAtOnce Outcome = "refused at once"
	// RefusedByRunners requests were sent, and no runner accepted them.
	RefusedByRunners Outcome = "refused by runners"
	// PrefillTimeout requests were admitted, and their prefill didn't finish in time.
	PrefillTimeout Outcome = "given up"
	// CallerLeft requests lost their caller before a response.
	CallerLeft Outcome = "caller left"
	// Unknown requests may have run and got no response, or an interrupted one.
	Unknown Outcome = "unknown"
	// DeadlinePassed requests weren't run before their deadline.
	DeadlinePassed Outcome = "deadline"
)

// Route summarizes the requests of one route.
type Route struct {
	Name string
	// Requests holds the number of requests by outcome.
	Requests map[Outcome]int
	// Moved is the number of requests with more than one prefill attempt.
	Moved int
	// Orders holds the prompts by their order at an engine.
	Orders map[Order]*OrderCount
	// CrossDomain holds the number of prompts that were prefilled in another failure domain, by the
	// reason.
	CrossDomain map[string]int
	// held holds the durations of the requests that weren't served.
	held []time.Duration
}

// Total returns the number of requests.
func (r *Route) Total() int {
	n := 0
	for _, count := range r.Requests {
		n += count
	}
	return n
}

// Held returns a quantile (0 to 1) of how long the requests that weren't served were held; 0
// if all were served.
func (r *Route) Held(quantile float64) time.Duration {
	if len(r.held) == 0 {
		return 0
	}
	slices.Sort(r.held)
	return r.held[int(quantile*float64(len(r.held)-1))]
}

// logLine holds the decoded fields of a host's log line about a request.
type logLine struct {
	Message     string `json:"msg"`
	Route       string `json:"route"`
	Status      int    `json:"status"`
	TookMS      int64  `json:"took_ms"`
	Refused     string `json:"refused"`
	CrossDomain string `json:"cross_domain_prefill"`
	Sendings    struct {
		Steps   string `json:"steps"`
		Urgency int    `json:"urgency"`
		Rank    int    `json:"rank"`
		Order   string `json:"order"`
	} `json:"sendings"`
}

// requestEnded is the message of the log line that each request has once.
const requestEnded = "request ended"

// maxLineBytes bounds the length of a log line, in bytes.
const maxLineBytes = 1 << 20

// Read summarizes logs, one Route for each route, sorted by name. It skips any prefix before
// the first brace of a line, and lines with other messages. An error names the line that can't
// be decoded.
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

// add counts the request of a log line in its route.
func add(routes map[string]*Route, l logLine) {
	r := routes[l.Route]
	if r == nil {
		r = &Route{Name: l.Route, Requests: map[Outcome]int{}, Orders: map[Order]*OrderCount{}, CrossDomain: map[string]int{}}
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
	if l.CrossDomain != "" {
		r.CrossDomain[l.CrossDomain]++
	}
	r.addOrder(l)
}

// outcome derives the outcome from the refusal that the caller got and the steps of the request.
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

// hasReason reports whether the refusal names the given reason.
func (l logLine) hasReason(r forward.Reason) bool { return strings.Contains(l.Refused, string(r)) }
