// Package load sends a mix of requests to the hosts as callers would, checks
// every answer token by token, and sums up what became of the requests.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/standin/service"
)

// statsTimeout is how long a service has to give its counts.
const statsTimeout = 2 * time.Second

// Options are the settings of a run.
type Options struct {
	// Targets are the hosts' ip:port; Services those of the services whose
	// counts are read at the end.
	Targets  []string
	Services []string
	Preset   string
	// Rate is in requests a second; arrivals don't wait for answers.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Swing is the period of the mix's shift; 0 keeps the mix.
	Swing time.Duration
	// Keys maps customers to their callers' keys.
	Keys map[string]string
	// Patience is how long after its deadline an answer is still waited for.
	Patience time.Duration
	// Idle is how long a connection may be silent before it is given up.
	Idle time.Duration
	// ReadyEvery is the period of the balancer's readiness checks.
	ReadyEvery time.Duration
	// MaxInFlight bounds the requests at one time; more are counted as unsent.
	MaxInFlight int64
}

func (o Options) validate(shapes []Shape) error {
	switch {
	case len(o.Targets) == 0:
		return errors.New("no target is given; name the hosts' ip:port")
	case o.Rate <= 0 || o.Duration <= 0:
		return errors.New("the rate or the duration isn't positive; give requests a second and a time")
	case o.Idle <= 0 || o.ReadyEvery <= 0 || o.MaxInFlight < 1:
		return errors.New("idle, ready-every or max-in-flight isn't positive; raise it")
	}
	for _, s := range shapes {
		if o.Keys[s.Customer] == "" {
			return fmt.Errorf("customer %q has no key; add it to the keys", s.Customer)
		}
	}
	return nil
}

// runner is one run.
type runner struct {
	o        Options
	shapes   []Shape
	client   *fasthttp.Client
	balancer *Balancer
	recorder *Recorder
	inFlight atomic.Int64
	unsent   int
}

// Run sends the requests, waits for their ends and reports.
func Run(ctx context.Context, o Options) (*Report, error) {
	shapes, err := Preset(o.Preset)
	if err != nil {
		return nil, err
	}
	if err := o.validate(shapes); err != nil {
		return nil, err
	}
	r := &runner{
		o:        o,
		shapes:   shapes,
		client:   newClient(o.Idle),
		balancer: NewBalancer(o.Targets),
		recorder: NewRecorder(),
	}
	checks, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() { r.balancer.Check(checks, r.client, o.ReadyEvery) })
	r.send(ctx)
	stop()
	wg.Wait()
	return r.report(), nil
}

// send starts every request when it is due and returns after the last answer.
func (r *runner) send(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	generator := NewGenerator(r.shapes, r.o.Rate, r.o.Swing, r.o.Seed)
	start := time.Now()
	for {
		request := generator.Next()
		if request.At > r.o.Duration {
			return
		}
		due := start.Add(request.At)
		pause(ctx, time.Until(due))
		if ctx.Err() != nil {
			return
		}
		if r.inFlight.Load() >= r.o.MaxInFlight {
			r.unsent++
			continue
		}
		r.inFlight.Add(1)
		wg.Go(func() {
			defer r.inFlight.Add(-1)
			result := r.one(ctx, request, due)
			if result.Verdict == VerdictCut || result.Verdict == VerdictWrong {
				slog.Warn("bad answer", "verdict", result.Verdict, "request_id", result.RequestID, "class", result.Class, "reason", result.Reason)
			}
			r.recorder.Add(result)
		})
	}
}

// one takes a request to its end.
func (r *runner) one(ctx context.Context, request Request, due time.Time) Result {
	s := &session{request: request, balancer: r.balancer, patience: r.o.Patience, due: due}
	s.result.Class = request.Shape.Class
	id, err := uuid.NewV7()
	if err != nil {
		return s.final(VerdictRefused, outcome{reason: "no id: " + err.Error()})
	}
	s.result.RequestID = id.String()
	key := r.o.Keys[request.Shape.Customer]
	if request.Shape.Path != "" {
		s.result.Key = id.String()
		return s.run(ctx, &callExchange{
			client: r.client, request: request, id: id.String(), key: key,
			once: id.String(), due: due, result: &s.result,
		})
	}
	body, err := json.Marshal(request.Body)
	if err != nil {
		return s.final(VerdictRefused, outcome{reason: "no body: " + err.Error()})
	}
	return s.run(ctx, &modelExchange{
		client: r.client, request: request, id: id.String(), key: key, due: due,
		body: body, result: &s.result, recorder: r.recorder,
	})
}

// report sums up the run with the services' own counts.
func (r *runner) report() *Report {
	report := &Report{
		Preset:         r.o.Preset,
		Seed:           r.o.Seed,
		Rate:           r.o.Rate,
		Seconds:        r.o.Duration.Seconds(),
		Classes:        r.recorder.report(),
		Unsent:         r.unsent,
		ServicesRead:   []string{},
		ServicesUnread: []string{},
	}
	counts := map[string]int{}
	for _, addr := range r.o.Services {
		stats, err := readStats(r.client, addr)
		if err != nil {
			report.ServicesUnread = append(report.ServicesUnread, addr)
			continue
		}
		report.ServicesRead = append(report.ServicesRead, addr)
		for key, n := range stats.Keys {
			counts[key] += n
		}
	}
	for key, saidNotRun := range r.recorder.keys {
		if counts[key] > 1 {
			report.Doubled++
		}
		if saidNotRun && counts[key] > 0 {
			report.RanAfterAll++
		}
	}
	return report
}

func readStats(client *fasthttp.Client, addr string) (service.Stats, error) {
	var stats service.Stats
	status, body, err := client.GetTimeout(nil, "http://"+addr+"/stats", statsTimeout)
	if err != nil {
		return stats, err
	}
	if status != fasthttp.StatusOK {
		return stats, fmt.Errorf("service %s: status %d", addr, status)
	}
	return stats, json.Unmarshal(body, &stats)
}
