// Package forward sends a caller's request of a configured route to a runner and returns the
// runner's answer; neither is interpreted or changed. It chooses the runner, the number of
// attempts and the time of each, and gives two guarantees: a request that may run at most once
// is retried only if it can't have run, and a refusal says "not run" only if no runner may have
// started it.
package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/thymerack/thymerack/coordination/buffers"
	"github.com/thymerack/thymerack/coordination/contention"
	"github.com/thymerack/thymerack/coordination/crash"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// Header is one header field of a forwarded message.
type Header struct{ Name, Value string }

// PromptPart is a part of a prompt that other requests may share. The ID is the caller's, the
// size is in tokens.
type PromptPart struct {
	ID     string
	Tokens int
}

// Generation describes the work that a model request asks for. Sizes are in tokens.
type Generation struct {
	Model        string
	PromptTokens int
	MaxOutput    int
	// OutputHint is the caller's estimate of the output; 0 if it gave none.
	OutputHint int
	// Parts are the parts of the prompt in order; the last one isn't shared.
	Parts []PromptPart
}

// Session returns the ID of the last shared part, which the requests of a session have in
// common; "" if there is none.
func (g *Generation) Session() string {
	if len(g.Parts) < 2 {
		return ""
	}
	return g.Parts[len(g.Parts)-2].ID
}

// OwnTokens returns the size of the part that no other request shares; the whole prompt if it
// has no parts.
func (g *Generation) OwnTokens() int {
	if len(g.Parts) == 0 {
		return g.PromptTokens
	}
	return g.Parts[len(g.Parts)-1].Tokens
}

// Request is one request of a caller.
type Request struct {
	ID string
	// Customer is the account that the caller's key belongs to; nil if the route needs none.
	Customer *state.Customer
	// Authorization is the caller's credential for the upstream; "" if there is none.
	Authorization string
	// Method, URI and Host are as the caller sent them.
	Method, URI, Host string
	// Headers are forwarded unchanged.
	Headers []Header
	Body    []byte
	// LastEventID is the last event that the caller has of a stream that it resumes; "" for the
	// start of the stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that it resumes; ""
	// if it names none.
	Resumes string
	Route   *state.Route
	// Service is the one of the route's services that serves this request.
	Service       string
	ConfigVersion uint64
	ArrivedAt     time.Time
	// Deadline is the earlier one of the caller's and the route's deadline.
	Deadline time.Time
	// Generation is nil for calls of plain services.
	Generation *Generation
	// Engine describes the engines of the service; nil for plain services.
	Engine *state.EngineSpec
	// Contention orders the prompt among others; its zero value leaves them ordered by size.
	Contention contention.Class
}

// callerID identifies the caller: the customer, whichever of its keys is used, or else the
// credential.
func (r *Request) callerID() string {
	if r.Customer != nil {
		return r.Customer.Name
	}
	return r.Authorization
}

// Priority returns the customer's priority if it has one, else the route's; 0 is the most
// urgent.
func (r *Request) Priority() int {
	if r.Customer != nil && r.Customer.Priority != nil {
		return *r.Customer.Priority
	}
	return r.Route.Priority
}

// tokens returns the size of the request, prompt and output together; 0 if it names none.
func (r *Request) tokens() int {
	if r.Generation == nil {
		return 0
	}
	return r.Generation.PromptTokens + r.Generation.MaxOutput
}

// content returns the fields of the request in which copies of it are equal.
func (r *Request) content() quarantine.Content {
	return quarantine.Content{Caller: r.callerID(), Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body}
}

// maxSharedParts bounds the shared parts of a prompt that are told apart by their digests.
const maxSharedParts = 32

// sharedParts returns the digests of the parts of the prompt that other requests may share.
func (r *Request) sharedParts() []quarantine.Digest {
	if r.Generation == nil || len(r.Generation.Parts) < 2 {
		return nil
	}
	shared := r.Generation.Parts[:len(r.Generation.Parts)-1]
	out := make([]quarantine.Digest, 0, len(shared))
	for _, p := range shared[:min(len(shared), maxSharedParts)] {
		out = append(out, quarantine.DigestOfPart(r.Service, p.ID))
	}
	return out
}

// Class labels requests in metrics. A configuration has few classes.
type Class struct {
	Service  string
	Kind     state.RouteKind
	Priority int
}

// Class returns the class of the request.
func (r *Request) Class() Class { return Class{r.Service, r.Route.Kind, r.Priority()} }

