package scale

import (
	"math"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// maxDeviation is the difference between the wanted and the observed share of prefill engines
	// from which the roles don't follow. Below it no role is ordered, since each order makes an
	// engine unavailable for 3 s; stages.minDemandChange is the same.
	maxDeviation = 1.0 / 8
	// followTime is how long the roles may take to follow: package stages changes them at most
	// every 30 s by the demand, waits until surplus runners drain and the deviation has lasted for
	// 3 s each, and an engine changes its role in 3 s.
	followTime = 45 * time.Second
	// shareTolerance is a difference between two observed shares that is taken for chance (a crash,
	// a restart, a runner that has just booted), and shareTime how long a larger one must last.
	shareTolerance = 0.05
	shareTime      = 15 * time.Second
)

// division is the division of a service's engines into roles.
type division struct {
	// observed is the present share of prefill engines, 0 if it isn't known. share is the lasting
	// one, 0 until it is known, and changedSince the time since which observed differs from it.
	observed, share float64
	changedSince    time.Time
	// deviatesSince is the time since which observed differs from the wanted share.
	deviatesSince time.Time
}

// observe records the observed share.
func (d *division) observe(observed float64, now time.Time) {
	d.observed = observed
	switch {
	case observed == 0:
	case d.share == 0:
		d.share = observed
	case math.Abs(observed-d.share) <= shareTolerance:
		d.changedSince = time.Time{}
	case d.changedSince.IsZero():
		d.changedSince = now
	case now.Sub(d.changedSince) >= shareTime:
		d.share, d.changedSince = observed, time.Time{}
	}
}

// needed returns the number of engines that leaves enough for both roles. If the division follows the
// demand, the sum of both roles is enough, unless the roles haven't followed in time. It returns
// true if the number may fall: not while the roles are still to follow and the present division
// would leave a role too few of the planned runners, reserve included.
func (d *division) needed(counts roleCounts, follows bool, spec state.ScaleSpec, now time.Time) (n int, mayFall bool) {
	if !follows {
		return counts.total(d.share), true
	}
	n = counts.prefill + counts.decode
	if d.observed == 0 || math.Abs(d.observed-counts.prefillShare()) < maxDeviation {
		d.deviatesSince = time.Time{}
		return n, d.observed > 0
	}
	if d.deviatesSince.IsZero() {
		d.deviatesSince = now
	}
	if now.Sub(d.deviatesSince) >= followTime {
		return counts.total(d.share), true
	}
	planned := float64(Plan(Requirements{Spec: spec, Runners: n}).total())
	return n, d.observed*planned >= float64(counts.prefill) && (1-d.observed)*planned >= float64(counts.decode)
}

// observedPrefillShare returns the share of prefill engines among the serving engines that have one
// of the two roles. It returns 0 if under half of the engines have one, or if a role has none.
func observedPrefillShare(instances []state.Instance) float64 {
	prefill, decode, serving := 0, 0, 0
	for i := range instances {
		if instances[i].Draining {
			continue
		}
		serving++
		switch instances[i].Role {
		case state.RolePrefill:
			prefill++
		case state.RoleDecode:
			decode++
		}
	}
	if prefill == 0 || decode == 0 || 2*(prefill+decode) < serving {
		return 0
	}
	return float64(prefill) / float64(prefill+decode)
}
