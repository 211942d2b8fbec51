package replay

import (
	"time"

	"github.com/thymerack/thymerack/coordination/admit"
	"github.com/thymerack/thymerack/coordination/rebalance"
	"github.com/thymerack/thymerack/coordination/route"
	"github.com/thymerack/thymerack/state"
)

// Chooser is the way in which a setup chooses engines.
type Chooser int

// The choosers.
const (
	// ChooseByRouter is route.Router.
	ChooseByRouter Chooser = iota
	// ChooseRoundRobin takes the engines in turn.
	ChooseRoundRobin
	// ChooseLeastInFlight takes the engine with the fewest requests of this host.
	ChooseLeastInFlight
)

// Split is how many engines have each role.
type Split struct{ Prefill, Decode, Mixed int }

// role returns the role of the i-th engine; roles are dealt out over the failure domains.
func (s Split) role(i int) state.Role {
	switch {
	case i < s.Prefill:
		return state.RolePrefill
	case i < s.Prefill+s.Decode:
		return state.RoleDecode
	default:
		return state.RoleMixed
	}
}

// Setup says which parts of the system take part in a replay.
type Setup struct {
	Name    string
	Start   Split
	Chooser Chooser
	// NoAdmission starts every request at once.
	NoAdmission bool
	// Discipline is the queues' order; nil stands for the default.
	Discipline func() admit.Discipline
	// NoRefusal queues requests whose deadlines can't be met.
	NoRefusal bool
	// NoUrgent treats urgent classes as ordinary ones.
	NoUrgent bool
	// NoPriority tells engines no priority but urgent or not.
	NoPriority bool
	// NoPrefix doesn't tell the router the prompts' prefixes.
	NoPrefix bool
	// NoLearning doesn't feed actual times back to the router.
	NoLearning bool
	// Rebalance changes roles.
	Rebalance bool
	// Service holds the two weights of the rebalancer.
	Service state.Service
	// Tuning overrides the rebalancer's defaults.
	Tuning rebalance.Tuning
	// Admit, Fleet and Route override the defaults of the packages.
	Admit admit.Options
	Fleet admit.FleetCapacityOptions
	Route route.Options
	// Record gets the rebalancer's decisions; optional.
	Record func(state.Decision)
	// ComeBack lets refused callers come back once, when they were told to.
	ComeBack bool
	// ForgetReturns doesn't tell the hosts that a caller came back.
	ForgetReturns bool
	// Hosts is the number of hosts; default 8.
	Hosts int
	// Model is the engines' time model; default DefaultModel.
	Model *Model
}

// domains are the failure domains that engines and hosts are spread over.
var domains = []string{"place-a", "place-b", "place-c"}

// The fleet and what its parts tell each other.
const (
	service      = "llm"
	model        = "m"
	defaultHosts = 8
	hop          = 3 * time.Millisecond // between host and engine, there and back
	cacheEvery   = 500 * time.Millisecond
	digestEvery  = 300 * time.Millisecond
	healthLag    = time.Second
	listLag      = 5 * time.Second
	orderLag     = 100 * time.Millisecond // until hosts see an order
	ackEvery     = 100 * time.Millisecond
	planEvery    = time.Second
	lookEvery    = 20 * time.Millisecond
	maxAttempts  = 6
)

// record hands on one of the rebalancer's decisions.
func (s *Setup) record(d state.Decision) {
	if s.Record != nil {
		s.Record(d)
	}
}