// KVSource is a KV cache that another engine can fetch: that of a prompt at the engine that
// computed it, or that of a run at the engine that has its backup. The handle of a backup is the
// request's ID.
type KVSource struct {
	Instance *state.Instance
	Handle   string
}

// Attempt is one try of a request at one runner.
type Attempt struct {
	Request  *Request
	Instance *state.Instance
	// TimeLeft is the time that the runner is given for the request.
	TimeLeft time.Duration
	// PrefillOnly asks the engine to compute the prompt and keep its KV cache, without output.
	PrefillOnly bool
	// FetchFrom is the address of an engine that may have cached parts of the prompt; "" if there
	// is none.
	FetchFrom string
	// Source is the KV cache from which the engine continues, or nil.
	Source *KVSource
	// Rank orders the request in the runner's queue, 0 to 9; a lower one goes first.
	Rank int
	// LastEventID is the last event that the caller has; the runner sends those after it. "" is
	// the start.
	LastEventID string
	// Backup is the engine to which the KV cache of the run is copied as it grows, or nil.
	Backup *state.Instance
	// Tunnel is set by Upstream if the attempt was sent through another host; it names the tunnel in the
	// logs of both hosts.
	Tunnel string
	// Permit is called once there is a connection, before the first byte is sent; if it returns
	// an error nothing is sent.
	Permit func() error
}

// Head is the beginning of a runner's response.
type Head struct {
	Status int
	// Headers are returned to the caller unchanged.
	Headers []Header
	// Signed is set if the response carries the runner's signature.
	Signed bool
	// NotRun is set if the runner states that it did not run the request.
	NotRun bool
	// EventStream is set if the body is a stream of events.
	EventStream bool
	// Length is the length in bytes that the response declares for its body; 0 if it declares none.
	Length int
	// Bodiless is set if no body follows whatever the response declares, as after a HEAD request.
	Bodiless bool
}

// bodyBytes is the declared length of a body that follows; 0 if none does or its length isn't declared.
func (h *Head) bodyBytes() int {
	if h.Bodiless {
		return 0
	}
	return h.Length
}

// ErrUnframed marks the end of a body that has neither a length nor chunks, after the runner has closed
// the connection in order. A runner that breaks off may do so as well.
var ErrUnframed = errors.New("the body ended with its connection; its content must show whether it is complete")

// BodyEnd is how the end of a response's body was recognized.
type BodyEnd string

// The ends of a body: by its length or last chunk, or by the end of its connection.
const (
	EndFramed     BodyEnd = "framed"
	EndConnection BodyEnd = "connection"
	// EndInsideEvent and EndBeforeEvent are ends of either kind that show that a stream broke off.
	EndInsideEvent BodyEnd = "inside_event"
	EndBeforeEvent BodyEnd = "before_event"
	// EndRunEnded is the end of a connection with which the run has ended, too.
	EndRunEnded BodyEnd = "run_ended"
)

// Response is a runner's response whose body is read as it arrives. The reader must call Finish
// or Abort.
type Response interface {
	Head() *Head
	// Read returns io.EOF only at the end of a complete body, and ErrUnframed at the end of one that the
	// end of its connection can't show to be complete.
	Read(p []byte) (int, error)
	// Finish releases the connection for reuse if the body has been read or its rest is short; it reads that rest.
	Finish()
	// Abort closes the connection, which cancels the run.
	Abort()
	// LinkLost reports whether this host has lost the link over which the response arrives.
	LinkLost() bool
}

// Upstream sends attempts to runners. Its errors are of type *SendError.
type Upstream interface {
	Send(ctx context.Context, a *Attempt) (Response, error)
	// Move stops a run, copies its KV cache to another engine and returns the handle of the
	// copy; "" if the engine has no such run. After a *NotCopiedError the run has stopped, and after any
	// other error it may still be in progress.
	Move(ctx context.Context, from *state.Instance, id string, to *state.Instance) (handle string, err error)
	// Alive reports whether an engine answers a probe, which is cheap for the engine.
	Alive(ctx context.Context, i *state.Instance) bool
	// Status finds out what has become of a run. It has ended if nothing listens at its address for any host that was asked, or
	// if another run answers there.
	Status(ctx context.Context, i *state.Instance) crash.RunStatus
	// PrefillHandle returns the handle of the KV cache from the body of a response to an attempt
	// with PrefillOnly.
	PrefillHandle(body []byte) (string, error)
	// Discard frees a KV cache that isn't needed.
	Discard(source *KVSource) error
}

