// Package probe asks upstreams how they are: it feeds their lagging load reports
// and the outcome of health checks to the keeper of views.
//
// Probing has a budget for the whole host, a base rate and a share of the
// requests, so that its cost grows neither with the number of runners nor beyond
// what the traffic is worth. The budget goes to the runners whose knowledge is
// oldest, and four times as readily to those in use or in trouble.
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
	// stepInterval is the time between two batches of probes. Each batch costs at most
	// one new view, however many reports it brings, and waking for it costs an
	// idle host more than its probes do. Reports are older than this by themselves.
	stepInterval = 250 * time.Millisecond
	// busyWeight is how much older the knowledge of a runner in use counts.
	busyWeight = 4
)

// Options configures a Prober. All fields are required.
type Options struct {
	Keeper  *snapshot.Keeper
	Checker upstream.Checker
	Clock   state.Clock
	// PerSecond is the base rate of probes, of all runners together.
	PerSecond float64
	// PerRequest are further probes for each request of this host.
	PerRequest float64
	// Requests counts this host's requests since it started.
	Requests func() uint64
	// MinInterval is the shortest time between two probes of one runner.
	MinInterval time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
	// FailureThreshold is the number of consecutive failures after which a
	// runner gets no new work.
	FailureThreshold int
	// MaxConcurrent bounds the probes under way.
	MaxConcurrent int
}

// Prober probes the runners of the present view.
type Prober struct {
	o Options
	// tokens are the probes that may be made now, as of refilled.
	tokens     float64
	refilledAt time.Time
	requests   uint64
	records    map[string]*record
}

// record is what the prober keeps of one runner.
type record struct {
	incarnation string
	probedAt    time.Time
	failures    int
	inView      bool
}

// New validates the options.
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

// Step makes the probes that are due by now.
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

// refill adds what the time and the requests since the last step are worth. What
// isn't used within a second is lost.
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

// candidate is a runner that may be probed, with how overdue it is.
type candidate struct {
	upstream    state.Upstream
	weightedAge time.Duration
}

// selectRunners picks the runners to probe. One that was never probed costs no token:
// its first report is worth more than the budget of a second.
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
		case rec.failures > 0 || runner.Unhealthy || runner.Track.Load().Requests > 0:
			candidates = append(candidates, candidate{runner.Upstream, busyWeight * age})
		default:
			candidates = append(candidates, candidate{runner.Upstream, age})
		}
	}
	p.removeUnlisted()
	return append(unprobed, p.spendTokens(candidates)...)
}

// spendTokens takes the most overdue runners for the tokens there are.
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

// removeUnlisted drops the records of runners that are no longer in the view.
func (p *Prober) removeUnlisted() {
	for name, rec := range p.records {
		if !rec.inView {
			delete(p.records, name)
		}
	}
}

// outcome is what one probe found.
type outcome struct {
	upstream state.Upstream
	report   state.LoadReport
	err      error
}

// errEngineMismatch says that another engine answers at an engine's address.
var errEngineMismatch = errors.New("the report is another engine's; check the address in the platform's list")

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

// applyOutcomes hands the outcomes to the keeper. One success brings a runner back.
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
