package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Manager is one host's view of the fleet.
type Manager struct {
	opts  Options
	start time.Time
	key   uint64
	// takesUntil is the end of the right to take new work, in nanoseconds since
	// start.
	takesUntil atomic.Int64
	hosts      atomic.Pointer[[]state.HostID]

	mu       sync.Mutex
	random   *rand.Rand
	standing Standing
	until    time.Time
	// platformAt and ordersAt are when the platform, and its orders, were last
	// heard; both are the times at which the answered calls were sent.
	platformAt, ordersAt time.Time
	entries              table
	ownAt                time.Time // when the own entry was last renewed
	newsAt               time.Time // when there was last something that others wait for
	// members are the objects at the platform as last heard, by name.
	members map[string]registered
	// learnt are members told by a sponsor.
	learnt []state.Member
	list   listing
	orders orderBook
	// sponsored are the hosts this one answers for, with the number of the last
	// request of each.
	sponsored map[state.HostID]uint64
	sponsor   state.Member
	// asked and sponsorship are the numbers of the last request made and of the
	// last one taken up.
	asked, sponsorship uint64
	leaving            bool         // Leave has begun
	replaced           state.HostID // the run that has registered under this name since
	version            uint64
	previous           []state.HostID
	busy               map[string]bool // addresses with an exchange in progress
	ticks              uint64
	fault              fault
}

// registered is a member object with its version.
type registered struct {
	member  state.Member
	version uint64
}

// fault names deliberate mistakes that the tests switch on, to show that they
// would be found.
type fault uint8

const (
	// faultAckAlone acknowledges without waiting for the sponsored hosts.
	faultAckAlone fault = iota + 1
	// faultServeAlone lets a sponsored host go on without its sponsor.
	faultServeAlone
	// faultCountCut counts hosts as gone while cut off from listed hosts.
	faultCountCut
	// faultLeaveAtOnce leaves without waiting for the sponsored hosts.
	faultLeaveAtOnce
	// faultForgetPrevious drops the earlier runs from a new member object.
	faultForgetPrevious
)

// New checks the options and returns a manager. The host isn't a member yet, see
// Join.
func New(o Options) (*Manager, error) {
	if err := o.fill(); err != nil {
		return nil, err
	}
	now := o.Clock.Now()
	m := &Manager{
		opts: o, start: now, until: now, key: keyOf(o.Self.ID),
		random:    rand.New(rand.NewPCG(o.Seed, keyOf(o.Self.ID))),
		entries:   table{},
		members:   map[string]registered{},
		list:      newListing(),
		orders:    newOrderBook(),
		sponsored: map[state.HostID]uint64{},
		busy:      map[string]bool{},
	}
	m.entries[m.key] = &entry{static: Static{
		ID: o.Self.ID, FailureDomain: o.Self.FailureDomain,
		PeerAddr: o.Self.PeerAddr, CallerAddr: o.Self.CallerAddr,
	}}
	m.renew()
	return m, nil
}

// Self returns the host's own id.
func (m *Manager) Self() state.HostID { return m.opts.Self.ID }

// Run exchanges digests, watches the member objects and keeps the host's
// standing, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var routines conc.WaitGroup
	routines.Go(func() { m.watchMembers(ctx) })
	routines.Go(func() { m.keepStanding(ctx) })
	routines.Go(func() { m.probePlatform(ctx) })
	m.gossip(ctx, &routines)
	routines.Wait()
	return ctx.Err()
}

// renew brings the host's own entry up to date.
//
// The keeper's drains are read before the sponsored hosts: a host that is
// sponsored after the second reading gets its orders from a keeper that knows
// these drains already, so it can't have work that this acknowledgement misses.
func (m *Manager) renew() {
	drains := m.opts.Keeper.Draining()
	view := m.opts.Keeper.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	e := m.entries[m.key]
	next := e.seq + 1
	before := e.changed
	set(&e.drained, m.acks(drains), &e.changed.drained, next)
	set(&e.leaving, m.list.leaving, &e.changed.leaving, next)
	set(&e.sponsored, m.sponsoredIDs(), &e.changed.sponsored, next)
	beat := Beat{OrderRevision: m.orders.revision, Standing: m.standing, Sponsorship: m.sponsorship, Left: e.beat.Left}
	if view.Config != nil {
		beat.ConfigVersion = view.Config.Version
	}
	if beat != e.beat || e.seq == 0 {
		e.beat = beat
		e.changed.beat = next
	}
	due := e.seq == 0 || now.Sub(m.ownAt) >= m.stretch(m.opts.BeatInterval)
	if due && e.seq%workBeats == 0 {
		set(&e.work, m.workToTell(view), &e.changed.work, next)
	}
	if e.seq == 0 {
		e.changed.static = next
	}
	if now := e.changed; now.drained != before.drained || now.leaving != before.leaving || now.sponsored != before.sponsored || now.beat != before.beat {
		m.news()
	}
	if due || e.changed != before {
		e.seq = next
		m.ownAt = now
	}
	e.at = now
}

// set replaces a section if it differs.
func set[T comparable](to *[]T, from []T, changed *uint64, seq uint64) {
	if slices.Equal(*to, from) {
		return
	}
	*to = from
	*changed = seq
}

// workOf returns the host's own work in flight, by upstream.
func workOf(v *snapshot.View) []UpstreamWork {
	var out []UpstreamWork
	for i := range v.Runners {
		r := &v.Runners[i]
		if w := r.InFlight.Load(); w != (snapshot.Work{}) {
			out = append(out, UpstreamWork{Name: r.Name, Requests: w.Requests, PrefillTokens: w.PrefillTokens, DecodeTokens: w.DecodeTokens})
		}
	}
	return out
}
