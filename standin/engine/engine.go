// Package engine stands in for a model engine: continuous batching in a simple
// time model, a prefix cache, a load report and cache events that lag, KV cache
// export, and orders that take the engine away for a while. Its answers follow
// package answer.
package engine

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/google/uuid"

	"github.com/thymerack/thymerack/protocol/engineapi"
	"github.com/thymerack/thymerack/state"
)

// ErrChanging says that the engine is carrying out an order.
var ErrChanging = errors.New("the engine is carrying out an order; use another")

// ErrHandle says that the KV cache asked for can't be had.
var ErrHandle = errors.New("the KV cache of that handle is gone or of another prompt; ask again without it")

// RequestError says that a request can't be served by this engine.
type RequestError struct {
	Problem string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Problem }

// Engine computes sequences and carries out orders. Its methods may be called
// from any goroutine; Run must be running for anything to be computed.
type Engine struct {
	o           Options
	incarnation string

	mu     sync.Mutex
	queue  queue
	cache  *cache
	events *eventLog
	kv     kvStore
	target state.Target
	fence  uint64
	change *change
	faults faults
	stats  Stats
	// wake is closed and replaced when there may be something new to do.
	wake    chan struct{}
	samples []state.LoadReport
}

// New returns an engine, or an error that names the wrong option.
func New(o Options) (*Engine, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("no id for the engine's incarnation: %w", err)
	}
	e := &Engine{
		o:           o,
		incarnation: id.String(),
		events:      newEventLog(o.CacheEventLag, o.CacheEventLoss, o.Seed),
		kv:          kvStore{limit: o.KVHandles, exports: map[string]KVExport{}},
		target:      o.Target,
		faults:      newFaults(),
		stats:       newStats(o.Name),
		wake:        make(chan struct{}),
	}
	e.cache = newCache(o.CacheTokens, e.events.record)
	return e, nil
}

// Generate starts an attempt. imported tells that its prompt's KV cache came
// from another engine. Errors are ErrChanging and *RequestError.
func (e *Engine) Generate(r engineapi.GenerateRequest, imported bool) (*Sequence, error) {
	if r.MaxTokens < 1 {
		return nil, &RequestError{"max_tokens is below 1; ask for at least one token"}
	}
	s := newSequence(r, false)
	s.imported = imported
	return s, e.accept(s)
}

// Prefill starts the computation of a prompt's KV cache, which Export names
// after its end.
func (e *Engine) Prefill(r engineapi.GenerateRequest) (*Sequence, error) {
	s := newSequence(r, true)
	return s, e.accept(s)
}

func (e *Engine) accept(s *Sequence) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.change != nil {
		e.stats.RefusedChanging++
		return ErrChanging
	}
	if !serves(e.target, s.Model) {
		return &RequestError{fmt.Sprintf("the engine has model %q, not %q; use another engine", e.target.Model, s.Model)}
	}
	e.stats.Executions++
	e.stats.Attempts[s.Attempt]++
	e.queue.add(s)
	e.wakeUp()
	return nil
}

// serves reports whether a target answers calls for model: its model with or
// without the version, or one of its adapters.
func serves(t state.Target, model string) bool {
	name, _, _ := strings.Cut(t.Model, "@")
	return model == t.Model || model == name || slices.Contains(t.Adapters, model)
}

// Cancel ends an attempt; one that is over or unknown is left alone.
func (e *Engine) Cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.queue.find(attempt); s != nil {
		e.end(s, Cancelled)
	}
}

// Abandon ends a sequence whose reader has gone.
func (e *Engine) Abandon(s *Sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.End == 0 {
		e.end(s, Cancelled)
	}
}

// end takes a sequence away before it is done; e.mu is held.
func (e *Engine) end(s *Sequence, how End) {
	e.queue.remove(s)
	s.close(how)
	if how == Killed {
		e.stats.Killed++
		return
	}
	e.stats.Cancelled++
}

// wakeUp makes Run look for work; e.mu is held.
func (e *Engine) wakeUp() {
	close(e.wake)
	e.wake = make(chan struct{})
}

// CacheEvents returns the events after a number that are told by now.
func (e *Engine) CacheEvents(after uint64) engineapi.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events.after(after)
}

// Stats returns a copy of what the engine counted.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats.clone()
}
