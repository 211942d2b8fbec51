package forward

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// outcome is how one sending ended.
type outcome string

// The outcomes of a sending.
const (
	outcomeUnsent   outcome = "unsent"
	outcomeNotRun   outcome = "not_run"
	outcomeUnknown  outcome = "unknown"
	outcomeAnswered outcome = "answered"
	outcomeFailed   outcome = "failed"
	outcomePrefill  outcome = "prefilled"
	outcomeCut      outcome = "cut"
	// outcomeMoved is a run that was moved to another engine, as its own one leaves.
	outcomeMoved outcome = "moved"
	// outcomeLimited is a runner whose limit left nothing for the request.
	outcomeLimited outcome = "limited"
	// outcomeClosed is the first runner to open when all were closed, and the time until then.
	outcomeClosed outcome = "closed"
	// outcomeFull is an engine that has as many prompts as it reads in time, or no
	// free slot.
	outcomeFull outcome = "full"
)

// step is one sending of a request.
type step struct {
	instance state.InstanceID
	part     string
	outcome  outcome
	took     time.Duration
	// predicted is what took was predicted to be; 0 if nothing was.
	predicted time.Duration
	cause     string
}

// statusError is a runner's refusal, for the log.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return "the runner answered " + strconv.Itoa(e.status) }

// record is what became of one request. One goroutine uses it at a time.
type record struct {
	// began is set once the request is known to have begun to run.
	began bool
	// digest is that of the request, the same for each of its copies.
	digest quarantine.Digest
	steps  []step
	// sends counts what draws on the route's attempts.
	sends int
	// arrivals counts what runners got of the request, refused sendings among them;
	// all but the first are repeats, of which paid have been taken from the budget.
	// The first reading of the prompt that an engine takes doesn't count.
	arrivals, paid int
	promptTaken    bool
	// turnedAway is set once a runner has refused the request, and passedOver are the tried
	// runners that were left out for that alone.
	turnedAway bool
	passedOver []state.InstanceID
	// mayHaveRun is set once a runner may have begun.
	mayHaveRun bool
	tried      []state.InstanceID
	// failed is a runner's own failure that another runner was asked after; it is
	// the answer if nobody has a better one.
	failed *Answer
	// predicted is what the present sending is predicted to take; 0 if nothing is.
	predicted time.Duration
	// apart is set for a prompt that is read at an engine of its own.
	apart bool
	// turn is how a model request got its place among the others; "" for calls.
	turn ReservationKind
	// cached is where the prompt's KV cache waits to be taken, or nil.
	cached *KVSource
}

func (r *record) add(i *state.Instance, part string, o outcome, took time.Duration, err error) {
	s := step{instance: i.ID, part: part, outcome: o, took: took, predicted: r.predicted}
	if err != nil {
		s.cause = err.Error()
	}
	r.steps = append(r.steps, s)
}

// broke reports whether the request has broken off at a runner before.
func (r *record) broke() bool {
	return slices.ContainsFunc(r.steps, func(s step) bool { return s.outcome == outcomeUnknown })
}

// noteBegan notes that the request began to run then, if that isn't known yet.
func (d *Dispatcher) noteBegan(r *Request, rec *record, at time.Time) {
	if rec.began || r.Customer == nil {
		return
	}
	rec.began = true
	d.o.Observer.Began(r.Customer.Name, at)
}

// notePrefill counts a sending of the prompt that may have reached an engine.
func (r *record) notePrefill(refused bool) {
	if !refused && !r.promptTaken {
		r.promptTaken = true
		return
	}
	r.arrivals++
}

// noteRun counts a sending of the request that may have reached a runner.
func (r *record) noteRun() {
	r.sends++
	r.arrivals++
}

// exclude keeps later choices from the instance.
func (r *record) exclude(i *state.Instance) { r.tried = append(r.tried, i.ID) }

// reconsider lets runners be chosen that were passed over, and reports whether there are any.
func (r *record) reconsider() bool {
	if len(r.passedOver) == 0 {
		return false
	}
	r.tried = slices.DeleteFunc(r.tried, func(id state.InstanceID) bool { return slices.Contains(r.passedOver, id) })
	r.turnedAway, r.passedOver = false, nil
	return true
}

// LogValue implements slog.LogValuer: one word for each sending, and the last cause.
func (r *record) LogValue() slog.Value {
	var b strings.Builder
	cause := ""
	for n, s := range r.steps {
		if n > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(s.part + ":" + s.instance.String() + ":" + string(s.outcome) + ":" + strconv.FormatInt(s.took.Milliseconds(), 10) + "ms")
		if s.predicted > 0 {
			b.WriteString("/" + strconv.FormatInt(s.predicted.Milliseconds(), 10) + "ms")
		}
		if s.cause != "" {
			cause = s.cause
		}
	}
	attrs := []slog.Attr{slog.String("steps", b.String())}
	if cause != "" {
		attrs = append(attrs, slog.String("cause", cause))
	}
	return slog.GroupValue(attrs...)
}
