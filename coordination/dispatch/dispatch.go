// Package dispatch carries one classified request through admission, routing
// and its attempts at upstreams, and keeps the promises on the way: each token
// once, each answer its own, nothing repeated that may not be, and "not run"
// only when it is true.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/coordination/claim"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
)

// Request is one classified request.
type Request struct {
	// ID is the request id that the caller knows.
	ID       string
	Customer string
	Class    string
	Urgent   bool
	Weight   float64
	Service  string
	// MaxTokens bounds the output of a model request.
	MaxTokens int
	// FailureDomain is the host's own, preferred among equals.
	FailureDomain string
	ArrivedAt     time.Time
	Deadline      time.Time
	// NotRepeatable requests run at most once, under Key.
	NotRepeatable bool
	Key           string
	// First is the caller's statement that it never sent the key before.
	First bool
	// Fingerprint is a hash of the request's content, which tells the uses of a key apart;
	// Digest is what nobody can make another request's equal to.
	Fingerprint uint64
	Digest      quarantine.Digest
	// Explain asks for a record of the candidates of each choice.
	Explain bool
}

// Part is the share of a model request that a runner is chosen for.
type Part int

// The parts of a model request.
const (
	// Whole is prompt and output on one engine.
	Whole Part = iota
	// Prefill is the prompt alone.
	Prefill
	// Decode is the output, from an imported KV cache.
	Decode
)

// Query asks a Router for a runner.
type Query struct {
	Request *Request
	Part    Part
	Model   string
	// Work is the load that the request will put on the runner.
	Work snapshot.Work
	// Prefixes are the hashes of growing prefixes of the prompt.
	Prefixes []uint64
	// Exclude names runners that have failed this request.
	Exclude []string
}

// Choice is a Router's answer.
type Choice struct {
	Runner *snapshot.Runner
	// CachedTokens are prompt tokens thought to be in the runner's cache.
	CachedTokens int
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Priority is the runner's order of waiting work; larger goes first.
	Priority   int
	Why        string
	Candidates []state.Candidate
}

// Router chooses runners. It returns a *Refusal when there is none.
type Router interface {
	Pick(v *snapshot.View, q Query) (Choice, error)
	// Begin notes that an attempt at the chosen runner starts. It returns false
	// when the runner must not be used after all.
	Begin(q Query, c Choice) (AttemptObserver, bool)
}

// PathChooser is a Router that can tell whether a model request is finished sooner
// with its prompt and its output on engines of their own.
type PathChooser interface {
	// Apart is asked only when there are engines for either way.
	PreferSplit(v *snapshot.View, q Query) bool
}

// AttemptObserver takes note of how one attempt went.
type AttemptObserver interface {
	// FirstToken is called once, with the time since the attempt began.
	FirstToken(after time.Duration)
	// End is called once; it is neither a success nor a failure of the runner
	// when the attempt was cancelled from this side.
	End(o AttemptOutcome, took time.Duration)
}

// AttemptOutcome is how an attempt ended.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	AttemptSucceeded AttemptOutcome = iota
	AttemptFailed
	AttemptCancelled
)

// Admitter holds a request back until there is room for it. It returns a
// *Refusal at once when the deadline can't be kept.
type Admitter interface {
	Admit(ctx context.Context, r *Request, cost snapshot.Work) (Grant, error)
}

// Grant is the right to run one request.
type Grant interface {
	// FirstToken gives the room of the prompt back.
	FirstToken()
	// Done gives all room back.
	Done()
}

// Retries limits further attempts to a share of the traffic.
type Retries interface {
	// CountRequest counts a first attempt; Allow asks for a further one.
	CountRequest(service string)
	Allow(service string) bool
	// Backoff is the pause before the given further attempt, counted from 1.
	Backoff(attempt int) time.Duration
}

// Claimer records calls that may not be repeated.
type Claimer interface {
	Begin(ctx context.Context, c claim.Call) (*claim.Held, *claim.Outcome, error)
	// Show reads a key's record without claiming it.
	Show(ctx context.Context, key string) (state.Claim, error)
}

// Recorder keeps decisions for the operators' questions.
type Recorder interface {
	Record(d state.Decision)
}

