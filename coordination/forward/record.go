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

// outcome is the result of a step. Its values are part of the request log.
type outcome string

// Outcomes of a step. "unsent": no byte of the request left this host. "not_run": the runner
// refused the request without running it. "unknown": the attempt broke off, and the request may
// have run. "failed": the runner answered that it failed. "cut": the stream was closed before
// its last event.
const (
	outcomeUnsent   outcome = "unsent"
	outcomeNotRun   outcome = "not_run"
	outcomeUnknown  outcome = "unknown"
	outcomeAnswered outcome = "answered"
	outcomeFailed   outcome = "failed"
	outcomePrefill  outcome = "prefilled"
	outcomeAborted  outcome = "cut"
	// outcomeMoved is a run that was moved to another engine because its own engine is draining.
	outcomeMoved outcome = "moved"
	// outcomeLimited is an attempt that the rate limit or the backoff of the runner didn't permit.
	outcomeLimited outcome = "limited"
	// outcomeClosed names the first of the runners to accept work again when none does; took is
	// the time until then.
	outcomeClosed outcome = "closed"
	// outcomeFull is an engine that has no free slot, or can't prefill the prompt in time.
	outcomeFull outcome = "full"
	// outcomeNoMemory is an engine whose memory is reserved for other requests.
	outcomeNoMemory outcome = "no_memory"
)

// step is one entry in the log of a request: an attempt, a prefill, or a check that kept the
// request from a runner.
type step struct {
	instance state.InstanceID
	// operation is what was done at the instance: "place" asks for admission, "wait" waits for its
	// backoff or rate limit to permit the request, "ask" probes it, "prefill", "run" and "resume"
	// are attempts, and "move" stops a run that broke off.
	operation string
	outcome   outcome
	took      time.Duration
	// predicted is the forecast of took; 0 if there was none.
	predicted time.Duration
	// cause is the text of the error; "" if there was none.
	cause string
}

// statusError is a refusal by a runner, as it is logged.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return "the runner answered " + strconv.Itoa(e.status) }

// record is the state of one request while it is forwarded. It isn't safe for concurrent use.
type record struct {
	// started is set once the request is known to have started to run.
	started bool
	// digests has the digest of the content of the request, which copies of it share, and those of the shared parts of
	// its prompt.
	digests []quarantine.Digest
	// trial is that of held parts which the request is a trial of; nil if there is none.
	trial *quarantine.Trial
	steps []step
	// attempts counts the attempts that the route's MaxAttempts bounds.
	attempts int
	// deliveries counts how often a runner received the request, refusals included. The first
	// prefill that an engine accepts isn't counted. Each delivery after the first is a retry;
	// charged is how many retries have been taken from the retry budget.
	deliveries, charged int
	// moves counts how often the run continued from its backup.
	moves int
	// prefillAccepted is set once an engine has accepted a prefill, or may have.
	prefillAccepted bool
	// refused is set once a runner has refused the request. skipped are the runners in tried that
	// were left out only because of that: they might refuse it as well.
	refused bool
	skipped []state.InstanceID
	// mayHaveRun is set once a runner may have started to run the request.
	mayHaveRun bool
	// tried are the runners that aren't chosen any more.
	tried []state.InstanceID
	// fallback is a runner's answer that it failed, or one that is too long to be held, after which the request was
	// retried. It is returned if no other runner gives a better answer.
	fallback *Answer
	// predicted is the forecast duration of the prefill in progress; 0 if there is none.
	predicted time.Duration
	// separatePrefill is set if a prefill engine computes the prompt before a decode engine
	// generates the answer.
	separatePrefill bool
	// turn is how a model request was admitted to its engine; "" for calls.
	turn ReservationKind
	// crossDomain is why the prompt is prefilled in another domain although the service's prefixes are
	// local to domains.
	crossDomain CrossDomainReason
	// promptKV is where a decode engine can fetch the KV cache of the prompt, or nil.
	promptKV *KVSource
	// sourceDropped is set once an attempt is made without promptKV because another may have taken it.
	sourceDropped bool
	// version is that of the runner whose events the caller has, or gets first; "" before there is one.
	version string
	// notedOnly restricts the stream to versions that the store has noted, until its first event.
	notedOnly bool
	// mayBeUnnoted is set once the stream has waited for a noted version in vain.
	mayBeUnnoted bool
	// lastEnd is how the last body ended that was read to its end; "" if there was none.
	lastEnd BodyEnd
	// tunnels are those by which attempts were sent through other hosts.
	tunnels []string
	// order is the last decision about the prompt's order at an engine; nil if there was none.
	order *prefillOrder
	// overlapping is set in the record of an attempt that is made while another one is in progress, which may take the
	// KV cache of the prompt.
	overlapping bool
	// inherited are the counts with which such a record began.
	inherited counts
}

// counts are the counts of a record.
type counts struct{ attempts, deliveries, charged int }

func (r *record) counts() counts { return counts{r.attempts, r.deliveries, r.charged} }

