// Package probe collects the load reports and the health of upstreams and passes them to
// the keeper of views.
//
// Probes have a budget for the whole host: a base rate plus a number per request. Their
// cost therefore neither grows with the number of runners nor exceeds what the traffic
// justifies. The budget is spent on the runners whose data is oldest; the age counts four
// times for runners that are in use, failing or unhealthy.
package probe

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

const (
	// stepInterval is the time between two batches of probes. Each batch costs at most one
	// new view, however many reports it brings, and on an idle host the wakeup costs more
	// than the probes. Load reports lag by more than this anyway.
	stepInterval = 250 * time.Millisecond
	// busyWeight is the factor for the age of the data on a runner that is in use, failing
	// or unhealthy.
	busyWeight = 4
)

// Options configures a Prober. All fields are required.
type Options struct {
	Keeper  *snapshot.Keeper
	Checker upstream.Checker
	Clock   state.Clock
	// PerSecond is the base rate in probes per second for all runners together.
	PerSecond float64
	// PerRequest is the number of additional probes per request of this host.
	PerRequest float64
	// Requests returns the number of requests of this host since it started.
	Requests func() uint64
	// MinInterval is the shortest time between two probes of one runner.
	MinInterval time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
	// FailureThreshold is the number of consecutive failures after which a runner gets no
	// new work.
	FailureThreshold int
	// MaxConcurrent bounds the probes that are under way at the same time.
	MaxConcurrent int
}

// Prober probes the runners of the present view. It is not safe for concurrent use.
type Prober struct {
	o Options
	// tokens is the number of probes that may be sent, as of refilledAt, when
	// Options.Requests returned requests.
	tokens     float64
	refilledAt time.Time
	requests   uint64
	records    map[string]*record
}

// record is the probe state of one runner. probedAt is zero before its first probe,
// failures counts consecutive ones, and inView marks the runners of the present view for
// removeUnlisted.
type record struct {
	incarnation string
	probedAt    time.Time
	failures    int
	inView      bool
}

// New returns an error if an option is missing or out of range.
func New(o Options) (*Prober, error) {
	if o.Keeper == nil || o.Checker == nil || o.Clock == nil || o.Requests == nil {
		return nil, errors.New("probe: Keeper, Checker, Clock and Requests are required; set them")
	}
	if o.PerSecond <= 0 || o.PerRequest < 0 || o.MinInterval <= 0 || o.Timeout <= 0 || o.FailureThreshold < 1 || o.MaxConcurrent < 1 {
		return nil, errors.New("probe: PerSecond, MinInterval, Timeout, FailureThreshold and MaxConcurrent must be positive")
	}
	return &Prober{o: o, records: map[string]*record{}}, nil
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	for {
		p.Step(ctx)
		if err := p.o.Clock.Sleep(ctx, stepInterval); err != nil {
			return err
		}
	}
}

// Step sends the probes that are due and waits for their outcomes.
func (p *Prober) Step(ctx context.Context) {
	p.refill()
	runners := p.selectRunners()
	outcomes := make([]outcome, len(runners))
	probes := pool.New().WithMaxGoroutines(p.o.MaxConcurrent)
	for i, u := range runners {
		probes.Go(func() { outcomes[i] = p.probe(ctx, u) })
	}
	probes.Wait()
	p.applyOutcomes(outcomes)
}

// refill adds tokens for the time and the requests since the last step. The unused ones are
// limited to those of a second at the base rate, or to MaxConcurrent if that is more.
func (p *Prober) refill() {
	now, requests := p.o.Clock.Now(), p.o.Requests()
	if !p.refilledAt.IsZero() {
		p.tokens += p.o.PerSecond * now.Sub(p.refilledAt).Seconds()
	}
	p.tokens += p.o.PerRequest * float64(requests-p.requests)
	p.refilledAt, p.requests = now, requests
	capacity := max(p.o.PerSecond, float64(p.o.MaxConcurrent))
	p.tokens = min(p.tokens, capacity)
}