// Counter names what the dispatcher counts.
type Counter string

// The counters.
const (
	CountAttempts        Counter = "attempts"
	CountRetries         Counter = "retries"
	CountResumptions     Counter = "resumptions"
	CountForeignEvents   Counter = "foreign_events"
	CountDuplicateEvents Counter = "doubled_events"
	CountReordered       Counter = "reordered_events"
	CountReroutes        Counter = "reroutes_after_drain"
	CountSplitPrefills   Counter = "prefill_apart"
	CountSplitFailures   Counter = "prefill_apart_failed"
	CountForeignAnswers  Counter = "foreign_answers"
)

// Meter counts events and observes times.
type Meter interface {
	Count(c Counter, n int)
}

// Options configures a Dispatcher. All interfaces are required.
type Options struct {
	Keeper   *snapshot.Keeper
	Engines  upstream.Engines
	Services upstream.Services
	Router   Router
	Admitter Admitter
	Retries  Retries
	Claimer  Claimer
	Recorder Recorder
	Meter    Meter
	// Crashes is told of attempts that break off; Quarantine is asked before each.
	Crashes    CrashReporter
	Quarantine Quarantine
	Clock      state.Clock
	// NewID makes attempt ids that are unique over the fleet.
	NewID func() string
	// Host is the host's name, for the records.
	Host string
	// MaxAttempts bounds the attempts of one request that has given no token.
	MaxAttempts int
	// StallTimeout is the longest pause between two events of a stream.
	StallTimeout time.Duration
	// SplitPromptTokens is the prompt size from which prompt and output go to
	// engines of their own when there are such.
	SplitPromptTokens int
	// Isolated reports that this host may count as gone by now; nil means never.
	// It is asked between the count and the sending of each attempt: a host that
	// slept in between must not send on what it knew before.
	Isolated func() bool
	// RecordTimeout bounds the write of a claim's outcome.
	RecordTimeout time.Duration
}

// Dispatcher carries requests through. It is safe for concurrent use.
type Dispatcher struct {
	o Options
	// running counts the claimed calls that may have outlived their callers.
	running atomic.Int64
}

// Running returns the number of claimed calls that have no outcome yet.
func (d *Dispatcher) Running() int64 { return d.running.Load() }

// New validates the options.
func New(o Options) (*Dispatcher, error) {
	if o.Keeper == nil || o.Engines == nil || o.Services == nil || o.Router == nil || o.Admitter == nil ||
		o.Retries == nil || o.Claimer == nil || o.Recorder == nil || o.Meter == nil || o.Crashes == nil || o.Quarantine == nil || o.Clock == nil || o.NewID == nil {
		return nil, errors.New("dispatch: an interface of Options is nil; set all of them")
	}
	if o.MaxAttempts < 1 {
		return nil, fmt.Errorf("dispatch: MaxAttempts is %d; use at least 1", o.MaxAttempts)
	}
	if o.StallTimeout <= 0 || o.RecordTimeout <= 0 {
		return nil, errors.New("dispatch: StallTimeout and RecordTimeout must be positive; use some seconds")
	}
	return &Dispatcher{o: o}, nil
}

// Reason is why a request got no answer.
type Reason string

// The reasons of a Refusal.
const (
	ReasonOverloaded   Reason = "overloaded"
	ReasonNoUpstream   Reason = "no_upstream"
	ReasonDeadline     Reason = "deadline_passed"
	ReasonUpstream     Reason = "upstream_failed"
	ReasonPolicy       Reason = "refused_by_policy"
	ReasonKey          Reason = "bad_key"
	ReasonRunning      Reason = "still_running"
	ReasonUnknown      Reason = "outcome_unknown"
	ReasonPlatformDown Reason = "platform_down"
	ReasonAnswerLost   Reason = "answer_not_kept"
	ReasonNotRun       Reason = "did_not_run"
	ReasonCancelled    Reason = "cancelled"
	ReasonShutdown     Reason = "shutting_down"
	// ReasonCrashes says that upstreams crashed under copies of the request.
	ReasonCrashes Reason = "crashes_upstreams"
)