// SendError reports that an attempt got no usable response.
type SendError struct {
	// Sent is false only if no byte of the request left this host.
	Sent bool
	// Withheld is set if this host didn't try to send the request: it has no connection left for
	// the runner, or the runner accepts nothing now.
	Withheld bool
	Cause    error
}

// Error implements error.
func (e *SendError) Error() string {
	if !e.Sent {
		return fmt.Sprintf("nothing was sent (%v); another runner may be tried", e.Cause)
	}
	return fmt.Sprintf("no whole response (%v); the request may have run", e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// NotCopiedError means that an engine has stopped a run and keeps its KV cache, which no other engine could take. The
// run can continue at that engine.
type NotCopiedError struct{ Handle string }

// Error implements error.
func (e *NotCopiedError) Error() string {
	return "the run was stopped and its KV cache not copied; continue it at the same engine"
}

// runnerUnresponsive reports whether err means that the runner was contacted and didn't answer.
func runnerUnresponsive(err error) bool {
	var failed *SendError
	return errors.As(err, &failed) && !failed.Withheld
}

// asSendError returns the SendError in err. Any other error counts as sent, since it doesn't
// tell whether bytes left this host.
func asSendError(err error) *SendError {
	var failed *SendError
	if errors.As(err, &failed) {
		return failed
	}
	return &SendError{Sent: true, Cause: err}
}

// Reason is why a request got no answer from a runner.
type Reason string

// Reasons of a Refusal.
const (
	ReasonNoRunner Reason = "no_runner"
	ReasonFull     Reason = "runners_full"
	// ReasonBudget means that engines refused the prefill, and that the retry budget doesn't allow
	// another attempt.
	ReasonBudget    Reason = "no_repeat_left"
	ReasonUnknown   Reason = "outcome_unknown"
	ReasonDeadline  Reason = "deadline_passed"
	ReasonCancelled Reason = "caller_left"
	ReasonOverload  Reason = "overloaded"
	// ReasonBackpressure means that the rate limits and backoffs of the runners leave no
	// capacity in time.
	ReasonBackpressure Reason = "backpressure"
	// ReasonCrashes means that runners crashed while they ran copies of the request.
	ReasonCrashes Reason = "crashes_runners"
	// ReasonQuota means that the customer's quota is used up, and ReasonQuotaUndecided that this
	// host can't tell whether it is.
	ReasonQuota          Reason = "quota_exceeded"
	ReasonQuotaUndecided Reason = "quota_undecided"
	// ReasonOrigin means that it isn't known which version began the stream that the request takes up, and
	// ReasonVersionGone that no runner of that version is left.
	ReasonOrigin      Reason = "origin_unknown"
	ReasonVersionGone Reason = "version_gone"
)

// Refusal is the final answer to a request that no runner answered.
type Refusal struct {
	Reason Reason
	// NotRun is set only if the request can't have run and won't run later.
	NotRun bool
	// RetryAfter is how long the caller should wait before it sends the request again; 0 if no
	// time is known.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *Refusal) Error() string {
	switch e.Reason {
	case ReasonQuota, ReasonQuotaUndecided, ReasonOrigin, ReasonVersionGone:
		return fmt.Sprintf("the request was not run (%s): %v", e.Reason, e.Cause)
	case ReasonCrashes:
		run := "was not run"
		if !e.NotRun {
			run = "got no answer and may have run"
		}
		return fmt.Sprintf("the request %s (%s): %v", run, e.Reason, e.Cause)
	}
	if e.NotRun && e.RetryAfter == 0 {
		return fmt.Sprintf("the request was not run (%s); send it again as a new request", e.Reason)
	}
	if e.NotRun {
		return fmt.Sprintf("the request was not run (%s); send it again after %s", e.Reason, e.RetryAfter)
	}
	return fmt.Sprintf("the request got no answer (%s) and may have run; check its effect before sending it again", e.Reason)
}

// Unwrap returns the cause.
func (e *Refusal) Unwrap() error { return e.Cause }

// Answer is a runner's answer: a complete body, a stream whose first event has been read, or a body that is too long to be
// held.
type Answer struct {
	Head *Head
	// Body is the complete body; unused if Stream or Long is set.
	Body   []byte
	Stream *Stream
	Long   *LongBody
	// reserved is what is counted for Body; nil for nothing.
	reserved *buffers.Reservation
}
