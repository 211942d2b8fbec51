// Package forward carries an opaque request of a configured route to a runner
// and its answer back, unchanged. It decides which runner, how often and with
// what time, and keeps the promises on the way: a request that may run once is
// sent again only if it can't have run, and a refusal says "not run" only if no
// runner may have begun.
package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
)

// Header is one header field of a forwarded message.
type Header struct{ Name, Value string }

// PromptPart is one part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Generation is the cost of a model request.
type Generation struct {
	Model        string
	PromptTokens int
	MaxOutput    int
	// OutputHint is the caller's estimate of the output in tokens; 0: none.
	OutputHint int
	// Parts are the prompt's parts in order; the last is the request's own.
	Parts []PromptPart
}

// Session is the id of the part that a session's requests share, or "".
func (g *Generation) Session() string {
	if len(g.Parts) < 2 {
		return ""
	}
	return g.Parts[len(g.Parts)-2].ID
}

// OwnTokens is the size of the part that no other request shares; the whole prompt
// if it names no parts.
func (g *Generation) OwnTokens() int {
	if len(g.Parts) == 0 {
		return g.PromptTokens
	}
	return g.Parts[len(g.Parts)-1].Tokens
}

// Request is one request of a caller.
type Request struct {
	ID string
	// Customer is the account that the caller's key belongs to; nil where none is needed.
	Customer *state.Customer
	// Authorization is what the caller shows for the upstream; "" for none.
	Authorization string
	// Method, URI and Host are as the caller sent them.
	Method, URI, Host string
	// Headers go on unchanged.
	Headers []Header
	Body    []byte
	// LastEventID is where the caller resumes a stream; "" is its start.
	LastEventID string
	Route       *state.Route
	// Service is the backend of the route that serves this request.
	Service       string
	ConfigVersion uint64
	ArrivedAt     time.Time
	// Deadline is the caller's or the route's, whichever comes first.
	Deadline time.Time
	// Generation is nil for calls of plain services.
	Generation *Generation
	// Engine describes the service's engines; nil for plain services.
	Engine *state.EngineSpec
}

// callerID names who asks, the same whichever of a customer's keys is shown.
func (r *Request) callerID() string {
	if r.Customer != nil {
		return r.Customer.Name
	}
	return r.Authorization
}

// Priority is the customer's if it has one, else the route's; 0 is the most urgent.
func (r *Request) Priority() int {
	if r.Customer != nil && r.Customer.Priority != nil {
		return *r.Customer.Priority
	}
	return r.Route.Priority
}

// content is what makes the request the same as another.
func (r *Request) content() quarantine.Content {
	return quarantine.Content{Caller: r.callerID(), Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body}
}

// Class is a kind of request, as measures tell them apart. A configuration has few.
type Class struct {
	Service  string
	Kind     state.RouteKind
	Priority int
}

// Class returns the request's class.
func (r *Request) Class() Class { return Class{r.Service, r.Route.Kind, r.Priority()} }

// KVSource names the KV cache of a prompt at the engine that read it, or that of a run at
// the engine which has its backup, by the request's id.
type KVSource struct {
	Instance *state.Instance
	Handle   string
}

// Attempt is one sending of a request to a runner.
type Attempt struct {
	Request  *Request
	Instance *state.Instance
	// TimeLeft is what the runner is told of the time that is left.
	TimeLeft time.Duration
	// PrefillOnly asks to read the prompt and to keep its KV cache.
	PrefillOnly bool
	// FetchFrom is the address of a runner that may keep parts of the prompt; "".
	FetchFrom string
	// Source is the KV cache to go on from, or nil.
	Source *KVSource
	// Rank is the attempt's order at the runner, 0 to 9; a lower one goes first.
	Rank int
	// LastEventID is the last event that the caller has; "" is the start.
	LastEventID string
	// Backup is the engine to which the run's memory is copied as it grows, or nil.
	Backup *state.Instance
	// Permit is asked when there is a connection, before the first byte leaves; after an
	// error nothing is sent.
	Permit func() error
}

// Head is the beginning of a runner's response.
type Head struct {
	Status int
	// Headers go back to the caller unchanged.
	Headers []Header
	// Signed says that the response carries the runner's signature.
	Signed bool
	// NotRun is the runner's word that it did not run the request.
	NotRun bool
	// EventStream says that the body is a stream of events.
	EventStream bool
}

// Response is a runner's response whose body is read as it comes. It must be
// ended by Finish or Cut.
type Response interface {
	Head() *Head
	// Read returns io.EOF only at the end of a whole body.
	Read(p []byte) (int, error)
	// Finish ends a response whose body has been read; its connection is kept.
	Finish()
	// Abort closes the connection, which cancels the work.
	Abort()
}

// Upstream sends attempts to runners. Errors are *SendError.
type Upstream interface {
	Send(ctx context.Context, a *Attempt) (Response, error)
	// Move stops a run, copies its memory to another engine and returns its handle; ""
	// says that the engine has no such run. After an error the run may go on.
	Move(ctx context.Context, from *state.Instance, id string, to *state.Instance) (handle string, err error)
	// Alive reports whether an engine answers a question that costs it nothing.
	Alive(ctx context.Context, i *state.Instance) bool
	// PrefillHandle reads the KV cache's handle from a response to an attempt
	// with PrefillOnly.
	PrefillHandle(body []byte) (string, error)
	// Discard frees a KV cache that nobody will take.
	Discard(source *KVSource) error
}

// SendError says that an attempt gave no usable response.
type SendError struct {
	// Sent is false only if no byte of the request left this host.
	Sent bool
	// Withheld says that this host kept the request back: it has no connection left to the
	// runner, or the runner takes nothing now.
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

// runnerUnresponsive reports whether err says that nothing was heard of the runner.
func runnerUnresponsive(err error) bool {
	var failed *SendError
	return errors.As(err, &failed) && !failed.Withheld
}

// asSendError is the SendError in err; of any other error it isn't known what was sent.
func asSendError(err error) *SendError {
	var failed *SendError
	if errors.As(err, &failed) {
		return failed
	}
	return &SendError{Sent: true, Cause: err}
}

// Reason is why a request got no answer from a runner.
type Reason string

// The reasons of a Refusal.
const (
	ReasonNoRunner Reason = "no_runner"
	ReasonFull     Reason = "runners_full"
	// ReasonBudget says that engines refused to read the prompt and that this host
	// has no repeat left to send it on.
	ReasonBudget    Reason = "no_repeat_left"
	ReasonUnknown   Reason = "outcome_unknown"
	ReasonDeadline  Reason = "deadline_passed"
	ReasonCancelled Reason = "caller_left"
	ReasonOverload  Reason = "overloaded"
	// ReasonBackpressure says that the limits which runners name leave nothing in time.
	ReasonBackpressure Reason = "backpressure"
	// ReasonCrashes says that runners crashed under copies of the request.
	ReasonCrashes Reason = "crashes_runners"
)

// Refusal is the final answer to a request that no runner answered.
type Refusal struct {
	Reason Reason
	// NotRun is set only if the request can't have run and never will.
	NotRun     bool
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *Refusal) Error() string {
	if e.Reason == ReasonCrashes {
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

// Answer is a runner's answer: a whole one, or a stream whose first event is read.
type Answer struct {
	Head *Head
	// Body is the whole body; unused when Stream is set.
	Body   []byte
	Stream *Stream
}
