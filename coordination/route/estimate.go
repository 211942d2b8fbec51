package route

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// reportHalfLife is the age at which a load report weighs as much as the in-flight
// counts of this host and its peers.
const reportHalfLife = 500 * time.Millisecond

// scoreCandidates estimates the load of each candidate and runs the scorers.
func (r *Router) scoreCandidates(cs []Candidate, q *Query, now time.Time, kind state.UpstreamKind) {
	nano := now.UnixNano()
	for i := range cs {
		cs[i].estimateLoad(nano)
	}
	scorers := r.engineScorers
	if kind == state.KindService {
		scorers = r.serviceScorers
	}
	for _, s := range scorers {
		s.Score(q, cs)
	}
}

// estimateLoad sets BacklogTokens and InFlight from two lagging sources: the last
// load report, extrapolated to now (Unix time in ns), and the work that this host
// and its peers count in flight. The weight of the report falls with its age.
func (c *Candidate) estimateLoad(now int64) {
	r := c.Runner
	c.speeds = c.stats.speeds()
	c.intervalBias = c.stats.intervalBiasAt(now)
	counted := r.InFlight.Load()
	c.InFlight = float64(max(0, counted.Requests+r.PeerWork.Requests))
	c.BacklogTokens = float64(max(0, counted.PrefillTokens+r.PeerWork.PrefillTokens))
	if r.Kind == state.KindService || r.Load.TakenAt.IsZero() {
		return
	}
	taken := r.Load.TakenAt.UnixNano()
	age := max(0, now-taken)
	weight := float64(reportHalfLife) / float64(int64(reportHalfLife)+age)
	requests, prefill := c.stats.sentSince(taken)
	remaining := max(0, float64(r.Load.PrefillBacklogTokens)-c.speeds.PrefillTokensPerSecond*float64(age)/1e9)
	c.BacklogTokens += weight * (remaining + float64(prefill) - c.BacklogTokens)
	c.InFlight += weight * (float64(r.Load.DecodeRunning+requests) - c.InFlight)
}

// predictSeconds returns the time from now to the first and to the last token.
func (c *Candidate) predictSeconds(q *Query) (first, finish float64) {
	step := c.speeds.batchStepSeconds(min(c.InFlight+1, c.speeds.MaxBatch))
	if q.Part == PartDecode {
		first = float64(q.PromptTokens)/c.speeds.TransferTokensPerSecond + step
	} else {
		first = c.prefillSeconds(q) + step
	}
	if q.Part != PartPrefill {
		first += c.batchWaitSeconds(q, step)
	}
	first *= c.stats.slowdown.Load()
	finish = first
	if q.Part != PartPrefill {
		finish += c.decodeSeconds(q, step)
	}
	return first, finish
}

// prefillSeconds returns the time to compute the backlog and the prompt. A mixed
// engine with running sequences runs a decode step after each chunk of a prompt.
func (c *Candidate) prefillSeconds(q *Query) float64 {
	todo := c.BacklogTokens + c.uncachedTokens(q)
	t := todo / c.speeds.PrefillTokensPerSecond
	if c.InFlight >= 1 && c.decodes() {
		t += todo / c.speeds.ChunkTokens * c.speeds.batchStepSeconds(min(c.InFlight, c.speeds.MaxBatch))
	}
	return t
}

// uncachedTokens returns the number of prompt tokens that must be computed.
func (c *Candidate) uncachedTokens(q *Query) float64 {
	return max(1, float64(q.PromptTokens)-c.creditedTokens)
}

// decodes reports whether the engine may have sequences to decode.
func (c *Candidate) decodes() bool { return c.Runner.Target.Role != state.RolePrefill }

// batchWaitSeconds returns the time until a full batch has room, on the assumption
// that its sequences have the length of this one and end evenly spread.
func (c *Candidate) batchWaitSeconds(q *Query, step float64) float64 {
	over := c.InFlight + 1 - c.speeds.MaxBatch
	if over <= 0 {
		return 0
	}
	return over / c.speeds.MaxBatch * float64(q.ExpectedOutput) * step
}

// decodeSeconds returns the time from the first token to the last. For PartDecode it
// includes the prefill backlog that is computed between the steps, at most a chunk
// in each.
func (c *Candidate) decodeSeconds(q *Query, step float64) float64 {
	n := float64(max(0, q.ExpectedOutput-1))
	t := n * step * c.intervalBias
	if q.Part == PartDecode {
		t += min(c.BacklogTokens, n*c.speeds.ChunkTokens) / c.speeds.PrefillTokensPerSecond
	}
	return t
}

// othersDelaySeconds returns the delay that the request causes to the running
// sequences, summed over them: its prompt is computed between their steps, and each
// further sequence makes the steps longer.
func (c *Candidate) othersDelaySeconds(q *Query) float64 {
	n := min(c.InFlight, c.speeds.MaxBatch)
	var delay float64
	if q.Part != PartDecode && c.decodes() {
		delay += n * c.uncachedTokens(q) / c.speeds.PrefillTokensPerSecond
	}
	if q.Part != PartPrefill && n < c.speeds.MaxBatch {
		delay += n * c.speeds.StepSecondsPerSequence * float64(q.ExpectedOutput)
	}
	return delay
}
