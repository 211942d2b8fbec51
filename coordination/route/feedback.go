package route

import (
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// minIntervalTokens is the length of the shortest answer whose time between tokens
// is sampled.
const minIntervalTokens = 8

// CacheEvent is an engine's notice that a prefix was added to or evicted from its
// KV cache.
type CacheEvent struct {
	Prefix uint64
	// Blocks is the length of the prefix in blocks; zero if unknown.
	Blocks  int
	Evicted bool
}

// RecordSent records that a request was sent to the chosen runner, whose cache will
// hold the prompt's prefixes. It must be called after the request has been added to
// the runner's InFlight.
func (r *Router) RecordSent(q *Query, c *Choice) {
	st := r.currentStats(c.Runner.Name)
	if st == nil {
		return
	}
	prefill := int64(0)
	if q.Part != PartDecode {
		prefill = int64(max(0, q.PromptTokens-c.CachedTokens))
	}
	st.recordSent(r.clock.Now(), prefill)
	r.prefixes.addPrompt(q.Prefixes, st)
}

// RecordFirstToken records a predicted and the actual time to the first token, so
// that an engine that is slower than it reports is detected.
func (r *Router) RecordFirstToken(runner string, predicted, actual time.Duration) {
	if st := r.currentStats(runner); st != nil {
		st.recordFirstToken(predicted, actual)
	}
}

// RecordDecode records how long an engine took from the first token of an answer to
// the last. The view must be of about that time: it gives the engine's load.
func (r *Router) RecordDecode(v *snapshot.View, runner string, tokens int, took time.Duration) {
	st, viewed := r.currentStats(runner), v.Runner(runner)
	if st == nil || viewed == nil || tokens < minIntervalTokens || took <= 0 {
		return
	}
	inFlight := viewed.InFlight.Load().Plus(viewed.PeerWork).Requests
	st.recordInterval(r.clock.Now(), took.Seconds()/float64(tokens-1), float64(max(1, inFlight)))
}

// RecordLatency records how long a call of a plain service took.
func (r *Router) RecordLatency(runner string, took time.Duration) {
	if st := r.currentStats(runner); st != nil {
		st.recordLatency(took)
	}
}

// ApplyCacheEvents applies an engine's cache events in their order. With gap set,
// events before these were lost, and all earlier index entries of the engine are
// invalidated.
func (r *Router) ApplyCacheEvents(engine string, gap bool, events []CacheEvent) {
	st := r.currentStats(engine)
	if st == nil {
		return
	}
	if gap {
		st.cacheGeneration.Add(1)
	}
	for _, e := range events {
		switch {
		case e.Blocks > 0 && !isTracked(e.Blocks-1):
			// The index doesn't keep this prefix.
		case e.Evicted:
			r.prefixes.removeHolder(e.Prefix, st)
		default:
			r.prefixes.addHolder(e.Prefix, st)
		}
	}
}

// currentStats returns the statistics of a runner, or nil if no index contains it yet.
func (r *Router) currentStats(runner string) *runnerStats {
	x := r.index.current.Load()
	if x == nil {
		return nil
	}
	return x.stats[runner]
}

// LongestCachedPrefix returns the largest number of prompt tokens that any one engine
// is estimated to have cached.
func (r *Router) LongestCachedPrefix(q *Query) int {
	s := r.scratch.Get().(*scratch)
	defer r.scratch.Put(s)
	most := 0
	for _, m := range r.prefixes.findHolders(q, s.matches[:0]) {
		most = max(most, m.tokens)
	}
	return most
}

// SpeedsAt returns the speeds of an engine in its present role, as it reports them:
// prompt tokens per second, and the time between tokens in a batch of that size.
func (r *Router) SpeedsAt(runner string, batch int) (prefillPerSecond float64, step time.Duration) {
	s := &r.defaultSpeeds
	if st := r.currentStats(runner); st != nil {
		s = st.speeds()
	}
	return s.PrefillTokensPerSecond, seconds(s.batchStepSeconds(float64(batch)))
}

// TokenInterval returns the time between tokens as callers see it in a batch of that
// size, which includes the time for prompts that are computed between the steps.
func (r *Router) TokenInterval(runner string, batch int) time.Duration {
	st := r.currentStats(runner)
	if st == nil {
		return seconds(r.defaultSpeeds.batchStepSeconds(float64(batch)))
	}
	s := st.speeds()
	return seconds(s.batchStepSeconds(min(float64(batch), s.MaxBatch)) * st.intervalBiasAt(r.clock.Now().UnixNano()))
}
