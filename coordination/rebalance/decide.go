package rebalance

import (
	"fmt"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Tuning are the constants of the decision. Zero values stand for the defaults.
type Tuning struct {
	// Horizon is over which a change has to pay; default 60 s.
	Horizon time.Duration
	// DrainTime and ChangeTime are how long an engine takes to finish its work
	// and to change; defaults 4 s and 4 s.
	DrainTime, ChangeTime time.Duration
	// MinTimeInRole is the least time an engine keeps a role; default 20 s.
	MinTimeInRole time.Duration
	// MixedEfficiency is what is left of the time of a mixed engine that does both
	// kinds of work: they get into each other's way, and its batch is shared;
	// default 0.85.
	MixedEfficiency float64
	// MinNetShare is the least net gain as a share of the answers of the horizon, so
	// that noise changes nothing; default 0.03.
	MinNetShare float64
}

func (o Tuning) withDefaults() Tuning {
	if o.Horizon == 0 {
		o.Horizon = 60 * time.Second
	}
	if o.DrainTime == 0 {
		o.DrainTime = 4 * time.Second
	}
	if o.ChangeTime == 0 {
		o.ChangeTime = 4 * time.Second
	}
	if o.MinTimeInRole == 0 {
		o.MinTimeInRole = 20 * time.Second
	}
	if o.MixedEfficiency == 0 {
		o.MixedEfficiency = 0.85
	}
	if o.MinNetShare == 0 {
		o.MinNetShare = 0.03
	}
	return o
}

// downtime is how long a changing engine does no work of use.
func (o Tuning) downtime() time.Duration { return o.DrainTime + o.ChangeTime }

// Engine is what a decision knows of one engine.
type Engine struct {
	Name, FailureDomain string
	Role                state.Role
	// TakesWork is false for an engine that can't be counted on.
	TakesWork bool
	// RoleSince is when it took on its role; zero when that is long ago.
	RoleSince time.Time
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
	// QueuedRates is the rate at which queued work would have to be done beside the
	// demand to clear the queues.
	QueuedRates Rates
	// ChangingEngine names an engine whose change is under way; empty for none.
	ChangingEngine string
}

// Candidate is one change that was weighed. Answers are counted over the horizon.
type Candidate struct {
	Engine   string
	From, To state.Role
	// Gain is more answers in time, Loss those missed while it is away, Net the
	// weighted sum.
	Gain, Loss, Net float64
	// Rejected says why it isn't chosen; empty for the chosen one.
	Rejected string
}

// Proposal is the outcome of a decision.
type Proposal struct {
	// Change is nil when nothing is to change.
	Change *Candidate
	// Candidates are the best change of each pair of roles.
	Candidates []Candidate
	// Utilization is the present one over the short window.
	Utilization float64
	Why         string
}

// Decide weighs every change of one engine's role.
func Decide(in Inputs, tuning Tuning) Proposal {
	tuning = tuning.withDefaults()
	f := newForecast(&in, tuning)
	p := Proposal{Utilization: f.capacity.Utilization(f.shortRates)}
	if in.ChangingEngine != "" {
		p.Why = fmt.Sprintf("the change of %s is under way; one at a time", in.ChangingEngine)
		return p
	}
	if in.Demand.Short.Requests <= 0 {
		p.Why = "no request came within the short window"
		return p
	}
	p.Candidates = f.candidates()
	best := -1
	for i := range p.Candidates {
		if p.Candidates[i].Rejected == "" && (best < 0 || p.Candidates[i].Net > p.Candidates[best].Net) {
			best = i
		}
	}
	p.choose(best)
	return p
}

func (p *Proposal) choose(best int) {
	if best < 0 {
		p.Why = fmt.Sprintf("no change is worth its price at %.0f%% of the capacity", 100*p.Utilization)
		return
	}
	for i := range p.Candidates {
		if i != best && p.Candidates[i].Rejected == "" {
			p.Candidates[i].Rejected = "another change is worth more"
		}
	}
	p.Change = &p.Candidates[best]
	p.Why = fmt.Sprintf("at %.0f%% of the capacity, %s as %s gives %.0f more answers in time and costs %.0f",
		100*p.Utilization, p.Change.Engine, p.Change.To, p.Change.Gain, p.Change.Loss)
}

// forecast holds what the options of one decision share.
type forecast struct {
	in       *Inputs
	tuning   Tuning
	capacity Capacity
	speeds   map[state.Role]Speeds
	// shortRates is the demand of the shortRates window, meanRates the mean of both: a
	// change must pay under each, so that a burst alone changes nothing.
	shortRates, meanRates Rates
}

// allRoles in the order in which options are listed.
var allRoles = [...]state.Role{state.RolePrefill, state.RoleDecode, state.RoleMixed}

func newForecast(in *Inputs, tuning Tuning) *forecast {
	f := &forecast{in: in, tuning: tuning, speeds: meanSpeedsByRole(in.Engines)}
	for _, e := range in.Engines {
		if e.TakesWork {
			f.addEngines(&f.capacity, e.Role, e.Speeds, 1)
		}
	}
	f.shortRates = in.Demand.Short.Plus(in.QueuedRates)
	f.meanRates = in.Demand.Short.Plus(in.Demand.Long).Times(0.5).Plus(in.QueuedRates)
	return f
}

// meanSpeedsByRole are the mean speeds of each role's engines. For a role without
// engines the speeds of the others at the work of that role stand in.
func meanSpeedsByRole(engines []Engine) map[state.Role]Speeds {
	sums := map[state.Role]Speeds{}
	counts := map[state.Role]float64{}
	for _, e := range engines {
		s := sums[e.Role]
		sums[e.Role] = Speeds{s.Prefill + e.Speeds.Prefill, s.Decode + e.Speeds.Decode, s.TokenInterval + e.Speeds.TokenInterval}
		counts[e.Role]++
	}
	mean := func(first, second state.Role) Speeds {
		for _, r := range []state.Role{first, second} {
			if n := counts[r]; n > 0 {
				return Speeds{sums[r].Prefill / n, sums[r].Decode / n, sums[r].TokenInterval / n}
			}
		}
		return Speeds{}
	}
	prefill := mean(state.RolePrefill, state.RoleMixed)
	decode := mean(state.RoleDecode, state.RoleMixed)
	out := map[state.Role]Speeds{state.RolePrefill: prefill, state.RoleDecode: decode}
	out[state.RoleMixed] = Speeds{prefill.Prefill, decode.Decode, decode.TokenInterval}
	if counts[state.RoleMixed] > 0 {
		out[state.RoleMixed] = mean(state.RoleMixed, state.RoleMixed)
	}
	return out
}

// addEngines puts n engines of the role into the capacity.
func (f *forecast) addEngines(c *Capacity, role state.Role, s Speeds, n float64) {
	if role == state.RoleMixed {
		s.Prefill *= f.tuning.MixedEfficiency
		s.Decode *= f.tuning.MixedEfficiency
	}
	c.addEngines(role, s, n)
}

func (f *forecast) candidates() []Candidate {
	var out []Candidate
	for _, from := range allRoles {
		e, why := f.engineToMove(from)
		for _, to := range allRoles {
			if to == from {
				continue
			}
			if e == nil {
				out = append(out, Candidate{From: from, To: to, Rejected: why})
				continue
			}
			out = append(out, f.evaluate(e, to))
		}
	}
	return out
}

// engineToMove returns the engine of the role that can change with least harm, or
// why there is none.
func (f *forecast) engineToMove(role state.Role) (*Engine, string) {
	why := "no engine has that role"
	var best *Engine
	for i := range f.in.Engines {
		e := &f.in.Engines[i]
		if e.Role != role || !e.TakesWork {
			continue
		}
		switch {
		case f.atRoleMinimum(e):
			why = "the floor of the role in its failure domain is reached"
		case f.in.Now.Sub(e.RoleSince) < f.tuning.MinTimeInRole:
			why = "its engines changed a short time ago"
		case best == nil || e.InFlight < best.InFlight:
			best = e
		}
	}
	return best, why
}

// atRoleMinimum reports whether the engine's failure domain would have too few of its role.
func (f *forecast) atRoleMinimum(e *Engine) bool {
	if e.Role == state.RoleMixed && f.in.Service.MinPerRole == 0 {
		return false
	}
	n := 0
	for i := range f.in.Engines {
		other := &f.in.Engines[i]
		if other.Role == e.Role && other.TakesWork && other.FailureDomain == e.FailureDomain {
			n++
		}
	}
	return n <= f.in.Service.MinPerRole
}

// maxChangesAhead is how many changes of the same kind are looked ahead: some pay only
// together, for example the first engines that take the prompts off mixed ones.
const maxChangesAhead = 6

// evaluate predicts what the change of e is worth, as one of as many changes of its
// kind as are worth most each.
func (f *forecast) evaluate(e *Engine, to state.Role) Candidate {
	var best Candidate
	for n := 1; n <= maxChangesAhead && n <= f.movable(e.Role); n++ {
		during, after := f.capacity, f.capacity
		f.addEngines(&during, e.Role, e.Speeds, -1)
		f.addEngines(&after, e.Role, e.Speeds, -float64(n))
		f.addEngines(&after, to, f.speeds[to], float64(n))
		worst := f.estimate(during, after, f.shortRates, n)
		if underMean := f.estimate(during, after, f.meanRates, n); underMean.Net < worst.Net {
			worst = underMean
		}
		if n == 1 || worst.Net > best.Net {
			best = worst
		}
	}
	best.Engine, best.From, best.To = e.Name, e.Role, to
	if minNet := f.tuning.MinNetShare * f.in.Demand.Short.Requests * f.tuning.Horizon.Seconds(); best.Net <= minNet {
		best.Rejected = fmt.Sprintf("it is worth %.1f answers, not more than %.1f", best.Net, minNet)
	}
	return best
}

// movable is the number of engines that may leave a role.
func (f *forecast) movable(role state.Role) int {
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

// estimate is what each of n changes gives, made one after the other.
func (f *forecast) estimate(during, after Capacity, d Rates, n int) Candidate {
	rate := f.in.Demand.Short.Requests
	onTime := f.capacity.OnTimeShare(d)
	downtime := f.tuning.downtime().Seconds()
	changes := float64(n)
	gainSeconds := max(0, f.tuning.Horizon.Seconds()-downtime*(changes+1)/2)
	c := Candidate{
		Gain: rate * gainSeconds * (after.OnTimeShare(d) - onTime) / changes,
		Loss: rate * downtime * max(0, onTime-during.OnTimeShare(d)),
	}
	// A change is priced at the answers that one engine gives while it is away.
	cost := rate * downtime / float64(max(1, len(f.in.Engines)))
	c.Net = goodputWeight(f.in.Service)*(c.Gain-c.Loss) - f.in.Service.RoleChangeWeight*cost
	return c
}

// goodputWeight is the service's weight of answers in time, 1 when not set.
func goodputWeight(s state.Service) float64 {
	if s.GoodputWeight > 0 {
		return s.GoodputWeight
	}
	return 1
}
