// Package measure keeps a host's metrics: histograms per customer and class, and
// counts by reason, with label sets that stay bounded however many customers
// there are.
package measure

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/thymerack/thymerack/coordination/backpressure"
	"github.com/thymerack/thymerack/coordination/dispatch"
)

// Set is one host's metrics. It is safe for concurrent use.
type Set struct {
	set *metrics.Set
	// series holds the histograms of a customer and class.
	series    sync.Map
	customers *Customers
}

type seriesKey struct{ customer, class string }

type series struct {
	firstToken *metrics.Histogram
	between    *metrics.Histogram
	whole      *metrics.Histogram
	inTime     *metrics.Counter
	late       *metrics.Counter
}

// New returns an empty set. The first maxCustomers customers that send requests get
// a label of their own; the rest share OtherCustomer.
func New(maxCustomers int) *Set {
	return &Set{set: metrics.NewSet(), customers: NewCustomers(maxCustomers)}
}

// Gauge adds a value that is read when the metrics are.
func (s *Set) Gauge(name string, read func() float64) { s.set.NewGauge(name, read) }

// Write writes the metrics, and those of the process, in the text format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (s *Set) of(customer, class string) *series {
	key := seriesKey{s.customers.Label(customer), class}
	if found, ok := s.series.Load(key); ok {
		return found.(*series)
	}
	labels := fmt.Sprintf("{customer=%q,class=%q}", key.customer, key.class)
	made := &series{
		firstToken: s.set.GetOrCreateHistogram("thymerack_first_token_seconds" + labels),
		between:    s.set.GetOrCreateHistogram("thymerack_between_tokens_seconds" + labels),
		whole:      s.set.GetOrCreateHistogram("thymerack_whole_answer_seconds" + labels),
		inTime:     s.set.GetOrCreateCounter("thymerack_answers_in_time_total" + labels),
		late:       s.set.GetOrCreateCounter("thymerack_answers_late_total" + labels),
	}
	found, _ := s.series.LoadOrStore(key, made)
	return found.(*series)
}

// FirstToken implements front.Observer.
func (s *Set) FirstToken(customer, class string, d time.Duration) {
	s.of(customer, class).firstToken.Update(d.Seconds())
}

// BetweenTokens implements front.Observer.
func (s *Set) BetweenTokens(customer, class string, d time.Duration) {
	s.of(customer, class).between.Update(d.Seconds())
}

// Whole implements front.Observer.
func (s *Set) Whole(customer, class string, d time.Duration, inTime bool) {
	of := s.of(customer, class)
	of.whole.Update(d.Seconds())
	if inTime {
		of.inTime.Inc()
	} else {
		of.late.Inc()
	}
}

// Refused implements front.Observer.
func (s *Set) Refused(reason string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("thymerack_refused_total{reason=%q}", reason)).Inc()
}

// ObserveAdvice implements backpressure.Observer.
func (s *Set) ObserveAdvice(service string, k backpressure.Kind) {
	s.set.GetOrCreateCounter(fmt.Sprintf("thymerack_runner_advice_total{service=%q,kind=%q}", service, k)).Inc()
}

// PolicyFailed counts a policy's failure at run time.
func (s *Set) PolicyFailed(policy string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("thymerack_policy_failures_total{policy=%q}", policy)).Inc()
}

// Count implements dispatch.Meter.
func (s *Set) Count(c dispatch.Counter, n int) {
	if n != 0 {
		s.set.GetOrCreateCounter("thymerack_" + string(c) + "_total").Add(n)
	}
}
