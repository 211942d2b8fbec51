package daemon

import (
	"time"

	"github.com/thymerack/thymerack/coordination/admit"
	"github.com/thymerack/thymerack/coordination/claim"
	"github.com/thymerack/thymerack/coordination/policy"
	"github.com/thymerack/thymerack/coordination/retry"
	"github.com/thymerack/thymerack/coordination/route"
	"github.com/thymerack/thymerack/coordination/snapshot"
)

// decisions are the parts that decide on a request's path.
type decisions struct {
	router    *router
	admitter  *admitter
	retries   *retries
	claimer   *claim.Claimer
	estimator *route.Estimator
}

// estimatedFlows bounds the customers and classes whose output is learnt apart.
const estimatedFlows = 8192

func (d *Daemon) newDecisions() (*decisions, error) {
	breakers, err := retry.NewBreakers(retry.BreakerOptions{})
	if err != nil {
		return nil, err
	}
	r, err := route.New(route.Options{Clock: d.clock, Seed: d.rnd.Uint64(), Breakers: breakers, BackoffUntil: d.restsUntil, Scorers: []route.Scorer{policy.NewScorer(&d.policies.holder)}})
	if err != nil {
		return nil, err
	}
	fleet, err := admit.NewFleetCapacity(admit.FleetCapacityOptions{Clock: d.clock, View: d.keeper.View, Speeds: r, Hosts: func() int { return len(d.member.Hosts()) }})
	if err != nil {
		return nil, err
	}
	a, err := admit.New(admit.Options{Clock: d.clock, Capacity: fleet})
	if err != nil {
		return nil, err
	}
	d.add("admit", a.Run)
	budget, err := retry.NewBudget(retry.BudgetOptions{Clock: d.clock, Share: d.retryShare})
	if err != nil {
		return nil, err
	}
	c, err := d.newClaimer()
	if err != nil {
		return nil, err
	}
	outputs := route.NewEstimator(estimatedFlows)
	return &decisions{
		router: &router{r, breakers}, claimer: c, estimator: outputs,
		retries: &retries{Budget: budget, rnd: d.newRand()},
		admitter: &admitter{
			admit: a, clock: d.clock,
			arrived: func(service string, w snapshot.Work, left time.Duration) {
				d.roles.meter.RecordArrival(service, w, left)
			},
			long: outputs.LongOutput,
		},
	}, nil
}

// retryShare returns the configured share of a service's traffic that may be
// retries; zero stands for the default.
func (d *Daemon) retryShare(service string) float64 {
	s := d.keeper.View().Service(service)
	if s == nil {
		return 0
	}
	return s.RetryShare
}

func (d *Daemon) newClaimer() (*claim.Claimer, error) {
	s := d.settings.Claims
	c, err := claim.New(claim.Options{
		Store: d.store, Clock: d.clock, Host: d.id, Shards: s.Shards, BucketWidth: s.BucketWidth,
		Window: s.Window, FutureSkew: s.FutureSkew, Retention: s.Retention, GroupWait: s.GroupWait,
		MaxAnswerBytes: s.AnswerBytes, Hosts: d.member.Hosts, Gone: d.member.Gone,
		Forward: &claimForwarder{d}, Seed: d.rnd.Uint64(),
	})
	if err != nil {
		return nil, err
	}
	d.add("claims", c.Run)
	d.handleClaims(c)
	return c, nil
}
