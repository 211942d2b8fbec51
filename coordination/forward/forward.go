package forward

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/thymerack/thymerack/coordination/occupancy"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// Placer chooses runners; tried names instances not to be chosen again. Each
// method returns nil when there is none.
type Placer interface {
	Call(service string, tried []state.InstanceID) *placement.Runner
	// Decode prefers engines of the failure domain near, "" for the host's own.
	Decode(service, session, near string, tried []state.InstanceID) *placement.Runner
	Prefill(service, session string, tried []state.InstanceID) *placement.Runner
	// Standby chooses an engine for the copy of a run, one that isn't lost with the run's.
	Standby(service string, at *state.Instance, tried []state.InstanceID) *placement.Runner
	// ReadsApart reports whether some of the service's engines only read prompts.
	ReadsApart(service string) bool
	// Runner is the instance with what is known of it, or nil.
	Runner(id state.InstanceID) *placement.Runner
	// Has reports whether work may be sent to the instance at this moment.
	Has(id state.InstanceID) bool
	// Soonest is the first runner to take such work again, and when; zero for now.
	Soonest(service string, p placement.Part, tried []state.InstanceID) (*placement.Runner, time.Time)
}

// Budget limits further sendings over all hosts.
type Budget interface {
	// Seen counts a request of the service; Allow takes a further sending.
	Seen(service string)
	Allow(service string) bool
	// AllowMove takes the sending of a run that goes on at another engine.
	AllowMove(service string) bool
}

// Observer takes the dispatcher's measures.
type Observer interface {
	// Turn notes how a part of a model request got its place among the others.
	Turn(w Work, t Turn)
	// Read notes how long the reading of a prompt took, waiting included, against what
	// was predicted of it.
	Read(service string, predicted, took time.Duration)
	// Held notes a sending that the quarantine kept from the runners.
	Held(service string)
	// Began notes that a request of a customer began to run, by the dispatcher's clock. It is
	// told once a request.
	Began(customer string, at time.Time)
}

// Gate gives places at engines, counted over all hosts.
type Gate interface {
	Enter(ctx context.Context, a occupancy.Ask) occupancy.Verdict
	// Permit asks to send a request to a runner that names a limit.
	Permit(ctx context.Context, a occupancy.PermitAsk) occupancy.Permit
}

// Outliers is told of runners that don't answer.
type Outliers interface {
	// Silent doesn't wait.
	Silent(id state.InstanceID)
}

// Crashes is told of work that broke off at a runner without its end.
type Crashes interface {
	// Broke doesn't wait.
	Broke(i *state.Instance, w quarantine.Suspect)
}

// Quarantine knows the requests that crash what runs them.
type Quarantine interface {
	// Held returns why a request may reach no runner, or nil.
	Held(d quarantine.Digest) *quarantine.Hold
	// ReportAnswered notes that a runner has answered the request whole.
	ReportAnswered(d quarantine.Digest)
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
	// Quarantine is asked before each sending.
	Quarantine Quarantine
	Advice     Advice
	Clock      state.Clock
	Log        *slog.Logger
	// SplitTokens is the prompt size from which a prompt is read at a prefill
	// engine and its KV cache handed on.
	SplitTokens int
}

// Dispatcher carries requests to runners. It is safe for concurrent use.
type Dispatcher struct {
	o     Options
	leads leads
	sizes sizes
}

// New validates the options.
func New(o Options) (*Dispatcher, error) {
	if o.Upstream == nil || o.Placer == nil || o.Gate == nil || o.Budget == nil || o.Observer == nil || o.Outliers == nil || o.Crashes == nil || o.Quarantine == nil || o.Advice == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("forward: a field of Options is nil; set all of them")
	}
	return &Dispatcher{o: o}, nil
}

const (
	// maxUnsent bounds the runners that are tried and not reached in one request:
	// with one in five out of reach, four in a row are one in six hundred.
	maxUnsent = 4
	// retryCalls and retryModel are when a request that runners refused may come back. A
	// full runner of a plain service has a free place after one run, 15 to 30 ms on
	// today's sheets; an engine that refused is passed over for 100 ms at first, and who
	// comes back earlier is as likely to meet another that does.
	retryCalls = 40 * time.Millisecond
	retryModel = 100 * time.Millisecond
)

