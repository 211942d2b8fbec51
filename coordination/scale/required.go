package scale

import (
	"math"

	"github.com/thymerack/thymerack/state"
)

const (
	// maxPrefillUtilization is the utilization of the prefill engines at the peak. A prompt goes to
	// the least loaded of four engines. For random choices and exponential times the mean wait is
	// then 0.13 of a prefill at 0.6, 0.42 at 0.8 and 0.78 at 0.9. The four engines of a session
	// are fixed and sessions differ in load, so waits are longer than that. At 0.6 the mean stays
	// below one prefill (60 to 350 ms), which leaves time for objectives of 500 ms and more.
	maxPrefillUtilization = 0.6
	// maxBatchShare is the share of the slots of decode engines that is used at the peak. A step
	// grows with its batch. At half of 128 slots, the several tokens of an event take well below
	// the longest pause of 400 ms.
	maxBatchShare = 0.5
	// maxMemoryShare is the share of the memory of decode engines that is reserved at the peak. A
	// single prompt takes up to a twentieth of it, engines are filled unevenly, and an engine whose
	// requests exceed its memory crashes.
	maxMemoryShare = 0.6
	// lossShare is the share of the engines of each role, rounded up, that may crash at once in
	// addition to a reclaim of spot runners, for which Plan has a reserve. It is that of
	// stages.spareFraction.
	lossShare = 1.0 / 16
	// minPerRole is the minimum number of engines of each role, so that one crash leaves another.
	minPerRole = 2
	// floorShare is the part of the configured number below which the required number never falls:
	// no summary shows demand that has not arrived yet. With three failure domains Plan adds half of
	// the required number in spot runners, so 0.6 of the configured number serves. If that number
	// carries the highest demand at maxPrefillUtilization, this demand brings 0.6 of it to a
	// utilization of 1: queues don't grow while further runners boot.
	floorShare = 0.4
)

// roleCounts is the number of engines of each role.
type roleCounts struct{ prefill, decode int }

// engineCounts returns the number of engines that carry the demand.
func engineCounts(d demand, spec state.EngineSpec) roleCounts {
	decode := 0.0
	if spec.Slots > 0 {
		decode = d.decoding / (maxBatchShare * float64(spec.Slots))
	}
	if spec.KVTokens > 0 {
		decode = max(decode, d.decodeTokens/(maxMemoryShare*float64(spec.KVTokens)))
	}
	return roleCounts{withReserve(d.prefill / maxPrefillUtilization), withReserve(decode)}
}

// withReserve returns a number of engines of one role with the reserve for crashes.
func withReserve(engines float64) int {
	n := math.Ceil(engines)
	return max(minPerRole, int(n+math.Ceil(lossShare*n)))
}

// prefillShare returns the share of prefill engines that divides the total exactly.
func (n roleCounts) prefillShare() float64 {
	return float64(n.prefill) / float64(n.prefill+n.decode)
}

// total returns the number of engines of which the given share leaves enough for each role. A role
// that needs no more than minPerRole gets these at any share.
func (n roleCounts) total(prefillShare float64) int {
	const rounding = 1e-9 // keeps an exact division from being rounded up
	out := n.prefill + n.decode
	if n.prefill > minPerRole {
		out = max(out, int(math.Ceil(float64(n.prefill)/prefillShare-rounding)))
	}
	if n.decode > minPerRole {
		out = max(out, int(math.Ceil(float64(n.decode)/(1-prefillShare)-rounding)))
	}
	return out
}

// floorOf returns the lowest required number at a configured number.
func floorOf(configured int) int {
	return min(configured, max(2*minPerRole, int(math.Ceil(floorShare*float64(configured)))))
}
