package connlease

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// leaseTTL is how long a borrower may use connections after it has asked for them.
	leaseTTL = 2 * time.Second
	// lenderSlack is how much longer a lender counts a lease: clocks differ in speed, and the borrower closes
	// its unused connections within one interval after the lease has ended.
	lenderSlack = 2 * Interval
	// Interval is the time between two rounds of Plan.
	Interval = 250 * time.Millisecond
	// headroom is the share of the connections in use that a host has or keeps in addition.
	headroom = 0.25
	// crowded is the number of connections in use per runner of a service from which a host borrows.
	crowded = 0.5
	// refusalsInRow is the number of runners of a service without a connection, one after the other, from which a host
	// borrows.
	refusalsInRow = 2
)

// Part is a host's part of the connections that a runner accepts.
type Part struct {
	// Total is the whole part, and Floor how much of it is never lent.
	Total, Floor int
}

// Options configure a Table. All fields are required.
type Options struct {
	// Self is this host's peer address, and Hosts lists all hosts.
	Self  string
	Hosts func() []state.Peer
	// Part returns the part that a host has of a runner's connections.
	Part func(host string, i *state.Instance) Part
	// Instance returns a listed runner, or nil.
	Instance func(id state.InstanceID) *state.Instance
	// Usable returns the number of a service's runners to which a host has a part of the connections.
	Usable func(service string) float64
	// CloseIdle closes unused connections to a runner beyond the limit, which has become lower.
	CloseIdle func(i *state.Instance, limit int)
	Clock     state.Clock
	Log       *slog.Logger
}

// Table counts this host's connections to runners, those that it has lent and those that it has borrowed. It is
// safe for concurrent use.
type Table struct {
	o         Options
	startedAt time.Time
	// kick wakes Run when a request waits for a connection.
	kick chan struct{}

	mu      sync.Mutex
	runners map[state.InstanceID]*runner
	// inUse are the connections in use by service, and refusals counts the requests that found none since one did.
	inUse, refusals map[string]int
	// borrowers are those that have sent requests, and lenders those that were sent some.
	borrowers map[state.HostID]*borrower
	lenders   map[string]*lender
	// starved are the runners at which requests wait for a connection.
	starved map[*runner]bool
	// seq is the number of the last request to any lender.
	seq   uint64
	order lenderOrder
	stats Stats
}

// Stats are running totals, and the present sums over all runners in Leased and Lent.
type Stats struct {
	Leased, Lent int
	// Requests counts messages to lenders and Failures those without an answer. Waits counts the requests of
	// callers that waited for a lease, and Refusals those that found no connection.
	Requests, Failures, Waits, Refusals uint64
}

// runner is the state of the connections to one runner; Table.mu guards it.
type runner struct {
	instance *state.Instance
	inUse    int
	// peak is the most connections in use, and refused the requests without a connection, since the last
	// round; formerPeak is the demand of the round before.
	peak, refused, formerPeak int
	// lent holds what borrowers have, and leases what this host has of lenders.
	lent   map[state.HostID]loan
	leases map[string]lease
	// lentSum and leasedSum are the sums of those that have not ended before sumsUntil.
	lentSum, leasedSum int
	sumsUntil          time.Time
	// exhaustedUntil is until when it is known that lenders have nothing left.
	exhaustedUntil time.Time
	// settled is closed when the answers to the requests for leases have arrived; nil if nothing waits.
	settled chan struct{}
	// asked is the number of lenders that have been asked and haven't answered.
	asked int
	// lastLimit is the limit of the last round, and loggedLease the lease that was logged last.
	lastLimit, loggedLease int
}

// loan is what a borrower may have, until a time.
type loan struct {
	n     int
	until time.Time
}

// lease is what this host may use of a lender's part, until a time. A lender that had less than it was asked for is
// asked for no more until emptyUntil.
type lease struct {
	n                 int
	until, emptyUntil time.Time
}

// New validates the options and returns a table.
func New(o Options) (*Table, error) {
	if o.Self == "" || o.Hosts == nil || o.Part == nil || o.Instance == nil || o.Usable == nil || o.CloseIdle == nil || o.Clock == nil || o.Log == nil {
		return nil, errors.New("connlease: a field of Options is missing; set all of them")
	}
	return &Table{
		o: o, startedAt: o.Clock.Now(), kick: make(chan struct{}, 1), runners: map[state.InstanceID]*runner{},
		inUse: map[string]int{}, refusals: map[string]int{}, borrowers: map[state.HostID]*borrower{}, lenders: map[string]*lender{}, starved: map[*runner]bool{},
	}, nil
}