// Forward sends the request and returns its answer. The error is a *Refusal. ctx
// ends at the request's deadline or when the caller leaves.
func (d *Dispatcher) Forward(ctx context.Context, r *Request) (*Answer, error) {
	rec := &record{digest: quarantine.DigestOf(r.content())}
	if err := d.held(r, rec); err != nil {
		d.log(ctx, r, rec, 0, err)
		return nil, err
	}
	d.o.Budget.Seen(r.Service)
	if r.Generation != nil {
		d.sizes.note(r.Service, r.Generation.PromptTokens)
	}
	answer, err := d.serve(ctx, r, rec)
	if err != nil && rec.failed != nil {
		answer, err = rec.failed, nil
	}
	d.discard(r, rec)
	if answer != nil && answer.Stream != nil {
		return answer, nil // logged at its end
	}
	status := 0
	if answer != nil {
		status = answer.Head.Status
	}
	d.log(ctx, r, rec, status, err)
	return answer, err
}

// discard frees a KV cache that no engine was asked to take. One that can't be freed
// lapses at its engine by itself.
func (d *Dispatcher) discard(r *Request, rec *record) {
	if rec.cached == nil || rec.mayHaveRun {
		return
	}
	go func() {
		if err := d.o.Upstream.Discard(rec.cached); err != nil {
			d.o.Log.Info("KV cache not freed", "request_id", r.ID, "instance", rec.cached.Instance.ID, "cause", err.Error())
		}
	}()
}

// log writes the one line of a request.
func (d *Dispatcher) log(ctx context.Context, r *Request, rec *record, status int, err error) {
	attrs := []slog.Attr{
		slog.String("request_id", r.ID), slog.String("route", r.Route.Name), slog.String("service", r.Service),
		slog.Uint64("config_version", r.ConfigVersion), slog.Int64("took_ms", d.o.Clock.Now().Sub(r.ArrivedAt).Milliseconds()), slog.String("turn", string(rec.turn)),
		slog.Int("status", status), slog.String("digest", rec.digest.String()), slog.Any("sendings", rec),
	}
	if g := r.Generation; g != nil {
		attrs = append(attrs, slog.Int("prompt_tokens", g.PromptTokens), slog.Int("max_output", g.MaxOutput))
	}
	level := slog.LevelInfo
	if err != nil {
		level = slog.LevelWarn
		attrs = append(attrs, slog.String("refused", err.Error()))
	}
	d.o.Log.LogAttrs(ctx, level, "request ended", attrs...)
}

// serve tries runners until one answers or nothing more may be tried.
func (d *Dispatcher) serve(ctx context.Context, r *Request, rec *record) (*Answer, error) {
	var source *KVSource
	rec.apart = d.long(r) && d.o.Placer.ReadsApart(r.Service)
	if rec.apart {
		var err error
		if source, err = d.readPrompt(ctx, r, rec); err != nil {
			return nil, err
		}
	}
	if !d.pay(r, rec) {
		return nil, d.refuse(r, rec, ReasonBudget)
	}
	unsent := 0
	for {
		if err := d.over(ctx, r, rec); err != nil {
			return nil, err
		}
		c, err := d.pick(ctx, r, rec, d.usefulBy(r))
		if err != nil {
			return nil, err
		}
		if err := d.barred(ctx, r, rec); err != nil {
			c.giveBack()
			return nil, err
		}
		a := &Attempt{Request: r, Instance: c.Instance, Source: source, LastEventID: r.LastEventID, Rank: c.rank(r), FetchFrom: c.fetchFrom()}
		answer, end := d.attempt(ctx, a, c, rec)
		if answer != nil && !d.repeatFailure(r, rec, answer) {
			return answer, nil
		}
		if answer != nil {
			rec.failed = answer
		}
		switch {
		case end == outcomeLimited:
		case end == outcomeUnsent && unsent < maxUnsent:
			unsent++
		case !d.mayRepeat(r, rec):
			if err := d.over(ctx, r, rec); err != nil {
				return nil, err
			}
			return nil, d.refuse(r, rec, reasonOf(end))
		}
	}
}

