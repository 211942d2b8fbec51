package auth

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/routing"
	"github.com/thymerack/thymerack/state"
)

const (
	// clockMargin is subtracted from both bounds, RevokeWithin and InForceWithin: the clocks of two
	// machines may drift apart by some hundred parts per million, 0.5 ms in 5 s at 100 ppm.
	clockMargin = 100 * time.Millisecond
	// proveTimeout bounds a proof that requests wait for. A healthy store answers within some
	// milliseconds; a caller with the shortest deadline (0.6 s) still has time for another host
	// afterwards.
	proveTimeout = 300 * time.Millisecond
	// minBackoff is the pause after a failed proof. It doubles with each further failure in a row,
	// up to maxBackoff. Nothing is lost by the pause: the mirror of the configuration keeps trying
	// to reach the store itself.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// refreshFraction is the fraction of RevokeWithin after which a proof is renewed ahead of need,
	// so that requests needn't wait for it. The mirror renews a proof within half of the bound
	// unless an update of a relay was lost.
	refreshFraction = 0.75
	// retryAfter is the retry time in an UnprovenError. It is short, since another host most likely
	// has a proof.
	retryAfter = 50 * time.Millisecond
)

// Options configure a Checker. All but Strict and, without it, RevokeWithin are required.
type Options struct {
	Clock state.Clock
	Log   *slog.Logger
	// Table returns the configuration in force, nil before the first.
	Table func() *routing.Table
	// ProvenAt returns the time, by Clock, as of which the configuration in force is proven to be
	// the newest; zero if there is no proof. A table that is read after ProvenAt has returned must
	// be as new or newer.
	ProvenAt func() time.Time
	// Prove asks the store whether there is a newer configuration. After it has returned nil,
	// ProvenAt must return the time of the call or later.
	Prove func(ctx context.Context) error
	// Strict requires that no revoked key is served later than RevokeWithin after the revocation
	// was acknowledged. Without it a key is served while the host's configuration contains it.
	Strict       bool
	RevokeWithin time.Duration
	// InForceWithin is the time within which every host must accept a new key.
	InForceWithin time.Duration
	// Observer receives the outcome of each check.
	Observer Observer
}

// Observer records metrics of a Checker. It must be safe for concurrent use.
type Observer interface {
	// ObserveCheck records the outcome of a check and the age of its proof.
	ObserveCheck(o Outcome, age time.Duration)
}

// Outcome is the result of a check.
type Outcome string

// The outcomes of a check.
const (
	// OutcomeServed means that a customer has the key.
	OutcomeServed Outcome = "served"
	// OutcomeUnknown means that no customer has the key.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeUnproven means that this host's proof is too old to decide.
	OutcomeUnproven Outcome = "unproven"
)

// UnknownKeyError reports that no customer has the key.
type UnknownKeyError struct {
	// Missing is set if the request has no key.
	Missing bool
}

// Error implements error.
func (e *UnknownKeyError) Error() string {
	if e.Missing {
		return "the request shows no key; send your customer's key"
	}
	return "the key belongs to no customer; check it, or ask the operators to add it"
}

// UnprovenError reports that this host has no proof that is recent enough to decide on the key. The
// request was not run, and another host may serve it.
type UnprovenError struct {
	// Age is that of the last proof; negative if there is none.
	Age        time.Duration
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnprovenError) Error() string {
	return "this host can't tell at present whether the key still holds, and did not run the request; send it again, another host can"
}

// Checker checks keys. It is safe for concurrent use.
type Checker struct {
	o Options
	// pending is the proof in progress, nil if there is none.
	pending atomic.Pointer[proofRequest]
	// failedAt is when the last proof failed, in nanoseconds since createdAt; 0 if none has.
	failedAt atomic.Int64
	// failures counts the failed proofs in a row.
	failures  atomic.Int64
	createdAt time.Time
	// unproven is set while requests are refused for lack of a proof; changes of it are logged.
	unproven atomic.Bool
}

// proofRequest is one call of Options.Prove, shared by all requests that need a proof meanwhile. err is
// set before done is closed.
type proofRequest struct {
	done chan struct{}
	err  error
}

// New validates the options and returns a Checker.
func New(o Options) (*Checker, error) {
	if o.Clock == nil || o.Log == nil || o.Table == nil || o.ProvenAt == nil || o.Prove == nil || o.Observer == nil {
		return nil, errors.New("auth: a field of Options is nil; set all of them")
	}
	if o.InForceWithin <= clockMargin || (o.Strict && o.RevokeWithin <= clockMargin) {
		return nil, fmt.Errorf("auth: InForceWithin or RevokeWithin is not above %s; take the bounds of the service agreement", clockMargin)
	}
	return &Checker{o: o, createdAt: o.Clock.Now()}, nil
}

