package rebalance

import (
	"fmt"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Options are the constants of the decision. Zero values stand for the defaults.
type Options struct {
	// Horizon is over which a change has to pay; default 60 s.
	Horizon time.Duration
	// DrainTime and ChangeTime are how long an engine takes to finish its work
	// and to change; defaults 4 s and 4 s.
	DrainTime, ChangeTime time.Duration
	// MinStay is the least time an engine keeps a role; default 20 s.
	MinStay time.Duration
	// MixedShare is what is left of the time of a mixed engine that does both
	// kinds of work: they get into each other's way, and its batch is shared;
	// default 0.85.
	MixedShare float64
	// Margin is the least net gain as a share of the answers of the horizon, so
	// that noise changes nothing; default 0.03.
	Margin float64
}

func (o Options) orDefault() Options {
	if o.Horizon == 0 {
		o.Horizon = 60 * time.Second
	}
	if o.DrainTime == 0 {
		o.DrainTime = 4 * time.Second
	}
	if o.ChangeTime == 0 {
		o.ChangeTime = 4 * time.Second
	}
	if o.MinStay == 0 {
		o.MinStay = 20 * time.Second
	}
	if o.MixedShare == 0 {
		o.MixedShare = 0.85
	}
	if o.Margin == 0 {
		o.Margin = 0.03
	}
	return o
}

// away is how long a changing engine does no work of use.
func (o Options) away() time.Duration { return o.DrainTime + o.ChangeTime }

// Engine is what a decision knows of one engine.
type Engine struct {
	Name, FailureDomain string
	Role                state.Role
	// TakesWork is false for an engine that can't be counted on.
	TakesWork bool
	// Since is when it took on its role; zero when that is long ago.
	Since time.Time
	// InFlight is the number of requests there.
	InFlight int64
	// Speeds are what it does in its present role.
	Speeds Speeds
}

// Inputs are all that a decision depends on.
type Inputs struct {
	Now     time.Time
	Service state.Service
	Engines []Engine
	Demand  Demand
	// Waiting is the rate at which queued work would have to be done beside the
	// demand to clear the queues.
	Waiting Rates
	// Changing names an engine whose change is under way; empty for none.
	Changing string
}

// Option is one change that was weighed. Answers are counted over the horizon.
type Option struct {
	Engine   string
	From, To state.Role
	// Gain is more answers in time, Lost those missed while it is away, Net the
	// weighted sum.
	Gain, Lost, Net float64
	// Rejected says why it isn't chosen; empty for the chosen one.
	Rejected string
}

// Proposal is the outcome of a decision.
type Proposal struct {
	// Change is nil when nothing is to change.
	Change *Option
	// Options are the best change of each pair of roles.
	Options []Option
	// Utilization is the present one over the short window.
	Utilization float64
	Why         string
}

// Decide weighs every change of one engine's role.
func Decide(in Inputs, o Options) Proposal {
	o = o.orDefault()
	f := newForecast(&in, o)
	p := Proposal{Utilization: f.now.Utilization(f.short)}
	if in.Changing != "" {
		p.Why = fmt.Sprintf("the change of %s is under way; one at a time", in.Changing)
		return p
	}
	if in.Demand.Short.Requests <= 0 {
		p.Why = "no request came within the short window"
		return p
	}
	p.Options = f.options()
	best := -1
	for i := range p.Options {
		if p.Options[i].Rejected == "" && (best < 0 || p.Options[i].Net > p.Options[best].Net) {
			best = i
		}
	}
	p.explain(best)
	return p
}

func (p *Proposal) explain(best int) {
	if best < 0 {
		p.Why = fmt.Sprintf("no change is worth its price at %.0f%% of the capacity", 100*p.Utilization)
		return
	}
	for i := range p.Options {
		if i != best && p.Options[i].Rejected == "" {
			p.Options[i].Rejected = "another change is worth more"
		}
	}
	p.Change = &p.Options[best]
	p.Why = fmt.Sprintf("at %.0f%% of the capacity, %s as %s gives %.0f more answers in time and costs %.0f",
		100*p.Utilization, p.Change.Engine, p.Change.To, p.Change.Gain, p.Change.Lost)
}

// forecast holds what the options of one decision share.
type forecast struct {
	in    *Inputs
	o     Options
	now   Capacity
	roles map[state.Role]Speeds
	// short is the demand of the short window, steady the mean of both: a
	// change must pay under each, so that a burst alone changes nothing.
	short, steady Rates
}

// roles in the order in which options are listed.
var roles = [...]state.Role{state.RolePrefill, state.RoleDecode, state.RoleMixed}

func newForecast(in *Inputs, o Options) *forecast {
	f := &forecast{in: in, o: o, roles: roleSpeeds(in.Engines)}
	for _, e := range in.Engines {
		if e.TakesWork {
			f.add(&f.now, e.Role, e.Speeds, 1)
		}
	}
	f.short = in.Demand.Short.Plus(in.Waiting)
	f.steady = in.Demand.Short.Plus(in.Demand.Long).Times(0.5).Plus(in.Waiting)
	return f
}

// roleSpeeds are the mean speeds of each role's engines. For a role without
// engines the speeds of the others at the work of that role stand in.
func roleSpeeds(engines []Engine) map[state.Role]Speeds {
	sums := map[state.Role]Speeds{}
	counts := map[state.Role]float64{}
	for _, e := range engines {
		s := sums[e.Role]
		sums[e.Role] = Speeds{s.Prefill + e.Speeds.Prefill, s.Decode + e.Speeds.Decode, s.Step + e.Speeds.Step}
		counts[e.Role]++
	}
	mean := func(first, second state.Role) Speeds {
		for _, r := range []state.Role{first, second} {
			if n := counts[r]; n > 0 {
				return Speeds{sums[r].Prefill / n, sums[r].Decode / n, sums[r].Step / n}
			}
		}
		return Speeds{}
	}
	prefill := mean(state.RolePrefill, state.RoleMixed)
	decode := mean(state.RoleDecode, state.RoleMixed)
	out := map[state.Role]Speeds{state.RolePrefill: prefill, state.RoleDecode: decode}
	out[state.RoleMixed] = Speeds{prefill.Prefill, decode.Decode, decode.Step}
	if counts[state.RoleMixed] > 0 {
		out[state.RoleMixed] = mean(state.RoleMixed, state.RoleMixed)
	}
	return out
}

// add puts n engines of the role into the capacity.
func (f *forecast) add(c *Capacity, role state.Role, s Speeds, n float64) {
	if role == state.RoleMixed {
		s.Prefill *= f.o.MixedShare
		s.Decode *= f.o.MixedShare
	}
	c.add(role, s, n)
}

func (f *forecast) options() []Option {
	var out []Option
	for _, from := range roles {
		e, why := f.candidate(from)
		for _, to := range roles {
			if to == from {
				continue
			}
			if e == nil {
				out = append(out, Option{From: from, To: to, Rejected: why})
				continue
			}
			out = append(out, f.weigh(e, to))
		}
	}
	return out
}

// candidate returns the engine of the role that can change with least harm, or
// why there is none.
func (f *forecast) candidate(role state.Role) (*Engine, string) {
	why := "no engine has that role"
	var best *Engine
	for i := range f.in.Engines {
		e := &f.in.Engines[i]
		if e.Role != role || !e.TakesWork {
			continue
		}
		switch {
		case f.atFloor(e):
			why = "the floor of the role in its failure domain is reached"
		case f.in.Now.Sub(e.Since) < f.o.MinStay:
			why = "its engines changed a short time ago"
		case best == nil || e.InFlight < best.InFlight:
			best = e
		}
	}
	return best, why
}

// atFloor reports whether the engine's failure domain would have too few of its role.
func (f *forecast) atFloor(e *Engine) bool {
	if e.Role == state.RoleMixed && f.in.Service.MinPerRole == 0 {
		return false
	}
	n := 0
	for i := range f.in.Engines {
		o := &f.in.Engines[i]
		if o.Role == e.Role && o.TakesWork && o.FailureDomain == e.FailureDomain {
			n++
		}
	}
	return n <= f.in.Service.MinPerRole
}

// maxSteps is how many changes of the same kind are looked ahead: some pay only
// together, for example the first engines that take the prompts off mixed ones.
const maxSteps = 6

// weigh predicts what the change of e is worth, as one of as many changes of its
// kind as are worth most each.
func (f *forecast) weigh(e *Engine, to state.Role) Option {
	var best Option
	for n := 1; n <= maxSteps && n <= f.free(e.Role); n++ {
		during, after := f.now, f.now
		f.add(&during, e.Role, e.Speeds, -1)
		f.add(&after, e.Role, e.Speeds, -float64(n))
		f.add(&after, to, f.roles[to], float64(n))
		worst := f.worth(during, after, f.short, n)
		if steady := f.worth(during, after, f.steady, n); steady.Net < worst.Net {
			worst = steady
		}
		if n == 1 || worst.Net > best.Net {
			best = worst
		}
	}
	best.Engine, best.From, best.To = e.Name, e.Role, to
	if floor := f.o.Margin * f.in.Demand.Short.Requests * f.o.Horizon.Seconds(); best.Net <= floor {
		best.Rejected = fmt.Sprintf("it is worth %.1f answers, not more than %.1f", best.Net, floor)
	}
	return best
}

// free is the number of engines that may leave a role.
func (f *forecast) free(role state.Role) int {
	n := 0
	for i := range f.in.Engines {
		if e := &f.in.Engines[i]; e.Role == role && e.TakesWork {
			n++
		}
	}
	if role != state.RoleMixed {
		n -= max(1, f.in.Service.MinPerRole)
	}
	return max(1, n)
}

// worth is what each of n changes gives, made one after the other.
func (f *forecast) worth(during, after Capacity, d Rates, n int) Option {
	rate := f.in.Demand.Short.Requests
	now := f.now.InTime(d)
	away := f.o.away().Seconds()
	steps := float64(n)
	gainFor := max(0, f.o.Horizon.Seconds()-away*(steps+1)/2)
	w := Option{
		Gain: rate * gainFor * (after.InTime(d) - now) / steps,
		Lost: rate * away * max(0, now-during.InTime(d)),
	}
	// A change is priced at the answers that one engine gives while it is away.
	price := rate * away / float64(max(1, len(f.in.Engines)))
	w.Net = goodputWeight(f.in.Service)*(w.Gain-w.Lost) - f.in.Service.RoleChangeWeight*price
	return w
}

// goodputWeight is the service's weight of answers in time, 1 when not set.
func goodputWeight(s state.Service) float64 {
	if s.GoodputWeight > 0 {
		return s.GoodputWeight
	}
	return 1
}
