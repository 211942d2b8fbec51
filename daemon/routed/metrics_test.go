package routed

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/measure"
)

// Long prompts and short questions of one service use routes of different kind or priority, and
// each class has its own histogram.
func TestAnswerMetricsByClass(t *testing.T) {
	is := is.New(t)
	m := newHostMetrics()
	request := func(priority int) *forward.Request {
		return &forward.Request{Service: "llm", Route: &state.Route{Kind: state.RouteStream, Priority: priority}}
	}
	urgent, question := request(0), request(1)
	m.Answered(urgent, 200, 50*time.Millisecond)
	m.Answered(urgent, 200, 60*time.Millisecond)
	m.Answered(urgent, 503, time.Millisecond)
	m.Answered(question, 200, 3*time.Second)
	m.PrefillDone("llm", 500*time.Millisecond, time.Second)
	m.PrefillDone("llm", 0, time.Second) // no prediction, not counted
	var out strings.Builder
	m.set.WritePrometheus(&out)
	for _, line := range []string{
		`thymerack_answers_total{service="llm",kind="stream",priority="0",status="200"} 2`,
		`thymerack_answers_total{service="llm",kind="stream",priority="0",status="503"} 1`,
		`thymerack_answers_total{service="llm",kind="stream",priority="1",status="200"} 1`,
		`thymerack_answer_seconds_count{service="llm",kind="stream",priority="0"} 3`,
		`thymerack_answer_seconds_count{service="llm",kind="stream",priority="1"} 1`,
		`thymerack_reading_ratio_sum{service="llm"} 2`,
		`thymerack_reading_ratio_count{service="llm"} 1`,
	} {
		is.True(strings.Contains(out.String(), line+"\n")) // the metric of the class
	}
}

// Each customer has its own histogram up to a maximum number, tested with 1,700 customers.
func TestAnswerMetricsByCustomer(t *testing.T) {
	is := is.New(t)
	m := newHostMetrics()
	route := &state.Route{Kind: state.RouteSafe}
	for i := range 1700 {
		r := &forward.Request{Service: "app", Route: route, Customer: &state.Customer{Name: fmt.Sprint("c", i)}}
		m.Answered(r, 200, 10*time.Millisecond)
		m.Answered(r, 200, 10*time.Millisecond)
	}
	m.Answered(&forward.Request{Service: "app", Route: route}, 200, time.Millisecond) // a public route has no customer
	var out strings.Builder
	m.set.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), `thymerack_customer_answer_seconds_count{customer="c0"} 2`+"\n"))
	is.True(strings.Contains(out.String(), fmt.Sprintf("thymerack_customer_answer_seconds_count{customer=%q} %d\n", measure.OtherCustomer, 2*(1700-maxCustomerHistograms))))
	is.Equal(strings.Count(out.String(), "thymerack_customer_answer_seconds_count"), maxCustomerHistograms+1)
}

// Prefills are counted by level and outcome, and the deferred ones by a bounded number of customers.
func TestPrefillsByOrder(t *testing.T) {
	is := is.New(t)
	m := newHostMetrics()
	for i := range 1700 {
		r := &forward.Request{Customer: &state.Customer{Name: fmt.Sprint("c", i)}, Contention: contention.Class{Level: 2, Levels: 3}}
		m.PrefillOrdered(r, contention.Deferred)
	}
	m.PrefillOrdered(&forward.Request{}, contention.Late)
	var out strings.Builder
	m.set.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), `thymerack_prefills_ordered_total{level="2",outcome="deferred_share"} 1700`+"\n"))
	is.True(strings.Contains(out.String(), `thymerack_prefills_ordered_total{level="0",outcome="late"} 1`+"\n"))
	is.Equal(strings.Count(out.String(), "thymerack_customer_prefills_deferred_total"), maxCustomerHistograms+1)
}

// Guards against metrics that can't tell a host that learned late of a leaving runner from one that
// sent to a runner whose entry was missing.
func TestDepartureMetrics(t *testing.T) {
	is := is.New(t)
	m := newHostMetrics()
	m.observeDeparture(follow.DepartureDraining, 300*time.Millisecond)
	m.observeDeparture(follow.DepartureHeld, 2*time.Second)
	m.SentToUnconfirmed("llm")
	var out strings.Builder
	m.set.WritePrometheus(&out)
	for _, line := range []string{
		`thymerack_departure_age_seconds_sum{change="draining"} 0.3`,
		`thymerack_departure_age_seconds_sum{change="held"} 2`,
		`thymerack_sent_to_unconfirmed_total{service="llm"} 1`,
	} {
		is.True(strings.Contains(out.String(), line+"\n"))
	}
}

// Guards against metrics that can't tell a body that is known to be whole from one that ended with its
// connection.
func TestBodyEndMetrics(t *testing.T) {
	is := is.New(t)
	m := newHostMetrics()
	m.BodyEnded("llm", forward.EndConnection)
	m.BodyEnded("llm", forward.EndFramed)
	m.BodyEnded("llm", forward.EndFramed)
	var out strings.Builder
	m.set.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), `thymerack_response_bodies_total{service="llm",end="connection"} 1`+"\n"))
	is.True(strings.Contains(out.String(), `thymerack_response_bodies_total{service="llm",end="framed"} 2`+"\n"))
}

func TestLongAnswerMetrics(t *testing.T) {
	is := is.New(t)
	m := newHostMetrics()
	m.LongAnswer("app", forward.LongAnswerDropped)
	var out strings.Builder
	m.set.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), `thymerack_long_answers_total{service="app",outcome="dropped"} 1`+"\n"))
}

func TestVersionMetrics(t *testing.T) {
	is := is.New(t)
	m := newHostMetrics()
	m.setVersions(map[placement.Pool]int{{Service: "llm", Version: "v1"}: 6})
	m.setVersions(map[placement.Pool]int{{Service: "llm", Version: "v1.1"}: 4})
	var out strings.Builder
	m.set.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), `thymerack_runners{service="llm",runner_version="v1"} 0`+"\n"))
	is.True(strings.Contains(out.String(), `thymerack_runners{service="llm",runner_version="v1.1"} 4`+"\n"))
}
