package replay

import (
	"math/rand/v2"

	"github.com/thymerack/thymerack/coordination/admit"
	"github.com/thymerack/thymerack/coordination/rebalance"
	"github.com/thymerack/thymerack/coordination/retry"
	"github.com/thymerack/thymerack/coordination/route"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// host is one host with the parts that decide.
type host struct {
	fleet    *fleet
	domain   string
	keeper   *snapshot.Keeper
	router   *route.Router
	admitter *admit.Admitter
	outputs  *route.Estimator
	budget   *retry.Budget
	breakers *retry.Breakers
	delays   *retry.Delays
	meter    *rebalance.Meter
	turn     int
}

func newHost(f *fleet, i int) (*host, error) {
	h := &host{
		fleet: f, domain: domains[i%len(domains)], keeper: snapshot.NewKeeper(),
		outputs: route.NewEstimator(0), meter: rebalance.NewMeter(f.loop),
		delays: retry.NewDelays(0, 0, rand.New(rand.NewPCG(uint64(i), 1))),
	}
	var err error
	if h.breakers, err = retry.NewBreakers(retry.BreakerOptions{}); err != nil {
		return nil, err
	}
	share := func(string) float64 { return 0.1 }
	if h.budget, err = retry.NewBudget(retry.BudgetOptions{Clock: f.loop, Share: share}); err != nil {
		return nil, err
	}
	routing := f.setup.Route
	routing.Clock, routing.Seed = f.loop, uint64(i)
	if h.router, err = route.New(routing); err != nil {
		return nil, err
	}
	h.admitter, err = h.newAdmitter()
	return h, err
}

func (h *host) newAdmitter() (*admit.Admitter, error) {
	f := h.fleet
	capacity := f.setup.Fleet
	capacity.Clock, capacity.View, capacity.Speeds = f.loop, h.keeper.View, h.router
	capacity.Hosts = func() int { return len(f.hosts) }
	room, err := admit.NewFleetCapacity(capacity)
	if err != nil {
		return nil, err
	}
	admission := f.setup.Admit
	admission.Clock, admission.Capacity, admission.NewDiscipline = f.loop, room, f.setup.Discipline
	return admit.New(admission)
}

// list takes over the platform's list.
func (h *host) list(l []state.Listed) { h.keeper.SetListed(l) }
