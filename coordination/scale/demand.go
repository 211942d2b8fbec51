package scale

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/fleetload"
)

const (
	// peakWindow is how long a peak of the demand counts. A burst lasts 5.5 s, which is little more
	// than the second until it is observed and the boot of 4 s, so runners that are ordered for a
	// burst serve the next one. Bursts and swaps of the kinds (every 2.8 s and every 14 s) recur
	// within the window.
	peakWindow = 30 * time.Second
	// burstFactor times the median demand is required even before a burst was observed: a kind that
	// makes up half of the work and arrives at 2.6 times its rate raises the whole to 1.8 times. The
	// median isn't raised by a burst that is shorter than half of the window; a mean would count
	// the burst twice.
	burstFactor = 1.8
	// trendWindow is the length of the two periods that are compared for the trend; they fit into
	// peakWindow. minTrendSamples is the number of samples that each of them must have, and
	// trendQuantile the quantile that is compared: a burst, with samples that it fills in part,
	// takes up to 7 of 12 s and would raise their median.
	trendWindow     = 12 * time.Second
	minTrendSamples = 6
	trendQuantile   = 0.4
	// observeTime is the time until a change of the demand shows in a summary.
	observeTime = time.Second
	// minSampleInterval bounds the history: samples that are closer are merged.
	minSampleInterval = 500 * time.Millisecond
)

// demand is the work of a service's engines.
type demand struct {
	// prefill is the prefill work, in engines that it keeps busy.
	prefill float64
	// decoding is the number of requests that decode, and decodeTokens the memory that is reserved
	// for them, in tokens.
	decoding, decodeTokens float64
}

// demandOf returns the demand of a service, the sum over all failure domains.
func demandOf(s *fleetload.Summary, service string) demand {
	var out demand
	for _, d := range s.Domains {
		if d.Service == service {
			out.prefill += d.Prefill
			out.decoding += float64(d.Decoding)
			out.decodeTokens += float64(d.DecodeTokens)
		}
	}
	return out
}

// idle reports whether there is no work.
func (d demand) idle() bool { return d.prefill <= 0 && d.decoding <= 0 }

// combine applies f to each field of two demands.
func combine(a, b demand, f func(a, b float64) float64) demand {
	return demand{f(a.prefill, b.prefill), f(a.decoding, b.decoding), f(a.decodeTokens, b.decodeTokens)}
}

// maxDemand returns the higher value of each field.
func maxDemand(a, b demand) demand {
	return combine(a, b, func(a, b float64) float64 { return max(a, b) })
}

// demandSample is the demand at one time.
type demandSample struct {
	at time.Time
	demand
}

// demandHistory holds the demand of the last peakWindow, at most one sample per minSampleInterval.
type demandHistory struct{ samples []demandSample }

// add records the demand of a summary that was taken at the given time, and drops samples that are
// older than peakWindow.
func (h *demandHistory) add(at time.Time, d demand) {
	if n := len(h.samples); n > 0 && at.Sub(h.samples[n-1].at) < minSampleInterval {
		h.samples[n-1].demand = maxDemand(h.samples[n-1].demand, d)
		return
	}
	h.samples = append(h.samples, demandSample{at, d})
	h.samples = slices.DeleteFunc(h.samples, func(s demandSample) bool { return at.Sub(s.at) > peakWindow })
}

// peak returns the highest demand in the history.
func (h *demandHistory) peak() demand {
	var out demand
	for _, s := range h.samples {
		out = maxDemand(out, s.demand)
	}
	return out
}

// expected returns the demand that must be carried after lead, the time in which further runners
// boot: the peak, or a burst on the median if that is higher, plus the upward trend until then.
func (h *demandHistory) expected(lead time.Duration) demand {
	if len(h.samples) == 0 {
		return demand{}
	}
	now := h.samples[len(h.samples)-1].at
	median, _ := h.quantile(now.Add(-peakWindow), now, 0.5)
	out := combine(h.peak(), median, func(peak, median float64) float64 { return max(peak, burstFactor*median) })
	recent, n := h.quantile(now.Add(-trendWindow), now, trendQuantile)
	earlier, m := h.quantile(now.Add(-2*trendWindow), now.Add(-trendWindow), trendQuantile)
	if n < minTrendSamples || m < minTrendSamples {
		return out
	}
	periods := (lead + observeTime).Seconds() / trendWindow.Seconds()
	growth := combine(recent, earlier, func(recent, earlier float64) float64 { return max(0, recent-earlier) * periods })
	return combine(out, growth, func(a, b float64) float64 { return a + b })
}

// quantile returns the q quantile of the samples after from up to to, each field by itself, and the
// number of samples.
func (h *demandHistory) quantile(from, to time.Time, q float64) (demand, int) {
	var prefill, decoding, tokens []float64
	for _, s := range h.samples {
		if s.at.After(from) && !s.at.After(to) {
			prefill, decoding, tokens = append(prefill, s.prefill), append(decoding, s.decoding), append(tokens, s.decodeTokens)
		}
	}
	return demand{quantileOf(prefill, q), quantileOf(decoding, q), quantileOf(tokens, q)}, len(prefill)
}

// quantileOf sorts the values and returns the q quantile; 0 if there are none.
func quantileOf(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)))]
}
