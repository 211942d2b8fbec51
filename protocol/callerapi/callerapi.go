// Package callerapi holds the wire types towards callers.
//
//	POST /v1/completions, /v1/chat/completions  CompletionRequest -> JSON or SSE
//	GET  /v1/answers/{request id}               the rest of an answer (Last-Event-ID)
//	ANY  /services/{name}/{path}                a plain service
//	GET  /healthz /readyz /metrics
package callerapi

import "github.com/thymerack/thymerack/protocol/engineapi"

// Headers of callers' calls.
const (
	// HeaderRequestID names the request; made by the host when absent.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline is the time the caller gives, in milliseconds from now.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderClass asks for a class.
	HeaderClass = "X-Class"
	// HeaderKey is the UUIDv7 key of a call that may not be repeated.
	HeaderKey = "Idempotency-Key"
	// HeaderFirst is "true" when the caller has never sent the key before. Without
	// it "not run" can't be said while the platform is down: the key may belong to
	// a call that ran at a host that is gone by now.
	HeaderFirst = "Idempotency-First"
	// HeaderLastEvent is the number of the last event received; the rest follows.
	HeaderLastEvent = "Last-Event-ID"
	// HeaderOutcome says what is known of a call that wasn't answered:
	// OutcomeNotRun, OutcomeUnknown or OutcomeRunning.
	HeaderOutcome = "X-Outcome"
	// HeaderUpstream names the upstream that answered.
	HeaderUpstream = "X-Upstream"
)

// The values of HeaderOutcome.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeRunning = "running"
	OutcomeUnknown = "unknown"
)

// CompletionRequest is the OpenAI-compatible body of completions and chat calls.
type CompletionRequest struct {
	Model     string              `json:"model"`
	Prompt    string              `json:"prompt,omitempty"`
	Messages  []engineapi.Message `json:"messages,omitempty"`
	MaxTokens int                 `json:"max_tokens,omitempty"`
	Stream    bool                `json:"stream,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is the one choice of an answer.
type Choice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *engineapi.Message `json:"message,omitempty"`
	Delta        *engineapi.Message `json:"delta,omitempty"`
	FinishReason *string            `json:"finish_reason"`
}

// Completion is a whole answer or, while streaming, one chunk of it.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Problem is the body of every refusal, in the shape OpenAI clients expect.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail tells what went wrong and what to do.
type ProblemDetail struct {
	// Type is a stable word for programs, for example "deadline_past".
	Type string `json:"type"`
	// Message is a sentence that names the remedy.
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
	// Outcome repeats HeaderOutcome.
	Outcome string `json:"outcome,omitempty"`
}
