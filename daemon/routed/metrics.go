package routed

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/auth"
	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/follow"
	"github.com/thymerack/thymerack/coordination/forward"
	"github.com/thymerack/thymerack/coordination/origin"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/quota"
	"github.com/thymerack/thymerack/coordination/usage"
	"github.com/thymerack/thymerack/protocol/loadapi"
	"github.com/thymerack/thymerack/transport/callerconn"
	"github.com/thymerack/thymerack/transport/measure"
)

// hostMetrics holds the host's counters and histograms. It is safe for concurrent use.
type hostMetrics struct {
	set *metrics.Set
	// answers maps each answerKey to its *answerMetrics, so that a request doesn't format
	// metric names.
	answers sync.Map
	// byCustomer maps the label of a customer to its histogram.
	customers  *measure.Customers
	byCustomer sync.Map
	// keyChecks counts the key checks by outcome.
	keyChecks map[auth.Outcome]*metrics.Counter
	// versions are the numbers of runners that setVersions set last.
	versions map[placement.Pool]int
	// usage counts requests by customer; nil if usage isn't reported.
	usage *usage.Counter
}

// maxCustomerHistograms bounds the number of customers with their own histogram. These use some
// hundred kilobytes; the smallest hosts have 184 MB of memory.
const maxCustomerHistograms = 200

// answerKey is the key by which answers are counted.
type answerKey struct {
	class  forward.Class
	status int
}

// answerMetrics are the metrics of one answerKey; took is in seconds.
type answerMetrics struct {
	count *metrics.Counter
	took  *metrics.Histogram
}

func newHostMetrics() *hostMetrics {
	m := &hostMetrics{set: metrics.NewSet(), customers: measure.NewCustomers(maxCustomerHistograms), keyChecks: map[auth.Outcome]*metrics.Counter{}}
	for _, o := range []auth.Outcome{auth.OutcomeServed, auth.OutcomeUnknown, auth.OutcomeUnproven} {
		m.keyChecks[o] = m.set.NewCounter(fmt.Sprintf(`thymerack_keys_checked_total{outcome=%q}`, o))
	}
	return m
}

// Answered implements gateway.Observer.
func (m *hostMetrics) Answered(r *forward.Request, status int, took time.Duration) {
	key := answerKey{r.Class(), status}
	known, ok := m.answers.Load(key)
	if !ok {
		known, _ = m.answers.LoadOrStore(key, m.newAnswerMetrics(key))
	}
	a := known.(*answerMetrics)
	a.count.Inc()
	a.took.Update(took.Seconds())
	if r.Customer != nil {
		m.customerHistogram(r.Customer.Name).Update(took.Seconds())
	}
}

// customerHistogram returns the histogram of the answer times of a customer.
func (m *hostMetrics) customerHistogram(name string) *metrics.Histogram {
	label := m.customers.Label(name)
	known, ok := m.byCustomer.Load(label)
	if !ok {
		made := m.set.GetOrCreateHistogram(fmt.Sprintf(`thymerack_customer_answer_seconds{customer=%q}`, label))
		known, _ = m.byCustomer.LoadOrStore(label, made)
	}
	return known.(*metrics.Histogram)
}

// newAnswerMetrics registers the metrics of a key. The histogram covers all statuses of its class.
func (m *hostMetrics) newAnswerMetrics(key answerKey) *answerMetrics {
	class := fmt.Sprintf(`service=%q,kind=%q,priority="%d"`, key.class.Service, key.class.Kind, key.class.Priority)
	return &answerMetrics{
		count: m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_answers_total{%s,status="%d"}`, class, key.status)),
		took:  m.set.GetOrCreateHistogram(fmt.Sprintf(`thymerack_answer_seconds{%s}`, class)),
	}
}

// Rejected implements gateway.Observer.
func (m *hostMetrics) Rejected(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_rejected_total{reason=%q}`, reason)).Inc()
}

// acceptFailures returns a function that counts the failed accepts of a listener.
func (m *hostMetrics) acceptFailures(use string) (failed func()) {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_accept_failures_total{use=%q}`, use)).Inc
}

// ConnectionEnded implements gateway.Observer.
func (m *hostMetrics) ConnectionEnded(cause callerconn.Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_caller_connections_ended_total{cause=%q}`, cause)).Inc()
}

// ObserveCheck implements auth.Observer.
func (m *hostMetrics) ObserveCheck(o auth.Outcome, _ time.Duration) { m.keyChecks[o].Inc() }

// ObserveQuota implements quota.Observer.
func (m *hostMetrics) ObserveQuota(customer string, o quota.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_quota_requests_total{customer=%q,outcome=%q}`, m.customers.Label(customer), o)).Inc()
}

// Admitted implements forward.Observer.
func (m *hostMetrics) Admitted(w forward.Phase, t forward.ReservationKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_turns_total{work=%q,turn=%q}`, w, t)).Inc()
}

