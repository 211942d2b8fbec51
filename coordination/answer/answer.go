// Package answer keeps the answers that a host is producing, apart from the
// connections that read them: a caller whose connection broke comes back and
// reads the rest, here or through another host.
package answer

import (
	"context"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

// Meta says what an answer belongs to. It never changes.
type Meta struct {
	ID       string
	Customer string
	Class    string
	Model    string
	// Chat answers are written as chat messages.
	Chat bool
	// PromptTokens is the size of the prompt as estimated.
	PromptTokens int
	// Fingerprint tells a repeat of the request from another one under its id.
	Fingerprint uint64
}

// End says how an answer ended.
type End struct {
	// Finish is "stop" or "length" for a whole answer.
	Finish string
	// Err is set when the answer was given up; it is what the caller is told.
	Err error
}

// Chunk is what a reader gets: the tokens from an index on.
type Chunk struct {
	Tokens []string
	// End is set once no more tokens follow these.
	End *End
}

// Empty reports whether there is neither a token nor the end.
func (c Chunk) Empty() bool { return len(c.Tokens) == 0 && c.End == nil }

// Answer is one answer: an append-only list of tokens and an end.
type Answer struct {
	Meta
	// cancel ends the work behind the answer.
	cancel context.CancelFunc

	mu      sync.Mutex
	tokens  []string
	end     *End
	changed chan struct{}
	readers int
	// epoch grows with every Attach, so that a pending abandonment can tell
	// whether a reader came in between.
	epoch int
	// abandoned is set once the work is cancelled for want of a reader. Nobody
	// can attach any more.
	abandoned bool
}

// Append adds one token.
func (a *Answer) Append(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.tokens = append(a.tokens, token)
	a.notifyReaders()
}

// Given returns the tokens so far.
func (a *Answer) Tokens() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens[:len(a.tokens):len(a.tokens)]
}

// Finish ends the answer as whole.
func (a *Answer) Finish(reason string) { a.finish(End{Finish: reason}) }

// Fail ends the answer as given up.
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

// Aborted reports whether the answer won't become whole: it has failed, or its
// work is being cancelled.
func (a *Answer) Aborted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned || a.end != nil && a.end.Err != nil
}

func (a *Answer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Read waits until there is something after the first from tokens, or the end,
// or ctx ends; in the last case it returns an empty chunk and ctx's error.
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

// Poll returns what there is after the first from tokens, without waiting, and a
// channel that is closed when there is more.
func (a *Answer) Poll(from int) (Chunk, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	from = min(max(from, 0), len(a.tokens))
	return Chunk{Tokens: a.tokens[from:len(a.tokens):len(a.tokens)], End: a.end}, a.changed
}

// Registry finds answers by request id and forgets them some time after their
// end. An answer without readers for longer than the grace time is abandoned:
// its work is cancelled.
type Registry struct {
	clock       state.Clock
	gracePeriod time.Duration
	retention   time.Duration

	mu      sync.Mutex
	answers map[key]*Answer
	// pendingRemovals are the ended answers, oldest first; while there are any, one
	// goroutine forgets them.
	pendingRemovals []pendingRemoval
}

// key finds an answer: request ids are each customer's own.
type key struct{ customer, id string }

// pendingRemoval is an ended answer and the time to forget it.
type pendingRemoval struct {
	at     time.Time
	answer *Answer
}

// NewRegistry returns an empty registry. Grace is how long work goes on without
// a reader; keep is how long an ended answer can still be read.
func NewRegistry(c state.Clock, gracePeriod, retention time.Duration) *Registry {
	return &Registry{clock: c, gracePeriod: gracePeriod, retention: retention, answers: map[key]*Answer{}}
}

// Open adds a running answer under its customer's id. When the id is taken it
// returns the answer found there and false; one that was given up is replaced.
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

// Find returns the answer of that id if it belongs to the customer, or nil.
func (r *Registry) Find(id, customer string) *Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers[key{customer, id}]
}

// Len returns the number of answers held, ended ones included.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.answers)
}

// Remove drops an ended answer at once, for answers that nobody can ask for.
func (r *Registry) Remove(a *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := key{a.Customer, a.ID}
	if r.answers[k] == a {
		delete(r.answers, k)
	}
}

// ScheduleRemoval forgets an answer that has ended once it has been kept for long enough.
// It returns at once; the end of ctx leaves the answer where it is.
func (r *Registry) ScheduleRemoval(ctx context.Context, a *Answer) {
	due := pendingRemoval{r.clock.Now().Add(r.retention), a}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingRemovals = append(r.pendingRemovals, due)
	if len(r.pendingRemovals) == 1 {
		go r.removeExpired(ctx)
	}
}

// removeExpired forgets ended answers, each at its time, until there are none.
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

// Attach counts a reader in. It returns false when the answer is abandoned.
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

// Detach counts a reader out. When it was the last one of a running answer, it
// returns the function that abandons the answer unless somebody attaches within
// the grace time; the caller runs it in a goroutine. Otherwise it returns nil.
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
