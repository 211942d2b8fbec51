package member

import (
	"context"
	"time"

	"github.com/thymerack/thymerack/state"
)

// ordersStaleAfter is how long the platform's orders may go unheard before a
// peer that knows more is asked.
const ordersStaleAfter = time.Second

// orderBook holds the versions of the orders that the keeper knows.
type orderBook struct {
	// revision is the platform's revision up to which all orders are known.
	revision uint64
	versions map[string]VersionedOrder
	fetching bool
}

func newOrderBook() orderBook { return orderBook{versions: map[string]VersionedOrder{}} }

// TakeOrders gives orders read at the platform to the keeper and to this
// manager, which passes them on to hosts that don't hear the platform. revision
// is that of the list, or the version of the last order event of the watch; all
// orders up to it must have been taken. sent is when the answered call was sent.
func (m *Manager) TakeOrders(revision uint64, orders []VersionedOrder, sent time.Time) {
	m.takeOrders(OrdersReply{Revision: revision, Orders: orders})
	m.mu.Lock()
	defer m.mu.Unlock()
	if sent.After(m.ordersAt) {
		m.ordersAt = sent
	}
}

// takeOrders applies the orders before it raises the revision: whoever reads the
// revision finds at least the orders up to it.
func (m *Manager) takeOrders(r OrdersReply) {
	for _, o := range r.Orders {
		m.opts.Keeper.SetOrder(o.Order)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range r.Orders {
		if o.Version > m.orders.versions[o.Order.Engine].Version {
			m.orders.versions[o.Order.Engine] = o
		}
	}
	m.orders.revision = max(m.orders.revision, r.Revision)
}

// OrdersAfter answers a host that asks for orders.
func (m *Manager) OrdersAfter(r OrdersRequest) OrdersReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orders.after(r.After)
}

func (b *orderBook) after(revision uint64) OrdersReply {
	out := OrdersReply{Revision: b.revision}
	for _, o := range b.versions {
		if o.Version > revision {
			out.Orders = append(out.Orders, o)
		}
	}
	return out
}

// orderSource returns a live host that knows more orders, if the platform's
// aren't being heard; m.mu is held.
func (m *Manager) orderSource(now time.Time) (state.Member, bool) {
	if m.orders.fetching || now.Sub(m.ordersAt) < ordersStaleAfter {
		return state.Member{}, false
	}
	var best *entry
	for key, e := range m.entries {
		if key == m.key || e.beat.OrderRevision <= m.orders.revision || now.Sub(e.at) > m.liveAfter() {
			continue
		}
		if best == nil || e.beat.OrderRevision > best.beat.OrderRevision {
			best = e
		}
	}
	if best == nil {
		return state.Member{}, false
	}
	return best.member(), true
}

// fetchOrders asks one host for newer orders.
func (m *Manager) fetchOrders(ctx context.Context, from state.Member) {
	m.mu.Lock()
	request := OrdersRequest{After: m.orders.revision}
	m.mu.Unlock()
	ctx, cancel := m.timeout(ctx)
	defer cancel()
	reply, err := m.opts.Peers.Orders(ctx, from, request)
	if err == nil {
		m.takeOrders(reply)
	}
	m.mu.Lock()
	m.orders.fetching = false
	m.mu.Unlock()
}

// timeout bounds one call to a peer by the manager's clock.
func (m *Manager) timeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return m.deadline(ctx, m.opts.ExchangeTimeout)
}
