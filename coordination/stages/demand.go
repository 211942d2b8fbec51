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
	// generatingLow is the load below which engines are taken to read prompts, step of
	// the service's at a time, if more than waitingSome of them wait: in the middle of
	// a burst the seconds without an engine cost more than it brings
	// (docs/MEASUREMENTS.md).
	generatingLow = 0.1
	waitingSome   = 0.3
	step          = 1.0 / 16
	// waitingLow prompts at an engine are read in time: an engine reads one in some
	// 28 ms, and four at a time still in a shortest objective of 120 ms.
	waitingLow = 4
	// idleLoad and less is no traffic, which tells nothing of the mix.
	idleLoad = 0.02
	// generatingGross is a load that no swing of the mix reaches on the standard days;
	// it is acted on after holdGross.
	generatingGross = 2
	holdGross       = 3 * time.Second
	// holdAfter is how long a changed share, or the first sample, stands: a change of
	// role takes some seconds, and its effect some more to show.
	holdAfter = 8 * time.Second
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
	share     float64
	mean      sample
	sampledAt time.Time
	// changedAt is when the share changed, or of the first sample.
	changedAt time.Time
	known     bool
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
	if s.generating < idleLoad && s.waiting == 0 {
		return false
	}
	if !d.known {
		d.mean, d.known, d.changedAt = s, true, now
	}
	d.mean.generating += sampleGain * (s.generating - d.mean.generating)
	d.mean.waiting += sampleGain * (s.waiting - d.mean.waiting)
	if now.Sub(d.changedAt) < d.hold() {
		return false
	}
	moved := d.wanted(n, reading)
	if moved == 0 {
		return false
	}
	d.share = float64(reading-moved) / float64(n)
	d.mean.generating *= float64(n-reading) / float64(n-reading+moved)
	d.changedAt, d.moved = now, true
	return true
}

// hold is how long the present share stands at least.
func (d *demand) hold() time.Duration {
	if !d.moved && d.mean.generating > generatingGross {
		return holdGross
	}
	return holdAfter
}

// wanted is the number of n engines, of which reading read prompts, that should leave
// that for generating; it is negative for the other way.
func (d *demand) wanted(n, reading int) int {
	generating := n - reading
	switch {
	case d.mean.generating > generatingHigh && d.mean.waiting < waitingLow:
		missing := math.Ceil(float64(generating) * (d.mean.generating/generatingWanted - 1))
		return max(0, min(int(missing), int(mostMoved*float64(reading)), reading-minEach))
	case d.mean.generating < generatingLow && d.mean.waiting > waitingSome:
		return -max(0, min(max(1, int(step*float64(n))), generating-minEach))
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
