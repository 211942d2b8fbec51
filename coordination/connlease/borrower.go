package connlease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/state"
)

const (
	// maxLenders bounds the lenders of a host, and with them its connections to peers and its messages,
	// independently of the number of hosts.
	maxLenders = 48
	// maxItems bounds the runners in one request.
	maxItems = 128
	// extraLenders is how many more connections are asked for while a request waits, since some lenders may have lent
	// theirs. What is too much is returned in the next round.
	extraLenders = 2
	// emptyTTL is how long a lender that had too little is asked for no more.
	emptyTTL = time.Second
	// minBackoff is how long a host that didn't answer isn't asked. Each further failure in a row doubles the
	// time, up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 16 * time.Second
	// maxLogged bounds the log lines of one round, and minLogged is the least change of a lease that is logged.
	maxLogged = 4
	minLogged = 4
)

// Ask is a request to be sent to the lender at Addr.
type Ask struct {
	Addr string
	Request
	sentAt time.Time
}

// lender is a host that was sent a request.
type lender struct {
	inFlight bool
	failures int
	// avoidedUntil is until when it isn't asked, and askedAt when it was last.
	avoidedUntil, askedAt time.Time
}

// lenderOrder caches the hosts in the order in which this host asks them.
type lenderOrder struct{ hosts, order []state.Peer }

// Borrow asks for more connections to a runner in the next round, and returns a channel that is closed when lenders have
// answered. It returns nil if none is known to have some, or if another runner of the service is likely to have one free.
func (t *Table) Borrow(i *state.Instance) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, now := t.runner(i), t.o.Clock.Now()
	if now.Before(r.exhaustedUntil) || !t.isCrowded(r, now) || t.o.Part(t.o.Self, i).Total == 0 {
		return nil
	}
	if r.settled == nil {
		r.settled = make(chan struct{})
		t.starved[r] = true
		t.wake()
	}
	t.stats.Waits++
	return r.settled
}

// Plan returns the requests to send now. Each must be answered by Settle. It is called at each Interval for all runners,
// and in between for those at which requests wait.
func (t *Table) Plan(all bool) []Ask {
	asks, lowered := t.plan(all)
	for _, r := range lowered {
		t.o.CloseIdle(r.instance, t.Limit(r.instance))
	}
	return asks
}

// plan is Plan; it also returns the runners to which this host may have fewer connections than before.
func (t *Table) plan(all bool) (out []Ask, lowered []*runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Clock.Now()
	asks := map[string]*Ask{}
	if !all {
		for _, r := range slices.SortedFunc(maps.Keys(t.starved), compareRunners) {
			t.planRunner(r, asks, now)
		}
		return t.send(asks, now), nil
	}
	t.forgetBorrowers(now)
	t.forgetLenders(now)
	logged := 0
	for _, r := range slices.SortedFunc(maps.Values(t.runners), compareRunners) {
		t.planRunner(r, asks, now)
		limit := t.limit(r, now)
		if limit < r.lastLimit {
			lowered = append(lowered, r)
		}
		logged += t.logLease(r, limit, logged)
		if r.isIdle() {
			delete(t.runners, r.instance.ID)
		}
		r.lastLimit, r.formerPeak = limit, max(r.peak, r.inUse)+int(headroom*float64(max(r.peak, r.inUse)))
		r.peak, r.refused = r.inUse, 0
	}
	return t.send(asks, now), lowered
}

// compareRunners orders runners, so that the same events lead to the same requests.
func compareRunners(a, b *runner) int {
	x, y := a.instance.ID, b.instance.ID
	return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Born, y.Born))
}

// isIdle reports whether nothing is known of the connections that a new runner wouldn't have.
func (r *runner) isIdle() bool {
	return r.inUse+r.peak+r.formerPeak+r.refused+len(r.lent)+len(r.leases) == 0 && r.settled == nil && r.loggedLease == 0
}

// planRunner adds to the requests what this host needs of a runner's connections; t.mu is held.
func (t *Table) planRunner(r *runner, asks map[string]*Ask, now time.Time) {
	r.sum(now)
	own := t.ownLimit(r, t.o.Part(t.o.Self, r.instance), now)
	need := max(0, r.demand()-own)
	used := max(0, r.inUse-own)
	for _, addr := range slices.Sorted(maps.Keys(r.leases)) {
		l := r.leases[addr]
		if l.n == 0 {
			continue
		}
		kept := min(l.n, need)
		need -= kept
		t.renew(r, addr, l, kept, &used, asks, now)
	}
	if r.settled != nil {
		need += extraLenders
	}
	isBusy := false
	if need > 0 && t.o.Part(t.o.Self, r.instance).Total > 0 {
		isBusy = t.borrow(r, need, asks, now)
	}
	switch {
	case r.asked > 0:
		delete(t.starved, r)
	case r.settled != nil && !isBusy:
		r.exhaustedUntil = now.Add(Interval)
		t.settle(r)
	}
}

// renew asks for a lease to go on with n connections if it ends soon or n is less than before.
func (t *Table) renew(r *runner, addr string, l lease, n int, used *int, asks map[string]*Ask, now time.Time) {
	isUsed := min(n, *used)
	*used -= isUsed
	if n == l.n && l.until.Sub(now) > leaseTTL/2 {
		return
	}
	if t.add(asks, addr, Item{Runner: r.instance.ID, Want: n, Held: n, Used: isUsed}, now) {
		l.n = n
		r.leases[addr] = l
		r.changed()
	}
}

