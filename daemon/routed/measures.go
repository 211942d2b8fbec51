package routed

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/coordination/forward"
)

// measures are the host's counters and histograms.
type measures struct{ set *metrics.Set }

func newMeasures() *measures { return &measures{metrics.NewSet()} }

// Answered implements gateway.Observer.
func (m *measures) Answered(service string, status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_answers_total{service=%q,status="%d"}`, service, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`thymerack_answer_seconds{service=%q}`, service)).Update(took.Seconds())
}

// Rejected implements gateway.Observer.
func (m *measures) Rejected(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_rejected_total{reason=%q}`, reason)).Inc()
}

// Turn implements forward.Observer.
func (m *measures) Turn(w forward.Work, t forward.Turn) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`thymerack_turns_total{work=%q,turn=%q}`, w, t)).Inc()
}

// gauge reports a value that is read when the metrics are.
func (m *measures) gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// server serves the metrics as text.
func (m *measures) server() *fasthttp.Server {
	return &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/plain; charset=utf-8")
			m.set.WritePrometheus(ctx)
			metrics.WriteProcessMetrics(ctx)
		},
	}
}
