// Package storetest is an in-memory store.Store for tests, with the platform's
// faults: down, answers lost after the write took effect, and watch gaps.
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

// Fault is what happens to one call.
type Fault int

// The faults of a call.
const (
	// None lets the call pass.
	None Fault = iota
	// Refuse fails the call before it has any effect.
	Refuse
	// LoseAnswer carries the call out and loses its answer.
	LoseAnswer
)

// Call describes one call to a Script.
type Call struct {
	Caller string
	// Op is get, put, delete, list or watch.
	Op, Kind, Name string
}

// Script decides the fault of each call; it may block to pause the caller.
type Script func(Call) Fault

var (
	errRefused = errors.New("refused by the test")
	errLost    = errors.New("answer lost by the test")
)

type key struct{ kind, name string }

type change struct {
	at       time.Time
	revision uint64
	event    store.Event
}

// Platform is the shared state; each caller has a Client of its own.
type Platform struct {
	mu       sync.Mutex
	revision uint64
	objects  map[key]store.Object
	changes  []change
	oldest   uint64
	// allChanges is all changes, for Restore.
	allChanges []change
	changed    chan struct{}
	script     Script
	calls      int
	maxWait    time.Duration
}

// NewPlatform returns an empty platform whose watches wait for at most maxWait;
// with 0 they return at once.
func NewPlatform(maxWait time.Duration) *Platform {
	return &Platform{
		objects: map[key]store.Object{},
		changed: make(chan struct{}),
		maxWait: maxWait,
	}
}

// SetScript installs the faults of later calls; nil means none.
func (p *Platform) SetScript(s Script) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.script = s
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// DropHistory drops the change history, so that every running watch sees a gap.
func (p *Platform) DropHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = nil
	p.oldest = p.revision
	p.wakeWatches()
}

// Client returns the store as the named caller sees it.
func (p *Platform) Client(caller string) *Client { return &Client{p: p, caller: caller} }

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

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
}

var _ store.Store = (*Client)(nil)

func (c *Client) begin(ctx context.Context, op, kind, name string) (Fault, error) {
	if err := ctx.Err(); err != nil {
		return None, err
	}
	c.p.mu.Lock()
	c.p.calls++
	script := c.p.script
	c.p.mu.Unlock()
	if script == nil {
		return None, nil
	}
	f := script(Call{Caller: c.caller, Op: op, Kind: kind, Name: name})
	if f == Refuse {
		return f, &store.UnavailableError{Cause: errRefused}
	}
	return f, nil
}

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

// conditionHolds reports whether a write's condition holds: the store knows its revisions alone, and those
// of before a restoration may have been given out again.
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

// List implements store.Store. Objects come sorted by name.
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
	limit := time.NewTimer(c.p.maxWait)
	defer limit.Stop()
	for {
		batch, wake := c.p.changesSince(kind, after)
		if batch.Gap || len(batch.Events) > 0 || c.p.maxWait == 0 {
			return batch, nil
		}
		select {
		case <-wake:
		case <-limit.C:
			return batch, nil
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		}
	}
}

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