// borrow asks lenders for connections that they may have. It reports whether some of them are to be asked again when they
// have answered an earlier request.
func (t *Table) borrow(r *runner, need int, asks map[string]*Ask, now time.Time) (isBusy bool) {
	order := t.lendersInOrder()
	order = order[:min(len(order), maxLenders)]
	// Each runner has another first lender, so that none lends its connections to all runners while others lend none.
	first := xxhash.Sum64String(r.instance.ID.Name)
	for n := range order {
		host := order[(first+uint64(n))%uint64(len(order))]
		l := r.leases[host.Addr]
		if now.Before(l.emptyUntil) {
			continue
		}
		part := t.o.Part(host.Addr, r.instance)
		more := min(need, part.Total-part.Floor-l.n)
		if more <= 0 {
			continue
		}
		if known := t.lenders[host.Addr]; known != nil && known.inFlight {
			isBusy = true
			continue
		}
		if t.add(asks, host.Addr, Item{Runner: r.instance.ID, Want: l.n + more, Held: l.n, Used: min(l.n, r.inUse)}, now) {
			need -= more
		}
		if need == 0 {
			break
		}
	}
	return isBusy
}

// add adds an item to the request to a lender. It returns false if the lender can't be asked now.
func (t *Table) add(asks map[string]*Ask, addr string, item Item, now time.Time) bool {
	if l := t.lenders[addr]; l != nil && (l.inFlight || now.Before(l.avoidedUntil)) {
		return false
	}
	a := asks[addr]
	if a == nil {
		a = &Ask{Addr: addr, sentAt: now}
		asks[addr] = a
	}
	for n := range a.Items {
		if a.Items[n].Runner == item.Runner {
			a.Items[n] = item
			return true
		}
	}
	if len(a.Items) == maxItems {
		return false
	}
	a.Items = append(a.Items, item)
	t.runners[item.Runner].asked++
	return true
}

// send returns the requests in a fixed order, numbered; t.mu is held.
func (t *Table) send(asks map[string]*Ask, now time.Time) []Ask {
	out := make([]Ask, 0, len(asks))
	for _, addr := range slices.Sorted(maps.Keys(asks)) {
		l := t.lenders[addr]
		if l == nil {
			l = &lender{}
			t.lenders[addr] = l
		}
		t.seq++
		l.inFlight, l.askedAt = true, now
		asks[addr].Seq = t.seq
		out = append(out, *asks[addr])
	}
	t.stats.Requests += uint64(len(out))
	return out
}

// Settle takes the answer to a request, or the error for which there is none.
func (t *Table) Settle(a Ask, resp Response, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Clock.Now()
	l := t.lenders[a.Addr]
	l.inFlight = false
	if err != nil {
		l.avoidedUntil = now.Add(min(minBackoff<<min(l.failures, 8), maxBackoff))
		l.failures++
		t.stats.Failures++
	} else {
		l.failures = 0
	}
	for n, item := range a.Items {
		r := t.runners[item.Runner]
		if r == nil {
			continue
		}
		if err == nil && n < len(resp.Granted) {
			r.take(a, item, resp.Granted[n], now)
		}
		r.asked--
		if r.asked == 0 && r.settled != nil {
			t.settle(r)
		}
	}
	if len(t.starved) > 0 {
		t.wake()
	}
}

// wake has Run plan for the runners at which requests wait.
func (t *Table) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// take uses what a lender has granted.
func (r *runner) take(a Ask, item Item, granted int, now time.Time) {
	l := lease{n: max(0, min(granted, item.Want)), until: a.sentAt.Add(leaseTTL)}
	if granted < item.Want {
		l.emptyUntil = now.Add(emptyTTL)
	}
	if l.n == 0 {
		l.until = l.emptyUntil
	}
	r.leases[a.Addr] = l
	r.changed()
}

// settle wakes the requests that wait for a connection to a runner; t.mu is held.
func (t *Table) settle(r *runner) {
	close(r.settled)
	r.settled = nil
	delete(t.starved, r)
}

// lendersInOrder returns the other hosts, in an order of this host's own, so that the lenders of different hosts spread
// evenly; t.mu is held.
func (t *Table) lendersInOrder() []state.Peer {
	hosts := t.o.Hosts()
	if state.SameList(hosts, t.order.hosts) {
		return t.order.order
	}
	order := slices.DeleteFunc(slices.Clone(hosts), func(h state.Peer) bool { return h.Addr == t.o.Self })
	score := func(h state.Peer) uint64 { return xxhash.Sum64String(t.o.Self + "\x00" + h.Addr) }
	slices.SortFunc(order, func(a, b state.Peer) int { return cmp.Compare(score(b), score(a)) })
	t.order = lenderOrder{hosts, order}
	return order
}

// forgetLenders removes the lenders that haven't been asked for longer than they would be avoided; t.mu is held.
func (t *Table) forgetLenders(now time.Time) {
	for addr, l := range t.lenders {
		if !l.inFlight && now.Sub(l.askedAt) > borrowerTTL {
			delete(t.lenders, addr)
		}
	}
}

// logLease logs a lease that has changed markedly, unless enough was logged in this round, and returns how many lines
// it has logged.
func (t *Table) logLease(r *runner, limit, logged int) int {
	change := r.leasedSum - r.loggedLease
	if logged >= maxLogged || max(change, -change) < max(minLogged, r.loggedLease/2) {
		if r.leasedSum == 0 && r.loggedLease < minLogged {
			r.loggedLease = 0
		}
		return 0
	}
	t.o.Log.Info("borrowed connections to runner changed", "instance", r.instance.ID, "leased", r.leasedSum, "before", r.loggedLease, "limit", limit, "lent", r.lentSum, "in_use", r.inUse)
	r.loggedLease = r.leasedSum
	return 1
}