// PrefillOrdered implements forward.Observer. Of customers, only those that were deferred for their
// share are counted by name.
func (m *hostMetrics) PrefillOrdered(r *forward.Request, o contention.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_prefills_ordered_total{level="%d",outcome=%q}`, r.Contention.Level, o)).Inc()
	if o == contention.Deferred && r.Customer != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_customer_prefills_deferred_total{customer=%q}`, m.customers.Label(r.Customer.Name))).Inc()
	}
}

// PrefillDone implements forward.Observer.
func (m *hostMetrics) PrefillDone(service string, predicted, took time.Duration) {
	if predicted > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`thymerack_reading_ratio{service=%q}`, service)).Update(took.Seconds() / predicted.Seconds())
	}
}

// PrefillPlaced implements forward.Observer.
func (m *hostMetrics) PrefillPlaced(service string, reason forward.CrossDomainReason, fetchesAcross bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_prefills_total{service=%q,other_domain=%q}`, service, reason)).Inc()
	if fetchesAcross {
		m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_prefix_fetches_between_domains_total{service=%q}`, service)).Inc()
	}
}

// BodyEnded implements forward.Observer.
func (m *hostMetrics) BodyEnded(service string, e forward.BodyEnd) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_response_bodies_total{service=%q,end=%q}`, service, e)).Inc()
}

// LongAnswer implements forward.Observer.
func (m *hostMetrics) LongAnswer(service string, o forward.LongAnswerOutcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_long_answers_total{service=%q,outcome=%q}`, service, o)).Inc()
}

// StreamEnded implements forward.Observer.
func (m *hostMetrics) StreamEnded(service string, e forward.StreamEnd) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_streams_ended_total{service=%q,end=%q}`, service, e)).Inc()
}

// SilentRun implements forward.Observer.
func (m *hostMetrics) SilentRun(service string, o forward.SilentRunOutcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_silent_runs_total{service=%q,outcome=%q}`, service, o)).Inc()
}

// VersionAsked implements origin.Observer.
func (m *hostMetrics) VersionAsked(service string, s origin.Source) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_streams_resumed_total{service=%q,known_by=%q}`, service, s)).Inc()
}

// BegunUnnoted implements origin.Observer.
func (m *hostMetrics) BegunUnnoted(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_streams_begun_unnoted_total{service=%q}`, service)).Inc()
}

// OriginWritten implements origin.Observer.
func (m *hostMetrics) OriginWritten(service string, acknowledged bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_stream_origins_written_total{service=%q,acknowledged="%t"}`, service, acknowledged)).Inc()
}

// RequestHeld implements forward.Observer.
func (m *hostMetrics) RequestHeld(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_held_total{service=%q}`, service)).Inc()
}

// SentToUnconfirmed implements forward.Observer.
func (m *hostMetrics) SentToUnconfirmed(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_sent_to_unconfirmed_total{service=%q}`, service)).Inc()
}

// observeDeparture records how late this host learned that an instance leaves.
func (m *hostMetrics) observeDeparture(d follow.Departure, age time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`thymerack_departure_age_seconds{change=%q}`, d)).Update(age.Seconds())
}

// RequestStarted implements forward.Observer.
func (m *hostMetrics) RequestStarted(customer string, at time.Time) {
	if m.usage != nil {
		m.usage.Inc(customer, at)
	}
}

// countUnusableEntry counts a version of an entry in the list of instances that can't be decoded.
func (m *hostMetrics) countUnusableEntry() {
	m.set.GetOrCreateCounter("thymerack_unusable_entries_total").Inc()
}

// ObserveAdvice implements backpressure.Observer.
func (m *hostMetrics) ObserveAdvice(service string, k backpressure.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_runner_advice_total{service=%q,kind=%q}`, service, k)).Inc()
}

// countCrash counts a crashed runner and the requests that this host had in progress there. A late
// report only adds requests to a crash that is already counted.
func (m *hostMetrics) countCrash(r crash.Report) {
	if !r.Late {
		m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_runners_crashed_total{service=%q}`, r.Instance.Service)).Inc()
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_crashed_requests_total{service=%q}`, r.Instance.Service)).Add(len(r.Suspects))
}

// setVersions sets the numbers of runners that accept work, by service and version; those that have none any more
// are 0. Calls must not overlap.
func (m *hostMetrics) setVersions(runners map[placement.Pool]int) {
	for p := range m.versions {
		if runners[p] == 0 {
			m.versionGauge(p).Set(0)
		}
	}
	for p, n := range runners {
		m.versionGauge(p).Set(float64(n))
	}
	m.versions = runners
}

func (m *hostMetrics) versionGauge(p placement.Pool) *metrics.Gauge {
	return m.set.GetOrCreateGauge(fmt.Sprintf(`thymerack_runners{service=%q,runner_version=%q}`, p.Service, p.Version), nil)
}

// gauge registers a gauge whose value is read when the metrics are scraped.
func (m *hostMetrics) gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// server returns a server of the metrics in the Prometheus text format, and of the host's load at
// loadapi.Path.
func (m *hostMetrics) server(serveLoad fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == loadapi.Path {
				serveLoad(ctx)
				return
			}
			ctx.SetContentType("text/plain; charset=utf-8")
			m.set.WritePrometheus(ctx)
			metrics.WriteProcessMetrics(ctx)
		},
	}
}
