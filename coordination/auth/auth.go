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
	// margin is taken off both bounds: clocks of machines may run apart by some hundred
	// parts in a million, half a millisecond in five seconds.
	margin = 100 * time.Millisecond
	// askTimeout bounds a question to the store for which requests wait. A sound store
	// answers in some milliseconds; callers of the shortest deadlines (0.6 s) can still go
	// to another host afterwards.
	askTimeout = 300 * time.Millisecond
	// askAgain is the pause after a question that failed, twice as long after each further one
	// in a row up to askMost: what follows the store asks it anyway.
	askAgain = time.Second
	askMost  = 4 * time.Second
	// askEarly is the part of the bound after which the store is asked ahead of need, so that
	// requests needn't wait for it: what keeps the copies up to date renews a proof within
	// half of the bound unless a relay was lost.
	askEarly = 0.75
	// retryAfter is when a caller whose host can't tell may come back. Another host most
	// likely can.
	retryAfter = 50 * time.Millisecond
)

// Options configure a Checker. All but Strict are required.
type Options struct {
	Clock state.Clock
	Log   *slog.Logger
	// Table returns the configuration in force, nil before the first.
	Table func() *routing.Table
	// Proven is when the configuration in force was known to be the newest, by Clock; zero
	// if it isn't known. A table that is read after Proven returned is as new or newer.
	Proven func() time.Time
	// Ask asks the store whether there is a newer configuration; after nil, Proven is the
	// time of the call or later.
	Ask func(ctx context.Context) error
	// Strict says that no revoked key may be served later than RevokeWithin after the
	// revocation was acknowledged; without it keys hold while they are configured here.
	Strict       bool
	RevokeWithin time.Duration
	// InForceWithin is the time within which a new key must be known.
	InForceWithin time.Duration
	// Observer counts what was decided.
	Observer Observer
}

// Observer takes the measures of a Checker.
type Observer interface {
	// Checked notes the outcome of a check and the age of the proof that it rests on.
	Checked(o Outcome, age time.Duration)
}

// Outcome is how a check ended.
type Outcome string

// The outcomes of a check.
const (
	OutcomeServed  Outcome = "served"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeUnproven says that this host can't know.
	OutcomeUnproven Outcome = "unproven"
)

// UnknownKeyError says that no customer has the key.
type UnknownKeyError struct {
	// Missing is set if the request shows no key.
	Missing bool
}

// Error implements error.
func (e *UnknownKeyError) Error() string {
	if e.Missing {
		return "the request shows no key; send your customer's key"
	}
	return "the key belongs to no customer; check it, or ask the operators to add it"
}

// UnprovenError says that this host can't know whether the key holds.
type UnprovenError struct {
	// Age is that of the last proof; negative if there never was one.
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
	// asking is the question under way, nil if there is none.
	asking atomic.Pointer[question]
	// failedAt is when the last question failed, in nanoseconds since made; 0 for never.
	failedAt atomic.Int64
	// failures is how many failed in a row.
	failures atomic.Int64
	made     time.Time
	// unproven is set while keyed requests are refused for want of a proof.
	unproven atomic.Bool
}

// question is one question to the store; err is set before done is closed.
type question struct {
	done chan struct{}
	err  error
}

// New validates the options.
func New(o Options) (*Checker, error) {
	if o.Clock == nil || o.Log == nil || o.Table == nil || o.Proven == nil || o.Ask == nil || o.Observer == nil {
		return nil, errors.New("auth: a field of Options is nil; set all of them")
	}
	if o.InForceWithin <= margin || (o.Strict && o.RevokeWithin <= margin) {
		return nil, fmt.Errorf("auth: InForceWithin or RevokeWithin is not above %s; take the bounds of the service agreement", margin)
	}
	return &Checker{o: o, made: o.Clock.Now()}, nil
}

// Check returns the customer that has the key. read is when the request was read, by the
// checker's clock, and key is nil if the request shows none. The error is an
// *UnknownKeyError or an *UnprovenError.
func (c *Checker) Check(ctx context.Context, read time.Time, key []byte) (*state.Customer, error) {
	digest := state.DigestKey(key)
	customer, age := c.find(read, digest)
	if !c.settled(customer, age) {
		if c.ask(ctx) == nil {
			customer, age = c.find(read, digest)
		}
	} else if c.o.Strict && age > time.Duration(askEarly*float64(c.o.RevokeWithin)) {
		c.askAhead()
	}
	return c.decide(customer, age, digest, len(key) == 0)
}

