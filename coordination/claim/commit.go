package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// maxAttempts bounds the reads and writes of one group at one object.
	maxAttempts = 16
	// maxChain bounds the objects of one shard and bucket.
	maxChain = 64
	// conflictPause is the mean pause after the second lost CAS in a row.
	conflictPause = 4 * time.Millisecond
)

// commitGroup carries out flights that share a bucket, from the first object of
// the chain to the first that isn't sealed.
func (s *shard) commitGroup(ctx context.Context, name string, group []*flight) {
	for position := 0; len(group) > 0; position++ {
		if position == maxChain {
			s.fail(group, errChainFull)
			return
		}
		group = s.commitObject(ctx, chainName(name, position), group)
	}
}

// commitObject carries flights out at one object and returns those that belong
// further down the chain. One CAS writes all of them.
//
// A crash before the CAS leaves nothing, a crash after it the new rows. A write
// whose answer is lost is read back; until it has been, its flights count as
// exposed and are never reported as not written.
func (s *shard) commitObject(ctx context.Context, name string, group []*flight) []*flight {
	base, fresh := s.cache.get(name), false
	if base == nil {
		base = newObject()
	}
	for attempt := range maxAttempts {
		next := base.clone()
		changed := s.applyAll(next, group)
		if !changed && (fresh || s.settled(group)) {
			return s.deliver(group)
		}
		if changed {
			done, err := s.write(ctx, name, next, group)
			if done {
				return s.deliver(group)
			}
			if err != nil && !s.readableAfter(err, group) {
				return nil
			}
			s.pauseAfter(ctx, err, attempt)
		}
		var err error
		base, err = s.read(ctx, name)
		if err != nil {
			s.fail(group, err)
			return nil
		}
		fresh = true
	}
	s.fail(group, errContended)
	return nil
}

func (s *shard) applyAll(o *object, group []*flight) bool {
	l := limits{reserve: s.c.o.MaxAnswerBytes, objectBytes: s.c.objectBytes, skip: s.c.skip}
	changed := false
	for _, f := range group {
		f.applied = o.apply(f.entry, l)
		changed = changed || f.applied.changed
	}
	return changed
}

// settled reports whether results from a cached object need no read: rows in a
// final state never change, and a sealed object takes no new rows.
func (s *shard) settled(group []*flight) bool {
	for _, f := range group {
		if f.applied.next {
			continue
		}
		r := f.applied.result
		if r.Code != CodeRecord || r.Record.Claim.State == state.ClaimClaimed {
			return false
		}
	}
	return true
}

// write puts the object and reports whether the write is known to have taken
// effect; err tells why it isn't.
func (s *shard) write(ctx context.Context, name string, next *object, group []*flight) (bool, error) {
	value, err := next.encode()
	if err != nil {
		return false, err
	}
	version, err := s.c.o.Store.Put(ctx, store.KindClaim, name, next.version, value)
	if err == nil {
		s.c.outage.clear()
		next.version = version
		s.cache.put(name, next)
		return true, nil
	}
	s.cache.drop(name)
	if store.IsConflict(err) {
		return false, err
	}
	if store.IsUnavailable(err) && !store.IsUnknownOutcome(err) {
		return false, err
	}
	for _, f := range group {
		f.exposed = f.exposed || (f.applied.changed && !s.c.skip.exposed)
	}
	if s.c.skip.readBack {
		return true, nil
	}
	return false, err
}

// readableAfter reports whether a failed write should be followed by a read; if
// not, the group has been failed.
func (s *shard) readableAfter(err error, group []*flight) bool {
	if store.IsConflict(err) || store.IsUnknownOutcome(err) || isContextError(err) {
		return true
	}
	s.fail(group, err)
	return false
}

func (s *shard) pauseAfter(ctx context.Context, err error, attempt int) {
	if attempt == 0 || !store.IsConflict(err) {
		return
	}
	_ = s.c.o.Clock.Sleep(ctx, s.c.jitter(conflictPause*time.Duration(attempt)))
}

// read reads one object afresh; a missing one is empty.
func (s *shard) read(ctx context.Context, name string) (*object, error) {
	o, err := s.c.readObject(ctx, name)
	if err != nil {
		return nil, err
	}
	s.cache.put(name, o)
	return o, nil
}

// readObject reads one object; a missing one is empty.
func (c *Claimer) readObject(ctx context.Context, name string) (*object, error) {
	got, err := c.o.Store.Get(ctx, store.KindClaim, name)
	if errors.Is(err, store.ErrNotFound) {
		c.outage.clear()
		return newObject(), nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading claims: %w", err)
	}
	c.outage.clear()
	return decodeObject(got.Version, got.Value, c.o.MaxAnswerBytes)
}

// deliver hands out results and returns the flights that go on down the chain.
func (s *shard) deliver(group []*flight) []*flight {
	var further []*flight
	for _, f := range group {
		if f.applied.next {
			further = append(further, f)
			continue
		}
		f.result <- f.applied.result
	}
	return further
}

// fail ends flights that couldn't be carried out. Only those that no write can
// still carry out are reported as not written.
func (s *shard) fail(group []*flight, err error) {
	if store.IsUnavailable(err) || isContextError(err) {
		s.c.outage.note(s.c)
	}
	for _, f := range group {
		if f.exposed {
			f.result <- uncertain(err)
			continue
		}
		f.result <- unavailable(err)
	}
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
