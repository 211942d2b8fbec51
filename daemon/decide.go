package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/admit"
	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/retry"
	"github.com/thymerack/thymerack/coordination/route"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// router lets a dispatcher choose by a route.Router, with a breaker a runner.
type router struct {
	route    *route.Router
	breakers *retry.Breakers
}

var parts = [...]route.Part{dispatch.Whole: route.PartWhole, dispatch.Prefill: route.PartPrefill, dispatch.Decode: route.PartDecode}

func queryOf(q dispatch.Query) *route.Query {
	return &route.Query{
		Service: q.Request.Service, Model: q.Model, Part: parts[q.Part],
		PromptTokens: int(q.Work.PrefillTokens), ExpectedOutput: int(q.Work.DecodeTokens),
		Prefixes: q.Prefixes, FailureDomain: q.Request.FailureDomain, Deadline: q.Request.Deadline,
		Exclude: q.Exclude, Explain: q.Request.Explain,
	}
}

// Pick implements dispatch.Router.
func (r *router) Pick(v *snapshot.View, q dispatch.Query) (dispatch.Choice, error) {
	c, err := r.route.Pick(v, queryOf(q))
	if err != nil {
		return dispatch.Choice{}, refuseRoute(err)
	}
	return dispatch.Choice{
		Runner: c.Runner, CachedTokens: c.CachedTokens, FirstToken: c.FirstToken, Why: c.Why, Candidates: c.Candidates,
		Priority: r.priority(q, c.Runner.Name),
	}, nil
}

// priority orders waiting work at an engine by the latest start that keeps the
// deadline.
func (r *router) priority(q dispatch.Query, runner string) int {
	if q.Work.DecodeTokens == 0 && q.Work.PrefillTokens == 0 {
		return 0
	}
	decode := time.Duration(q.Work.DecodeTokens) * r.route.TokenInterval(runner, priorityBatch)
	return route.Priority(q.Request.Urgent, q.Request.Deadline, decode)
}

// priorityBatch is the batch at which the time between tokens is taken.
const priorityBatch = 16

// PreferSplit implements dispatch.PathChooser.
func (r *router) PreferSplit(v *snapshot.View, q dispatch.Query) bool {
	path, err := r.route.PickPath(v, queryOf(q))
	return err == nil && path.Split
}

func refuseRoute(err error) error {
	refusal := &dispatch.Refusal{Reason: dispatch.ReasonNoUpstream, Message: err.Error(), Cause: err}
	var none *route.NoRunnerError
	if errors.As(err, &none) {
		refusal.RetryAfter = none.RetryAfter
	}
	return refusal
}

// Begin implements dispatch.Router.
func (r *router) Begin(q dispatch.Query, c dispatch.Choice) (dispatch.AttemptObserver, bool) {
	done, err := r.breakers.Begin(c.Runner.Name)
	if err != nil {
		return nil, false
	}
	r.route.RecordSent(queryOf(q), &route.Choice{Runner: c.Runner, CachedTokens: c.CachedTokens})
	return &attempt{r: r, runner: c.Runner.Name, predicted: c.FirstToken, done: done}, true
}

// attempt reports one attempt to the router and the breaker.
type attempt struct {
	r         *router
	runner    string
	predicted time.Duration
	done      func(ok bool)
}

// FirstToken implements dispatch.AttemptObserver.
func (a *attempt) FirstToken(after time.Duration) {
	a.r.route.RecordFirstToken(a.runner, a.predicted, after)
}

// End implements dispatch.AttemptObserver. A cancelled attempt says nothing against the
// runner and counts as a success, so that a half-open breaker isn't kept open.
func (a *attempt) End(o dispatch.AttemptOutcome, took time.Duration) {
	a.done(o != dispatch.AttemptFailed)
	if o == dispatch.AttemptSucceeded {
		a.r.route.RecordLatency(a.runner, took)
	}
}

// admitter lets a dispatcher admit by an admit.Admitter.
type admitter struct {
	admit *admit.Admitter
	// arrived is told of every request of an engine service, admitted or not.
	arrived func(service string, w snapshot.Work, left time.Duration)
	// long predicts an output that most answers of a flow don't exceed.
	long  func(customer, class string, maxTokens int) int
	clock state.Clock
}

// Admit implements dispatch.Admitter.
func (a *admitter) Admit(ctx context.Context, r *dispatch.Request, cost snapshot.Work) (dispatch.Grant, error) {
	ask := admit.Request{
		ID: r.ID, Service: r.Service, Customer: r.Customer, Class: r.Class, Urgent: r.Urgent,
		Weight: r.Weight, Cost: cost, Deadline: r.Deadline,
	}
	if cost.DecodeTokens > 0 {
		a.arrived(r.Service, cost, r.Deadline.Sub(a.clock.Now()))
		ask.LongOutput = max(cost.DecodeTokens, int64(a.long(r.Customer, r.Class, r.MaxTokens)))
	}
	g, err := a.admit.Admit(ctx, ask)
	if err != nil {
		return nil, refuseAdmission(err)
	}
	return g, nil
}

func refuseAdmission(err error) error {
	var refused *admit.RefusedError
	if !errors.As(err, &refused) {
		return &dispatch.Refusal{Reason: dispatch.ReasonCancelled, Message: "the caller left before the request was admitted; send it again", NotRun: true, Cause: err}
	}
	reason := dispatch.ReasonOverloaded
	if refused.Reason == admit.ReasonNoCapacity {
		reason = dispatch.ReasonNoUpstream
	}
	return &dispatch.Refusal{Reason: reason, Message: refused.Error(), RetryAfter: refused.RetryAfter, NotRun: true, Cause: err}
}

// retries lets a dispatcher retry within a retry.Budget.
type retries struct {
	*retry.Budget

	mu  sync.Mutex
	rnd *rand.Rand
}

// The pauses between attempts.
const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Backoff implements dispatch.Retries: doubled each time, with full jitter.
func (r *retries) Backoff(attempt int) time.Duration {
	limit := min(firstBackoff<<min(attempt-1, 10), maxBackoff)
	r.mu.Lock()
	defer r.mu.Unlock()
	return limit/2 + time.Duration(r.rnd.Int64N(int64(limit/2)+1))
}
