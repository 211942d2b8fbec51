package occupancy

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/state"
)

// A runner's limit is kept by the owner of its count, which gives a permit for each request,
// evenly in time. Unlike a count, a limit must hold whoever reaches whom: the owners of a runner
// have ranks, by the list of hosts alone, and each may give a part of the limit by its rank. The
// parts of all hosts together are less than one and a half times the limit, however the hosts
// are cut off from each other; while the first owner is reached, the limit itself holds.

const (
	// maxRanked bounds the owners that are asked for one runner's permits.
	maxRanked = 4
	// rankShare is the part that an owner may give of what the one before it may: a third of
	// the limit for all that follow the first.
	rankShare = 0.25
	// aloneShare is the part of the limit that the hosts which reach no owner may use, all
	// together.
	aloneShare = 0.1
	// burstTime is the time for which unused permits are kept. Requests don't arrive evenly.
	burstTime = 200 * time.Millisecond
	// leastRate is how much is sent to a runner with a lower limit, to learn when that is
	// over: a request in ten seconds.
	leastRate = 0.1
	// mostRate is a limit above everything that hosts send, for which none is asked.
	mostRate = 1e5
	// longestWait bounds what a permit is said to take, for rates close to zero.
	longestWait = time.Hour
)

// PermitAsk asks for a permit to send a request to a runner that names a limit.
type PermitAsk struct {
	Runner state.InstanceID
	// Rate is the limit, in requests a second of all hosts together.
	Rate float64
	// MaxWait is the longest wait with which a permit is wanted.
	MaxWait time.Duration
	// Rank is that of the owner that is asked: how many come before it.
	Rank int
}

// Permit answers a PermitAsk.
type Permit struct {
	Granted bool
	// Wait is the time until the request may leave, or, if nothing was granted, until another
	// may.
	Wait time.Duration
}

// Permit asks the runner's owners for a permit, in the order of their ranks. A host that
// reaches none keeps to a part of the limit by itself.
func (g *Gate) Permit(ctx context.Context, a PermitAsk) Permit {
	if a.Rate >= mostRate {
		return Permit{Granted: true}
	}
	asked := 0
	for rank, owner := range g.ranking(a.Runner) {
		a.Rank = rank
		if owner == g.o.Self {
			return g.o.Book.Permit(a, g.part(a.Runner, shareOfRank(rank)))
		}
		if asked == maxOwnersAsked || g.passedOver(owner) {
			continue
		}
		asked++
		if p, err := g.askPermit(ctx, owner, a); err == nil || ctx.Err() != nil {
			return p
		}
	}
	return g.o.Book.Permit(a, g.part(a.Runner, aloneShare/float64(max(1, len(g.o.Hosts())))))
}

// Part is a part of a limit that one book may give.
type Part struct {
	Share float64
	// Phase is where a new book begins with a part that isn't the whole, from 0 to 1 of the
	// time between two permits. Hosts that all begin in the same moment would otherwise give a
	// permit each at once.
	Phase float64
}

// whole is a limit that one book keeps alone.
var whole = Part{Share: 1}

// part is a share of a runner's limit, with this host's own phase.
func (g *Gate) part(runner state.InstanceID, share float64) Part {
	if share >= 1 {
		return whole
	}
	return Part{share, float64(xxhash.Sum64String(g.o.Self+runner.Name)) / (1 << 64)}
}

// askPermit asks one owner. One that answers nothing in time is passed over from then on; an
// error at once costs little, and may be that of a host which knows no permits yet.
func (g *Gate) askPermit(ctx context.Context, owner string, a PermitAsk) (Permit, error) {
	bounded, cancel := context.WithTimeout(ctx, enterTimeout)
	defer cancel()
	p, err := g.o.Peers.Permit(bounded, owner, a)
	switch {
	case err == nil:
		g.trust(owner)
	case ctx.Err() == nil && bounded.Err() != nil:
		g.avoid(owner, err)
	}
	return p, err
}

// Grant answers another host's ask. The rank that gives less counts, this host's own or that by
// which it was asked: lists of hosts may differ for a moment.
func (g *Gate) Grant(a PermitAsk) Permit {
	rank := slices.Index(g.ranking(a.Runner), g.o.Self)
	if rank < 0 {
		rank = maxRanked
	}
	return g.o.Book.Permit(a, g.part(a.Runner, shareOfRank(max(rank, a.Rank))))
}

// shareOfRank is the part of a limit that the owner of a rank may give.
func shareOfRank(rank int) float64 { return math.Pow(rankShare, float64(max(0, min(rank, maxRanked)))) }

func (g *Gate) passedOver(host string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.o.Clock.Now().Before(g.avoided[host].until)
}

// ranking is the runner's owners by their ranks, the same at all hosts that list the same ones.
func (g *Gate) ranking(runner state.InstanceID) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	type scored struct {
		addr  string
		score uint64
	}
	var all []scored
	class := 0
	for _, host := range g.order() {
		if len(all) == maxOwners || (len(all) >= minOwners && host.Class < class) {
			break
		}
		class = host.Class
		all = append(all, scored{host.Addr, xxhash.Sum64String(runner.Name + host.Addr)})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]string, 0, maxRanked)
	for _, s := range all[:min(len(all), maxRanked)] {
		out = append(out, s.addr)
	}
	return out
}

// permits are what was given of a runner's limit.
type permits struct {
	// next is when the permit after those that were given is due, if they are used evenly.
	next    time.Time
	askedAt time.Time
}

// Permit gives a permit of a part of the limit. What is given is spread evenly in time, but for
// those of burstTime. A book that hasn't seen the runner has saved none.
func (b *Book) Permit(a PermitAsk, part Part) Permit {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	interval := time.Duration(float64(time.Second) / (max(a.Rate, leastRate) * part.Share))
	saved := max(0, burstTime-interval)
	p := b.permitsOf(a.Runner, now, saved+time.Duration(part.Phase*float64(interval)))
	wait := min(max(0, p.next.Add(-saved).Sub(now)), longestWait)
	if wait > a.MaxWait {
		return Permit{Wait: wait}
	}
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(min(interval, longestWait))
	return Permit{Granted: true, Wait: wait}
}

// permitsOf is what was given for a runner, a new one as if so much were given already; b.mu is
// held. A new one drops those that nobody has asked for lately.
func (b *Book) permitsOf(runner state.InstanceID, now time.Time, given time.Duration) *permits {
	p := b.permits[runner]
	if p == nil {
		for other, old := range b.permits {
			if now.Sub(old.askedAt) > forgetAfter {
				delete(b.permits, other)
			}
		}
		p = &permits{next: now.Add(given)}
		b.permits[runner] = p
	}
	p.askedAt = now
	return p
}