// fork returns a record for attempts that are made while the present one, which has been counted, is in progress. It
// is used by another goroutine until merge.
func (r *record) fork() *record {
	out := *r
	out.steps, out.tunnels, out.mayHaveRun, out.overlapping = nil, nil, false, true
	out.tried, out.skipped = slices.Clone(r.tried), slices.Clone(r.skipped)
	out.inherited = out.counts()
	return &out
}

// merge adds what the attempts of a fork have changed. replaced is set if one of them took the place of the attempt
// that was in progress.
func (r *record) merge(f *record, replaced bool) {
	r.steps, r.tunnels = append(r.steps, f.steps...), append(r.tunnels, f.tunnels...)
	r.attempts += f.attempts - f.inherited.attempts
	r.deliveries += f.deliveries - f.inherited.deliveries
	r.charged += f.charged - f.inherited.charged
	f.inherited, f.steps, f.tunnels = f.counts(), nil, nil
	for _, id := range f.tried {
		if !slices.Contains(r.tried, id) {
			r.tried = append(r.tried, id)
		}
	}
	r.started, r.mayHaveRun, r.sourceDropped = r.started || f.started, r.mayHaveRun || f.mayHaveRun, r.sourceDropped || f.sourceDropped
	if replaced {
		r.version, r.turn, r.lastEnd, r.order = f.version, f.turn, f.lastEnd, f.order
	}
}

// addStep appends a step to the log of the request.
func (r *record) addStep(i *state.Instance, operation string, o outcome, took time.Duration, err error) {
	s := step{instance: i.ID, operation: operation, outcome: o, took: took, predicted: r.predicted}
	if err != nil {
		s.cause = err.Error()
	}
	r.steps = append(r.steps, s)
}

// brokeOff reports whether an earlier attempt ended with an unknown outcome.
func (r *record) brokeOff() bool {
	return slices.ContainsFunc(r.steps, func(s step) bool { return s.outcome == outcomeUnknown })
}

// noteStarted reports to the observer when the request of a customer started to run, unless it
// was reported before.
func (d *Dispatcher) noteStarted(r *Request, rec *record, at time.Time) {
	if rec.started || r.Customer == nil {
		return
	}
	rec.started = true
	d.o.Observer.RequestStarted(r.Customer.Name, at)
}

// noteBodyEnd records how a body ended.
func (d *Dispatcher) noteBodyEnd(r *Request, rec *record, e BodyEnd) {
	rec.lastEnd = e
	d.o.Observer.BodyEnded(r.Service, e)
}

// countPrefill counts a prefill that may have reached an engine.
func (r *record) countPrefill(refused bool) {
	if !refused && !r.prefillAccepted {
		r.prefillAccepted = true
		return
	}
	r.deliveries++
}

// countAttempt counts an attempt that may have reached a runner.
func (r *record) countAttempt() {
	r.attempts++
	r.deliveries++
}

// sourceFor returns the KV cache from which the next attempt continues, or nil. A cache can be taken once, and a run that
// broke off may have taken it. The last attempt doesn't depend on it then: its engine computes the prompt itself.
func (r *record) sourceFor(req *Request, source *KVSource) *KVSource {
	if source == nil || !(r.mayHaveRun || r.overlapping) || r.attempts+1 < req.Route.MaxAttempts {
		return source
	}
	r.sourceDropped = true
	return nil
}

// exclude keeps the instance from being chosen again.
func (r *record) exclude(i *state.Instance) { r.tried = append(r.tried, i.ID) }

// restoreSkipped lets skipped runners be chosen again, and reports whether there are any.
func (r *record) restoreSkipped() bool {
	if len(r.skipped) == 0 {
		return false
	}
	r.tried = slices.DeleteFunc(r.tried, func(id state.InstanceID) bool { return slices.Contains(r.skipped, id) })
	r.refused, r.skipped = false, nil
	return true
}

// formatDigests returns the digests as they are logged.
func formatDigests(digests []quarantine.Digest) []string {
	out := make([]string, 0, len(digests))
	for _, d := range digests {
		out = append(out, d.String())
	}
	return out
}

// LogValue implements slog.LogValuer: one word for each step, and the last cause.
func (r *record) LogValue() slog.Value {
	var b strings.Builder
	cause := ""
	for n, s := range r.steps {
		if n > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(s.operation + ":" + s.instance.String() + ":" + string(s.outcome) + ":" + strconv.FormatInt(s.took.Milliseconds(), 10) + "ms")
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
	if r.lastEnd != "" && r.lastEnd != EndFramed {
		attrs = append(attrs, slog.String("body_end", string(r.lastEnd)))
	}
	if r.version != "" {
		attrs = append(attrs, slog.String("runner_version", r.version))
	}
	if len(r.tunnels) > 0 {
		attrs = append(attrs, slog.String("tunnels", strings.Join(r.tunnels, " ")))
	}
	if r.order != nil {
		attrs = append(attrs, r.order.attrs()...)
	}
	return slog.GroupValue(attrs...)
}
