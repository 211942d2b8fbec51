package route

import (
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// minIntervalTokens is the shortest answer whose time between tokens is learnt.
const minIntervalTokens = 8

// CacheEvent is an engine's own word that a prefix entered or left its cache.
type CacheEvent struct {
	Prefix uint64
	// Blocks is the number of blocks that the prefix is long; zero when unknown.
	Blocks  int
	Evicted bool
}

// RecordSent notes that a request was given to the chosen runner: its prompt's
// prefixes will be in that engine's cache. Call it once the request is counted in.
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

// RecordFirstToken learns how far a prediction was off, so that an engine that is
// slower than it says is found out.
func (r *Router) RecordFirstToken(runner string, predicted, actual time.Duration) {
	if st := r.currentStats(runner); st != nil {
		st.recordFirstToken(predicted, actual)
	}
}

// RecordDecode learns how long an engine took from the first token of an answer to
// the last, in a view of about that time.
func (r *Router) RecordDecode(v *snapshot.View, runner string, tokens int, took time.Duration) {
	st, n := r.currentStats(runner), v.Runner(runner)
	if st == nil || n == nil || tokens < minIntervalTokens || took <= 0 {
		return
	}
	inFlight := n.Track.Load().Plus(n.Peers).Requests
	st.recordInterval(r.clock.Now(), took.Seconds()/float64(tokens-1), float64(max(1, inFlight)))
}

// RecordLatency learns how long a call of a plain service took.
func (r *Router) RecordLatency(runner string, took time.Duration) {
	if st := r.currentStats(runner); st != nil {
		st.recordLatency(took)
	}
}

// ApplyCacheEvents takes over an engine's cache events in their order. With gap set
// some were lost: what was known of the engine's cache is void before them.
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
		case e.Evicted:
			r.prefixes.removeHolder(e.Prefix, st)
		default:
			r.prefixes.addHolder(e.Prefix, st)
		}
	}
}

// currentStats returns what is learnt of a runner, or nil before its first view.
func (r *Router) currentStats(runner string) *runnerStats {
	x := r.index.current.Load()
	if x == nil {
		return nil
	}
	return x.stats[runner]
}

// LongestCachedPrefix returns how many tokens of the prompt are thought to be cached
// somewhere, at most.
func (r *Router) LongestCachedPrefix(q *Query) int {
	s := r.scratch.Get().(*scratch)
	defer r.scratch.Put(s)
	most := 0
	for _, h := range r.prefixes.findHolders(q, s.matches[:0]) {
		most = max(most, h.tokens)
	}
	return most
}

// SpeedsAt returns what an engine does in its present role: prompt tokens a
// second, and the time between tokens in a batch.
func (r *Router) SpeedsAt(runner string, batch int) (prefillPerSecond float64, step time.Duration) {
	s := &r.defaultSpeeds
	if st := r.currentStats(runner); st != nil {
		s = st.speeds()
	}
	return s.PrefillTokensPerSecond, seconds(s.batchStepSeconds(float64(batch)))
}

// TokenInterval returns the time between tokens that callers see in a batch,
// with the prompts that are computed in between.
func (r *Router) TokenInterval(runner string, batch int) time.Duration {
	st := r.currentStats(runner)
	if st == nil {
		return seconds(r.defaultSpeeds.batchStepSeconds(float64(batch)))
	}
	s := st.speeds()
	return seconds(s.batchStepSeconds(min(float64(batch), s.MaxBatch)) * st.intervalBiasAt(r.clock.Now().UnixNano()))
}