// barred returns the refusal of a request that may not be sent after a wait: it is held now, or
// its time is up. The context doesn't tell that on a host that was suspended meanwhile, whose
// timers stood still.
func (d *Dispatcher) barred(ctx context.Context, r *Request, rec *record) error {
	if err := d.held(r, rec); err != nil {
		return err
	}
	if d.left(r) > 0 {
		return nil
	}
	return d.over(ctx, r, rec)
}

// held returns the refusal of a request that crashes what runs it. It is asked before each
// sending: a request may have waited for its place when that became known.
func (d *Dispatcher) held(r *Request, rec *record) error {
	hold := d.o.Quarantine.Held(rec.digest)
	if hold == nil {
		return nil
	}
	d.o.Observer.Held(r.Service)
	return &Refusal{Reason: ReasonCrashes, NotRun: !rec.mayHaveRun, Cause: &quarantine.HeldError{Digest: rec.digest, Crashes: len(hold.Evidence)}}
}

func reasonOf(o outcome) Reason {
	switch o {
	case outcomeNotRun:
		return ReasonFull
	case outcomeUnsent:
		return ReasonNoRunner
	default:
		return ReasonUnknown
	}
}

// over returns the refusal of a request whose caller has left or whose time is up.
// One that has been worked on isn't sent again for the last moment.
func (d *Dispatcher) over(ctx context.Context, r *Request, rec *record) error {
	least := time.Duration(1)
	if len(rec.steps) > 0 {
		least = minLeft
	}
	if ctx.Err() == nil && d.left(r) >= least {
		return nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return &Refusal{Reason: ReasonCancelled, NotRun: !rec.mayHaveRun, Cause: ctx.Err()}
	}
	return &Refusal{Reason: ReasonDeadline, NotRun: !rec.mayHaveRun, Cause: context.DeadlineExceeded}
}

func (d *Dispatcher) refuse(r *Request, rec *record, why Reason) error {
	after := retryCalls
	if r.Generation != nil {
		after = retryModel
	}
	return &Refusal{Reason: why, NotRun: !rec.mayHaveRun, RetryAfter: after}
}

// choose picks a runner that generates or serves the call.
func (d *Dispatcher) choose(ctx context.Context, r *Request, rec *record) (choice, error) {
	switch {
	case r.Generation == nil:
		return choice{Runner: d.o.Placer.Call(r.Service, rec.tried)}, nil
	case rec.apart:
		return d.takeSlot(ctx, r, rec), nil
	case d.long(r):
		return d.takeReadingPlace(ctx, r, rec)
	default:
		return d.takePlace(ctx, r, rec), nil
	}
}

// mayRepeat reports whether the request may be sent once more, and takes it from
// the budget if so.
func (d *Dispatcher) mayRepeat(r *Request, rec *record) bool {
	if rec.mayHaveRun && !r.Route.Repeatable() {
		return false
	}
	if rec.sends >= r.Route.MaxAttempts {
		return false
	}
	return d.pay(r, rec)
}

// pay takes from the budget for what arrived before, so that one more sending of the
// request may arrive. It takes nothing twice.
func (d *Dispatcher) pay(r *Request, rec *record) bool { return payFrom(d.o.Budget.Allow, r, rec) }

// payFrom is pay from one of the budgets.
func payFrom(allow func(service string) bool, r *Request, rec *record) bool {
	for rec.paid < rec.arrivals {
		if !allow(r.Service) {
			return false
		}
		rec.paid++
	}
	return true
}

// minLeft is the least time with which a request is sent once more: the shortest
// service time on the sites' sheets is 15 ms.
const minLeft = 15 * time.Millisecond

// repeatFailure reports whether a runner's own failure is to be tried elsewhere:
// a repeatable call whose runner answered that it failed.
func (d *Dispatcher) repeatFailure(r *Request, rec *record, a *Answer) bool {
	return r.Route.Kind == state.RouteSafe && a.Head.Status >= 500 && rec.sends < r.Route.MaxAttempts
}

func (d *Dispatcher) left(r *Request) time.Duration { return r.Deadline.Sub(d.o.Clock.Now()) }
