package rebalance

import (
	"math"

	"github.com/thymerack/thymerack/state"
)

// Capacity is the total throughput of a service's engines by role, in tokens per
// second. MixedPrefill and MixedDecode are alternatives: mixed engines divide
// their time between prefill and decode in any proportion.
type Capacity struct {
	Prefill, Decode           float64
	MixedPrefill, MixedDecode float64
	// TokenInterval and MixedTokenInterval are the times between two output tokens
	// of a request in a full batch, in seconds, on engines of the decode and of the
	// mixed role.
	TokenInterval, MixedTokenInterval float64
}

// Speeds is the throughput of one engine in one role, in tokens per second.
// TokenInterval is the time between two output tokens of a request in a full
// batch, in seconds.
type Speeds struct{ Prefill, Decode, TokenInterval float64 }

// addEngines adds n engines of the role to the capacity; a negative n removes
// them.
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

// maxUtilization bounds a utilization; it also stands for a capacity that can't
// serve the demand at all.
const maxUtilization = 100

// Utilization returns the smallest share of the capacity that serves the demand,
// with the time of the mixed engines divided optimally between prefill and
// decode; above 1 the demand can't be served. It is found by bisection.
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

// serves reports whether the share u of the capacity serves the demand.
func (c Capacity) serves(d Rates, u float64) bool {
	if u <= 0 {
		return d.PrefillTokens <= 0 && d.DecodeTokens <= 0
	}
	return mixedTimeShare(d.PrefillTokens/u-c.Prefill, c.MixedPrefill)+mixedTimeShare(d.DecodeTokens/u-c.Decode, c.MixedDecode) <= 1
}

// mixedTimeShare returns the share of the mixed engines' time that is needed for
// the demand that remains beyond the other engines' capacity; infinite if there
// are no mixed engines.
func mixedTimeShare(remaining, mixedCapacity float64) float64 {
	if remaining <= 0 {
		return 0
	}
	if mixedCapacity <= 0 {
		return math.Inf(1)
	}
	return remaining / mixedCapacity
}

// The effect of queueing on deadlines, used by onTimeShareAt.
const (
	// queueFreeUtilization is the utilization up to which queues are short enough
	// for all requests to meet their deadline.
	queueFreeUtilization = 0.75
	// onTimeShareAtFull is the share of requests that meet their deadline at a
	// utilization of 1.
	onTimeShareAtFull = 0.9
)

// onTimeShareAt returns the share of requests that meet their deadline at a
// utilization: all while queues are short, linearly fewer as queues grow, and
// beyond 1 in proportion to the part of the demand that can be served.
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

// minStepShare is the duration of a decode step with an almost empty batch, as a
// share of that with a full batch.
const minStepShare = 0.5

// OnTimeShare predicts the share of the arriving requests that meet their
// deadline. For requests that are mostly prefill it depends on the utilization of
// the prefill capacity. For the others it depends on the utilization of the
// decode capacity and on the token interval that their deadlines allow; on mixed
// engines the token interval grows with the prefill work done between two steps.
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
		// The lower bound of 0.05 keeps the token interval finite.
		freeTime := max(1-min(prefillLoad, 1)*prefillTime, 0.05)
		intervalsMet += mixedDecodeShare * d.Budgets.shareAllowing(c.MixedTokenInterval*stepShare/freeTime)
	}
	prefillRequestShare := min(d.PrefillRequests/d.Requests, 1)
	return prefillRequestShare*onTimeShareAt(prefillLoad) + (1-prefillRequestShare)*onTimeShareAt(decodeLoad)*intervalsMet
}

// splitMixedTime returns the shares of the mixed engines' time for prefill and
// for decode that bring both to the utilization u as far as possible. They sum to
// 1; half each if the mixed engines aren't needed.
func (c Capacity) splitMixedTime(d Rates, u float64) (prefillTime, decodeTime float64) {
	prefillTime = mixedTimeShare(d.PrefillTokens/u-c.Prefill, c.MixedPrefill)
	decodeTime = mixedTimeShare(d.DecodeTokens/u-c.Decode, c.MixedDecode)
	if sum := prefillTime + decodeTime; sum > 0 {
		return prefillTime / sum, decodeTime / sum
	}
	return 0.5, 0.5
}

// boundedUtilization returns demand / capacity, at most maxUtilization.
func boundedUtilization(demand, capacity float64) float64 {
	if demand <= 0 {
		return 0
	}
	if capacity*maxUtilization <= demand {
		return maxUtilization
	}
	return demand / capacity
}
