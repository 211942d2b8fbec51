package account

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sampleLog has one line for most outcomes, one with a prefix, and two that are not of requests.
const sampleLog = `
  3.1 front-1 {"msg":"request ended","route":"a","status":200,"took_ms":80,"sendings":{"steps":"prefill:e1:unknown:300ms/40ms prefill:e2:prefilled:30ms/31ms run:e3:answered:9ms"}}
{"msg":"request ended","route":"a","status":0,"took_ms":4,"refused":"the request was not run (overloaded); send it again after 1s","sendings":{"steps":"place:e1:full:3000ms"}}
{"msg":"request ended","route":"a","status":0,"took_ms":1900,"refused":"the request was not run (overloaded); send it again after 1s","sendings":{"steps":"prefill:e1:unknown:1890ms/90ms"}}
{"msg":"request ended","route":"a","status":0,"took_ms":20,"refused":"the request was not run (runners_full); send it again after 100ms","sendings":{"steps":"prefill:e1:prefilled:10ms run:e2:not_run:1ms"}}
{"msg":"request ended","route":"b","status":0,"took_ms":2000,"refused":"the request was not run (caller_left); send it again as a new request","sendings":{"steps":""}}
{"msg":"request ended","route":"b","status":0,"took_ms":600,"refused":"the request got no answer (deadline_passed) and may have run; check its effect before sending it again","sendings":{"steps":"run:e1:unknown:600ms"}}
{"msg":"engine ordered","route":"b"}
no line of ours
`

// Requests are counted by route and outcome; lines without a request are skipped.
func TestRequestsAreCountedByRouteAndOutcome(t *testing.T) {
	is := is.New(t)
	routes, err := Read(strings.NewReader(sampleLog))
	is.NoErr(err)
	is.Equal(len(routes), 2)
	a, b := routes[0], routes[1]
	is.Equal(a.Name, "a")
	is.Equal(a.Requests, map[Outcome]int{Served: 1, RefusedAtOnce: 1, PrefillTimeout: 1, RefusedByRunners: 1})
	is.Equal(a.Moved, 1)
	is.Equal(a.Total(), 4)
	is.Equal(a.Held(0), 4*time.Millisecond)
	is.Equal(a.Held(0.5), 20*time.Millisecond)
	is.Equal(a.Held(1), 1900*time.Millisecond)
	is.Equal(b.Requests, map[Outcome]int{CallerLeft: 1, Unknown: 1})
	is.Equal(b.Moved, 0)
}

// A log line that isn't complete JSON is an error that names the line; an empty log has no routes.
func TestBrokenLogNamesItsLine(t *testing.T) {
	is := is.New(t)
	_, err := Read(strings.NewReader("{}\n{\"msg\":\"request ended\",\"rou"))
	is.True(err != nil && strings.Contains(err.Error(), "line 2"))
	routes, err := Read(strings.NewReader(""))
	is.NoErr(err)
	is.Equal(len(routes), 0)
}
