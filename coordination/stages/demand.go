package stages

import (
	"math"
	"time"
)

const (
	// sampleEvery and sampleMost bound the reports that are read, of each role, which
	// are priced as probes: four a second in all.
	sampleInterval    = 1500 * time.Millisecond
	maxSamplesPerRole = 3
	// sampleGain is the weight of a new sample: about ten seconds count. A gain of
	// 0.3 a second followed each swing of the mix, some seconds late, and cost a
	// fifth of the worth (docs/MEASUREMENTS.md).
	sampleWeight = 0.15
	// generatingHigh is the load of the generating engines above which more are
	// wanted if prompts don't wait: on the standard days it stays below 1, also in
	// phases of long answers, and where answers are mostly long it passes 2.
	decodeLoadHigh = 1.2
	// generatingWanted is the load that a change aims at.
	decodeLoadTarget = 0.8
	// generatingRoom is the load that the engines which are left to generate may have at
	// the peak that was seen lately, and spareShare the part of all engines that is kept
	// beside them for those that may be lost, rounded up. Of the others as many again read
	// prompts, if more than waitingSome of them wait at an engine: what was seen for some
	// seconds isn't the mix of a day.
	maxPeakDecodeLoad = 0.4
	spareFraction     = 1.0 / 16
	significantQueue  = 0.3
	// peakDecay is what is left of a peak at the next look: half after ten seconds, the
	// time between two bursts on today's sheets.
	peakDecayPerSample = 0.9
	// waitingLow prompts at an engine are read in time: an engine reads one in some
	// 28 ms, and four at a time still in a shortest objective of 120 ms.
	acceptableQueue = 4
	// idleLoad and less is no traffic, which tells nothing of the mix.
	idleLoad = 0.02
	// loadedFrom is the load of the generating engines from which the split matters: a
	// tenth of their places; so do prompts that wait.
	significantDecodeLoad = 0.1
	// generatingGross is a load that no swing of the mix reaches on the standard days.
	decodeOverload = 2
	// holdAfter is how long a changed share stands: a change of role takes some seconds,
	// and its effect some more to show. holdFirst is how long the first one does, from
	// the first sample, unless engines that read would be taken for less than a gross
	// load.
	changeCooldown  = 8 * time.Second
	initialCooldown = 3 * time.Second
	// mostMoved is the part of the engines that read prompts which one change takes.
	maxMovedFraction = 0.5
)

// sample is the state of a service's engines at one look.
type loadSample struct {
	// generating is how full the engines that generate are; above 1 requests wait.
	decodeLoad float64
	// waiting is the number of prompts that wait at an engine that reads.
	queuedPrompts float64
}

// demand turns samples into the share of engines that read prompts.
type shareEstimator struct {
	share float64
	mean  loadSample
	// peak is the highest load of the generating engines lately, as if there were one.
	peakDecodeLoad float64
	sampledAt      time.Time
	// changedAt is when the share changed, or of the first sample.
	changedAt time.Time
	sampled   bool
	// most is the largest number of engines of late, last seen at mostAt.
	recentMax   int
	recentMaxAt time.Time
	// loaded is set once a load was seen for which the split matters.
	loadSeen bool
	// moved is set once the share has changed.
	shareChanged bool
}

func newShareEstimator(share float64) *shareEstimator { return &shareEstimator{share: share} }

// due reports whether the next sample should be read.
func (d *shareEstimator) due(now time.Time) bool { return now.Sub(d.sampledAt) >= sampleInterval }

// note takes a sample of a service with n engines, of which reading read prompts,
// and reports whether the share changed.
func (d *shareEstimator) addSample(now time.Time, s loadSample, n, prefill int) bool {
	d.sampledAt = now
	d.loadSeen = d.loadSeen || s.decodeLoad >= significantDecodeLoad || s.queuedPrompts > significantQueue
	if s.decodeLoad < idleLoad && s.queuedPrompts == 0 {
		return false
	}
	if !d.sampled {
		d.mean, d.sampled, d.changedAt = s, true, now
	}
	d.mean.decodeLoad += sampleWeight * (s.decodeLoad - d.mean.decodeLoad)
	d.mean.queuedPrompts += sampleWeight * (s.queuedPrompts - d.mean.queuedPrompts)
	d.peakDecodeLoad = max(d.peakDecodeLoad*peakDecayPerSample, s.decodeLoad*float64(n-prefill))
	toMove := d.enginesToMove(n, prefill)
	if toMove == 0 || now.Sub(d.changedAt) < d.cooldown(toMove) {
		return false
	}
	d.share = float64(prefill-toMove) / float64(n)
	d.mean.decodeLoad *= float64(n-prefill) / float64(n-prefill+toMove)
	d.changedAt, d.shareChanged = now, true
	return true
}

// inUse is how many of n engines the recent peak of generation fills, but no more than
// generated before engines were lost, nor than half of those that are left. When engines are
// lost, so many of the rest go on generating whatever the share says: answers under way take
// seconds, and callers whose questions find no slot are refused, while prompts that wait are
// read late. A whole fleet is divided by the share alone.
func (d *shareEstimator) decodeEnginesInUse(n int) int {
	decodeBeforeLoss := d.recentMax - PrefillTarget(d.recentMax, d.share)
	return min(int(math.Ceil(d.peakDecodeLoad)), decodeBeforeLoss, n/2)
}

// noteSize notes the number of engines.
func (d *shareEstimator) recordEngineCount(n int, now time.Time) {
	if n >= d.recentMax || now.Sub(d.recentMaxAt) >= lossWindow {
		d.recentMax, d.recentMaxAt = n, now
	}
}

// lossLasts is how long engines that are missing count as lost; later the fleet is as it is.
const lossWindow = 30 * time.Second

// hold is how long the present share stands at least against a wish to move engines.
func (d *shareEstimator) cooldown(toMove int) time.Duration {
	if d.shareChanged || (toMove > 0 && d.mean.decodeLoad <= decodeOverload) {
		return changeCooldown
	}
	return initialCooldown
}

// wanted is the number of n engines, of which reading read prompts, that should leave
// that for generating; it is negative for the other way.
func (d *shareEstimator) enginesToMove(n, prefill int) int {
	decode := n - prefill
	switch {
	case d.mean.decodeLoad > decodeLoadHigh && d.mean.queuedPrompts < acceptableQueue:
		missing := math.Ceil(float64(decode) * (d.mean.decodeLoad/decodeLoadTarget - 1))
		return max(0, min(int(missing), int(maxMovedFraction*float64(prefill)), prefill-minPerRole))
	case d.mean.queuedPrompts > significantQueue:
		spare := int(math.Ceil(spareFraction * float64(n)))
		needed := int(math.Ceil(d.peakDecodeLoad/maxPeakDecodeLoad)) + spare
		return -max(0, min(decode-max(needed, minPerRole), spare))
	default:
		return 0
	}
}

// load is how full an engine is, by requests or by memory; above 1 some wait.
func (r Report) load(slots int) float64 {
	load := 0.0
	if slots > 0 {
		load = float64(r.Active+r.Queued) / float64(slots)
	}
	if r.KVTotal > 0 {
		load = max(load, float64(r.KVUsed)/float64(r.KVTotal))
	}
	return load
}
