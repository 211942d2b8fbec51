package scale

import (
	"time"

	"github.com/thymerack/thymerack/coordination/fleetload"
)

const (
	// minTrafficTime is the time of traffic that all owners must have reported before a fall.
	minTrafficTime = 3 * time.Second
	// trafficGap is the time without traffic after which traffic counts as new.
	trafficGap = fleetload.MaxAge
	// fallInterval is the least time between two falls, and the time for which a lower number must
	// have been enough before a fall other than the first. minSaving is the share of the runners
	// that a fall must save: sessions whose engine leaves lose the cached parts of their prompts.
	fallInterval = 10 * time.Second
	minSaving    = 1.0 / 8
	// changeMargin is added to the needed number at each change, as a share, so that a demand that
	// grows by little causes few requests.
	changeMargin = 1.0 / 16
)

// The reasons why a number of runners was kept or changed, for logs and Status.
const (
	reasonNoSummary  = "no summary of the load"
	reasonStale      = "summary is too old"
	reasonUnanswered = "under half of the owners answered"
	reasonNoRoles    = "division into roles not known"
	reasonNoTraffic  = "no traffic measured"
	reasonRise       = "demand needs more"
	reasonFall       = "demand needs fewer"
)

// sizer computes the required number of runners of a service from summaries of the load.
type sizer struct {
	// configured is the upper bound and the number before work was measured; required is the
	// present number.
	configured, required int
	// lastChange is the reason of the last change of required; empty if there was none.
	lastChange string
	// waitForWindow reports whether a fall must wait until the demand of a whole peakWindow is
	// known. Only the first fall of a deployment needn't: caches are cold then, and a later fall
	// would lose them.
	waitForWindow bool
	history       demandHistory
	division      division
	// counts is the number of engines by the last usable summary. takenAt is when that summary was
	// taken, and answered its share of owners.
	counts   roleCounts
	takenAt  time.Time
	answered float64
	// trafficSince is the start of the present traffic, and lastTrafficAt its latest sample.
	// completeSince is the time since which all owners answered with traffic; zero if they don't.
	trafficSince, lastTrafficAt, completeSince time.Time
	// lowSince is the time since which a lower number is enough, and lowest that number.
	lowSince time.Time
	lowest   int
	// shortSince and shortAt are the start and the latest observation of a shortage of spot runners.
	shortSince, shortAt time.Time
}

// addSummary records a summary, and returns why it can't be used, or "".
func (z *sizer) addSummary(s *fleetload.Summary, service string, now time.Time) string {
	reason := z.check(s, now)
	if reason != "" {
		z.completeSince, z.lowSince = time.Time{}, time.Time{}
		return reason
	}
	if !s.TakenAt.After(z.takenAt) {
		return z.trafficReason()
	}
	z.takenAt, z.answered = s.TakenAt, s.Answered
	d := demandOf(s, service)
	if d.idle() {
		z.completeSince = time.Time{}
		return z.trafficReason()
	}
	if z.trafficSince.IsZero() || s.TakenAt.Sub(z.lastTrafficAt) > trafficGap {
		z.trafficSince = s.TakenAt
	}
	z.lastTrafficAt = s.TakenAt
	switch {
	case s.Answered < 1:
		z.completeSince = time.Time{}
	case z.completeSince.IsZero():
		z.completeSince = s.TakenAt
	}
	z.history.add(s.TakenAt, d)
	return ""
}

// check returns why a summary can't be used, or "".
func (z *sizer) check(s *fleetload.Summary, now time.Time) string {
	switch {
	case s == nil:
		return reasonNoSummary
	case now.Sub(s.TakenAt) > fleetload.MaxAge:
		return reasonStale
	case s.Answered < fleetload.MinAnswered:
		return reasonUnanswered
	}
	return ""
}

// trafficReason returns reasonNoTraffic if no traffic was measured of late, or "".
func (z *sizer) trafficReason() string {
	if z.lastTrafficAt.IsZero() || z.takenAt.Sub(z.lastTrafficAt) > trafficGap {
		return reasonNoTraffic
	}
	return ""
}

// noteShortage records whether spot runners are missing: the platform has none, or they don't boot.
// A request that is being repeated doesn't end a shortage.
func (z *sizer) noteShortage(short bool, now time.Time) {
	switch {
	case short && z.shortSince.IsZero():
		z.shortSince, z.shortAt = now, now
	case short:
		z.shortAt = now
	case now.Sub(z.shortAt) > spotRetryInterval+pollInterval:
		z.shortSince = time.Time{}
	}
}

// decide changes the required number by the number that the demand needs, and returns the reason, or
// "" if the number stays. divisionAllows reports whether the division into roles allows a fall.
func (z *sizer) decide(needed int, divisionAllows bool, now time.Time) string {
	if max(needed, floorOf(z.configured)) > z.required && z.required < z.configured {
		z.required, z.lowSince = z.withMargin(needed), time.Time{}
		return reasonRise
	}
	z.trackLower(z.withMargin(needed), now)
	if !divisionAllows || !z.mayFall(now) {
		return ""
	}
	z.required, z.lowSince, z.waitForWindow = z.lowest, time.Time{}, true
	return reasonFall
}

// withMargin returns the number to change to if needed runners are needed, within the bounds.
func (z *sizer) withMargin(needed int) int {
	return min(z.configured, max(floorOf(z.configured), needed+int(changeMargin*float64(needed))))
}

// trackLower records for how long a lower number has been enough.
func (z *sizer) trackLower(n int, now time.Time) {
	switch {
	case float64(z.required-n) < minSaving*float64(z.required):
		z.lowSince = time.Time{}
	case z.lowSince.IsZero():
		z.lowSince, z.lowest = now, n
	default:
		z.lowest = max(z.lowest, n)
	}
}

// mayFall reports whether the required number may fall. A shortage of spot runners delays a fall for
// as long as the peak of the demand before it counts.
func (z *sizer) mayFall(now time.Time) bool {
	switch {
	case z.lowSince.IsZero():
		return false
	case z.completeSince.IsZero() || z.takenAt.Sub(z.completeSince) < minTrafficTime:
		return false
	case z.waitForWindow && (z.takenAt.Sub(z.trafficSince) < peakWindow || now.Sub(z.lowSince) < fallInterval):
		return false
	}
	return z.shortSince.IsZero() || now.Sub(z.shortSince) >= peakWindow
}
