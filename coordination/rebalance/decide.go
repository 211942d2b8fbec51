package rebalance

import (
	"fmt"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Tuning holds the parameters of a decision. Zero values select the defaults.
type Tuning struct {
	// Horizon is the time within which a change has to pay off; default 60 s.
	Horizon time.Duration
	// DrainTime and ChangeTime are the times that an engine takes to finish its
	// running requests and to switch its role; defaults 4 s and 4 s.
	DrainTime, ChangeTime time.Duration
	// MinTimeInRole is the shortest time that an engine keeps a role; default 20 s.
	MinTimeInRole time.Duration
	// MixedEfficiency is the fraction of its nominal speed that a mixed engine
	// keeps while it runs both prefill and decode: the two interfere with each
	// other and share one batch; default 0.85.
	MixedEfficiency float64
	// MinNetShare is the net gain that a change must exceed, as a fraction of the
	// requests that arrive within Horizon, so that noise in the measured demand
	// triggers no change; default 0.03.
	MinNetShare float64
}

func (t Tuning) withDefaults() Tuning {
	if t.Horizon == 0 {
		t.Horizon = 60 * time.Second
	}
	if t.DrainTime == 0 {
		t.DrainTime = 4 * time.Second
	}
	if t.ChangeTime == 0 {
		t.ChangeTime = 4 * time.Second
	}
	if t.MinTimeInRole == 0 {
		t.MinTimeInRole = 20 * time.Second
	}
	if t.MixedEfficiency == 0 {
		t.MixedEfficiency = 0.85
	}
	if t.MinNetShare == 0 {
		t.MinNetShare = 0.03
	}
	return t
}

// downtime returns how long a changing engine serves no requests.
func (t Tuning) downtime() time.Duration { return t.DrainTime + t.ChangeTime }

// Engine describes one engine as input of a decision.
type Engine struct {
	Name, FailureDomain string
	Role                state.Role
	// TakesWork is false for an engine that can't serve requests; it adds no
	// capacity and isn't changed.
	TakesWork bool
	// RoleSince is when it took its present role; zero if longer ago than any
	// MinTimeInRole.
	RoleSince time.Time
	// InFlight is the number of requests at the engine.
	InFlight int64
	// Speeds are its speeds in its present role.
	Speeds Speeds
}

// Inputs holds everything that a decision depends on except its Tuning.
type Inputs struct {
	Now     time.Time
	Service state.Service
	Engines []Engine
	Demand  Demand
	// QueuedRates is the rate at which queued work has to be served, in addition
	// to Demand, to empty the queues in time.
	QueuedRates Rates
	// ChangingEngine names an engine whose change is in progress; empty if none.
	ChangingEngine string
}

// Candidate is one evaluated change of an engine's role. Its figures are numbers
// of requests over Tuning.Horizon.
type Candidate struct {
	Engine   string
	From, To state.Role
	// Gain is the number of additional requests that meet their deadline. Loss is
	// the number that miss it while the engine is out of service. Net is the
	// weighted difference, less the cost of the change.
	Gain, Loss, Net float64
	// Rejected is the reason why it isn't chosen; empty for the chosen one.
	Rejected string
}

// Proposal is the result of a decision.
type Proposal struct {
	// Change is the chosen candidate; nil if no engine is to change.
	Change *Candidate
	// Candidates holds the best change of each ordered pair of roles.
	Candidates []Candidate
	// Utilization is the share of the present capacity that the demand of the
	// short window and the queued work need; above 1 they can't be served.
	Utilization float64
	// Why explains the result to operators.
	Why string
}

// Decide evaluates a change of one engine for each ordered pair of roles and
// proposes the one with the highest net gain. It proposes none while another
// change is in progress, since only one engine of a service changes at a time.
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

// choose proposes the candidate with that index and sets the explanation; a
// negative index stands for no change.
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

// forecast holds the values that the evaluations of one decision share.
type forecast struct {
	in       *Inputs
	tuning   Tuning
	capacity Capacity
	speeds   map[state.Role]Speeds
	// shortRates is the demand of the short window, meanRates the mean of both
	// windows, each with the queued work added. A change must pay off under both,
	// so that a short burst triggers none.
	shortRates, meanRates Rates
}

// allRoles lists the roles in the order in which candidates are listed.
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

// meanSpeedsByRole returns the mean speeds of the engines of each role. A role
// without engines gets the speeds that engines of other roles have for its work.
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

// addEngines adds n engines of the role to the capacity, with the speeds of mixed
// engines reduced by Tuning.MixedEfficiency; a negative n removes engines.
func (f *forecast) addEngines(c *Capacity, role state.Role, s Speeds, n float64) {
	if role == state.RoleMixed {
		s.Prefill *= f.tuning.MixedEfficiency
		s.Decode *= f.tuning.MixedEfficiency
	}
	c.addEngines(role, s, n)
}

// candidates evaluates the best change of each ordered pair of roles.
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

// engineToMove returns the engine of the role with the fewest requests in flight
// among those that may change, or the reason why none may.
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

// atRoleMinimum reports whether the engine's failure domain would have fewer
// engines of its role than the service's MinPerRole if the engine changed.
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

// maxChangesAhead is the largest number of changes between the same two roles that
// are evaluated together: some pay off only together, for example the first
// engines that take prefill work away from mixed ones.
const maxChangesAhead = 6

// evaluate predicts the net gain of changing e. It considers up to
// maxChangesAhead changes between the same roles and returns the gain of one
// change for the number of changes at which that is highest.
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

// movable returns the number of engines that may leave a role, at least 1: the
// minimum in each failure domain is enforced by engineToMove.
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

// estimate returns the figures of one change out of n changes that are made one
// after the other, for the demand d. during is the capacity while one engine is
// out of service, after the capacity once all n changes are made. The i-th change
// takes effect i downtimes from now; gainSeconds is the mean of the times left.
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
	// A change costs the requests that one engine would have served during its
	// downtime.
	cost := rate * downtime / float64(max(1, len(f.in.Engines)))
	c.Net = goodputWeight(f.in.Service)*(c.Gain-c.Loss) - f.in.Service.RoleChangeWeight*cost
	return c
}

// goodputWeight returns the service's weight of requests that meet their
// deadline, 1 if it isn't set.
func goodputWeight(s state.Service) float64 {
	if s.GoodputWeight > 0 {
		return s.GoodputWeight
	}
	return 1
}
