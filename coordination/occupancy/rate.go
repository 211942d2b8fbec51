package occupancy

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymerack/thymerack/state"
)

// The owner of a runner enforces the runner's rate limit: it grants a permit for each request,
// evenly spaced in time. Unlike a count, a limit must also hold while hosts can't reach each
// other. The owners of a runner are therefore ranked by the list of hosts alone, and each may
// grant a share of the limit that depends on its rank. The shares of all hosts add up to less
// than one and a half times the limit, however the hosts are partitioned. While the first owner
// is reachable, the limit itself holds.

const (
	// maxPermitOwners bounds the owners that are tried for one runner's permits.
	maxPermitOwners = 4
	// nextRankShare is the share of an owner relative to the owner before it. All owners after
	// the first add up to a third of the limit.
	nextRankShare = 0.25
	// isolatedShare is the share of the limit that all hosts together may use while they reach
	// no owner; each host may use an equal part of it.
	isolatedShare = 0.1
	// burstWindow is the time for which unused permits are kept, since requests don't arrive
	// evenly.
	burstWindow = 200 * time.Millisecond
	// minRate is the rate granted for a runner with a lower limit, to find out when the limit is
	// lifted, in requests per second: one request in ten seconds.
	minRate = 0.1
	// unlimitedRate is above all rates that hosts send, so no permit is requested for it, in
	// requests per second.
	unlimitedRate = 1e5
	// maxPermitWait bounds the wait of a permit for rates close to zero.
	maxPermitWait = time.Hour
)

// PermitRequest asks for a permit to send a request to a runner that has a rate limit.
type PermitRequest struct {
	Runner state.InstanceID
	// Rate is the limit of all hosts together, in requests per second.
	Rate float64
	// MaxWait is the longest wait with which a permit is wanted.
	MaxWait time.Duration
	// Rank is the rank of the owner that is asked: the number of owners before it.
	Rank int
}

// Permit is the response to a PermitRequest.
type Permit struct {
	Granted bool
	// Wait is the time until the request may be sent or, if no permit was granted, until one
	// will be available.
	Wait time.Duration
}

// Permit requests a permit from the runner's owners, in the order of their ranks. A host that
// reaches none of them grants itself permits from its part of isolatedShare.
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

// LimitShare is the share of a rate limit that one tracker may grant.
type LimitShare struct {
	Fraction float64
	// Phase is when a new limiter with a partial share grants its first permit, from 0 to 1 of
	// the interval between two permits. Without it, hosts that all start at the same moment
	// would each grant a permit at once.
	Phase float64
}

// fullLimit is the share of a tracker that enforces a limit alone.
var fullLimit = LimitShare{Fraction: 1}

// limitShare returns a share of a runner's limit, with the phase of this host.
func (g *Gate) limitShare(runner state.InstanceID, fraction float64) LimitShare {
	if fraction >= 1 {
		return fullLimit
	}
	return LimitShare{fraction, float64(xxhash.Sum64String(g.o.Self+runner.Name)) / (1 << 64)}
}

// askPermit requests a permit from one owner. An owner that times out is put into backoff. An
// owner that returns an error at once is not: the error costs little time, and the owner may be a
// host of a version without permits.
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

// Grant answers another host's request for a permit. It uses the rank with the smaller share,
// this host's own or the requested one, since the hosts' lists may differ for a moment.
func (g *Gate) Grant(req PermitRequest) Permit {
	rank := slices.Index(g.permitOwners(req.Runner), g.o.Self)
	if rank < 0 {
		rank = maxPermitOwners
	}
	return g.o.Tracker.Permit(req, g.limitShare(req.Runner, shareOfRank(max(rank, req.Rank))))
}

// shareOfRank returns the share of a limit that the owner of a rank may grant.
func shareOfRank(rank int) float64 {
	return math.Pow(nextRankShare, float64(max(0, min(rank, maxPermitOwners))))
}

// inBackoff reports whether the host is in backoff because it didn't answer.
func (g *Gate) inBackoff(host string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.o.Clock.Now().Before(g.backoffs[host].until)
}

// permitOwners returns the runner's owners by rank, which are the same at all hosts that know
// the same list.
func (g *Gate) permitOwners(runner state.InstanceID) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orderedHosts()
	ranked := rankOwners(runner.Name, g.ownerOrder.eligible)
	out := make([]string, 0, maxPermitOwners)
	for _, h := range ranked[:min(len(ranked), maxPermitOwners)] {
		out = append(out, h.Addr)
	}
	return out
}

// limiter records the permits that were granted of a runner's limit.
type limiter struct {
	// nextDue is when the permit after those granted is due if permits are used evenly.
	nextDue time.Time
	usedAt  time.Time
}

// Permit grants a permit of a share of the limit. Permits are evenly spaced in time, except for
// those saved within burstWindow. A new limiter has no saved permits.
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

// limiter returns the limiter of a runner, and creates it if there is none, with the first
// permit due after initialDelay; t.mu is held. Creating one removes the limiters that were idle
// for idleTTL.
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
