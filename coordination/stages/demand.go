package stages

import "time"

const (
	// sampleEvery and sampleMost bound the reports that are read, which are priced
	// as probes.
	sampleEvery = time.Second
	sampleMost  = 4
	// loadGain is the weight of a new sample: about ten seconds count. A gain of
	// 0.3 followed each swing of the mix, some seconds late, and cost a fifth of
	// the worth (docs/MEASUREMENTS.md).
	loadGain = 0.1
	// loadHigh is the load of the generating engines above which one more is
	// wanted, loadLow the one below which one less is. At 2 as many wait as run; at
	// 1 a change still cost more than it gained (docs/MEASUREMENTS.md). A
	// low load is no waste while prompts are read in time.
	loadHigh = 2.0
	loadLow  = 0.1
	// idleLoad and less is no traffic, which tells nothing of the mix.
	idleLoad = 0.02
	// holdAfter is how long a changed share stands: a change of role takes some
	// seconds, and its effect some more to show.
	holdAfter = 8 * time.Second
	// step is the part of a service's engines that changes at a time.
	step = 1.0 / 16
	// leastShare and mostShare bound the share that reads prompts.
	leastShare = 0.4
	mostShare  = 0.85
)

// demand turns samples of load into a share of engines.
type demand struct {
	share     float64
	load      float64
	sampledAt time.Time
	changedAt time.Time
	known     bool
}

func newDemand(share float64) *demand { return &demand{share: share} }

// due reports whether the next sample should be read.
func (d *demand) due(now time.Time) bool { return now.Sub(d.sampledAt) >= sampleEvery }

// note takes a sample of n engines' service and reports whether the share changed.
func (d *demand) note(now time.Time, load float64, n int) bool {
	d.sampledAt = now
	if load < idleLoad {
		return false
	}
	if !d.known {
		d.load, d.known, d.changedAt = load, true, now
	}
	d.load += loadGain * (load - d.load)
	if now.Sub(d.changedAt) < holdAfter {
		return false
	}
	width := max(step, 1/float64(n))
	switch {
	case d.load > loadHigh && d.share > leastShare:
		d.share -= width
	case d.load < loadLow && d.share < mostShare:
		d.share += width
	default:
		return false
	}
	d.changedAt = now
	return true
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
