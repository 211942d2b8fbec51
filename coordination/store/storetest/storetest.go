// Package storetest is an in-memory store.Store for tests that simulates the platform's faults:
// outages, answers lost after the write took effect, and gaps in watches.
package storetest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

// Fault is the fault that is injected into one call.
type Fault int

// The faults of a call.
const (
	// None lets the call succeed.
	None Fault = iota
	// Refuse fails the call before it takes effect.
	Refuse
	// LoseAnswer performs the call and fails it with a lost answer.
	LoseAnswer
	// Silence performs no call and fails it once the client's timeout has passed; a watch fails once
	// its wait and the timeout have passed, as one whose answer never arrives.
	Silence
)

// Call describes a call for a Script.
type Call struct {
	Caller string
	// Op is get, put, delete, list, watch or poll; Name is empty for the last three.
	Op, Kind, Name string
}

// Script returns the fault of each call; it may block to delay the call.
type Script func(Call) Fault

var (
	errRefused = errors.New("refused by the test")
	errLost    = errors.New("answer lost by the test")
	errSilent  = errors.New("no answer in time")
)

type key struct{ kind, name string }

// change is one write or deletion.
type change struct {
	at       time.Time
	revision uint64
	event    store.Event
}

// Platform is the store's state, shared by its Clients.
type Platform struct {
	mu       sync.Mutex
	revision uint64
	objects  map[key]store.Object
	// changes are the changes that watches can return, and oldest is the lowest revision that a
	// watch can continue from.
	changes []change
	oldest  uint64
	// allChanges are all changes since the start; Restore replays them.
	allChanges []change
	// changed is closed and replaced at each change, to wake the waiting watches.
	changed chan struct{}
	script  Script
	calls   int
	maxWait time.Duration
	// silent are the callers that get no answers, and silences how often each began to get none.
	silent   map[string]bool
	silences map[string]int
}

// NewPlatform returns an empty platform whose watches wait for at most maxWait; with 0 they
// return at once.
func NewPlatform(maxWait time.Duration) *Platform {
	return &Platform{
		objects:  map[key]store.Object{},
		changed:  make(chan struct{}),
		maxWait:  maxWait,
		silent:   map[string]bool{},
		silences: map[string]int{},
	}
}

// SetScript sets the script that decides the faults of later calls; nil injects none.
func (p *Platform) SetScript(s Script) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.script = s
}

// SetSilent sets whether a caller gets no answers. Its waiting watches are dropped without a word: they
// get no answer either, even after the silence.
func (p *Platform) SetSilent(caller string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[caller] = silent
	if silent {
		p.silences[caller]++
	}
}

// silence returns whether a caller gets no answers, and how often that has begun.
func (p *Platform) silence(caller string) (now bool, began int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[caller], p.silences[caller]
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// DropHistory drops the change history, so that watches from earlier revisions get a gap.
func (p *Platform) DropHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = nil
	p.oldest = p.revision
	p.wakeWatches()
}

// Client returns a store.Store whose calls carry the given caller's name.
func (p *Platform) Client(caller string) *Client { return &Client{p: p, caller: caller} }

// wakeWatches wakes the waiting watches; p.mu is held.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// record adds a change at the present revision to the history; p.mu is held.
func (p *Platform) record(e store.Event) {
	c := change{at: time.Now(), revision: p.revision, event: e}
	p.changes = append(p.changes, c)
	p.allChanges = append(p.allChanges, c)
	p.wakeWatches()
}

// Client implements store.Store.
type Client struct {
	p      *Platform
	caller string
	// timeout is how long the client waits for an answer to a call.
	timeout time.Duration
}

// WithTimeout returns a client that fails calls without an answer after a timeout.
func (c *Client) WithTimeout(timeout time.Duration) *Client {
	return &Client{p: c.p, caller: c.caller, timeout: timeout}
}

// hang waits for an answer that doesn't arrive.
func (c *Client) hang(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return &store.UnavailableError{UnknownOutcome: true, Cause: errSilent}
	case <-ctx.Done():
		return ctx.Err()
	}
}

var _ store.Store = (*Client)(nil)

// begin counts a call and returns the fault to inject, with its error if the call must not take effect.
func (c *Client) begin(ctx context.Context, op, kind, name string) (Fault, error) {
	if err := ctx.Err(); err != nil {
		return None, err
	}
	c.p.mu.Lock()
	c.p.calls++
	script := c.p.script
	silent := c.p.silent[c.caller]
	c.p.mu.Unlock()
	f := None
	if script != nil {
		f = script(Call{Caller: c.caller, Op: op, Kind: kind, Name: name})
	}
	if silent {
		f = Silence
	}
	switch f {
	case Refuse:
		return f, &store.UnavailableError{Cause: errRefused}
	case Silence:
		wait := c.timeout
		if op == "watch" {
			wait += c.p.maxWait
		}
		return f, c.hang(ctx, wait)
	}
	return f, nil
}

