package member

import (
	"context"
	"errors"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// retryMin and retryMax bound the pause after a failed platform call.
	retryMin = 250 * time.Millisecond
	retryMax = 2 * time.Second
	// standingInterval is how often the standing is looked after.
	standingInterval = 500 * time.Millisecond
	// platformTimeout bounds one platform call that isn't a watch.
	platformTimeout = 3 * time.Second
	// cleanBounds is how many times the GoneBound a host is gone before its member
	// object is deleted.
	cleanBounds = 2
)

// watchMembers follows the member objects until ctx ends.
func (m *Manager) watchMembers(ctx context.Context) {
	pause := retryMin
	for ctx.Err() == nil {
		revision, err := m.listMembers(ctx)
		for err == nil {
			pause = retryMin
			revision, err = m.watchOnce(ctx, revision)
		}
		if errors.Is(err, errGap) {
			continue
		}
		_ = m.opts.Clock.Sleep(ctx, m.jitter(pause))
		pause = min(2*pause, retryMax)
	}
}

var errGap = errors.New("the watch missed changes; list the kind again")

func (m *Manager) listMembers(ctx context.Context) (uint64, error) {
	sent := m.opts.Clock.Now()
	objects, revision, err := m.opts.Store.List(ctx, store.KindMember)
	if err != nil {
		return 0, err
	}
	m.HeardPlatform(sent)
	m.mu.Lock()
	m.members = map[string]registered{}
	m.mu.Unlock()
	for _, o := range objects {
		m.takeMember(o)
	}
	m.checkOwnObject(revision)
	return revision, nil
}

func (m *Manager) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	sent := m.opts.Clock.Now()
	batch, err := m.opts.Store.Watch(ctx, store.KindMember, after)
	if err != nil {
		return 0, err
	}
	m.HeardPlatform(sent)
	if batch.Gap {
		return 0, errGap
	}
	for _, e := range batch.Events {
		if e.Deleted {
			m.mu.Lock()
			delete(m.members, e.Object.Name)
			m.mu.Unlock()
			continue
		}
		m.takeMember(e.Object)
	}
	if len(batch.Events) > 0 {
		m.checkOwnObject(batch.Revision)
	}
	return batch.Revision, nil
}

func (m *Manager) takeMember(o store.Object) {
	member, err := decode(o)
	if err != nil {
		m.opts.Log.Warn("member object ignored", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members[o.Name] = registered{member: member, version: o.Version}
}

// checkOwnObject ends the standing of a host whose object was replaced by
// another run, or deleted because the host was taken for gone. The objects are
// those at the given revision, which may be older than the registration.
func (m *Manager) checkOwnObject(revision uint64) {
	m.mu.Lock()
	r, ok := m.members[m.opts.Self.ID.Name]
	if ok && r.member.ID == m.opts.Self.ID {
		m.version = max(m.version, r.version)
	}
	deleted := !ok && revision >= m.version && m.standing == StandingMember
	if deleted {
		m.setStanding(StandingNone)
	}
	other := ok && r.member.ID != m.opts.Self.ID && r.version > m.version && m.version != store.Absent
	m.mu.Unlock()
	if other {
		m.replacedBy(r.member.ID)
	}
}

// probePlatform calls the platform when nobody has been heard for a while, so
// that a host without peers knows that it isn't isolated.
func (m *Manager) probePlatform(ctx context.Context) {
	for m.opts.Clock.Sleep(ctx, standingInterval) == nil {
		if !m.nearIsolated() {
			continue
		}
		sent := m.opts.Clock.Now()
		call, cancel := m.deadline(ctx, platformTimeout)
		_, err := m.opts.Store.Get(call, store.KindMember, m.opts.Self.ID.Name)
		cancel()
		if err == nil {
			m.HeardPlatform(sent)
		}
	}
}

func (m *Manager) nearIsolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := m.until.Sub(m.opts.Clock.Now())
	return m.standing == StandingMember && left < m.opts.IsolatedAfter/2
}

// Join makes the host a member, or a sponsored host while the platform is down,
// and returns its standing. It tries until it succeeds, ctx ends, or another run
// has the host's name. Orders have been read when it returns.
func (m *Manager) Join(ctx context.Context) (Standing, error) {
	pause := retryMin
	for {
		err := m.joinPlatform(ctx)
		if err == nil {
			return StandingMember, nil
		}
		var replaced *ReplacedError
		if errors.As(err, &replaced) {
			return StandingNone, err
		}
		if m.JoinSponsored(ctx) == nil {
			return m.Standing(), nil
		}
		if ctx.Err() != nil {
			return StandingNone, err
		}
		_ = m.opts.Clock.Sleep(ctx, m.jitter(pause))
		pause = min(2*pause, retryMax)
	}
}

// joinPlatform registers and only then reads the orders.
func (m *Manager) joinPlatform(ctx context.Context) error {
	ctx, cancel := m.deadline(ctx, platformTimeout)
	defer cancel()
	if err := m.register(ctx); err != nil {
		return err
	}
	sent := m.opts.Clock.Now()
	if err := m.opts.Relist(ctx); err != nil {
		return err
	}
	m.become(sent)
	return nil
}

// keepStanding gets a lost or missing standing back, and looks after the member
// objects.
func (m *Manager) keepStanding(ctx context.Context) {
	pause := retryMin
	var next time.Time
	for m.opts.Clock.Sleep(ctx, standingInterval) == nil {
		m.lapse()
		m.prune(ctx)
		if !m.wantsStanding() {
			continue
		}
		if m.needsSponsor() {
			_ = m.JoinSponsored(ctx)
		}
		if now := m.opts.Clock.Now(); now.Before(next) {
			continue
		}
		if m.joinPlatform(ctx) == nil {
			pause = retryMin
			continue
		}
		pause = min(2*pause, retryMax)
		next = m.opts.Clock.Now().Add(m.jitter(pause))
	}
}

// lapse ends the standing of a member that heard nobody for too long.
func (m *Manager) lapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.standing == StandingMember && m.opts.Clock.Now().Sub(m.until) > m.opts.LapseAfter {
		m.setStanding(StandingNone)
	}
}

func (m *Manager) wantsStanding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standing != StandingMember && !m.leaving && m.replaced.Zero()
}

// needsSponsor reports whether the present sponsor's confirmation runs out.
func (m *Manager) needsSponsor() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.until.Sub(m.opts.Clock.Now()) < m.opts.SponsorFor/3
}

// prune takes runs that are gone out of the platform's member objects.
func (m *Manager) prune(ctx context.Context) {
	ctx, cancel := m.deadline(ctx, platformTimeout)
	defer cancel()
	m.prunePrevious(ctx)
	if dead, ok := m.longGone(); ok {
		_ = m.opts.Store.Delete(ctx, store.KindMember, dead.member.ID.Name, dead.version)
	}
}

// longGone returns a member object whose runs are all gone for good.
func (m *Manager) longGone() (registered, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.members {
		if m.list.goneFor(r.member.ID) < cleanBounds*m.opts.GoneBound || !m.allFinished(r.member.Previous) {
			continue
		}
		return r, true
	}
	return registered{}, false
}

func (m *Manager) allFinished(ids []state.HostID) bool {
	for _, id := range ids {
		if !m.finished(id) {
			return false
		}
	}
	return true
}

func (m *Manager) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.random.Int64N(int64(d)))
}

// deadline bounds a call by the manager's clock.
func (m *Manager) deadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		_ = m.opts.Clock.Sleep(ctx, d)
		cancel()
	}()
	return ctx, cancel
}
