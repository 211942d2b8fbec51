package member

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

const (
	// maxExchanges bounds the exchanges that this host has in progress.
	maxExchanges = 8
	// doubtfulEvery is the share of exchanges that go to a host which doesn't
	// answer at present, so that two cut-off halves find each other again.
	doubtfulEvery = 8
	// forwardFor is how long an entry that isn't renewed is passed on; it is
	// dropped much later, so that it can't come back from a host that kept it.
	forwardFor = 30 * time.Second
	dropAfter  = 4 * forwardFor
	// jitterShare is the part of the interval that varies.
	jitterShare = 0.4
)

// gossip starts an exchange every interval until ctx ends.
func (m *Manager) gossip(ctx context.Context, routines *conc.WaitGroup) {
	steps := 0.0
	for m.opts.Clock.Sleep(ctx, m.step()) == nil {
		m.renew()
		steps++
		wait := m.wait()
		if steps < wait {
			continue
		}
		steps = min(steps-wait, 1)
		if to, ok := m.pick(); ok {
			routines.Go(func() { m.exchange(ctx, to) })
		}
		if from, ok := m.startOrderFetch(); ok {
			routines.Go(func() { m.fetchOrders(ctx, from) })
		}
		m.sweep()
	}
}

// pick chooses the next host to exchange with and marks its address as busy. A
// sponsored host turns to its sponsor often, because only its confirmation lets
// it take new work.
func (m *Manager) pick() (state.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ticks++
	if m.standing == StandingSponsored && m.ticks%2 == 0 && m.occupy(m.sponsor) {
		return m.sponsor, true
	}
	live, doubtful := m.candidates()
	if len(live) == 0 || (len(doubtful) > 0 && m.ticks%doubtfulEvery == 0) {
		live = doubtful
	}
	if len(live) == 0 {
		return state.Member{}, false
	}
	to := live[m.random.IntN(len(live))]
	return to, m.occupy(to)
}

func (m *Manager) occupy(to state.Member) bool {
	if m.busy[to.PeerAddr] || len(m.busy) >= maxExchanges {
		return false
	}
	m.busy[to.PeerAddr] = true
	return true
}

// candidates returns the hosts that answer and those that may, in a fixed order;
// m.mu is held.
func (m *Manager) candidates() (live, doubtful []state.Member) {
	now := m.opts.Clock.Now()
	seen := map[string]bool{m.opts.Self.PeerAddr: true}
	for key, e := range m.entries {
		if key == m.key || e.beat.Left || seen[e.static.PeerAddr] {
			continue
		}
		if now.Sub(e.at) <= m.liveAfter() {
			seen[e.static.PeerAddr] = true
			live = append(live, e.member())
		}
	}
	add := func(c state.Member) {
		if !seen[c.PeerAddr] && c.PeerAddr != "" {
			seen[c.PeerAddr] = true
			doubtful = append(doubtful, c)
		}
	}
	for _, r := range m.members {
		add(r.member)
	}
	for _, c := range m.learnt {
		add(c)
	}
	for _, addr := range m.opts.Seeds {
		add(state.Member{PeerAddr: addr})
	}
	byAddr := func(a, b state.Member) int { return strings.Compare(a.PeerAddr, b.PeerAddr) }
	slices.SortFunc(live, byAddr)
	slices.SortFunc(doubtful, byAddr)
	return live, doubtful
}

// exchange sends what is held, takes what is newer, and gives what is missing
// on the other side.
func (m *Manager) exchange(ctx context.Context, to state.Member) {
	defer m.release(to)
	ctx, cancel := m.timeout(ctx)
	defer cancel()
	sent := m.opts.Clock.Now()
	m.mu.Lock()
	question := Digest{From: m.opts.Self.ID, Known: m.entries.known()}
	m.mu.Unlock()
	answer, err := m.opts.Peers.Exchange(ctx, to, question)
	if err != nil || answer.From == m.opts.Self.ID {
		return
	}
	rest := m.takeAnswer(to, sent, answer)
	if len(rest) > 0 {
		_, _ = m.opts.Peers.Exchange(ctx, to, Digest{From: m.opts.Self.ID, Deltas: rest})
	}
}

