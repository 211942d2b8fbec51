package route

import (
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// minPaceTokens is the shortest answer whose time between tokens is learnt.
const minPaceTokens = 8

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
	l := r.known(c.Runner.Name)
	if l == nil {
		return
	}
	prefill := int64(0)
	if q.Part != PartDecode {
		prefill = int64(max(0, q.PromptTokens-c.CachedTokens))
	}
	l.sent(r.clock.Now(), prefill)
	r.cache.add(q.Prefixes, l)
}

// RecordFirstToken learns how far a prediction was off, so that an engine that is
// slower than it says is found out.
func (r *Router) RecordFirstToken(runner string, predicted, actual time.Duration) {
	if l := r.known(runner); l != nil {
		l.firstToken(predicted, actual)
	}
}

// RecordDecode learns how long an engine took from the first token of an answer to
// the last, in a view of about that time.
func (r *Router) RecordDecode(v *snapshot.View, runner string, tokens int, took time.Duration) {
	l, n := r.known(runner), v.Runner(runner)
	if l == nil || n == nil || tokens < minPaceTokens || took <= 0 {
		return
	}
	inFlight := n.Track.Load().Plus(n.Peers).Requests
	l.decoded(r.clock.Now(), took.Seconds()/float64(tokens-1), float64(max(1, inFlight)))
}

// RecordLatency learns how long a call of a plain service took.
func (r *Router) RecordLatency(runner string, took time.Duration) {
	if l := r.known(runner); l != nil {
		l.answered(took)
	}
}

// ApplyCacheEvents takes over an engine's cache events in their order. With gap set
// some were lost: what was known of the engine's cache is void before them.
func (r *Router) ApplyCacheEvents(engine string, gap bool, events []CacheEvent) {
	l := r.known(engine)
	if l == nil {
		return
	}
	if gap {
		l.generation.Add(1)
	}
	for _, e := range events {
		switch {
		case e.Blocks > 0 && !isTracked(e.Blocks-1):
		case e.Evicted:
			r.cache.drop(e.Prefix, l)
		default:
			r.cache.put(e.Prefix, l)
		}
	}
}

// known returns what is learnt of a runner, or nil before its first view.
func (r *Router) known(runner string) *learnt {
	x := r.index.current.Load()
	if x == nil {
		return nil
	}
	return x.learnt[runner]
}

// LongestCachedPrefix returns how many tokens of the prompt are thought to be cached
// somewhere, at most.
func (r *Router) LongestCachedPrefix(q *Query) int {
	s := r.scratch.Get().(*scratch)
	defer r.scratch.Put(s)
	most := 0
	for _, h := range r.cache.find(q, s.holders[:0]) {
		most = max(most, h.tokens)
	}
	return most
}

// SpeedsAt returns what an engine does in its present role: prompt tokens a
// second, and the time between tokens in a batch.
func (r *Router) SpeedsAt(runner string, batch int) (prefillPerSecond float64, step time.Duration) {
	s := &r.defaults
	if l := r.known(runner); l != nil {
		s = l.speeds()
	}
	return s.PrefillTokensPerSecond, seconds(s.step(float64(batch)))
}

// TokenInterval returns the time between tokens that callers see in a batch,
// with the prompts that are computed in between.
func (r *Router) TokenInterval(runner string, batch int) time.Duration {
	l := r.known(runner)
	if l == nil {
		return seconds(r.defaults.step(float64(batch)))
	}
	s := l.speeds()
	return seconds(s.step(min(float64(batch), s.MaxBatch)) * l.paceAt(r.clock.Now().UnixNano()))
}
