package forward

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/thymerack/thymerack/coordination/buffers"
	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/quota"
	"github.com/thymerack/thymerack/state"
)

// Placer chooses runners of a pool. tried lists instances that must not be chosen again. Methods that
// choose return nil if there is no runner.
type Placer interface {
	// ChooseForCall chooses a runner for a call of a plain service.
	ChooseForCall(p placement.Pool, tried []state.InstanceID) *placement.Runner
	// ChooseForDecode chooses an engine that generates. It prefers engines of the failure domain near;
	// "" means the host's own domain.
	ChooseForDecode(p placement.Pool, session, near string, tried []state.InstanceID) *placement.Runner
	// ChooseForPrefill chooses an engine that computes a prompt.
	ChooseForPrefill(p placement.Pool, session string, tried []state.InstanceID) *placement.Runner
	// PrefillRoute returns the failure domain at which a service's sessions start.
	PrefillRoute(service string) placement.PrefillRoute
	// ChooseForBackup chooses an engine for the backup of a run at another engine. It avoids engines
	// that can be lost together with that engine.
	ChooseForBackup(p placement.Pool, at *state.Instance, tried []state.InstanceID) *placement.Runner
	// NotedSize returns the number of the service's runners, and of those among them whose version the store has noted.
	NotedSize(service string) (all, noted int)
	// IsNoted reports whether the store has noted the instance's version.
	IsNoted(i *state.Instance) bool
	// SeparatesPrefill reports whether some of the service's engines only compute prompts.
	SeparatesPrefill(service string) bool
	// Runner returns an instance with this host's knowledge of it, or nil if it isn't listed.
	Runner(id state.InstanceID) *placement.Runner
	// Accepts reports whether requests may be sent to the instance now.
	Accepts(id state.InstanceID) bool
	// EarliestAvailable returns the runner that is the first to accept such work, and when it does; the
	// time is zero if it does now.
	EarliestAvailable(p placement.Pool, phase placement.Phase, tried []state.InstanceID) (*placement.Runner, time.Time)
	// NextAttempt returns when the next attempt to connect is made, if this host has no path to any runner
	// for such work; zero if there may be one.
	NextAttempt(p placement.Pool, phase placement.Phase) time.Time
}

// Budget limits retries over all hosts.
type Budget interface {
	// CountRequest counts a request of the service, and Allow takes a retry if one is left.
	CountRequest(service string)
	Allow(service string) bool
	// AllowMove takes the retry of a run that continues at another engine.
	AllowMove(service string) bool
}

// Observer collects the dispatcher's metrics.
type Observer interface {
	// Admitted counts how a phase of a model request was admitted to an engine.
	Admitted(w Phase, t ReservationKind)
	// PrefillOrdered counts the order of a prefill at its engine.
	PrefillOrdered(r *Request, o contention.Outcome)
	// PrefillDone records the duration of a prefill, queueing included, and its forecast.
	PrefillDone(service string, predicted, took time.Duration)
	// PrefillPlaced counts a reserved prefill: why it is in another failure domain than this host,
	// if it is, and whether it fetches cached prefixes from another domain than its own.
	PrefillPlaced(service string, reason CrossDomainReason, fetchesAcross bool)
	// BodyEnded counts a response of a runner whose body has ended.
	BodyEnded(service string, e BodyEnd)
	// LongAnswer counts an answer of which no more may be held.
	LongAnswer(service string, o LongAnswerOutcome)
	// StreamEnded counts a stream by how it ended for its caller.
	StreamEnded(service string, e StreamEnd)
	// SilentRun counts a run whose engine was silent.
	SilentRun(service string, o SilentRunOutcome)
	// RequestHeld counts a request that the quarantine kept from the runners.
	RequestHeld(service string)
	// SentToUnconfirmed counts a request that is sent to an instance without an entry in the store.
	SentToUnconfirmed(service string)
	// RequestStarted records when a request of a customer started to run, by the dispatcher's
	// clock. It is called once per request.
	RequestStarted(customer string, at time.Time)
}

// Gate admits work to engines, counted over all hosts.
type Gate interface {
	// Enter asks for admission to an engine.
	Enter(ctx context.Context, a occupancy.Request) occupancy.Result
	// Permit asks for a request to be sent to a runner that has a rate limit.
	Permit(ctx context.Context, a occupancy.PermitRequest) occupancy.Permit
}

