package stages

import (
	"math"
	"time"
)

const (
	// sampleEvery and sampleMost bound the reports that are read, of each role, which
	// are priced as probes: four a second in all.
	sampleEvery = 1500 * time.Millisecond
	sampleMost  = 3
	// sampleGain is the weight of a new sample: about ten seconds count. A gain of
	// 0.3 a second followed each swing of the mix, some seconds late, and cost a
	// fifth of the worth (docs/MEASUREMENTS.md).
	sampleGain = 0.15
	// generatingHigh is the load of the generating engines above which more are
	// wanted if prompts don't wait: on the standard days it stays below 1, also in
	// phases of long answers, and where answers are mostly long it passes 2.
	generatingHigh = 1.2
	// generatingWanted is the load that a change aims at.
	generatingWanted = 0.8
	// generatingRoom is the load that the engines which are left to generate may have at
	// the peak that was seen lately, and spareShare the part of all engines that is kept
	// beside them for those that may be lost, rounded up. Of the others as many again read
	// prompts, if more than waitingSome of them wait at an engine: what was seen for some
	// seconds isn't the mix of a day.
	generatingRoom = 0.4
	spareShare     = 1.0 / 16
	waitingSome    = 0.3
	// peakDecay is what is left of a peak at the next look: half after ten seconds, the
	// time between two bursts on today's sheets.
	peakDecay = 0.9
	// waitingLow prompts at an engine are read in time: an engine reads one in some
	// 28 ms, and four at a time still in a shortest objective of 120 ms.
	waitingLow = 4
	// idleLoad and less is no traffic, which tells nothing of the mix.
	idleLoad = 0.02
	// loadedFrom is the load of the generating engines from which the split matters: a
	// tenth of their places; so do prompts that wait.
	loadedFrom = 0.1
	// generatingGross is a load that no swing of the mix reaches on the standard days.
	generatingGross = 2
	// holdAfter is how long a changed share stands: a change of role takes some seconds,
	// and its effect some more to show. holdFirst is how long the first one does, from
	// the first sample, unless engines that read would be taken for less than a gross
	// load.
	holdAfter = 8 * time.Second
	holdFirst = 3 * time.Second
	// mostMoved is the part of the engines that read prompts which one change takes.
	mostMoved = 0.5
)

// sample is the state of a service's engines at one look.
type sample struct {
	// generating is how full the engines that generate are; above 1 requests wait.
	generating float64
	// waiting is the number of prompts that wait at an engine that reads.
	waiting float64
}

// demand turns samples into the share of engines that read prompts.
type demand struct {
	share float64
	mean  sample
	// peak is the highest load of the generating engines lately, as if there were one.
	peak      float64
	sampledAt time.Time
	// changedAt is when the share changed, or of the first sample.
	changedAt time.Time
	known     bool
	// most is the largest number of engines of late, last seen at mostAt.
	most   int
	mostAt time.Time
	// loaded is set once a load was seen for which the split matters.
	loaded bool
	// moved is set once the share has changed.
	moved bool
}

func newDemand(share float64) *demand { return &demand{share: share} }

// due reports whether the next sample should be read.
func (d *demand) due(now time.Time) bool { return now.Sub(d.sampledAt) >= sampleEvery }

// note takes a sample of a service with n engines, of which reading read prompts,
// and reports whether the share changed.
func (d *demand) note(now time.Time, s sample, n, reading int) bool {
	d.sampledAt = now
	d.loaded = d.loaded || s.generating >= loadedFrom || s.waiting > waitingSome
	if s.generating < idleLoad && s.waiting == 0 {
		return false
	}
	if !d.known {
		d.mean, d.known, d.changedAt = s, true, now
	}
	d.mean.generating += sampleGain * (s.generating - d.mean.generating)
	d.mean.waiting += sampleGain * (s.waiting - d.mean.waiting)
	d.peak = max(d.peak*peakDecay, s.generating*float64(n-reading))
	moved := d.wanted(n, reading)
	if moved == 0 || now.Sub(d.changedAt) < d.hold(moved) {
		return false
	}
	d.share = float64(reading-moved) / float64(n)
	d.mean.generating *= float64(n-reading) / float64(n-reading+moved)
	d.changedAt, d.moved = now, true
	return true
}

// inUse is how many of n engines the recent peak of generation fills, but no more than
// generated before engines were lost, nor than half of those that are left. When engines are
// lost, so many of the rest go on generating whatever the share says: answers under way take
// seconds, and callers whose questions find no slot are refused, while prompts that wait are
// read late. A whole fleet is divided by the share alone.
func (d *demand) inUse(n int) int {
	before := d.most - Target(d.most, d.share)
	return min(int(math.Ceil(d.peak)), before, n/2)
}

// noteSize notes the number of engines.
func (d *demand) noteSize(n int, now time.Time) {
	if n >= d.most || now.Sub(d.mostAt) >= lossLasts {
		d.most, d.mostAt = n, now
	}
}

// lossLasts is how long engines that are missing count as lost; later the fleet is as it is.
const lossLasts = 30 * time.Second

// hold is how long the present share stands at least against a wish to move engines.
func (d *demand) hold(moved int) time.Duration {
	if d.moved || (moved > 0 && d.mean.generating <= generatingGross) {
		return holdAfter
	}
	return holdFirst
}

// wanted is the number of n engines, of which reading read prompts, that should leave
// that for generating; it is negative for the other way.
func (d *demand) wanted(n, reading int) int {
	generating := n - reading
	switch {
	case d.mean.generating > generatingHigh && d.mean.waiting < waitingLow:
		missing := math.Ceil(float64(generating) * (d.mean.generating/generatingWanted - 1))
		return max(0, min(int(missing), int(mostMoved*float64(reading)), reading-minEach))
	case d.mean.waiting > waitingSome:
		spare := int(math.Ceil(spareShare * float64(n)))
		needed := int(math.Ceil(d.peak/generatingRoom)) + spare
		return -max(0, min(generating-max(needed, minEach), spare))
	default:
		return 0
	}
}

// load is how full an engine is, by requests or by memory; above 1 some wait.
func (r Report) load(slots int) float64 {
	out := 0.0
	if slots > 0 {
		out = float64(r.Active+r.Queued) / float64(slots)
	}
	if r.KVTotal > 0 {
		out = max(out, float64(r.KVUsed)/float64(r.KVTotal))
	}
	return out
}
