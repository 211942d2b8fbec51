package rebalance

import (
	"math"

	"github.com/thymerack/thymerack/state"
)

// Capacity is what engines of the three roles do together, in tokens a second.
// An engine of mixed role does either, in any proportion.
type Capacity struct {
	Prefill, Decode           float64
	MixedPrefill, MixedDecode float64
	// TokenInterval and MixedTokenInterval are the times between tokens in a full batch, in
	// seconds, on engines of the decode and of the mixed role.
	TokenInterval, MixedTokenInterval float64
}

// Speeds are what an engine does in one role, in tokens a second; Step is the
// time between tokens in a full batch, in seconds.
type Speeds struct{ Prefill, Decode, TokenInterval float64 }

// addEngines puts n engines of the role into the capacity; a negative n takes them out.
func (c *Capacity) addEngines(role state.Role, s Speeds, n float64) {
	switch role {
	case state.RolePrefill:
		c.Prefill += n * s.Prefill
	case state.RoleDecode:
		c.Decode += n * s.Decode
		c.TokenInterval = s.TokenInterval
	default:
		c.MixedPrefill += n * s.Prefill
		c.MixedDecode += n * s.Decode
		c.MixedTokenInterval = s.TokenInterval
	}
}

// maxUtilization stands for a capacity that can't serve the demand at all.
const maxUtilization = 100

// Utilization is the least share of the capacity that serves the demand, with
// the mixed engines' time divided in the best way; above 1 it can't be served.
func (c Capacity) Utilization(d Rates) float64 {
	low, high := 0.0, float64(maxUtilization)
	if !c.serves(d, high) {
		return high
	}
	for range 40 {
		middle := (low + high) / 2
		if c.serves(d, middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// serves reports whether a share u of the capacity serves the demand.
func (c Capacity) serves(d Rates, u float64) bool {
	if u <= 0 {
		return d.PrefillTokens <= 0 && d.DecodeTokens <= 0
	}
	return mixedTimeShare(d.PrefillTokens/u-c.Prefill, c.MixedPrefill)+mixedTimeShare(d.DecodeTokens/u-c.Decode, c.MixedDecode) <= 1
}

// mixedTimeShare is the part of the mixed engines' time that a rest of demand takes.
func mixedTimeShare(remaining, mixedCapacity float64) float64 {
	if remaining <= 0 {
		return 0
	}
	if mixedCapacity <= 0 {
		return math.Inf(1)
	}
	return remaining / mixedCapacity
}

// The shape of waiting.
const (
	// queueFreeUtilization is up to where queues don't matter.
	queueFreeUtilization = 0.75
	// onTimeShareAtFull is the share in time at a utilization of 1.
	onTimeShareAtFull = 0.9
)

// onTimeShareAt is the share of answers that a utilization leaves in time: all while
// queues are short, fewer as they grow, and beyond 1 what can be served.
func onTimeShareAt(utilization float64) float64 {
	switch {
	case utilization <= queueFreeUtilization:
		return 1
	case utilization <= 1:
		return 1 - (1-onTimeShareAtFull)*(utilization-queueFreeUtilization)/(1-queueFreeUtilization)
	default:
		return onTimeShareAtFull / utilization
	}
}

// minStepShare is the least share of a full batch's step that a step takes.
const minStepShare = 0.5

// OnTimeShare is the predicted share of the demand's answers in time. Requests that
// are mostly prefill depend on the capacity for it, the others on that for decode
// and on the time between tokens that their deadlines allow for; on mixed engines
// the prompts that are computed in between lengthen it.
func (c Capacity) OnTimeShare(d Rates) float64 {
	u := c.Utilization(d)
	switch {
	case u <= 0 || d.Requests <= 0:
		return 1
	case u >= maxUtilization:
		return 0
	}
	prefillTime, decodeTime := c.splitMixedTime(d, u)
	prefillLoad := boundedUtilization(d.PrefillTokens, c.Prefill+prefillTime*c.MixedPrefill)
	decodeLoad := boundedUtilization(d.DecodeTokens, c.Decode+decodeTime*c.MixedDecode)
	mixedDecodeShare := 0.0
	switch {
	case d.DecodeTokens <= 0:
	case c.Decode <= 0:
		mixedDecodeShare = 1
	default:
		mixedDecodeShare = decodeTime * c.MixedDecode / (c.Decode + decodeTime*c.MixedDecode)
	}
	stepShare := max(minStepShare, min(decodeLoad, 1))
	intervalsMet := (1 - mixedDecodeShare) * d.Budgets.shareAllowing(c.TokenInterval*stepShare)
	if mixedDecodeShare > 0 {
		freeTime := max(1-min(prefillLoad, 1)*prefillTime, 0.05)
		intervalsMet += mixedDecodeShare * d.Budgets.shareAllowing(c.MixedTokenInterval*stepShare/freeTime)
	}
	prefillRequestShare := min(d.PrefillRequests/d.Requests, 1)
	return prefillRequestShare*onTimeShareAt(prefillLoad) + (1-prefillRequestShare)*onTimeShareAt(decodeLoad)*intervalsMet
}

// splitMixedTime returns the parts of the mixed engines' time for prefill and for decode
// that make both equally busy, as far as they can.
func (c Capacity) splitMixedTime(d Rates, u float64) (prefillTime, decodeTime float64) {
	prefillTime = mixedTimeShare(d.PrefillTokens/u-c.Prefill, c.MixedPrefill)
	decodeTime = mixedTimeShare(d.DecodeTokens/u-c.Decode, c.MixedDecode)
	if sum := prefillTime + decodeTime; sum > 0 {
		return prefillTime / sum, decodeTime / sum
	}
	return 0.5, 0.5
}

// boundedUtilization is a demand by a capacity, bounded.
func boundedUtilization(demand, capacity float64) float64 {
	if demand <= 0 {
		return 0
	}
	if capacity*maxUtilization <= demand {
		return maxUtilization
	}
	return demand / capacity
}