// lostAnswer returns the error of a call whose answer is lost, or nil.
func lostAnswer(f Fault, write bool) error {
	if f != LoseAnswer {
		return nil
	}
	return &store.UnavailableError{UnknownOutcome: write, Cause: errLost}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (store.Object, error) {
	f, err := c.begin(ctx, "get", kind, name)
	if err != nil {
		return store.Object{}, err
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if err := lostAnswer(f, false); err != nil {
		return store.Object{}, err
	}
	o, ok := c.p.objects[key{kind, name}]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	o.Value = slices.Clone(o.Value)
	return o, nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	f, err := c.begin(ctx, "put", kind, name)
	if err != nil {
		return 0, err
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	k := key{kind, name}
	conflict := &store.ConflictError{Kind: kind, Name: name, Expected: ifVersion, Actual: c.p.objects[k].Version}
	if !c.p.conditionHolds(conflict) {
		if err := lostAnswer(f, true); err != nil {
			return 0, err
		}
		return 0, conflict
	}
	c.p.revision++
	o := store.Object{Kind: kind, Name: name, Version: c.p.revision, Value: slices.Clone(value)}
	c.p.objects[k] = o
	c.p.record(store.Event{Object: o})
	if conflict.Restored {
		return 0, conflict
	}
	return o.Version, lostAnswer(f, true)
}

// conditionHolds reports whether a write's condition holds, and sets c.Restored. Like the real store it
// compares revisions without their epochs: a revision of before a restoration may have been assigned again.
func (p *Platform) conditionHolds(c *store.ConflictError) bool {
	c.Restored = c.Expected != store.Absent && store.EpochOf(c.Expected) < store.EpochOf(p.revision)
	return store.RevisionOf(c.Expected) == store.RevisionOf(c.Actual)
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	f, err := c.begin(ctx, "delete", kind, name)
	if err != nil {
		return err
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	k := key{kind, name}
	o, ok := c.p.objects[k]
	if !ok {
		return store.ErrNotFound
	}
	conflict := &store.ConflictError{Kind: kind, Name: name, Expected: ifVersion, Actual: o.Version}
	if !c.p.conditionHolds(conflict) {
		return conflict
	}
	delete(c.p.objects, k)
	c.p.revision++
	c.p.record(store.Event{Object: store.Object{Kind: kind, Name: name, Version: c.p.revision}, Deleted: true})
	if conflict.Restored {
		return conflict
	}
	return lostAnswer(f, true)
}

// List implements store.Store. Objects are sorted by name.
func (c *Client) List(ctx context.Context, kind string) ([]store.Object, uint64, error) {
	f, err := c.begin(ctx, "list", kind, "")
	if err != nil {
		return nil, 0, err
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if err := lostAnswer(f, false); err != nil {
		return nil, 0, err
	}
	var out []store.Object
	for k, o := range c.p.objects {
		if k.kind == kind {
			o.Value = slices.Clone(o.Value)
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b store.Object) int { return strings.Compare(a.Name, b.Name) })
	return out, c.p.revision, nil
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) (store.Batch, error) {
	f, err := c.begin(ctx, "watch", kind, "")
	if err != nil {
		return store.Batch{}, err
	}
	if err := lostAnswer(f, false); err != nil {
		return store.Batch{}, err
	}
	_, silences := c.p.silence(c.caller)
	began := time.Now()
	limit := time.NewTimer(c.p.maxWait)
	defer limit.Stop()
	for waiting := c.p.maxWait > 0; ; {
		batch, changed := c.p.changesSince(kind, after)
		if batch.Gap || len(batch.Events) > 0 || !waiting {
			if _, n := c.p.silence(c.caller); n != silences {
				return store.Batch{}, c.hang(ctx, c.p.maxWait+c.timeout-time.Since(began))
			}
			return batch, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		}
	}
}

// Poll returns the changes of a kind after a revision at once.
func (c *Client) Poll(ctx context.Context, kind string, after uint64) (store.Batch, error) {
	f, err := c.begin(ctx, "poll", kind, "")
	if err != nil {
		return store.Batch{}, err
	}
	if err := lostAnswer(f, false); err != nil {
		return store.Batch{}, err
	}
	batch, _ := c.p.changesSince(kind, after)
	return batch, nil
}

// changesSince returns the changes of a kind after a revision, and a channel that is closed at the
// next change of any kind.
func (p *Platform) changesSince(kind string, after uint64) (store.Batch, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := store.Batch{Revision: p.revision}
	if after < p.oldest || after > p.revision {
		b.Gap = true
		return b, p.changed
	}
	for _, ch := range p.changes {
		if ch.revision > after && ch.event.Object.Kind == kind {
			b.Events = append(b.Events, ch.event)
		}
	}
	return b, p.changed
}