// candidate is a runner that may be probed, with the age of its data times its weight.
type candidate struct {
	upstream    state.Upstream
	weightedAge time.Duration
}

// selectRunners returns the runners to probe. A runner that was never probed costs no
// token: its first report is worth more than the budget of a second.
func (p *Prober) selectRunners() []state.Upstream {
	now := p.o.Clock.Now()
	view := p.o.Keeper.View()
	var unprobed []state.Upstream
	var candidates []candidate
	for _, rec := range p.records {
		rec.inView = false
	}
	for i := range view.Runners {
		runner := &view.Runners[i]
		rec := p.records[runner.Name]
		if rec == nil || rec.incarnation != runner.Incarnation {
			rec = &record{incarnation: runner.Incarnation}
			p.records[runner.Name] = rec
		}
		rec.inView = true
		age := now.Sub(rec.probedAt)
		switch {
		case rec.probedAt.IsZero():
			unprobed = append(unprobed, runner.Upstream)
		case age < p.o.MinInterval:
		case rec.failures > 0 || runner.Unhealthy || runner.InFlight.Load().Requests > 0:
			candidates = append(candidates, candidate{runner.Upstream, busyWeight * age})
		default:
			candidates = append(candidates, candidate{runner.Upstream, age})
		}
	}
	p.removeUnlisted()
	return append(unprobed, p.spendTokens(candidates)...)
}

// spendTokens returns the candidates of the largest weighted age, as many as there are
// tokens, and takes the tokens.
func (p *Prober) spendTokens(candidates []candidate) []state.Upstream {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weightedAge, a.weightedAge) })
	n := min(int(p.tokens), len(candidates))
	p.tokens -= float64(n)
	out := make([]state.Upstream, n)
	for i := range out {
		out[i] = candidates[i].upstream
	}
	return out
}

// removeUnlisted removes the records of runners that are no longer in the view.
func (p *Prober) removeUnlisted() {
	for name, rec := range p.records {
		if !rec.inView {
			delete(p.records, name)
		}
	}
}

// outcome is the result of one probe.
type outcome struct {
	upstream state.Upstream
	report   state.LoadReport
	err      error
}

// errEngineMismatch reports that another engine answers at the address of an engine.
var errEngineMismatch = errors.New("the load report is of another engine; check the address in the platform's list")

// probe checks the health of a service's runner or reads the load report of an engine,
// within Timeout by the prober's clock.
func (p *Prober) probe(ctx context.Context, u state.Upstream) outcome {
	ctx, cancel := context.WithCancel(ctx)
	var timer sync.WaitGroup
	timer.Go(func() {
		if p.o.Clock.Sleep(ctx, p.o.Timeout) == nil {
			cancel()
		}
	})
	defer timer.Wait()
	defer cancel()
	if u.Kind == state.KindService {
		return outcome{upstream: u, err: p.o.Checker.Check(ctx, u)}
	}
	report, err := p.o.Checker.Load(ctx, u)
	if err == nil && report.Engine != u.Name {
		err = errEngineMismatch
	}
	return outcome{upstream: u, report: report, err: err}
}

// applyOutcomes passes the outcomes to the keeper. One success makes a runner healthy
// again.
func (p *Prober) applyOutcomes(outcomes []outcome) {
	now := p.o.Clock.Now()
	var reports []state.LoadReport
	for _, o := range outcomes {
		rec := p.records[o.upstream.Name]
		rec.probedAt = now
		if o.err != nil {
			rec.failures++
			if rec.failures >= p.o.FailureThreshold {
				p.o.Keeper.SetHealth(o.upstream.Name, false)
			}
			continue
		}
		rec.failures = 0
		p.o.Keeper.SetHealth(o.upstream.Name, true)
		if o.upstream.Kind == state.KindEngine {
			reports = append(reports, o.report)
		}
	}
	p.o.Keeper.SetLoads(reports)
}
