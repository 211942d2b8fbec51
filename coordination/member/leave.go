package member

import (
	"context"
	"errors"
	"fmt"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

// farewells is how many hosts are told directly that this one has left.
const farewells = 3

// BusyError says that the host can't leave yet.
type BusyError struct {
	Host   state.HostID
	Reason string
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("host %s can't leave: %s; finish that first, or stop the host and let the others wait until it is gone", e.Host, e.Reason)
}

// Leave takes the host out of the fleet. The caller has stopped taking requests
// and finished those in progress before. Hosts that this one sponsors find
// another cover first. If ctx ends before that, the member object stays and the
// planner waits until the host is gone: that is slow, never unsafe.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.setStanding(StandingNone)
	m.mu.Unlock()
	if work := workOf(m.opts.Keeper.View()); len(work) > 0 {
		return &BusyError{Host: m.opts.Self.ID, Reason: fmt.Sprintf("it has requests in flight at %s", work[0].Name)}
	}
	if err := m.handOver(ctx); err != nil {
		return err
	}
	m.sayLeft(ctx)
	return m.unregister(ctx)
}

// handOver waits until the sponsored hosts are covered without this one.
//
// Once all are covered elsewhere, the orders are read at the platform. Drains
// that were written before may have been acknowledged by the new cover before it
// took the host over, so they must be acknowledged by the hosts themselves; later
// drains are the new cover's.
func (m *Manager) handOver(ctx context.Context) error {
	if !m.hasSponsored() || m.fault == faultLeaveAtOnce {
		return nil
	}
	if err := m.await(ctx, m.allCovered, "a sponsored host has no other cover"); err != nil {
		return err
	}
	if err := m.opts.Relist(ctx); err != nil {
		return err
	}
	return m.await(ctx, m.allDrained, "a sponsored host hasn't acknowledged a drain")
}

func (m *Manager) hasSponsored() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sponsored) > 0
}

func (m *Manager) await(ctx context.Context, done func() bool, reason string) error {
	for !done() {
		if m.opts.Clock.Sleep(ctx, m.opts.GossipInterval) != nil {
			return &BusyError{Host: m.opts.Self.ID, Reason: reason}
		}
	}
	return nil
}

// allCovered reports whether every sponsored host is a member of its own, has
// taken up a later sponsorship, or is gone. The numbers are ordered and a sponsor
// records the host before the host takes the sponsorship up, so of several
// sponsors that leave at once the last can't take another for its successor.
func (m *Manager) allCovered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, number := range m.sponsored {
		if !m.finished(id) && !m.coveredElsewhere(id, number) {
			return false
		}
	}
	return true
}

func (m *Manager) coveredElsewhere(id state.HostID, number uint64) bool {
	e := m.entries.of(id)
	return e != nil && (e.beat.Standing == StandingMember || e.beat.Sponsorship > number)
}

// allDrained reports whether the sponsored hosts have acknowledged every drain.
func (m *Manager) allDrained() bool {
	orders := m.opts.Keeper.Orders()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range orders {
		if o.Fence > 0 && !o.TakesWork() && m.sponsoredInFlight(o.Engine, o.Fence) > 0 {
			return false
		}
	}
	return true
}

// sayLeft tells some hosts that this one has no work and takes none.
func (m *Manager) sayLeft(ctx context.Context) {
	m.mu.Lock()
	e := m.entries[m.key]
	e.beat.Left = true
	e.seq++
	e.changed.beat = e.seq
	live, _ := m.candidates()
	m.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	m.mu.Unlock()
	for _, to := range live[:min(farewells, len(live))] {
		m.exchange(ctx, to)
	}
}

// unregister deletes the member object, unless another run has replaced it.
func (m *Manager) unregister(ctx context.Context) error {
	var failure error
	for range registerTries {
		object, err := m.opts.Store.Get(ctx, store.KindMember, m.opts.Self.ID.Name)
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		found, err := decode(object)
		if err != nil {
			return err
		}
		if found.ID != m.opts.Self.ID {
			return nil
		}
		if len(found.Previous) > 0 && !m.previousFinished(found.Previous) {
			return &BusyError{Host: m.opts.Self.ID, Reason: "an earlier run under its name may still have work"}
		}
		failure = m.opts.Store.Delete(ctx, store.KindMember, object.Name, object.Version)
		if failure == nil || errors.Is(failure, store.ErrNotFound) {
			return nil
		}
		if !store.IsConflict(failure) && !store.IsUnknownOutcome(failure) {
			return failure
		}
	}
	return failure
}

func (m *Manager) previousFinished(ids []state.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allFinished(ids)
}
