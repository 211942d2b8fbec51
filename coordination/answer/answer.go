// Package answer buffers the answers that a host generates, independently of the
// connections that read them. A caller whose connection broke reconnects, to this host or
// through another one, and reads the rest.
package answer

import (
	"context"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Meta describes the request of an answer. It is immutable.
type Meta struct {
	// ID is the request id, unique within the customer.
	ID       string
	Customer string
	Class    string
	Model    string
	// Chat is true if the answer is formatted as a chat message.
	Chat bool
	// PromptTokens is the estimated prompt size.
	PromptTokens int
	// Fingerprint is a hash of the request's content. It distinguishes a repetition of
	// the request from another request with the same id.
	Fingerprint uint64
}

// End is the result of an answer: either Finish or Err is set.
type End struct {
	// Finish is the finish reason of a complete answer, "stop" or "length".
	Finish string
	// Err is the error of a failed answer. It is sent to the caller.
	Err error
}

// Chunk is the part of an answer that a reader hasn't read yet.
type Chunk struct {
	Tokens []string
	// End is set if no tokens follow these.
	End *End
}

// Empty reports whether the chunk has neither tokens nor the end.
func (c Chunk) Empty() bool { return len(c.Tokens) == 0 && c.End == nil }

// Answer is an append-only list of tokens with an end. It is safe for concurrent use by
// one writer and several readers.
type Answer struct {
	Meta
	// cancel stops the generation of the answer.
	cancel context.CancelFunc

	mu     sync.Mutex
	tokens []string
	end    *End
	// changed is closed, and replaced, at each change of tokens or end.
	changed chan struct{}
	// readers is the number of attached readers.
	readers int
	// epoch counts the calls of Attach. A pending abandonment compares it to detect
	// readers that attached meanwhile.
	epoch int
	// abandoned is set when the generation is cancelled because no reader was attached
	// for the grace period. No reader can attach any more.
	abandoned bool
}

// Append adds one token. After the end it does nothing.
func (a *Answer) Append(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.tokens = append(a.tokens, token)
	a.notifyReaders()
}

// Tokens returns the tokens appended so far.
func (a *Answer) Tokens() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens[:len(a.tokens):len(a.tokens)]
}

// Finish completes the answer; reason is "stop" or "length". After the end it does nothing.
func (a *Answer) Finish(reason string) { a.finish(End{Finish: reason}) }

// Fail ends the answer with an error. After the end it does nothing.
func (a *Answer) Fail(err error) { a.finish(End{Err: err}) }

func (a *Answer) finish(e End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = &e
	a.notifyReaders()
}

// Ended reports whether the answer has ended.
func (a *Answer) Ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end != nil
}

// Aborted reports whether the answer will never be complete: it has failed, or its
// generation was cancelled because no reader was attached.
func (a *Answer) Aborted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned || a.end != nil && a.end.Err != nil
}

// notifyReaders wakes the waiting readers. The caller holds mu.
func (a *Answer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Read returns the tokens from index from on, and the end if it was reached. It waits until
// there is either; if ctx ends first, it returns an empty chunk and ctx's error.
func (a *Answer) Read(ctx context.Context, from int) (Chunk, error) {
	for {
		chunk, changed := a.Poll(from)
		if !chunk.Empty() {
			return chunk, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

// Poll returns the tokens from index from on, and the end if it was reached, without
// waiting. The channel is closed at the next change.
func (a *Answer) Poll(from int) (Chunk, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	from = min(max(from, 0), len(a.tokens))
	return Chunk{Tokens: a.tokens[from:len(a.tokens):len(a.tokens)], End: a.end}, a.changed
}

// Registry holds the answers of a host by customer and request id, and removes them some
// time after their end. An answer that has no reader for the grace period is abandoned: its
// generation is cancelled. A Registry is safe for concurrent use.
type Registry struct {
	clock       state.Clock
	gracePeriod time.Duration
	retention   time.Duration

	mu      sync.Mutex
	answers map[key]*Answer
	// pendingRemovals lists the ended answers by the time of their removal. While it
	// isn't empty, one goroutine runs removeExpired.
	pendingRemovals []pendingRemoval
}

// key identifies an answer; request ids are unique only within a customer.
type key struct{ customer, id string }

// pendingRemoval is an ended answer and the time of its removal.
type pendingRemoval struct {
	at     time.Time
	answer *Answer
}

// NewRegistry returns an empty registry. gracePeriod is how long an answer is generated
// without a reader; retention is how long an ended answer can be read.
func NewRegistry(c state.Clock, gracePeriod, retention time.Duration) *Registry {
	return &Registry{clock: c, gracePeriod: gracePeriod, retention: retention, answers: map[key]*Answer{}}
}

// Open adds an answer; cancel must stop its generation. If the customer already has an
// answer with this id, Open returns that one and false, unless it was aborted: then it is
// replaced.
func (r *Registry) Open(m Meta, cancel context.CancelFunc) (*Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := key{m.Customer, m.ID}
	if found, ok := r.answers[k]; ok && !found.Aborted() {
		return found, false
	}
	a := &Answer{Meta: m, cancel: cancel, changed: make(chan struct{})}
	r.answers[k] = a
	return a, true
}

// Find returns the customer's answer with this id, or nil if there is none.
func (r *Registry) Find(id, customer string) *Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers[key{customer, id}]
}

// Len returns the number of answers in the registry, including ended ones.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.answers)
}

// Remove removes an ended answer at once, without the retention. It is for answers that
// can't be requested again.
func (r *Registry) Remove(a *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := key{a.Customer, a.ID}
	if r.answers[k] == a {
		delete(r.answers, k)
	}
}

// ScheduleRemoval removes an ended answer after the retention. It returns at once. If ctx
// ends first, the answer stays.
func (r *Registry) ScheduleRemoval(ctx context.Context, a *Answer) {
	due := pendingRemoval{r.clock.Now().Add(r.retention), a}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingRemovals = append(r.pendingRemovals, due)
	if len(r.pendingRemovals) == 1 {
		go r.removeExpired(ctx)
	}
}

// removeExpired removes the ended answers when they are due, until none is left.
func (r *Registry) removeExpired(ctx context.Context) {
	for {
		r.mu.Lock()
		next := r.pendingRemovals[0]
		r.mu.Unlock()
		if r.clock.Sleep(ctx, next.at.Sub(r.clock.Now())) != nil {
			return
		}
		r.Remove(next.answer)
		r.mu.Lock()
		r.pendingRemovals[0] = pendingRemoval{}
		r.pendingRemovals = r.pendingRemovals[1:]
		done := len(r.pendingRemovals) == 0
		r.mu.Unlock()
		if done {
			return
		}
	}
}

// Attach adds a reader. It returns false if the answer is abandoned.
func (r *Registry) Attach(a *Answer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned {
		return false
	}
	a.readers++
	a.epoch++
	return true
}

// Detach removes a reader. If it was the last one and the answer hasn't ended, Detach
// returns a function that waits for the grace period and abandons the answer unless a
// reader attaches meanwhile; the caller must run it in a goroutine. Otherwise it returns nil.
func (r *Registry) Detach(a *Answer) func(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.readers > 0 || a.end != nil {
		return nil
	}
	epoch := a.epoch
	return func(ctx context.Context) {
		if r.clock.Sleep(ctx, r.gracePeriod) != nil {
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.readers == 0 && a.epoch == epoch && a.end == nil {
			a.abandoned = true
			a.cancel()
		}
	}
}
