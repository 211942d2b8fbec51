package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
)

const (
	layoutName  = "layout"
	layoutRetry = 500 * time.Millisecond
)

// Layout is the part of the options on which uniqueness rests. The first host
// writes it at the platform and it never changes; a host with another layout
// makes no claims, since it would look for a key in another object, or delete
// it too early for the others.
type Layout struct {
	Shards         int           `json:"shards"`
	BucketWidth    time.Duration `json:"bucket_width_ns"`
	Window         time.Duration `json:"window_ns"`
	FutureSkew     time.Duration `json:"future_skew_ns"`
	Retention      time.Duration `json:"retention_ns"`
	MaxAnswerBytes int           `json:"max_answer_bytes"`
}

func (o Options) layout() Layout {
	return Layout{
		Shards: o.Shards, BucketWidth: o.BucketWidth, Window: o.Window,
		FutureSkew: o.FutureSkew, Retention: o.Retention, MaxAnswerBytes: o.MaxAnswerBytes,
	}
}

// layoutCheck holds claims back until the layout has been compared once.
type layoutCheck struct {
	tried    chan struct{} // closed after the first try
	tryOnce  sync.Once
	mu       sync.Mutex
	err      error
	verified bool
}

func newLayoutCheck() *layoutCheck {
	return &layoutCheck{tried: make(chan struct{}), err: errOutage}
}

// wait returns nil once the layout is verified. It waits for the first try
// only, so that callers get their answer at once while the platform is down.
func (l *layoutCheck) wait(ctx context.Context) error {
	select {
	case <-l.tried:
	case <-ctx.Done():
		return errWithdrawn
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.verified {
		return nil
	}
	return l.err
}

func (l *layoutCheck) set(err error) {
	l.mu.Lock()
	l.err = err
	l.verified = err == nil
	l.mu.Unlock()
	l.tryOnce.Do(func() { close(l.tried) })
}

// checkLayout tries until the platform's layout is known.
func (c *Claimer) checkLayout(ctx context.Context) {
	for {
		err := c.compareLayout(ctx)
		c.layout.set(err)
		if err == nil || c.o.Clock.Sleep(ctx, c.jitter(layoutRetry)) != nil {
			return
		}
	}
}

// compareLayout compares the layout object, and creates it if there is none.
// When the creation meets another host's, or its answer is lost, the object is
// read again at once.
func (c *Claimer) compareLayout(ctx context.Context) error {
	err := c.readLayout(ctx)
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	value, err := json.Marshal(c.o.layout())
	if err != nil {
		return fmt.Errorf("encoding the claim layout: %w", err)
	}
	_, err = c.o.Store.Put(ctx, store.KindClaim, layoutName, store.Absent, value)
	if err == nil {
		return nil
	}
	if store.IsConflict(err) || store.IsUnknownOutcome(err) {
		return c.readLayout(ctx)
	}
	return err
}

func (c *Claimer) readLayout(ctx context.Context) error {
	got, err := c.o.Store.Get(ctx, store.KindClaim, layoutName)
	if err != nil {
		return err
	}
	var there Layout
	if err := json.Unmarshal(got.Value, &there); err != nil {
		return fmt.Errorf("%w: %v", errUnreadable, err)
	}
	here := c.o.layout()
	if there != here {
		return &LayoutError{Here: here, Platform: there}
	}
	return nil
}