// Outliers collects reports of runners that don't answer.
type Outliers interface {
	// ReportSilent reports that this host hears nothing from the runner. It doesn't block.
	ReportSilent(id state.InstanceID)
}

// Crashes collects reports of requests that broke off at a runner.
type Crashes interface {
	// ReportBroken reports a request that broke off at the runner before its end. It doesn't block.
	ReportBroken(i *state.Instance, w quarantine.Suspect)
}

// Quarantine holds the requests that crash their runners.
type Quarantine interface {
	// CheckHeld returns a *quarantine.HeldError if one of the digests is held.
	CheckHeld(digests []quarantine.Digest) error
	// Admit reports whether a request with these digests may be sent to a runner. The error is a
	// *quarantine.HeldError. A trial must be ended with the request and passed with its further attempts.
	Admit(digests []quarantine.Digest, own *quarantine.Trial) (*quarantine.Trial, error)
	// Suspected reports whether a request is suspected to crash its runners.
	Suspected(d quarantine.Digest) bool
	// ReportAnswered records that a runner answered the request completely.
	ReportAnswered(d quarantine.Digest)
}

// Quotas keeps the quotas of customers over all hosts.
type Quotas interface {
	// Acquire charges units to the quota of a customer that has one, as of a version of the
	// configuration. The error is a *quota.ExceededError or a *quota.UndecidedError.
	Acquire(ctx context.Context, c *state.Customer, version uint64, units float64) (*quota.Grant, error)
}

// Options configure a Dispatcher. All fields are required.
type Options struct {
	Upstream Upstream
	Placer   Placer
	Gate     Gate
	Budget   Budget
	Observer Observer
	Outliers Outliers
	Crashes  Crashes
	// Quarantine is consulted before each attempt.
	Quarantine Quarantine
	// Quotas is asked once for each request of a customer that has a quota.
	Quotas Quotas
	// Origins is asked about streams that callers take up again.
	Origins Origins
	Advice  Advice
	// Buffers bounds what is held of answers.
	Buffers *buffers.Pool
	Clock   state.Clock
	Log     *slog.Logger
	// SplitTokens is the prompt size, in tokens, from which a prefill engine computes the prompt
	// and a decode engine continues from its KV cache.
	SplitTokens int
}

// Dispatcher forwards requests to runners. It is safe for concurrent use.
type Dispatcher struct {
	o           Options
	firstEvents firstEventDelays
	// sizes are those of prompts, and outputs those of complete answers, in events.
	sizes, outputs sizeMeans
	gaps           eventGaps
}

// New validates the options.
func New(o Options) (*Dispatcher, error) {
	if o.Upstream == nil || o.Placer == nil || o.Gate == nil || o.Budget == nil || o.Observer == nil || o.Outliers == nil || o.Crashes == nil || o.Quarantine == nil || o.Quotas == nil || o.Origins == nil || o.Advice == nil || o.Buffers == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("forward: a field of Options is nil; set all of them")
	}
	return &Dispatcher{o: o}, nil
}

const (
	// maxUnsentAttempts bounds the attempts of one request in which no byte could be sent. If one
	// runner in five is unreachable, four such attempts in a row are one in six hundred.
	maxUnsentAttempts = 4
	// retryAfterCall and retryAfterGeneration are the times after which a caller may retry a
	// request that runners refused. A full runner of a plain service has capacity again after one
	// run, which takes 15 to 30 ms. An engine that refused is avoided for 100 ms at first, and a
	// caller that returns earlier is as likely to get another engine that refuses.
	retryAfterCall       = 40 * time.Millisecond
	retryAfterGeneration = 100 * time.Millisecond
)

// Forward sends the request to a runner and returns the answer. The error is a *Refusal. ctx
// ends at the request's deadline or when the caller leaves.
func (d *Dispatcher) Forward(ctx context.Context, r *Request) (*Answer, error) {
	rec := &record{digests: append([]quarantine.Digest{quarantine.DigestOf(r.content())}, r.sharedParts()...)}
	if err := d.checkQuarantine(r, rec); err != nil {
		d.logRequest(ctx, r, rec, 0, err)
		return nil, err
	}
	d.o.Budget.CountRequest(r.Service)
	grant, err := d.acquireQuota(ctx, r)
	if err != nil {
		d.logRequest(ctx, r, rec, 0, err)
		return nil, err
	}
	if r.Generation != nil {
		d.sizes.observe(r.Service, r.Generation.PromptTokens)
	}
	answer, err := d.serve(ctx, r, rec)
	if kept := rec.takeFallback(ctx); kept != nil {
		answer, err = prefer(kept, answer), nil
	}
	if !rec.mayHaveRun {
		grant.Refund()
	}
	d.discardKV(r, rec)
	if answer != nil && answer.Stream != nil {
		d.beginStream(ctx, answer.Stream)
	}
	if answer != nil && (answer.Stream != nil || answer.Long != nil) {
		return answer, nil // logged at its end
	}
	rec.trial.End()
	status := 0
	if answer != nil {
		status = answer.Head.Status
	}
	d.logRequest(ctx, r, rec, status, err)
	return answer, err
}

