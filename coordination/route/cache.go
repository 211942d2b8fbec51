package route

import "sync"

// The shape of the cache index: buckets of a few entries, each guarded by the
// lock of its shard.
const (
	bucketEntries = 4
	shardCount    = 64
	// Prompts are known by their first denseBlocks prefixes and from there on
	// by every sparseBlocks-th only: a long prompt takes few entries, and at
	// most sparseBlocks-1 blocks of a cached prefix aren't seen.
	denseBlocks    = 8
	sparseInterval = 8
	// linearSteps is how many shorter prefixes are looked at one by one for more
	// holders; from there on the steps double.
	linearSteps = 4
)

// trackedCount is the number of prefixes, of n, that the index keeps.
func trackedCount(n int) int {
	if n <= denseBlocks {
		return n
	}
	return denseBlocks + (n-denseBlocks)/sparseInterval
}

// trackedPosition is the place in the list of prefixes of the k-th tracked one.
func trackedPosition(k int) int {
	if k < denseBlocks {
		return k
	}
	return denseBlocks + (k-denseBlocks+1)*sparseInterval - 1
}

// isTracked reports whether the index keeps the i-th prefix of a prompt.
func isTracked(i int) bool {
	return i < denseBlocks || (i-denseBlocks+1)%sparseInterval == 0
}

// prefixMatch says how many prompt tokens a runner is thought to have cached.
type prefixMatch struct {
	stats  *runnerStats
	tokens int
}

// holder is a runner that held a prefix in one generation of its cache.
type holder struct {
	stats      *runnerStats
	generation uint32
}

func (h holder) valid() bool {
	return h.stats != nil && h.stats.cacheGeneration.Load() == h.generation
}

// prefixEntry is what is known of one prefix.
type prefixEntry struct {
	prefix   uint64
	lastUsed uint64
	holders  [maxHolders]holder
}

type prefixBucket [bucketEntries]prefixEntry

// prefixIndex is a bounded index from prompt prefixes to the engines that hold
// them. It is set-associative: within a bucket the least recently used entry is
// replaced. Its memory is allocated once.
type prefixIndex struct {
	shards [shardCount]prefixShard
}

type prefixShard struct {
	mu      sync.Mutex
	clock   uint64
	buckets []prefixBucket
}

func newPrefixIndex(entries int) *prefixIndex {
	c := &prefixIndex{}
	per := max(1, entries/(shardCount*bucketEntries))
	for i := range c.shards {
		c.shards[i].buckets = make([]prefixBucket, per)
	}
	return c
}

// locate returns the shard and bucket of a prefix. The hash is mixed first,
// since engines may number prefixes in any way.
func (c *prefixIndex) locate(prefix uint64) (*prefixShard, *prefixBucket) {
	h := prefix * 0x9e3779b97f4a7c15
	h ^= h >> 32
	s := &c.shards[h%shardCount]
	return s, &s.buckets[(h/shardCount)%uint64(len(s.buckets))]
}

// findHolders appends the holders of the longest prefixes of q, each with the longest
// prefix it holds. A holder of a prefix holds all shorter ones, so the longest
// known one is found by bisection.
func (c *prefixIndex) findHolders(q *Query, out []prefixMatch) []prefixMatch {
	low, high := 0, trackedCount(len(q.Prefixes)) // the longest known one is number low
	for low < high {
		middle := (low + high + 1) / 2
		i := trackedPosition(middle - 1)
		found := c.appendHolders(q, i, out)
		if len(found) > len(out) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	step := 1
	for k := low; k > 0 && len(out) < maxHolders; k -= step {
		i := trackedPosition(k - 1)
		out = c.appendHolders(q, i, out)
		if k <= low-linearSteps {
			step *= 2
		}
	}
	return out
}

// addPrompt notes that the runner is going to hold the prompt's prefixes.
func (c *prefixIndex) addPrompt(prefixes []uint64, st *runnerStats) {
	for k := range trackedCount(len(prefixes)) {
		c.addHolder(prefixes[trackedPosition(k)], st)
	}
}

// appendHolders appends the holders of the i-th prefix of q.
func (c *prefixIndex) appendHolders(q *Query, i int, out []prefixMatch) []prefixMatch {
	prefix := q.Prefixes[i]
	s, b := c.locate(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := b.entry(prefix)
	if e == nil {
		return out
	}
	s.clock++
	e.lastUsed = s.clock
	tokens := q.prefixTokens(i)
	for _, h := range e.holders {
		if len(out) < maxHolders && h.valid() && !contains(out, h.stats) {
			out = append(out, prefixMatch{h.stats, tokens})
		}
	}
	return out
}

func contains(hs []prefixMatch, st *runnerStats) bool {
	for _, h := range hs {
		if h.stats == st {
			return true
		}
	}
	return false
}

// addHolder notes that the runner holds the prefix; the newest holder comes first.
func (c *prefixIndex) addHolder(prefix uint64, st *runnerStats) {
	s, b := c.locate(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock++
	e := b.entry(prefix)
	if e == nil {
		e = b.leastRecentlyUsed()
		*e = prefixEntry{prefix: prefix}
	}
	e.lastUsed = s.clock
	e.addHolder(holder{st, st.cacheGeneration.Load()})
}

// removeHolder notes that the runner no longer holds the prefix.
func (c *prefixIndex) removeHolder(prefix uint64, st *runnerStats) {
	s, b := c.locate(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := b.entry(prefix)
	if e == nil {
		return
	}
	for i := range e.holders {
		if e.holders[i].stats == st {
			e.holders[i] = holder{}
		}
	}
}

func (b *prefixBucket) entry(prefix uint64) *prefixEntry {
	for i := range b {
		if b[i].lastUsed > 0 && b[i].prefix == prefix {
			return &b[i]
		}
	}
	return nil
}

func (b *prefixBucket) leastRecentlyUsed() *prefixEntry {
	e := &b[0]
	for i := range b {
		if b[i].lastUsed < e.lastUsed {
			e = &b[i]
		}
	}
	return e
}

func (e *prefixEntry) addHolder(h holder) {
	at := len(e.holders) - 1
	for i := range e.holders {
		if e.holders[i].stats == h.stats || !e.holders[i].valid() {
			at = i
			break
		}
	}
	copy(e.holders[1:at+1], e.holders[:at])
	e.holders[0] = h
}