func (m *Manager) release(to state.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.busy, to.PeerAddr)
}

// takeAnswer takes over an answer and returns what the other side wants. Only an
// answered exchange shows that a peer is heard, and only as of when it was sent.
func (m *Manager) takeAnswer(to state.Member, sent time.Time, answer Digest) []Delta {
	m.take(answer.Deltas)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard(sent)
	if answer.Sponsors && answer.From == m.sponsor.ID {
		m.confirmed(sent)
	}
	return m.entries.wanted(answer.Want, m.opts.Clock.Now(), m.stretch(forwardFor))
}

// Receive answers a digest of another host.
func (m *Manager) Receive(from state.HostID, d Digest) Digest {
	m.take(d.Deltas)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.heard(from)
	answer := Digest{From: m.opts.Self.ID}
	if d.Known == nil {
		return answer
	}
	answer.Deltas, answer.Want = m.entries.compare(d.Known, m.opts.Clock.Now(), m.stretch(forwardFor))
	_, sponsored := m.sponsored[from]
	answer.Sponsors = sponsored && !m.leaving && m.standing == StandingMember && !m.Isolated()
	return answer
}

// take applies deltas and passes on what they tell.
func (m *Manager) take(deltas []Delta) {
	var leaving []Leaving
	var newest Beat
	var holder state.Member
	m.mu.Lock()
	for _, d := range deltas {
		e := m.applyDelta(d)
		if e == nil {
			continue
		}
		if d.Leaving != nil {
			leaving = append(leaving, *d.Leaving...)
		}
		if e.beat.ConfigVersion > newest.ConfigVersion {
			newest, holder = e.beat, e.member()
		}
	}
	m.mu.Unlock()
	for _, l := range leaving {
		m.opts.Keeper.MarkLeaving(l.Name, l.Incarnation)
	}
	if v := m.opts.Keeper.View().Config; newest.ConfigVersion > 0 && (v == nil || v.Version < newest.ConfigVersion) {
		m.opts.OnConfigVersion(holder, newest.ConfigVersion)
	}
}

// applyDelta returns the entry if the delta was taken; m.mu is held. Nobody else
// speaks for this host.
func (m *Manager) applyDelta(d Delta) *entry {
	if d.Key == m.key {
		return nil
	}
	e := m.entries[d.Key]
	if e == nil {
		e = &entry{}
	}
	news := e.isNews(d)
	if !e.apply(d, m.opts.Clock.Now()) {
		return nil
	}
	if news {
		m.news()
	}
	m.entries[d.Key] = e
	m.list.heard(e.static.ID)
	return e
}

func (m *Manager) startOrderFetch() (state.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from, ok := m.orderSource(m.opts.Clock.Now())
	m.orders.fetching = m.orders.fetching || ok
	return from, ok
}

// sweep drops old entries, releases hosts that are gone and publishes the live
// hosts and their work.
func (m *Manager) sweep() {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	for key, e := range m.entries {
		if key != m.key && now.Sub(e.at) > m.stretch(dropAfter) && m.list.goneFor(e.static.ID) > m.opts.GoneBound {
			delete(m.entries, key)
		}
	}
	for id := range m.sponsored {
		if m.list.goneFor(id) > m.opts.GoneBound {
			delete(m.sponsored, id)
		}
	}
	m.publishHosts()
	due := m.ticks%workEvery == 0
	m.mu.Unlock()
	if due {
		m.opts.Keeper.SetPeerWork(now, m.PeerWork())
	}
}

// workEvery is how many exchanges pass between two updates of the peers' work:
// each costs the keeper a whole view.
const workEvery = 4

// PeerWork sums what the other live hosts have in flight, by upstream.
func (m *Manager) PeerWork() map[string]snapshot.Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	sum := map[string]snapshot.Work{}
	for key, e := range m.entries {
		if key == m.key || now.Sub(e.at) > m.liveAfter() {
			continue
		}
		for _, w := range e.work {
			sum[w.Name] = sum[w.Name].Plus(w.work())
		}
	}
	return sum
}