// Refusal is the final answer to a request that isn't served. Its message names
// the remedy.
type Refusal struct {
	Reason  Reason
	Message string
	// RetryAfter is when coming back is worth while; zero when it isn't.
	RetryAfter time.Duration
	// NotRun is true when it is certain that the request ran nowhere.
	NotRun bool
	// EarlierMayHaveRun is true when this request ran nowhere but an earlier one with the
	// same key may have run; see EarlierMayHaveRun.
	EarlierMayHaveRun bool
	Cause             error
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// ClearNotRun takes "not run" back from a refusal that was made without looking at
// the key's record: the key may belong to a call that ran at another host, and a
// caller who is told "not run" would run it again under a new key.
func ClearNotRun(err error) error {
	var refusal *Refusal
	if !errors.As(err, &refusal) || !refusal.NotRun {
		return err
	}
	cleared := *refusal
	cleared.NotRun = false
	cleared.EarlierMayHaveRun = true
	cleared.Message += "; whether an earlier request with this key ran is not known here: ask again with the same key"
	cleared.RetryAfter = max(cleared.RetryAfter, time.Second)
	return &cleared
}

func (d *Dispatcher) record(r *Request, kind state.DecisionKind, chosen, why string, c []state.Candidate) {
	var version uint64
	if cfg := d.o.Keeper.View().Config; cfg != nil {
		version = cfg.Version
	}
	d.o.Recorder.Record(state.Decision{
		At: d.o.Clock.Now(), Host: d.o.Host, Kind: kind, Subject: r.ID,
		Chosen: chosen, Why: why, ConfigVersion: version, Candidates: c,
	})
}

// entered is an attempt that may start: the request is counted in.
type activeAttempt struct {
	Choice
	ticket   *snapshot.Ticket
	observer AttemptObserver
	started  time.Time
}

// end counts the request out and tells the router how the attempt went. ctx is
// the one whose end is no failure of the runner.
func (e *activeAttempt) end(ctx context.Context, clock state.Clock, err error) {
	e.ticket.Done()
	outcome := AttemptSucceeded
	switch {
	case err != nil && (ctx.Err() != nil || errors.Is(err, errDeadline)):
		outcome = AttemptCancelled
	case err != nil:
		outcome = AttemptFailed
	}
	e.observer.End(outcome, clock.Now().Sub(e.started))
}

// cancel tells an engine that an attempt was given up. The connection is closed
// as well, but an engine may only notice that at its next event, and a long
// prompt has none.
func (d *Dispatcher) cancelAttempt(u state.Upstream, attempt string) {
	go func() {
		ctx, stop := d.withTimeout(context.Background(), d.o.StallTimeout)
		defer stop()
		_ = d.o.Engines.Cancel(ctx, u, attempt)
	}()
}

// enter picks a runner and counts the request in. A runner that began to drain
// between the choice and the count is left and the choice is made anew.
func (d *Dispatcher) startAttempt(q Query) (*activeAttempt, error) {
	for {
		if refusal := d.checkQuarantine(q.Request); refusal != nil {
			return nil, refusal
		}
		choice, err := d.o.Router.Pick(d.o.Keeper.View(), q)
		if err != nil {
			return nil, err
		}
		ticket := d.o.Keeper.Enter(choice.Runner, q.Work)
		if ticket == nil {
			d.o.Meter.Count(CountReroutes, 1)
		} else if observer, ok := d.o.Router.Begin(q, choice); ok {
			e := &activeAttempt{choice, ticket, observer, d.o.Clock.Now()}
			if d.o.Isolated != nil && d.o.Isolated() {
				e.ticket.Done()
				e.observer.End(AttemptCancelled, 0)
				return nil, &Refusal{Reason: ReasonNoUpstream, Message: "this host is cut off from its fleet; send the request again, another host will take it", RetryAfter: time.Second}
			}
			d.o.Meter.Count(CountAttempts, 1)
			return e, nil
		} else {
			ticket.Done()
		}
		// The runner takes no work by now; excluding it makes each turn of the
		// loop try another one.
		q.Exclude = append(q.Exclude[:len(q.Exclude):len(q.Exclude)], choice.Runner.Name)
	}
}
