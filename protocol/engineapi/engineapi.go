// Package engineapi holds the wire types between a host and the upstreams.
//
//	POST /v1/completions, /v1/chat/completions  GenerateRequest -> SSE of Chunk, then [DONE]
//	POST /v1/prefill                            GenerateRequest -> PrefillAnswer
//	GET  /v1/kv/{handle}                        the exported KV cache, engine to engine
//	POST /v1/cancel                             CancelRequest   -> 204
//	GET  /v1/load                               state.LoadReport (sampled, lagging)
//	GET  /v1/cache/events?after=N               CacheEvents (late, with gaps)
//	POST /v1/orders                             OrderRequest    -> Shown | 409 Problem
//	GET  /v1/orders                             Shown (not lagging)
//	GET  /healthz                               200 while it serves
//
// Plain services answer any path; HeaderAttempt and HeaderKey accompany a call.
package engineapi

import "github.com/thymerack/thymerack/state"

// Headers of upstream calls.
const (
	// HeaderAttempt carries the id of one attempt; the answer carries it back.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderKey carries the key of a call that may not be repeated.
	HeaderKey = "Idempotency-Key"
)

// DoneMark is the data of the SSE event that ends a whole answer.
const DoneMark = "[DONE]"

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest asks an engine for tokens. It is the OpenAI-compatible body
// with the host's own fields beside it.
type GenerateRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// Attempt is the id of this attempt; every event carries it back.
	Attempt string `json:"attempt"`
	// Priority orders waiting work at the engine; larger goes first.
	Priority int `json:"priority,omitempty"`
	// Given are the tokens already given to the caller; the engine goes on
	// after them and numbers its first event len(Given).
	Given []string `json:"given,omitempty"`
	// KVSource and KVHandle name an exported KV cache of the prompt to import.
	KVSource string `json:"kv_source,omitempty"`
	KVHandle string `json:"kv_handle,omitempty"`
}

// Chunk is the data of one SSE event: one token.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Attempt is the attempt that the event answers.
	Attempt string `json:"attempt"`
	// Seq numbers the tokens of the whole answer from 0.
	Seq int `json:"seq"`
}

// Choice is the one choice of a chunk.
type Choice struct {
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// Delta is used by chat calls.
	Delta *Message `json:"delta,omitempty"`
	// FinishReason is "stop" or "length" on the last chunk and null before.
	FinishReason *string `json:"finish_reason"`
}

// PrefillAnswer names the KV cache computed by a prefill.
type PrefillAnswer struct {
	Attempt      string `json:"attempt"`
	Handle       string `json:"handle"`
	PromptTokens int    `json:"prompt_tokens"`
	Bytes        int64  `json:"bytes"`
}

// CancelRequest ends an attempt.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// CacheEvent says that a prompt prefix entered or left the cache.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEvents is a run of events after the asked number. A jump in Seq is a gap.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// OrderRequest tells an engine what to be.
type OrderRequest struct {
	Engine string       `json:"engine"`
	Fence  uint64       `json:"fence"`
	Nonce  string       `json:"nonce"`
	Target state.Target `json:"target"`
}

// Shown is what an engine is at this moment.
type Shown struct {
	Engine      string       `json:"engine"`
	Incarnation string       `json:"incarnation"`
	Target      state.Target `json:"target"`
	// Fence is the highest fence accepted, whether or not it is checked.
	Fence    uint64 `json:"fence"`
	Changing bool   `json:"changing"`
	InFlight int    `json:"in_flight"`
}

// Problem is the body of every answer above 399.
type Problem struct {
	Error string `json:"error"`
}
