package route

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// reportHalfLife is the age at which a report counts as much as the counts of
// this host and its peers.
const reportHalfLife = 500 * time.Millisecond

// scoreCandidates fills in the candidates' backlogs; the scorers do the rest.
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

// estimateLoad works out the backlog from two lagging sources: the report, brought
// forward to now, and what this host and its peers count in flight. The older
// the report, the less it counts.
func (c *Candidate) estimateLoad(now int64) {
	r := c.Runner
	c.speeds = c.stats.speeds()
	c.intervalBias = c.stats.intervalBiasAt(now)
	counted := r.Track.Load()
	c.InFlight = float64(max(0, counted.Requests+r.Peers.Requests))
	c.BacklogTokens = float64(max(0, counted.PrefillTokens+r.Peers.PrefillTokens))
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

// predictSeconds returns the time to the first token and to the last, in seconds.
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

// prefillSeconds is how long the backlog and the prompt take. A mixed engine with
// a batch goes on decoding between the chunks of a prompt.
func (c *Candidate) prefillSeconds(q *Query) float64 {
	todo := c.BacklogTokens + c.uncachedTokens(q)
	t := todo / c.speeds.PrefillTokensPerSecond
	if c.InFlight >= 1 && c.decodes() {
		t += todo / c.speeds.ChunkTokens * c.speeds.batchStepSeconds(min(c.InFlight, c.speeds.MaxBatch))
	}
	return t
}

func (c *Candidate) uncachedTokens(q *Query) float64 {
	return max(1, float64(q.PromptTokens)-c.creditedTokens)
}

// decodes reports whether the engine may have a batch.
func (c *Candidate) decodes() bool { return c.Runner.Target.Role != state.RolePrefill }

// batchWaitSeconds is the time until a full batch has room, if answers like this one
// leave it evenly.
func (c *Candidate) batchWaitSeconds(q *Query, step float64) float64 {
	over := c.InFlight + 1 - c.speeds.MaxBatch
	if over <= 0 {
		return 0
	}
	return over / c.speeds.MaxBatch * float64(q.ExpectedOutput) * step
}

// decodeSeconds is the time from the first token to the last. What waits to be
// prefilled is computed between the steps, a chunk in each.
func (c *Candidate) decodeSeconds(q *Query, step float64) float64 {
	n := float64(max(0, q.ExpectedOutput-1))
	t := n * step * c.intervalBias
	if q.Part == PartDecode {
		t += min(c.BacklogTokens, n*c.speeds.ChunkTokens) / c.speeds.PrefillTokensPerSecond
	}
	return t
}

// othersDelaySeconds is by how many seconds the request delays those in the batch,
// added up: its prompt is computed between their steps, and a larger batch has
// longer steps.
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