// acquireQuota charges the request to its customer's quota, if there is one. However often the
// request is sent to runners, it is charged once.
func (d *Dispatcher) acquireQuota(ctx context.Context, r *Request) (*quota.Grant, error) {
	if r.Customer == nil || r.Customer.Quota == nil {
		return nil, nil
	}
	grant, err := d.o.Quotas.Acquire(ctx, r.Customer, r.ConfigVersion, r.Customer.Quota.Units(r.tokens()))
	var exceeded *quota.ExceededError
	var undecided *quota.UndecidedError
	switch {
	case err == nil:
		return grant, nil
	case errors.As(err, &exceeded):
		return nil, &Refusal{Reason: ReasonQuota, NotRun: true, RetryAfter: exceeded.RetryAfter, Cause: err}
	case errors.As(err, &undecided):
		return nil, &Refusal{Reason: ReasonQuotaUndecided, NotRun: true, RetryAfter: undecided.RetryAfter, Cause: err}
	default:
		return nil, &Refusal{Reason: ReasonQuotaUndecided, NotRun: true, Cause: err}
	}
}

// discardKV frees the KV cache of a prompt if no engine was asked to continue from it, or if one that may have taken
// it was replaced. If that fails the engine evicts it after a time.
func (d *Dispatcher) discardKV(r *Request, rec *record) {
	if rec.promptKV == nil || (rec.mayHaveRun && !rec.sourceDropped) {
		return
	}
	go func() {
		if err := d.o.Upstream.Discard(rec.promptKV); err != nil {
			d.o.Log.Info("KV cache not freed", "request_id", r.ID, "instance", rec.promptKV.Instance.ID, "cause", err.Error())
		}
	}()
}

// logRequest writes the log line of a request at its end.
func (d *Dispatcher) logRequest(ctx context.Context, r *Request, rec *record, status int, err error) {
	attrs := []slog.Attr{
		slog.String("request_id", r.ID), slog.String("route", r.Route.Name), slog.String("service", r.Service),
		slog.Uint64("config_version", r.ConfigVersion), slog.Int64("took_ms", d.o.Clock.Now().Sub(r.ArrivedAt).Milliseconds()), slog.String("turn", string(rec.turn)),
		slog.Int("status", status), slog.String("digest", rec.digests[0].String()), slog.Any("sendings", rec),
	}
	if g := r.Generation; g != nil {
		attrs = append(attrs, slog.Int("prompt_tokens", g.PromptTokens), slog.Int("max_output", g.MaxOutput), rec.crossDomainAttr())
	}
	if r.LastEventID != "" {
		attrs = append(attrs, slog.String("resumes", r.Resumes), slog.String("last_event_id", r.LastEventID))
	}
	if len(rec.digests) > 1 && (err != nil || rec.brokeOff()) {
		attrs = append(attrs, slog.Any("part_digests", formatDigests(rec.digests[1:])))
	}
	level := slog.LevelInfo
	if err != nil {
		level = slog.LevelWarn
		attrs = append(attrs, slog.String("refused", err.Error()))
	}
	d.o.Log.LogAttrs(ctx, level, "request ended", attrs...)
}

// serve tries runners until one answers or no further attempt is allowed.
func (d *Dispatcher) serve(ctx context.Context, r *Request, rec *record) (*Answer, error) {
	if err := d.bindVersion(ctx, r, rec); err != nil {
		return nil, err
	}
	d.restrictToNoted(ctx, r, rec)
	if err := d.checkPath(r, rec); err != nil {
		return nil, err
	}
	var source *KVSource
	var direct choice
	rec.separatePrefill = d.hasLongPrompt(r) && d.o.Placer.SeparatesPrefill(r.Service)
	if rec.separatePrefill {
		direct = d.chooseDirect(ctx, r, rec)
	}
	if rec.separatePrefill && direct.Runner == nil {
		var err error
		if source, err = d.prefill(ctx, r, rec); err != nil {
			return nil, err
		}
	}
	if !d.chargeRetries(r, rec) {
		direct.release()
		return nil, d.refuse(r, rec, ReasonBudget)
	}
	return d.tryRunners(ctx, r, rec, source, direct)
}

