package member

import (
	"context"
	"fmt"

	"github.com/thymerack/thymerack/state"
)

// maxSponsored bounds the hosts that one member answers for.
const maxSponsored = 64

// NotSponsorError says why a host can't answer for another.
type NotSponsorError struct {
	Host   state.HostID
	Reason string
}

// Error implements error.
func (e *NotSponsorError) Error() string {
	return fmt.Sprintf("host %s can't sponsor: %s; ask another host", e.Host, e.Reason)
}

// NoSponsorError says that nobody could be found to answer for this host.
type NoSponsorError struct {
	// Asked is the number of hosts that were asked.
	Asked int
	// Last is the last answer; nil if nobody was known.
	Last error
}

// Error implements error.
func (e *NoSponsorError) Error() string {
	return fmt.Sprintf("none of %d hosts can sponsor this one (last: %v); wait for the platform, or set the peer addresses of running hosts in the settings", e.Asked, e.Last)
}

// Unwrap returns the last answer.
func (e *NoSponsorError) Unwrap() error { return e.Last }

// Sponsor answers a host that can't register. The host is recorded before the
// orders are read: an acknowledgement made from then on waits for it, and a drain
// that was acknowledged before is in the orders that it is given.
func (m *Manager) Sponsor(from state.HostID, r SponsorRequest) (SponsorView, error) {
	if err := m.recordSponsored(from, r); err != nil {
		return SponsorView{}, err
	}
	m.renew()
	orders := m.opts.Keeper.Orders()
	m.mu.Lock()
	defer m.mu.Unlock()
	view := SponsorView{
		Sponsor: m.opts.Self,
		Orders:  OrdersReply{Revision: m.orders.revision},
		Listed:  m.list.rows,
		Leaving: m.list.leaving,
	}
	for _, o := range orders {
		view.Orders.Orders = append(view.Orders.Orders, VersionedOrder{Version: m.orders.versions[o.Engine].Version, Order: o})
	}
	for _, r := range m.members {
		view.Members = append(view.Members, r.member)
	}
	view.ConfigVersion = m.entries[m.key].beat.ConfigVersion
	return view, nil
}

func (m *Manager) recordSponsored(from state.HostID, r SponsorRequest) error {
	isolated := m.Isolated()
	m.mu.Lock()
	defer m.mu.Unlock()
	refuse := func(reason string) error { return &NotSponsorError{Host: m.opts.Self.ID, Reason: reason} }
	_, known := m.sponsored[from]
	switch {
	case from != r.Member.ID:
		return refuse("the request names another host than its sender")
	case m.leaving:
		return refuse("it is leaving")
	case m.standing != StandingMember || isolated:
		return refuse("it isn't a member that hears others")
	case !known && len(m.sponsored) >= maxSponsored:
		return refuse("it sponsors too many hosts")
	}
	m.sponsored[from] = max(m.sponsored[from], r.Number)
	if !known {
		m.opts.Log.Info("sponsoring", "host", m.opts.Self.ID.String(), "for", from.String())
	}
	return nil
}

// JoinSponsored asks the hosts known, and the addresses from the settings, to
// sponsor this host, and takes its view from the first that does.
func (m *Manager) JoinSponsored(ctx context.Context) error {
	m.mu.Lock()
	live, doubtful := m.candidates()
	m.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	m.random.Shuffle(len(doubtful), func(i, j int) { doubtful[i], doubtful[j] = doubtful[j], doubtful[i] })
	m.mu.Unlock()
	failure := &NoSponsorError{}
	for _, to := range append(live, doubtful...) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		failure.Asked++
		if failure.Last = m.askSponsor(ctx, to); failure.Last == nil {
			return nil
		}
	}
	return failure
}

func (m *Manager) askSponsor(ctx context.Context, to state.Member) error {
	ctx, cancel := m.timeout(ctx)
	defer cancel()
	m.mu.Lock()
	m.asked++
	number := m.asked
	m.mu.Unlock()
	sent := m.opts.Clock.Now()
	view, err := m.opts.Peers.Sponsor(ctx, to, SponsorRequest{Member: m.opts.Self, Number: number})
	if err != nil {
		return err
	}
	if view.Sponsor.ID == m.opts.Self.ID {
		return &NotSponsorError{Host: m.opts.Self.ID, Reason: "it is this host itself"}
	}
	m.takeView(view)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.standing == StandingMember || m.leaving || !m.replaced.Zero() || number < m.sponsorship {
		return nil // the platform came back meanwhile, or it is too late
	}
	m.sponsor = view.Sponsor
	m.sponsorship = number
	m.setStanding(StandingSponsored)
	m.confirmed(sent)
	return nil
}

// SponsoredBy returns the host that answers for this one; zero if none does.
func (m *Manager) SponsoredBy() state.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.standing != StandingSponsored {
		return state.HostID{}
	}
	return m.sponsor.ID
}

// takeView applies a sponsor's view before the host takes work by it.
func (m *Manager) takeView(v SponsorView) {
	m.mu.Lock()
	firstList := m.list.at.IsZero()
	m.learnt = append(v.Members, v.Sponsor)
	m.mu.Unlock()
	if firstList && len(v.Listed) > 0 {
		m.opts.Keeper.SetListed(v.Listed)
	}
	m.takeOrders(v.Orders)
	for _, l := range v.Leaving {
		m.opts.Keeper.MarkLeaving(l.Name, l.Incarnation)
	}
	if v.ConfigVersion > 0 {
		m.opts.OnConfigVersion(v.Sponsor, v.ConfigVersion)
	}
}
