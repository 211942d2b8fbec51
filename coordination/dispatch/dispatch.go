// Package dispatch serves one classified request: it admits it, routes it, and makes
// attempts at upstreams. It guarantees that each token is delivered once, that an answer
// belongs to its own request, that an at-most-once call isn't repeated, and that a refusal
// says "not run" only if the request ran nowhere.
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

// Request is a request with the attributes that classification has assigned to it.
type Request struct {
	// ID is the request id, which the caller also knows.
	ID       string
	Customer string
	// Class is the name of the request's state.Class.
	Class  string
	Urgent bool
	// Weight is the customer's relative share of the admitted work; zero means 1.
	Weight  float64
	Service string
	// MaxTokens bounds the output of a model request, in tokens.
	MaxTokens int
	// FailureDomain is that of this host. Among equal runners, one in it is preferred.
	FailureDomain string
	ArrivedAt     time.Time
	Deadline      time.Time
	// NotRepeatable marks an at-most-once call; Key is its idempotency key.
	NotRepeatable bool
	Key           string
	// First is true if the caller states that it has never sent Key before.
	First bool
	// Fingerprint is a hash of the request's content that detects different calls under
	// one key. Digest is a cryptographic hash of the content, which identifies the request in the
	// quarantine: no caller can make another request with the same digest.
	Fingerprint uint64
	Digest      quarantine.Digest
	// Explain is true if the candidates of each choice are to be recorded.
	Explain bool
}

// Part is the part of a model request that a runner is chosen for.
type Part int

// The parts of a model request.
const (
	// Whole is prefill and decode at one engine.
	Whole Part = iota
	// Prefill computes the KV cache of the prompt.
	Prefill
	// Decode generates the output from an imported KV cache.
	Decode
)

// Query describes a request, or a part of one, to a Router.
type Query struct {
	Request *Request
	Part    Part
	Model   string
	// Work is the load that the request adds to the runner.
	Work snapshot.Work
	// Prefixes are the hashes of increasingly long prefixes of the prompt.
	Prefixes []uint64
	// Exclude lists runners that must not be chosen: those that failed this request, or
	// accept no work.
	Exclude []string
}

// Choice is the runner that a Router chose for a query.
type Choice struct {
	Runner *snapshot.Runner
	// CachedTokens is the predicted number of prompt tokens in the runner's cache.
	CachedTokens int
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Priority orders the requests that wait at the runner; the largest goes first.
	Priority int
	// Why explains the choice in the decision record.
	Why string
	// Candidates are the runners compared; set only if Request.Explain is.
	Candidates []state.Candidate
}

// Router chooses runners.
type Router interface {
	// Pick chooses a runner for the query. It returns a *Refusal if there is none.
	Pick(v *snapshot.View, q Query) (Choice, error)
	// Begin records that an attempt at the chosen runner starts. It returns false if the
	// runner must not be used, for example because its circuit breaker is open.
	Begin(q Query, c Choice) (AttemptObserver, bool)
}

// PathChooser is implemented by a Router that can predict whether a model request
// completes sooner if its prefill and its decode run at separate engines.
type PathChooser interface {
	// PreferSplit reports whether the split path is faster. It is called only if engines
	// for both paths are available.
	PreferSplit(v *snapshot.View, q Query) bool
}

// AttemptObserver receives the progress and the outcome of one attempt.
type AttemptObserver interface {
	// FirstToken is called at most once, with the time since the attempt began.
	FirstToken(after time.Duration)
	// End is called once. An attempt that this host cancelled is neither a success nor a
	// failure of the runner.
	End(o AttemptOutcome, took time.Duration)
}

// AttemptOutcome is the result of an attempt.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	AttemptSucceeded AttemptOutcome = iota
	AttemptFailed
	AttemptCancelled
)

// Admitter admits requests when there is capacity for them.
type Admitter interface {
	// Admit waits for capacity. It returns a *Refusal at once if the deadline can't be met.
	Admit(ctx context.Context, r *Request, cost snapshot.Work) (Grant, error)
}

// Grant is the capacity that was reserved for one request.
type Grant interface {
	// FirstToken releases the capacity reserved for the prefill.
	FirstToken()
	// Done releases all capacity.
	Done()
}

// Retries limits retries to a share of each service's requests and paces them.
type Retries interface {
	// CountRequest counts a request, at its first attempt.
	CountRequest(service string)
	// Allow takes a retry from the service's budget and reports whether there was one.
	Allow(service string) bool
	// Backoff returns the pause before the given retry, counted from 1.
	Backoff(attempt int) time.Duration
}

// Claimer records at-most-once calls under their keys.
type Claimer interface {
	// Begin claims the key for the call, or returns the outcome recorded for it.
	Begin(ctx context.Context, c claim.Call) (*claim.Held, *claim.Outcome, error)
	// Show reads the record of a key without claiming it.
	Show(ctx context.Context, key string) (state.Claim, error)
}