// Acquire takes a connection to a runner, and reports whether one was free. It must be returned by Release.
func (t *Table) Acquire(i *state.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runner(i)
	if r.inUse >= t.limit(r, t.o.Clock.Now()) {
		t.stats.Refusals++
		t.refusals[i.Service]++
		if t.isCrowded(r, t.o.Clock.Now()) {
			r.refused++
		}
		return false
	}
	r.inUse++
	t.inUse[i.Service]++
	t.refusals[i.Service] = 0
	r.peak = max(r.peak, r.inUse)
	return true
}

// Release returns a connection.
func (t *Table) Release(i *state.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.runners[i.ID]; r != nil && r.inUse > 0 {
		r.inUse--
		t.inUse[r.instance.Service]--
	}
}

// isCrowded reports whether another runner of the service may have no connection free either: this host uses many, found none
// at several runners, or has just started. A host with few connections to each runner goes to another one otherwise, and borrows nothing.
func (t *Table) isCrowded(r *runner, now time.Time) bool {
	service := r.instance.Service
	return t.isStarting(now) || t.refusals[service] >= refusalsInRow || float64(t.inUse[service]) >= crowded*t.o.Usable(service)
}

// Holds reports whether the acquired connections may still be used. It is asked again before a request is sent, since
// the host may have been suspended after Acquire.
func (t *Table) Holds(i *state.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runner(i)
	return r.inUse <= t.limit(r, t.o.Clock.Now())
}

// Limit returns how many connections to a runner this host may have now.
func (t *Table) Limit(i *state.Instance) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit(t.runner(i), t.o.Clock.Now())
}

// Stats returns the totals.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, now := t.stats, t.o.Clock.Now()
	for _, r := range t.runners {
		r.sum(now)
		out.Leased += r.leasedSum
		out.Lent += r.lentSum
	}
	return out
}

// runner returns the state of a runner, and creates it if there is none; t.mu is held.
func (t *Table) runner(i *state.Instance) *runner {
	r := t.runners[i.ID]
	if r == nil {
		r = &runner{instance: i, lent: map[state.HostID]loan{}, leases: map[string]lease{}}
		t.runners[i.ID] = r
	}
	return r
}

// limit returns how many connections this host may have; t.mu is held.
func (t *Table) limit(r *runner, now time.Time) int {
	r.sum(now)
	return t.ownLimit(r, t.o.Part(t.o.Self, r.instance), now) + r.leasedSum
}

// ownLimit returns what this host may use of its own part; the sums of r are up to date.
func (t *Table) ownLimit(r *runner, p Part, now time.Time) int {
	if t.isStarting(now) {
		return p.Floor
	}
	return max(p.Floor, p.Total-r.lentSum)
}

// isStarting reports whether leases of this host's last run may not have ended.
func (t *Table) isStarting(now time.Time) bool {
	return now.Before(t.startedAt.Add(leaseTTL + lenderSlack))
}

// sum brings the sums up to date and removes what has ended.
func (r *runner) sum(now time.Time) {
	if now.Before(r.sumsUntil) {
		return
	}
	r.lentSum, r.leasedSum, r.sumsUntil = 0, 0, now.Add(leaseTTL)
	for borrower, l := range r.lent {
		if !now.Before(l.until) {
			delete(r.lent, borrower)
			continue
		}
		r.lentSum += l.n
		r.sumsUntil = earlier(r.sumsUntil, l.until)
	}
	for addr, l := range r.leases {
		switch {
		case now.Before(l.until):
			r.leasedSum += l.n
			r.sumsUntil = earlier(r.sumsUntil, l.until)
		case now.Before(l.emptyUntil):
			r.leases[addr] = lease{emptyUntil: l.emptyUntil}
		default:
			delete(r.leases, addr)
		}
	}
}

// changed makes the next sum count again.
func (r *runner) changed() { r.sumsUntil = time.Time{} }

// demand returns the connections that this host needs, from what it used and refused in this round and the last.
func (r *runner) demand() int {
	n := max(r.peak, r.inUse)
	n += int(headroom*float64(n)) + min(r.refused, n+1)
	return max(n, r.formerPeak)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