// Check returns the customer that has the key. read is the time, by the checker's clock, at which the
// request was read; key is empty if the request has none. The error is an *UnknownKeyError or an
// *UnprovenError.
func (c *Checker) Check(ctx context.Context, read time.Time, key []byte) (*state.Customer, error) {
	digest := state.DigestKey(key)
	customer, age := c.lookUp(read, digest)
	if !c.conclusive(customer, age) {
		if c.prove(ctx) == nil {
			customer, age = c.lookUp(read, digest)
		}
	} else if c.o.Strict && age > time.Duration(refreshFraction*float64(c.o.RevokeWithin)) {
		c.proveAhead()
	}
	return c.decide(customer, age, digest, len(key) == 0)
}

// lookUp returns the customer that has the key in the table in force, nil if none has, and the age of
// the proof at the time read. The proof is read before the table, so that the table is as new as the
// proof or newer.
func (c *Checker) lookUp(read time.Time, d state.KeyDigest) (*state.Customer, time.Duration) {
	age := c.proofAge(read)
	table := c.o.Table()
	if table == nil {
		return nil, noProof
	}
	return table.CustomerOfKey(d), age
}

// noProof is the age if there is no proof.
const noProof = time.Duration(1<<63 - 1)

// proofAge returns the age of the proof at the time at; it is negative if the proof is more recent.
func (c *Checker) proofAge(at time.Time) time.Duration {
	proven := c.o.ProvenAt()
	if proven.IsZero() {
		return noProof
	}
	return at.Sub(proven)
}

// conclusive reports whether a proof of that age is recent enough to decide: to serve the customer, or
// to refuse the key as unknown if customer is nil.
func (c *Checker) conclusive(customer *state.Customer, age time.Duration) bool {
	if customer != nil {
		return !c.o.Strict || age <= c.o.RevokeWithin-clockMargin
	}
	return age <= c.o.InForceWithin-clockMargin
}

// decide returns the result of a check and records it.
func (c *Checker) decide(customer *state.Customer, age time.Duration, d state.KeyDigest, missing bool) (*state.Customer, error) {
	switch {
	case !c.conclusive(customer, age):
		c.o.Observer.ObserveCheck(OutcomeUnproven, age)
		c.logUnproven(age)
		if age == noProof {
			age = -1
		}
		return nil, &UnprovenError{Age: age, RetryAfter: retryAfter}
	case customer == nil:
		c.o.Observer.ObserveCheck(OutcomeUnknown, age)
		c.o.Log.Info("key refused", "key_sha256", d.Short(), "missing", missing, "proof_age", age)
		return nil, &UnknownKeyError{Missing: missing}
	default:
		c.o.Observer.ObserveCheck(OutcomeServed, age)
		c.logProven(age)
		return customer, nil
	}
}

// logUnproven logs the first of a series of requests that are refused for lack of a proof.
func (c *Checker) logUnproven(age time.Duration) {
	if !c.unproven.Swap(true) {
		c.o.Log.Warn("proof of the configuration is too old to check a key; the request is refused", "proof_age", age, "bound", c.o.RevokeWithin)
	}
}

// logProven logs that keys are served again after such a series.
func (c *Checker) logProven(age time.Duration) {
	if c.unproven.Load() && c.unproven.Swap(false) {
		c.o.Log.Info("proof of the configuration is recent again; keys are served", "proof_age", age)
	}
}

// errBackingOff is returned instead of a proof while the pause after a failed one lasts.
var errBackingOff = errors.New("the store didn't answer; it is asked again after a pause")

// prove renews the proof, or waits for the proof in progress.
func (c *Checker) prove(ctx context.Context) error {
	q, started := c.joinOrStart()
	if q == nil {
		return errBackingOff
	}
	if started {
		c.execute(q)
	}
	select {
	case <-q.done:
		return q.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// proveAhead renews the proof in the background.
func (c *Checker) proveAhead() {
	if q, started := c.joinOrStart(); q != nil && started {
		go c.execute(q)
	}
}

// joinOrStart returns the proof in progress, or a new one with started set, which the caller must
// execute. It returns nil during the pause after a failure.
func (c *Checker) joinOrStart() (q *proofRequest, started bool) {
	for {
		if q := c.pending.Load(); q != nil {
			return q, false
		}
		since := int64(c.o.Clock.Now().Sub(c.createdAt))
		if failed := c.failedAt.Load(); failed != 0 && since-failed < int64(c.backoff()) {
			return nil, false
		}
		q := &proofRequest{done: make(chan struct{})}
		if c.pending.CompareAndSwap(nil, q) {
			return q, true
		}
	}
}

// backoff returns the pause after the last failures in a row.
func (c *Checker) backoff() time.Duration {
	return min(minBackoff<<min(max(0, c.failures.Load()-1), 8), maxBackoff)
}

// execute calls Prove and completes q. It doesn't use the context of a request: other requests wait for
// the same proof, so the end of one must not cancel it.
func (c *Checker) execute(q *proofRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), proveTimeout)
	defer cancel()
	q.err = c.o.Prove(ctx)
	if q.err == nil {
		c.failures.Store(0)
	} else {
		c.failures.Add(1)
		c.failedAt.Store(int64(c.o.Clock.Now().Sub(c.createdAt)))
		c.o.Log.Info("the store didn't confirm the configuration", "cause", q.err.Error())
	}
	c.pending.Store(nil)
	close(q.done)
}
