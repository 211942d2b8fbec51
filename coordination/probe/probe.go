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
	// tick is the time between two batches of probes. Each batch costs at most
	// one new view, however many reports it brings, and waking for it costs an
	// idle host more than its probes do. Reports are older than this by themselves.
	tick = 250 * time.Millisecond
	// eagerness is how much older the knowledge of a runner in use counts.
	eagerness = 4
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
	// FailuresToLeave is the number of consecutive failures after which a
	// runner gets no new work.
	FailuresToLeave int
	// Parallel bounds the probes under way.
	Parallel int
}

// Prober probes the runners of the present view.
type Prober struct {
	o Options
	// tokens are the probes that may be made now, as of refilled.
	tokens   float64
	refilled time.Time
	requests uint64
	known    map[string]*record
}

// record is what the prober keeps of one runner.
type record struct {
	incarnation string
	at          time.Time
	failures    int
	seen        bool
}

// New validates the options.
func New(o Options) (*Prober, error) {
	if o.Keeper == nil || o.Checker == nil || o.Clock == nil || o.Requests == nil {
		return nil, errors.New("probe: Keeper, Checker, Clock and Requests are required; set them")
	}
	if o.PerSecond <= 0 || o.PerRequest < 0 || o.MinInterval <= 0 || o.Timeout <= 0 || o.FailuresToLeave < 1 || o.Parallel < 1 {
		return nil, errors.New("probe: PerSecond, MinInterval, Timeout, FailuresToLeave and Parallel must be positive")
	}
	return &Prober{o: o, known: map[string]*record{}}, nil
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	for {
		p.Step(ctx)
		if err := p.o.Clock.Sleep(ctx, tick); err != nil {
			return err
		}
	}
}

// Step makes the probes that are due by now.
func (p *Prober) Step(ctx context.Context) {
	p.refill()
	chosen := p.choose()
	outcomes := make([]outcome, len(chosen))
	probes := pool.New().WithMaxGoroutines(p.o.Parallel)
	for i, u := range chosen {
		probes.Go(func() { outcomes[i] = p.probe(ctx, u) })
	}
	probes.Wait()
	p.take(outcomes)
}

// refill adds what the time and the requests since the last step are worth. What
// isn't used within a second is lost.
func (p *Prober) refill() {
	now, requests := p.o.Clock.Now(), p.o.Requests()
	if !p.refilled.IsZero() {
		p.tokens += p.o.PerSecond * now.Sub(p.refilled).Seconds()
	}
	p.tokens += p.o.PerRequest * float64(requests-p.requests)
	p.refilled, p.requests = now, requests
	limit := max(p.o.PerSecond, float64(p.o.Parallel))
	p.tokens = min(p.tokens, limit)
}

// due is a runner that may be probed, with how overdue it is.
type due struct {
	upstream state.Upstream
	overdue  time.Duration
}

// choose picks the runners to probe. One that was never probed costs no token:
// its first report is worth more than the budget of a second.
func (p *Prober) choose() []state.Upstream {
	now := p.o.Clock.Now()
	view := p.o.Keeper.View()
	var fresh []state.Upstream
	var waiting []due
	for _, r := range p.known {
		r.seen = false
	}
	for i := range view.Runners {
		n := &view.Runners[i]
		r := p.known[n.Name]
		if r == nil || r.incarnation != n.Incarnation {
			r = &record{incarnation: n.Incarnation}
			p.known[n.Name] = r
		}
		r.seen = true
		age := now.Sub(r.at)
		switch {
		case r.at.IsZero():
			fresh = append(fresh, n.Upstream)
		case age < p.o.MinInterval:
		case r.failures > 0 || n.Unhealthy || n.InFlight.Load().Requests > 0:
			waiting = append(waiting, due{n.Upstream, eagerness * age})
		default:
			waiting = append(waiting, due{n.Upstream, age})
		}
	}
	p.forget()
	return append(fresh, p.spend(waiting)...)
}

// spend takes the most overdue runners for the tokens there are.
func (p *Prober) spend(waiting []due) []state.Upstream {
	slices.SortFunc(waiting, func(a, b due) int { return cmp.Compare(b.overdue, a.overdue) })
	n := min(int(p.tokens), len(waiting))
	p.tokens -= float64(n)
	out := make([]state.Upstream, n)
	for i := range out {
		out[i] = waiting[i].upstream
	}
	return out
}

// forget drops the records of runners that are no longer in the view.
func (p *Prober) forget() {
	for name, r := range p.known {
		if !r.seen {
			delete(p.known, name)
		}
	}
}

// outcome is what one probe found.
type outcome struct {
	upstream state.Upstream
	report   state.LoadReport
	err      error
}

// errOtherEngine says that another engine answers at an engine's address.
var errOtherEngine = errors.New("the report is another engine's; check the address in the platform's list")

func (p *Prober) probe(ctx context.Context, u state.Upstream) outcome {
	ctx, stop := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() {
		if p.o.Clock.Sleep(ctx, p.o.Timeout) == nil {
			stop()
		}
	})
	defer watch.Wait()
	defer stop()
	if u.Kind == state.KindService {
		return outcome{upstream: u, err: p.o.Checker.Check(ctx, u)}
	}
	report, err := p.o.Checker.Load(ctx, u)
	if err == nil && report.Engine != u.Name {
		err = errOtherEngine
	}
	return outcome{upstream: u, report: report, err: err}
}

// take hands the outcomes to the keeper. One success brings a runner back.
func (p *Prober) take(outcomes []outcome) {
	now := p.o.Clock.Now()
	var reports []state.LoadReport
	for _, o := range outcomes {
		r := p.known[o.upstream.Name]
		r.at = now
		if o.err != nil {
			r.failures++
			if r.failures >= p.o.FailuresToLeave {
				p.o.Keeper.SetHealth(o.upstream.Name, false)
			}
			continue
		}
		r.failures = 0
		p.o.Keeper.SetHealth(o.upstream.Name, true)
		if o.upstream.Kind == state.KindEngine {
			reports = append(reports, o.report)
		}
	}
	p.o.Keeper.SetLoads(reports)
}