// Recorder stores decisions, which operators can query.
type Recorder interface {
	Record(d state.Decision)
}

// Counter is the name of a counter of the dispatcher.
type Counter string

// The counters.
const (
	// CountAttempts counts attempts, including first ones.
	CountAttempts Counter = "attempts"
	// CountRetries counts retries of requests that had delivered no token.
	CountRetries Counter = "retries"
	// CountResumptions counts resumptions of started answers.
	CountResumptions Counter = "resumptions"
	// CountForeignEvents, CountDuplicateEvents and CountReordered count irregular events of
	// streams; see stream.Counts.
	CountForeignEvents   Counter = "foreign_events"
	CountDuplicateEvents Counter = "doubled_events"
	CountReordered       Counter = "reordered_events"
	// CountReroutes counts choices that were repeated because the runner accepted no more
	// work, as when it had begun to drain.
	CountReroutes Counter = "reroutes_after_drain"
	// CountSplitPrefills counts successful prefills for a separate decode engine;
	// CountSplitFailures counts rounds whose split prefill or decode failed.
	CountSplitPrefills Counter = "prefill_apart"
	CountSplitFailures Counter = "prefill_apart_failed"
	// CountForeignAnswers counts answers of plain services to another attempt.
	CountForeignAnswers Counter = "foreign_answers"
)

// Meter counts the dispatcher's events.
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
	// Crashes receives attempts that broke off; Quarantine is checked before each attempt.
	Crashes    CrashReporter
	Quarantine Quarantine
	Clock      state.Clock
	// NewID returns attempt ids that are unique in the fleet.
	NewID func() string
	// Host is the name of this host in decision records.
	Host string
	// MaxAttempts bounds the attempts of a request that has delivered no token.
	MaxAttempts int
	// StallTimeout is the longest allowed time between two tokens of a stream.
	StallTimeout time.Duration
	// SplitPromptTokens is the prompt size, in tokens, from which prefill and decode run at
	// separate engines. It is used only if Router isn't a PathChooser.
	SplitPromptTokens int
	// Isolated reports that the fleet may already consider this host gone; nil means never.
	// It is checked after a runner was chosen and before the request is sent: a host that
	// was suspended in between must not act on outdated state.
	Isolated func() bool
	// RecordTimeout bounds the write of a claim's outcome, and the read of a record if there
	// is no runner.
	RecordTimeout time.Duration
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	o Options
	// running counts claimed calls in progress, which may outlive their callers.
	running atomic.Int64
}

// Running returns the number of claimed calls without an outcome.
func (d *Dispatcher) Running() int64 { return d.running.Load() }

// New returns a dispatcher, or an error if the options are invalid.
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

// Reason is why a request wasn't served.
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
	// ReasonCrashes means that copies of the request crashed upstreams.
	ReasonCrashes Reason = "crashes_upstreams"
)

// Refusal is the final error of a request that wasn't served. Its message names the
// remedy.
type Refusal struct {
	Reason  Reason
	Message string
	// RetryAfter is the time after which a retry may succeed; zero if none would.
	RetryAfter time.Duration
	// NotRun is true only if it is certain that the request ran nowhere.
	NotRun bool
	// EarlierMayHaveRun is true if this request ran nowhere but an earlier one with the
	// same key may have run; see ClearNotRun.
	EarlierMayHaveRun bool
	Cause             error
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// ClearNotRun replaces NotRun by EarlierMayHaveRun in a refusal that was made without
// reading the key's record. The key may belong to a call that ran at another host, and a
// caller that receives "not run" would run it again under a new key.
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

// record stores a decision about the request with the version of the current configuration.
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

// activeAttempt is an attempt that is counted at its runner and may be sent.
type activeAttempt struct {
	Choice
	ticket   *snapshot.Ticket
	observer AttemptObserver
	started  time.Time
}

// end removes the request from the runner's count and reports the outcome. If ctx has ended
// or the deadline has passed, the attempt was cancelled and the runner hasn't failed.
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

// cancelAttempt tells an engine in the background to stop an attempt. The connection is
// closed as well, but an engine may notice that only at its next event, and there is none
// during a long prefill.
func (d *Dispatcher) cancelAttempt(u state.Upstream, attempt string) {
	go func() {
		ctx, stop := d.withTimeout(context.Background(), d.o.StallTimeout)
		defer stop()
		_ = d.o.Engines.Cancel(ctx, u, attempt)
	}()
}

// startAttempt chooses a runner and counts the request there. If the runner began to drain
// or its circuit breaker opened after the choice, another one is chosen.
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
		// The runner accepts no more work. Excluding it makes each iteration try another one.
		q.Exclude = append(q.Exclude[:len(q.Exclude):len(q.Exclude)], choice.Runner.Name)
	}
}