// tryRunners sends the request to runners until one answers or no further attempt is allowed. The first attempt is made
// at the choice direct, if it has a runner.
func (d *Dispatcher) tryRunners(ctx context.Context, r *Request, rec *record, source *KVSource, direct choice) (*Answer, error) {
	unsent := 0
	for {
		if err := d.checkDeadline(ctx, r, rec); err != nil {
			direct.release()
			return nil, err
		}
		c := direct
		direct = choice{} // further attempts choose again
		if c.Runner == nil {
			d.restrictToNoted(ctx, r, rec)
			var err error
			if c, err = d.pickRunner(ctx, r, rec, d.startDeadline(r)); err != nil {
				return nil, err
			}
		}
		if err := d.checkBeforeSend(ctx, r, rec); err != nil {
			c.release()
			return nil, err
		}
		a := &Attempt{Request: r, Instance: c.Instance, Source: rec.sourceFor(r, source), LastEventID: r.LastEventID, Rank: c.rank(r, rec), FetchFrom: c.fetchFrom()}
		answer, result := d.attempt(ctx, a, c, rec, source)
		if answer != nil && !d.isRetryableFailure(r, rec, answer) {
			return answer, nil
		}
		if answer != nil {
			rec.keepFallback(answer)
		}
		switch {
		case result == outcomeLimited:
		case result == outcomeUnsent && unsent < maxUnsentAttempts:
			unsent++
		case !d.takeRetry(r, rec):
			if err := d.checkDeadline(ctx, r, rec); err != nil {
				return nil, err
			}
			return nil, d.refuse(r, rec, reasonFor(result))
		}
	}
}

// checkBeforeSend returns the refusal of a request that must not be sent after a wait, because
// it is quarantined by now or its deadline has passed. It reads the clock: timers don't advance
// while a host is suspended, so that the context may end too late.
func (d *Dispatcher) checkBeforeSend(ctx context.Context, r *Request, rec *record) error {
	if err := d.checkQuarantine(r, rec); err != nil {
		return err
	}
	if d.timeLeft(r) > 0 {
		return nil
	}
	return d.checkDeadline(ctx, r, rec)
}

// checkQuarantine returns the refusal of a request that crashes its runners. It is called before
// each attempt, since the request may have been quarantined while it waited for admission.
func (d *Dispatcher) checkQuarantine(r *Request, rec *record) error {
	err := d.admit(r, rec)
	if err == nil {
		return nil
	}
	d.o.Observer.RequestHeld(r.Service)
	out := &Refusal{Reason: ReasonCrashes, NotRun: !rec.mayHaveRun, Cause: err}
	if held := (*quarantine.HeldError)(nil); errors.As(err, &held) && held.RetryAfter > 0 {
		out.RetryAfter = d.addJitter(held.RetryAfter)
	}
	return out
}

// admit returns why the quarantine refuses the request. A first attempt may be a trial of held parts, and no other
// attempt follows it if it breaks off.
func (d *Dispatcher) admit(r *Request, rec *record) error {
	repeated := rec.mayHaveRun || rec.overlapping
	switch {
	case repeated && rec.trial != nil:
		return errTrialBrokeOff
	case repeated:
		return d.o.Quarantine.CheckHeld(rec.digests)
	}
	trial, err := d.o.Quarantine.Admit(rec.digests, rec.trial)
	if err == nil && trial != rec.trial {
		rec.trial = trial
		d.o.Log.Info("request with a held part is tried", "request_id", r.ID, "part_digests", formatDigests(rec.digests[1:]))
	}
	return err
}

// errTrialBrokeOff is the cause of the refusal of a request that was tried and broke off.
var errTrialBrokeOff = errors.New("a part of the prompt is held because runners crashed, and the request broke off at the runner that tried it")

// reasonFor returns the reason for refusing a request whose last attempt had the outcome.
func reasonFor(o outcome) Reason {
	switch o {
	case outcomeNotRun:
		return ReasonFull
	case outcomeUnsent:
		return ReasonNoRunner
	default:
		return ReasonUnknown
	}
}

