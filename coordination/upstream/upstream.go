// Package upstream declares how the decisions reach engines and services. The
// transport layer implements it; tests use small fakes.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Message is one chat message.
type Message struct {
	Role    string
	Content string
}

// Prompt is the input of a model request: a text, or messages for a chat call.
type Prompt struct {
	Text     string
	Messages []Message
}

// Chat reports whether the prompt is a chat call.
func (p Prompt) Chat() bool { return len(p.Messages) > 0 }

// KV names the KV cache of a prompt that an engine has exported.
type KV struct {
	// Source is the ip:port of the engine that holds it.
	Source string
	Handle string
	Bytes  int64
}

// Generate asks an engine to answer a prompt, or to go on with an answer.
type Generate struct {
	// Attempt is the id of this attempt; every event must carry it back.
	Attempt   string
	Model     string
	Prompt    Prompt
	MaxTokens int
	// Priority orders waiting work at the engine; larger goes first.
	Priority int
	// Given are the tokens the caller already has; the first event is numbered
	// len(Given).
	Given []string
	// KV is the imported cache of the prompt; zero when there is none.
	KV KV
}

// Event is one event of an answer's stream.
type Event struct {
	// Attempt is the attempt that the engine says it answers.
	Attempt string
	// Seq numbers the tokens of the whole answer from 0.
	Seq  int
	Text string
	// Finish is "stop" or "length" with the last token, else empty.
	Finish string
	// End is true for the end mark, which carries nothing else.
	End bool
}

// Stream is the answer to one attempt. Next returns io.EOF when the connection
// ends, whether or not the end mark came. Close may be called at any time and
// from another goroutine; it cuts the connection, which the engine takes as a
// cancellation.
type Stream interface {
	Next() (Event, error)
	Close()
}

// Engines reaches model engines. No call retries by itself.
type Engines interface {
	// Generate starts an attempt; it returns once the engine has accepted it.
	Generate(ctx context.Context, u state.Upstream, g Generate) (Stream, error)
	// Prefill computes a prompt's KV cache and keeps it for export.
	Prefill(ctx context.Context, u state.Upstream, g Generate) (KV, error)
	// Cancel ends an attempt; ending one that is over is no error.
	Cancel(ctx context.Context, u state.Upstream, attempt string) error
}

// Header is one HTTP header.
type Header struct{ Name, Value string }

// Call is one call of a plain service.
type Call struct {
	Attempt string
	Method  string
	// Path starts with a slash and includes the query.
	Path        string
	ContentType string
	// Key is the key of a call that may not be repeated; else empty.
	Key     string
	Headers []Header
	Body    []byte
}

// Answer is a service's answer.
type Answer struct {
	Attempt     string
	Status      int
	ContentType string
	Body        []byte
}

// Services reaches plain services. No call retries by itself.
type Services interface {
	Call(ctx context.Context, u state.Upstream, c Call) (Answer, error)
}

// Checker probes an upstream's health.
type Checker interface {
	Check(ctx context.Context, u state.Upstream) error
	Load(ctx context.Context, u state.Upstream) (state.LoadReport, error)
}

// SendError says that an attempt failed, and whether the upstream may have seen it.
type SendError struct {
	Upstream string
	// MaybeSent is false only when it is certain that no byte of the request
	// left this host (the connection could not be made, for example).
	MaybeSent bool
	// Refused is true when the upstream answered that it won't take the work
	// (HTTP 429 or 503) and did nothing.
	Refused bool
	Cause   error
}

// Error implements error.
func (e *SendError) Error() string {
	if !e.MaybeSent {
		return fmt.Sprintf("upstream %s was not reached (%v); try another", e.Upstream, e.Cause)
	}
	return fmt.Sprintf("upstream %s failed after the request may have been sent (%v); repeat it only if it is repeatable", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// NeverSent reports whether err proves that nothing was sent.
func NeverSent(err error) bool {
	var s *SendError
	return errors.As(err, &s) && !s.MaybeSent
}

// Orders gives orders to engines. Each order uses a connection of its own.
type Orders interface {
	// Send gives the order; ErrStaleFence is returned by engines that check it.
	Send(ctx context.Context, u state.Upstream, fence uint64, nonce string, t state.Target) error
	// Show reads what the engine is at this moment.
	Show(ctx context.Context, u state.Upstream) (Shown, error)
}

// Shown is what an engine is at one moment.
type Shown struct {
	Incarnation string
	Target      state.Target
	Fence       uint64
	Changing    bool
	InFlight    int
	At          time.Time
}

// ErrStaleFence says that the engine has accepted a higher fence.
var ErrStaleFence = errors.New("the engine has accepted an order with a higher fence; drop this one and read the order object again")