// find returns the customer that has the key by the table in force and the age of its proof
// at the time read. The proof is read first, so that the table is as new or newer.
func (c *Checker) find(read time.Time, d state.KeyDigest) (*state.Customer, time.Duration) {
	age := c.age(read)
	table := c.o.Table()
	if table == nil {
		return nil, never
	}
	return table.CustomerOfKey(d), age
}

// never is the age of a proof that there never was.
const never = time.Duration(1<<63 - 1)

func (c *Checker) age(at time.Time) time.Duration {
	proven := c.o.Proven()
	if proven.IsZero() {
		return never
	}
	return at.Sub(proven)
}

// settled reports whether the proof's age allows to decide.
func (c *Checker) settled(customer *state.Customer, age time.Duration) bool {
	if customer != nil {
		return !c.o.Strict || age <= c.o.RevokeWithin-margin
	}
	return age <= c.o.InForceWithin-margin
}

func (c *Checker) decide(customer *state.Customer, age time.Duration, d state.KeyDigest, missing bool) (*state.Customer, error) {
	switch {
	case !c.settled(customer, age):
		c.o.Observer.Checked(OutcomeUnproven, age)
		c.noteUnproven(age)
		if age == never {
			age = -1
		}
		return nil, &UnprovenError{Age: age, RetryAfter: retryAfter}
	case customer == nil:
		c.o.Observer.Checked(OutcomeUnknown, age)
		c.o.Log.Info("key refused", "key_sha256", d.Short(), "missing", missing, "proof_age", age)
		return nil, &UnknownKeyError{Missing: missing}
	default:
		c.o.Observer.Checked(OutcomeServed, age)
		c.noteProven(age)
		return customer, nil
	}
}

func (c *Checker) noteUnproven(age time.Duration) {
	if !c.unproven.Swap(true) {
		c.o.Log.Warn("keys can't be proven; requests with keys are refused", "proof_age", age, "bound", c.o.RevokeWithin)
	}
}

func (c *Checker) noteProven(age time.Duration) {
	if c.unproven.Load() && c.unproven.Swap(false) {
		c.o.Log.Info("keys can be proven again", "proof_age", age)
	}
}

// errResting says that the store didn't answer a moment ago.
var errResting = errors.New("the store didn't answer; it is asked again after a pause")

// ask asks the store, or waits for the answer to a question under way.
func (c *Checker) ask(ctx context.Context) error {
	q, mine := c.begin()
	if q == nil {
		return errResting
	}
	if mine {
		c.answer(q)
	}
	select {
	case <-q.done:
		return q.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// askAhead asks the store while nobody waits for it.
func (c *Checker) askAhead() {
	if q, mine := c.begin(); q != nil && mine {
		go c.answer(q)
	}
}

// begin returns the question under way, or a new one that the caller has to ask; nil while
// the store rests after a failure.
func (c *Checker) begin() (q *question, mine bool) {
	for {
		if q := c.asking.Load(); q != nil {
			return q, false
		}
		since := int64(c.o.Clock.Now().Sub(c.made))
		if failed := c.failedAt.Load(); failed != 0 && since-failed < int64(c.rest()) {
			return nil, false
		}
		q := &question{done: make(chan struct{})}
		if c.asking.CompareAndSwap(nil, q) {
			return q, true
		}
	}
}

// rest is the pause after the last failures.
func (c *Checker) rest() time.Duration {
	return min(askAgain<<min(max(0, c.failures.Load()-1), 8), askMost)
}

// answer asks the store. The question is no caller's alone, so that none of them ends it.
func (c *Checker) answer(q *question) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	q.err = c.o.Ask(ctx)
	if q.err == nil {
		c.failures.Store(0)
	} else {
		c.failures.Add(1)
		c.failedAt.Store(int64(c.o.Clock.Now().Sub(c.made)))
		c.o.Log.Info("the store didn't tell whether keys hold", "cause", q.err.Error())
	}
	c.asking.Store(nil)
	close(q.done)
}
