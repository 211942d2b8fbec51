package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// registerTries bounds the writes of one registration.
const registerTries = 5

// ReplacedError says that another run has registered under this host's name.
type ReplacedError struct{ Self, By state.HostID }

// Error implements error.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("another run of host %s has registered (%s); stop this one or give it a name of its own", e.Self.Name, e.By.Incarnation)
}

// ObjectError says that a member object can't be decoded.
type ObjectError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *ObjectError) Error() string {
	return fmt.Sprintf("member object %q can't be decoded (%v); delete it at the platform", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *ObjectError) Unwrap() error { return e.Cause }

// List reads all member objects at the platform.
func List(ctx context.Context, s store.Store) ([]state.Member, error) {
	objects, _, err := s.List(ctx, store.KindMember)
	if err != nil {
		return nil, err
	}
	out := make([]state.Member, 0, len(objects))
	for _, o := range objects {
		member, err := decode(o)
		if err != nil {
			return nil, err
		}
		out = append(out, member)
	}
	return out, nil
}

func decode(o store.Object) (state.Member, error) {
	var out state.Member
	if err := json.Unmarshal(o.Value, &out); err != nil {
		return out, &ObjectError{Name: o.Name, Cause: err}
	}
	return out, nil
}

// Register writes the member object and makes the host a member. It must return
// before the orders are read, and these before the host takes work. An answer
// that was lost is read back: the incarnation tells the host's own write.
func (m *Manager) Register(ctx context.Context) error {
	sent := m.opts.Clock.Now()
	if err := m.register(ctx); err != nil {
		return err
	}
	m.become(sent)
	return nil
}

// become makes the host a member that was heard at the given time.
func (m *Manager) become(sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || !m.replaced.Zero() {
		return
	}
	m.setStanding(StandingMember)
	m.extend(sent.Add(m.opts.IsolatedAfter))
}

// register writes the member object. The object of an earlier run is replaced,
// and that run is named in the new object for as long as it may have work.
//
// A crash before the write leaves the old object, one after it an object of a
// host that takes no work; both are waited for until they are gone.
func (m *Manager) register(ctx context.Context) error {
	var replaces state.HostID
	var failure error
	if by := m.replacement(); !by.Zero() {
		return &ReplacedError{Self: m.opts.Self.ID, By: by}
	}
	for try := range registerTries {
		object, err := m.opts.Store.Get(ctx, store.KindMember, m.opts.Self.ID.Name)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		found, previous, err := m.inherit(object)
		if err != nil {
			return err
		}
		if found == m.opts.Self.ID {
			m.registeredAs(object.Version, previous)
			return nil
		}
		if try > 0 && !found.Zero() && found != replaces {
			m.replacedBy(found)
			return &ReplacedError{Self: m.opts.Self.ID, By: found}
		}
		replaces = found
		version, err := m.put(ctx, object.Version, previous)
		if err == nil {
			m.registeredAs(version, previous)
			return nil
		}
		if !store.IsConflict(err) && !store.IsUnknownOutcome(err) {
			return err
		}
		failure = err
	}
	return failure
}

// inherit returns whose object it is and the earlier runs that a new object must
// name.
func (m *Manager) inherit(o store.Object) (found state.HostID, previous []state.HostID, err error) {
	if o.Version == store.Absent {
		return state.HostID{}, nil, nil
	}
	old, err := decode(o)
	if err != nil {
		return state.HostID{}, nil, err
	}
	if old.ID == m.opts.Self.ID {
		return old.ID, old.Previous, nil
	}
	if m.fault == faultForgetPrevious {
		return old.ID, nil, nil
	}
	previous = slices.Clone(old.Previous)
	previous = slices.DeleteFunc(previous, func(id state.HostID) bool { return id == m.opts.Self.ID })
	return old.ID, append(previous, old.ID), nil
}

// put writes the member object.
func (m *Manager) put(ctx context.Context, ifVersion uint64, previous []state.HostID) (uint64, error) {
	object := m.opts.Self
	object.RegisteredAt = m.opts.Clock.Now()
	object.Previous = previous
	value, err := json.Marshal(object)
	if err != nil {
		return 0, err
	}
	return m.opts.Store.Put(ctx, store.KindMember, object.ID.Name, ifVersion, value)
}

func (m *Manager) registeredAs(version uint64, previous []state.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = version
	m.previous = previous
}

func (m *Manager) replacement() state.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replaced
}

// replacedBy ends the host's standing for good.
func (m *Manager) replacedBy(by state.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replaced = by
	m.setStanding(StandingNone)
	m.opts.Log.Warn("replaced by another run", "host", m.opts.Self.ID.String(), "by", by.String())
}

// prunePrevious takes earlier runs that are gone out of the member object.
func (m *Manager) prunePrevious(ctx context.Context) {
	m.mu.Lock()
	version := m.version
	kept := slices.DeleteFunc(slices.Clone(m.previous), m.finished)
	same := len(kept) == len(m.previous)
	member := m.standing == StandingMember
	m.mu.Unlock()
	if same || !member {
		return
	}
	if next, err := m.put(ctx, version, kept); err == nil {
		m.registeredAs(next, kept)
	}
}

// finished reports whether a run of a host has no work and will take none; m.mu
// is held.
func (m *Manager) finished(id state.HostID) bool {
	if e := m.entries.of(id); e != nil && e.beat.Left {
		return true
	}
	return m.list.goneFor(id) > m.opts.GoneBound
}
