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
	// maxPermitOwners bounds the owners that are asked for one runner's permits.
	maxPermitOwners = 4
	// nextRankShare is the part that an owner may give of what the one before it may: a third of
	// the limit for all that follow the first.
	nextRankShare = 0.25
	// isolatedShare is the part of the limit that the hosts which reach no owner may use, all
	// together.
	isolatedShare = 0.1
	// burstWindow is the time for which unused permits are kept. Requests don't arrive evenly.
	burstWindow = 200 * time.Millisecond
	// minRate is how much is sent to a runner with a lower limit, to learn when that is
	// over: a request in ten seconds.
	minRate = 0.1
	// unlimitedRate is a limit above everything that hosts send, for which none is asked.
	unlimitedRate = 1e5
	// maxPermitWait bounds what a permit is said to take, for rates close to zero.
	maxPermitWait = time.Hour
)

// PermitRequest asks for a permit to send a request to a runner that names a limit.
type PermitRequest struct {
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
func (g *Gate) Permit(ctx context.Context, req PermitRequest) Permit {
	if req.Rate >= unlimitedRate {
		return Permit{Granted: true}
	}
	tried := 0
	for rank, owner := range g.permitOwners(req.Runner) {
		req.Rank = rank
		if owner == g.o.Self {
			return g.o.Tracker.Permit(req, g.limitShare(req.Runner, shareOfRank(rank)))
		}
		if tried == maxOwnersTried || g.inBackoff(owner) {
			continue
		}
		tried++
		if p, err := g.askPermit(ctx, owner, req); err == nil || ctx.Err() != nil {
			return p
		}
	}
	return g.o.Tracker.Permit(req, g.limitShare(req.Runner, isolatedShare/float64(max(1, len(g.o.Hosts())))))
}

// LimitShare is a part of a limit that one book may give.
type LimitShare struct {
	Fraction float64
	// Phase is where a new book begins with a part that isn't the whole, from 0 to 1 of the
	// time between two permits. Hosts that all begin in the same moment would otherwise give a
	// permit each at once.
	Phase float64
}

// fullLimit is a limit that one book keeps alone.
var fullLimit = LimitShare{Fraction: 1}

// limitShare is a share of a runner's limit, with this host's own phase.
func (g *Gate) limitShare(runner state.InstanceID, fraction float64) LimitShare {
	if fraction >= 1 {
		return fullLimit
	}
	return LimitShare{fraction, float64(xxhash.Sum64String(g.o.Self+runner.Name)) / (1 << 64)}
}

// askPermit asks one owner. One that answers nothing in time is passed over from then on; an
// error at once costs little, and may be that of a host which knows no permits yet.
func (g *Gate) askPermit(ctx context.Context, owner string, req PermitRequest) (Permit, error) {
	bounded, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	p, err := g.o.Peers.Permit(bounded, owner, req)
	switch {
	case err == nil:
		g.resetBackoff(owner)
	case ctx.Err() == nil && bounded.Err() != nil:
		g.backOff(owner, err)
	}
	return p, err
}

// Grant answers another host's ask. The rank that gives less counts, this host's own or that by
// which it was asked: lists of hosts may differ for a moment.
func (g *Gate) Grant(req PermitRequest) Permit {
	rank := slices.Index(g.permitOwners(req.Runner), g.o.Self)
	if rank < 0 {
		rank = maxPermitOwners
	}
	return g.o.Tracker.Permit(req, g.limitShare(req.Runner, shareOfRank(max(rank, req.Rank))))
}

// shareOfRank is the part of a limit that the owner of a rank may give.
func shareOfRank(rank int) float64 {
	return math.Pow(nextRankShare, float64(max(0, min(rank, maxPermitOwners))))
}

func (g *Gate) inBackoff(host string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.o.Clock.Now().Before(g.backoffs[host].until)
}

// permitOwners is the runner's owners by their ranks, the same at all hosts that list the same ones.
func (g *Gate) permitOwners(runner state.InstanceID) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	type scored struct {
		addr  string
		score uint64
	}
	var all []scored
	class := 0
	for _, host := range g.orderedHosts() {
		if len(all) == maxOwners || (len(all) >= minOwners && host.Class < class) {
			break
		}
		class = host.Class
		all = append(all, scored{host.Addr, xxhash.Sum64String(runner.Name + host.Addr)})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]string, 0, maxPermitOwners)
	for _, s := range all[:min(len(all), maxPermitOwners)] {
		out = append(out, s.addr)
	}
	return out
}

// limiter are what was given of a runner's limit.
type limiter struct {
	// nextDue is when the permit after those that were given is due, if they are used evenly.
	nextDue time.Time
	usedAt  time.Time
}

// Permit gives a permit of a part of the limit. What is given is spread evenly in time, but for
// those of burstTime. A book that hasn't seen the runner has saved none.
func (t *Tracker) Permit(req PermitRequest, share LimitShare) Permit {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	interval := time.Duration(float64(time.Second) / (max(req.Rate, minRate) * share.Fraction))
	burst := max(0, burstWindow-interval)
	l := t.limiter(req.Runner, now, burst+time.Duration(share.Phase*float64(interval)))
	wait := min(max(0, l.nextDue.Add(-burst).Sub(now)), maxPermitWait)
	if wait > req.MaxWait {
		return Permit{Wait: wait}
	}
	if l.nextDue.Before(now) {
		l.nextDue = now
	}
	l.nextDue = l.nextDue.Add(min(interval, maxPermitWait))
	return Permit{Granted: true, Wait: wait}
}

// limiter is what was given for a runner, a new one as if so much were given already; b.mu is
// held. A new one drops those that nobody has asked for lately.
func (t *Tracker) limiter(runner state.InstanceID, now time.Time, initialDelay time.Duration) *limiter {
	l := t.limiters[runner]
	if l == nil {
		for other, old := range t.limiters {
			if now.Sub(old.usedAt) > idleTTL {
				delete(t.limiters, other)
			}
		}
		l = &limiter{nextDue: now.Add(initialDelay)}
		t.limiters[runner] = l
	}
	l.usedAt = now
	return l
}
