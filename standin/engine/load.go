package engine

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Sample takes load samples until ctx ends.
func (e *Engine) Sample(ctx context.Context) {
	ticker := time.NewTicker(e.o.SampleEvery)
	defer ticker.Stop()
	for {
		e.takeSample()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// takeSample keeps the samples that are needed to serve one with the lag.
func (e *Engine) takeSample() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples = append(e.samples, e.report())
	keep := int(e.o.ReportLag/e.o.SampleEvery) + 2
	if over := len(e.samples) - keep; over > 0 {
		e.samples = append([]state.LoadReport(nil), e.samples[over:]...)
	}
}

// report is the present load; e.mu is held.
func (e *Engine) report() state.LoadReport {
	prefill, decode := e.speeds(len(e.queue.running))
	r := state.LoadReport{
		Engine:                 e.o.Name,
		Incarnation:            e.incarnation,
		TakenAt:                time.Now(),
		Shown:                  e.target,
		Fence:                  e.fence,
		Changing:               e.change != nil,
		DecodeRunning:          int64(len(e.queue.running)),
		PrefillTokensPerSecond: prefill / e.faults.slowdown(),
		DecodeStepMillis:       float64(decode) / float64(time.Millisecond) * e.faults.slowdown(),
	}
	for _, s := range e.queue.all() {
		r.PrefillBacklogTokens += int64(s.pending)
		r.DecodeBacklogTokens += int64(s.left())
	}
	return r
}

// Load returns the youngest sample that is as old as the lag, or the oldest one
// while there is none.
func (e *Engine) Load() state.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.samples) == 0 {
		return e.report()
	}
	served := e.samples[0]
	told := time.Now().Add(-e.o.ReportLag)
	for _, r := range e.samples {
		if !r.TakenAt.After(told) {
			served = r
		}
	}
	return served
}
