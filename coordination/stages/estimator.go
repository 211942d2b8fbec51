package stages

import (
	"math"
	"time"
)

const (
	// sampleInterval and maxSamplesPerRole bound the engine reports that are fetched per service
	// to four a second for both roles together. The platform bills a report like a probe.
	sampleInterval    = 1500 * time.Millisecond
	maxSamplesPerRole = 3
	// sampleWeight is the weight of a new sample in the moving averages, which thus cover about
	// the last ten seconds. A weight of 0.3 a second followed each swing of the workload mix,
	// some seconds late, and lost a fifth of the goodput, the credited answers that are delivered
	// in time (docs/MEASUREMENTS.md).
	sampleWeight = 0.15
	// decodeLoadHigh is the mean load of the decode engines above which more of them are needed,
	// unless prompts queue as well. On a typical day the load stays below 1, also in phases of
	// long answers. Where most answers are long it exceeds 2.
	decodeLoadHigh = 1.2
	// decodeLoadTarget is the load of the decode engines that a move to decode aims at.
	decodeLoadTarget = 0.8
	// maxPeakDecodeLoad is the load that the remaining decode engines may have at the recent
	// peak after a move to prefill. spareFraction of all engines, rounded up, stays in decode in
	// addition, to replace engines that may be lost. It also bounds how many decode engines one
	// change moves to prefill: a few seconds of samples may not represent the mix of the whole
	// day.
	maxPeakDecodeLoad = 0.4
	spareFraction     = 1.0 / 16
	// significantQueue is the mean number of queued prompts per prefill engine above which
	// engines are moved to prefill.
	significantQueue = 0.3
	// peakDecayPerSample is the factor by which the recorded peak decays with each sample. It
	// halves a peak in ten seconds, the time between two bursts in the deployments that the
	// system serves today.
	peakDecayPerSample = 0.9
	// acceptableQueue is the number of queued prompts per prefill engine that are still computed
	// in time: a prompt takes about 28 ms, so four take less than the shortest latency objective
	// of 120 ms.
	acceptableQueue = 4
	// idleLoad is the decode load below which a sample without queued prompts is ignored:
	// without traffic it says nothing about the mix.
	idleLoad = 0.02
	// significantDecodeLoad is the load of the decode engines, as a fraction of their slots,
	// from which the split matters. It also matters if more than significantQueue prompts are
	// queued.
	significantDecodeLoad = 0.1
	// decodeOverload is a decode load that no swing of the mix reaches on a typical day. Above it
	// the first change to decode waits only for initialCooldown.
	decodeOverload = 2
	// changeCooldown is how long a changed share is kept at least: a role change takes some
	// seconds, and its effect on the load some more. initialCooldown is the time from the first
	// sample to the first change, unless that change moves engines to decode at a load of at
	// most decodeOverload: then changeCooldown applies.
	changeCooldown  = 8 * time.Second
	initialCooldown = 3 * time.Second
	// maxMovedFraction is the largest fraction of the prefill engines that one change moves to
	// decode.
	maxMovedFraction = 0.5
)

// loadSample is the load of a service's engines at one time.
type loadSample struct {
	// decodeLoad is the mean load of the sampled decode engines. Requests queue above 1.
	decodeLoad float64
	// queuedPrompts is the mean number of queued prompts per sampled prefill engine.
	queuedPrompts float64
}

// shareEstimator computes the fraction of a service's engines that should do prefill from load
// samples.
type shareEstimator struct {
	// share is the current estimate, between 0 and 1. mean holds moving averages of the samples.
	share float64
	mean  loadSample
	// peakDecodeLoad is the recent peak of the total decode load, in fully loaded engines.
	peakDecodeLoad float64
	sampledAt      time.Time
	// changedAt is the time of the last change of share, or of the first sample.
	changedAt time.Time
	// sampled reports whether a sample with traffic was added.
	sampled bool
	// recentMax is the largest number of engines within lossWindow, last observed at
	// recentMaxAt.
	recentMax   int
	recentMaxAt time.Time
	// loadSeen reports whether a load was sampled for which the split matters.
	loadSeen bool
	// shareChanged reports whether share has changed since the estimator was created.
	shareChanged bool
}