// checkDeadline returns the refusal of a request whose caller has left or whose deadline has
// passed. After the first step at least minRetryTime must be left.
func (d *Dispatcher) checkDeadline(ctx context.Context, r *Request, rec *record) error {
	minLeft := time.Duration(1)
	if len(rec.steps) > 0 {
		minLeft = minRetryTime
	}
	if ctx.Err() == nil && d.timeLeft(r) >= minLeft {
		return nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return &Refusal{Reason: ReasonCancelled, NotRun: !rec.mayHaveRun, Cause: ctx.Err()}
	}
	return &Refusal{Reason: ReasonDeadline, NotRun: !rec.mayHaveRun, Cause: context.DeadlineExceeded}
}

// checkPath returns the refusal of a request that this host can't send to any runner that could finish it.
func (d *Dispatcher) checkPath(r *Request, rec *record) error {
	if d.pathIn(r, rec) <= 0 {
		return nil
	}
	return d.refuse(r, rec, ReasonNoRunner)
}

// pathIn returns the time until this host tries again to connect to a runner that could finish the request;
// 0 if there may be a path now.
func (d *Dispatcher) pathIn(r *Request, rec *record) time.Duration {
	phase := placement.PhaseCall
	if r.Generation != nil {
		phase = placement.PhaseDecode
	}
	at := d.o.Placer.NextAttempt(rec.pool(r), phase)
	if at.IsZero() {
		return 0
	}
	return max(0, at.Sub(d.o.Clock.Now()))
}

// refuse returns a refusal with the time after which the caller may retry.
func (d *Dispatcher) refuse(r *Request, rec *record, reason Reason) error {
	after := retryAfterCall
	if r.Generation != nil {
		after = retryAfterGeneration
	}
	if wait := d.pathIn(r, rec); wait > 0 {
		after = max(after, d.addJitter(wait))
	}
	return &Refusal{Reason: reason, NotRun: !rec.mayHaveRun, RetryAfter: after}
}

// choose picks a runner for a call, or an engine that generates.
func (d *Dispatcher) choose(ctx context.Context, r *Request, rec *record) (choice, error) {
	switch {
	case r.Generation == nil:
		return choice{Runner: d.o.Placer.ChooseForCall(rec.pool(r), rec.tried)}, nil
	case rec.separatePrefill:
		return d.chooseDecodeEngine(ctx, r, rec), nil
	case d.hasLongPrompt(r):
		return d.chooseMixedEngine(ctx, r, rec)
	default:
		return d.chooseShortPromptEngine(ctx, r, rec), nil
	}
}

// takeRetry reports whether the request may be retried, and takes the retry from the budget if
// it may.
func (d *Dispatcher) takeRetry(r *Request, rec *record) bool {
	if rec.mayHaveRun && !r.Route.Repeatable() {
		return false
	}
	if rec.attempts >= r.Route.MaxAttempts {
		return false
	}
	return d.chargeRetries(r, rec)
}

// chargeRetries takes one retry from the budget for each delivery so far that hasn't been
// charged, so that the request may be delivered once more. It reports whether the budget allows
// it.
func (d *Dispatcher) chargeRetries(r *Request, rec *record) bool {
	return chargeRetriesTo(d.o.Budget.Allow, r, rec)
}

// chargeRetriesTo is chargeRetries with the given method of the budget.
func chargeRetriesTo(allow func(service string) bool, r *Request, rec *record) bool {
	for rec.charged < rec.deliveries {
		if !allow(r.Service) {
			return false
		}
		rec.charged++
	}
	return true
}

// minRetryTime is the least time left with which a request is retried: the shortest service
// time at the known sites is 15 ms.
const minRetryTime = 15 * time.Millisecond

// isRetryableFailure reports whether the request is retried after a runner's answer: the answer
// says that the runner failed, or may have no end, the call may run more than once, and it has attempts left.
func (d *Dispatcher) isRetryableFailure(r *Request, rec *record, a *Answer) bool {
	failed := a.Head.Status >= 500 || a.Long != nil && a.Head.Length == 0
	return failed && r.Route.Kind == state.RouteSafe && rec.attempts < r.Route.MaxAttempts
}

// timeLeft returns the time until the request's deadline.
func (d *Dispatcher) timeLeft(r *Request) time.Duration { return r.Deadline.Sub(d.o.Clock.Now()) }
