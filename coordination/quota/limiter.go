package quota

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/share"
	"github.com/thymerack/thymerack/state"
)

const (
	// ReplicaCount is the number of replicas of each quota: of three, one may be lost.
	ReplicaCount = 3
	// askTimeout bounds a call to a replica: several round trips between failure domains, and most
	// of the pause of a host whose processor quota is used up. Shorter ones would make a request
	// fail that another host can't admit either.
	askTimeout = 80 * time.Millisecond
	// adjustTimeout bounds a charge or refund, which no caller waits for.
	adjustTimeout = time.Second
	// undecidedRetryAfter is when a caller may retry a request that this host can't decide on;
	// another host most likely can.
	undecidedRetryAfter = 50 * time.Millisecond
	// capacityShare is the share of Tolerance.Units by which a bucket holds more than the burst,
	// so that a few large requests in succession are not refused below the quota.
	capacityShare = 0.5
	// isolatedShare is the share of the tolerance that hosts without a majority may use, all
	// together.
	isolatedShare = 0.25
)

// Tolerance is what may run above the quota in any window.
type Tolerance struct {
	Window time.Duration
	// Overage is the share of the quota, and Units the number of units, that may run in addition.
	Overage, Units float64
}

// Peers calls the ledgers of other hosts at their peer addresses.
type Peers interface {
	Take(ctx context.Context, addr string, req Request) (Verdict, error)
	Charge(ctx context.Context, addr string, req Request) error
	Refund(ctx context.Context, addr string, req Request) error
}

// Outcome is the result of Limiter.Acquire.
type Outcome string

// The outcomes. An isolated request was admitted from this host's part of the allowance for hosts
// that reach no majority.
const (
	OutcomeAdmitted  Outcome = "admitted"
	OutcomeExceeded  Outcome = "exceeded"
	OutcomeIsolated  Outcome = "isolated"
	OutcomeUndecided Outcome = "undecided"
)

// Observer records metrics. It must be safe for concurrent use.
type Observer interface {
	// ObserveQuota records the outcome of a request of a customer.
	ObserveQuota(customer string, o Outcome)
}

// LimiterOptions configures a Limiter. All fields but Tolerance are required.
type LimiterOptions struct {
	// Self is this host's peer address, Ledger the buckets that it keeps.
	Self   string
	Ledger *Ledger
	Peers  Peers
	// Replicas returns the peer addresses of the replicas of a customer's quota, at most
	// ReplicaCount.
	Replicas func(customer string) []string
	// HostCount returns the number of hosts that share the allowance of isolated hosts; 0 if it isn't
	// known.
	HostCount func() int
	Tolerance Tolerance
	Observer  Observer
	Clock     state.Clock
	Log       *slog.Logger
}

// Limiter admits requests within their customers' quotas. It is safe for concurrent use.
type Limiter struct {
	o LimiterOptions
	// isolated holds this host's part of the allowance for hosts that reach no majority.
	isolated *Ledger
	// undecided is set while this host reaches no majority; changes of it are logged.
	undecided atomic.Bool
}

// NewLimiter returns an error if a required option is missing.
func NewLimiter(o LimiterOptions) (*Limiter, error) {
	if o.Self == "" || o.Ledger == nil || o.Peers == nil || o.Replicas == nil || o.HostCount == nil || o.Observer == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("quota: a field of LimiterOptions is missing; set all of them")
	}
	started := o.Clock.Now()
	return &Limiter{o: o, isolated: NewLedger(o.Clock, func() time.Time { return started })}, nil
}

// ExceededError reports that the customer's quota is used up. The request was not run.
type ExceededError struct {
	Customer   string
	Units      float64
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("the quota of customer %q has no %.0f units left; send the request again after %s, or ask the operators for a higher quota", e.Customer, e.Units, e.RetryAfter.Round(time.Millisecond))
}

// UndecidedError reports that this host reaches too few replicas of the customer's quota. The
// request was not run, and another host may admit it.
type UndecidedError struct {
	Customer   string
	RetryAfter time.Duration
}

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("this host can't tell at present what is left of the quota of customer %q; send the request again, another host can", e.Customer)
}

// Acquire charges units to the quota of a customer, which must have one. version is that of the
// configuration that the quota is from. The error is an *ExceededError or an *UndecidedError.
func (l *Limiter) Acquire(ctx context.Context, c *state.Customer, version uint64, units float64) (*Grant, error) {
	req := Request{Customer: c.Name, Units: units, Limit: l.limit(c.Quota, version)}
	p := l.propose(req, l.o.Replicas(c.Name))
	result, wait := p.collect(ctx)
	switch result {
	case proposalGranted:
		l.noteDecided()
		l.o.Observer.ObserveQuota(c.Name, OutcomeAdmitted)
		return &Grant{proposal: p}, nil
	case proposalDenied:
		l.noteDecided()
		l.o.Observer.ObserveQuota(c.Name, OutcomeExceeded)
		return nil, &ExceededError{Customer: c.Name, Units: units, RetryAfter: wait}
	default:
		return l.acquireIsolated(req, c.Quota)
	}
}

// limit returns the limit of each replica's bucket.
func (l *Limiter) limit(q *state.Quota, version uint64) Limit {
	return Limit{Rate: q.Rate, Capacity: q.Burst + capacityShare*l.o.Tolerance.Units, Version: version}
}

// acquireIsolated charges a request to this host's part of the allowance for isolated hosts.
func (l *Limiter) acquireIsolated(req Request, q *state.Quota) (*Grant, error) {
	part := share.Evenly(isolatedShare, l.o.HostCount())
	burst := part * (l.o.Tolerance.Units + l.o.Tolerance.Overage*q.Burst) / 2
	rate := part * l.o.Tolerance.Overage * q.Rate
	if l.o.Tolerance.Window > 0 {
		rate += part * l.o.Tolerance.Units / 2 / l.o.Tolerance.Window.Seconds()
	}
	req.Limit = Limit{Rate: rate, Capacity: burst, Version: req.Limit.Version}
	if req.Units <= burst && l.isolated.Take(req).Granted {
		l.o.Observer.ObserveQuota(req.Customer, OutcomeIsolated)
		return &Grant{ledger: l.isolated, req: req}, nil
	}
	l.o.Observer.ObserveQuota(req.Customer, OutcomeUndecided)
	if !l.undecided.Swap(true) {
		l.o.Log.Warn("too few replicas of a quota are reachable; requests are refused", "customer", req.Customer, "replicas", l.o.Replicas(req.Customer))
	}
	return nil, &UndecidedError{Customer: req.Customer, RetryAfter: undecidedRetryAfter}
}

// noteDecided logs the end of a series of undecided requests.
func (l *Limiter) noteDecided() {
	if l.undecided.Load() && l.undecided.Swap(false) {
		l.o.Log.Info("replicas of quotas are reachable again")
	}
}

// Grant is an admitted request. Refund must be called if the request didn't run; it does nothing
// on nil.
type Grant struct {
	proposal *proposal
	// ledger and req are set in place of proposal for an isolated request.
	ledger *Ledger
	req    Request
}

// Refund gives the units back.
func (g *Grant) Refund() {
	switch {
	case g == nil:
	case g.proposal != nil:
		go g.proposal.refund()
	default:
		g.ledger.Refund(g.req)
	}
}