func newShareEstimator(share float64) *shareEstimator { return &shareEstimator{share: share} }

// due reports whether sampleInterval has passed since the last sample.
func (e *shareEstimator) due(now time.Time) bool { return now.Sub(e.sampledAt) >= sampleInterval }

// addSample adds a sample of a service with n engines, prefill of which do prefill, and
// reports whether the share changed.
func (e *shareEstimator) addSample(now time.Time, s loadSample, n, prefill int) bool {
	e.sampledAt = now
	e.loadSeen = e.loadSeen || s.decodeLoad >= significantDecodeLoad || s.queuedPrompts > significantQueue
	if s.decodeLoad < idleLoad && s.queuedPrompts == 0 {
		return false
	}
	if !e.sampled {
		e.mean, e.sampled, e.changedAt = s, true, now
	}
	e.mean.decodeLoad += sampleWeight * (s.decodeLoad - e.mean.decodeLoad)
	e.mean.queuedPrompts += sampleWeight * (s.queuedPrompts - e.mean.queuedPrompts)
	e.peakDecodeLoad = max(e.peakDecodeLoad*peakDecayPerSample, s.decodeLoad*float64(n-prefill))
	toMove := e.enginesToMove(n, prefill)
	if toMove == 0 || now.Sub(e.changedAt) < e.cooldown(toMove) {
		return false
	}
	e.share = float64(prefill-toMove) / float64(n)
	e.mean.decodeLoad *= float64(n-prefill) / float64(n-prefill+toMove)
	e.changedAt, e.shareChanged = now, true
	return true
}

// decodeEnginesInUse returns how many of the n remaining engines must stay in decode after
// engines were lost, whatever the share says: as many as the recent peak of decode load fills,
// but no more than did decode before the loss, and at most half of n. Running answers hold
// their slots for seconds, and requests that find no decode slot are refused, while queued
// prompts are only delayed. Without a loss the share alone divides the engines.
func (e *shareEstimator) decodeEnginesInUse(n int) int {
	decodeBeforeLoss := e.recentMax - PrefillTarget(e.recentMax, e.share)
	return min(int(math.Ceil(e.peakDecodeLoad)), decodeBeforeLoss, n/2)
}

// recordEngineCount records the current number of engines, so that decodeEnginesInUse detects
// a loss.
func (e *shareEstimator) recordEngineCount(n int, now time.Time) {
	if n >= e.recentMax || now.Sub(e.recentMaxAt) >= lossWindow {
		e.recentMax, e.recentMaxAt = n, now
	}
}

// lossWindow is how long missing engines count as lost. After it the remaining engines are
// taken as the normal size of the service.
const lossWindow = 30 * time.Second

// cooldown returns the minimum age of the present share before it may change so that toMove
// engines leave prefill.
func (e *shareEstimator) cooldown(toMove int) time.Duration {
	if e.shareChanged || (toMove > 0 && e.mean.decodeLoad <= decodeOverload) {
		return changeCooldown
	}
	return initialCooldown
}

// enginesToMove returns how many engines should move from prefill to decode, given n engines,
// prefill of which do prefill. A negative number is a move from decode to prefill.
func (e *shareEstimator) enginesToMove(n, prefill int) int {
	decode := n - prefill
	switch {
	case e.mean.decodeLoad > decodeLoadHigh && e.mean.queuedPrompts < acceptableQueue:
		missing := math.Ceil(float64(decode) * (e.mean.decodeLoad/decodeLoadTarget - 1))
		return max(0, min(int(missing), int(maxMovedFraction*float64(prefill)), prefill-minPerRole))
	case e.mean.queuedPrompts > significantQueue:
		spare := int(math.Ceil(spareFraction * float64(n)))
		needed := int(math.Ceil(e.peakDecodeLoad/maxPeakDecodeLoad)) + spare
		return -max(0, min(decode-max(needed, minPerRole), spare))
	default:
		return 0
	}
}

// load returns the load of an engine by its requests per slot or by its KV memory, whichever
// is higher. Requests queue above 1.
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
