package route

import "sync"

// Layout of the prefix index: shards with a lock each, which hold buckets of a few
// entries.
const (
	bucketEntries = 4
	shardCount    = 64
	// The index keeps the first denseBlocks prefixes of a prompt and from there on
	// every sparseInterval-th one. So a long prompt takes few entries, and the length
	// of a cached prefix is underestimated by at most sparseInterval-1 blocks.
	denseBlocks    = 8
	sparseInterval = 8
	// linearSteps is the number of shorter prefixes that are searched one by one
	// for more holders; after them the step doubles each time.
	linearSteps = 4
)

// trackedCount returns how many of n prefixes the index keeps.
func trackedCount(n int) int {
	if n <= denseBlocks {
		return n
	}
	return denseBlocks + (n-denseBlocks)/sparseInterval
}

// trackedPosition returns the position of the k-th tracked prefix among all
// prefixes of a prompt.
func trackedPosition(k int) int {
	if k < denseBlocks {
		return k
	}
	return denseBlocks + (k-denseBlocks+1)*sparseInterval - 1
}

// isTracked reports whether the index keeps the prefix at position i of a prompt.
func isTracked(i int) bool {
	return i < denseBlocks || (i-denseBlocks+1)%sparseInterval == 0
}

// prefixMatch is the longest prefix of a prompt that a runner holds.
type prefixMatch struct {
	stats  *runnerStats
	tokens int // length of the prefix
}

// holder is a runner that holds a prefix, valid for one generation of its cache.
type holder struct {
	stats      *runnerStats
	generation uint32
}

// valid reports whether the runner's cache is still of the same generation.
func (h holder) valid() bool {
	return h.stats != nil && h.stats.cacheGeneration.Load() == h.generation
}

// prefixEntry lists the holders of one prefix, most recent first.
type prefixEntry struct {
	prefix   uint64
	lastUsed uint64 // clock of the shard at the last access; 0 for an empty entry
	holders  [maxHolders]holder
}

type prefixBucket [bucketEntries]prefixEntry

// prefixIndex is a bounded, set-associative index from prompt prefixes to the engines
// that hold them in their KV cache. A new entry replaces the least recently used one
// of its bucket. All memory is allocated at the start.
type prefixIndex struct {
	shards [shardCount]prefixShard
}

type prefixShard struct {
	mu      sync.Mutex
	clock   uint64 // number of accesses so far
	buckets []prefixBucket
}

// newPrefixIndex returns an index for about the given number of prefixes.
func newPrefixIndex(entries int) *prefixIndex {
	c := &prefixIndex{}
	per := max(1, entries/(shardCount*bucketEntries))
	for i := range c.shards {
		c.shards[i].buckets = make([]prefixBucket, per)
	}
	return c
}

// locate returns the shard and bucket of a prefix. The hash is mixed first, since
// engines may number prefixes in any way.
func (c *prefixIndex) locate(prefix uint64) (*prefixShard, *prefixBucket) {
	h := prefix * 0x9e3779b97f4a7c15
	h ^= h >> 32
	s := &c.shards[h%shardCount]
	return s, &s.buckets[(h/shardCount)%uint64(len(s.buckets))]
}

// findHolders appends the holders of q's prefixes, longest prefix first, each with the
// longest prefix it holds. The longest tracked one is found by bisection, since a
// holder of a prefix also holds all shorter ones.
func (c *prefixIndex) findHolders(q *Query, out []prefixMatch) []prefixMatch {
	low, high := 0, trackedCount(len(q.Prefixes)) // low is the number of the longest prefix found so far, counted from 1
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

// addPrompt records that the runner will hold the tracked prefixes of a prompt.
func (c *prefixIndex) addPrompt(prefixes []uint64, st *runnerStats) {
	for k := range trackedCount(len(prefixes)) {
		c.addHolder(prefixes[trackedPosition(k)], st)
	}
}

// appendHolders appends the holders of the prefix at position i of q that aren't in
// out yet.
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

func contains(matches []prefixMatch, st *runnerStats) bool {
	for _, m := range matches {
		if m.stats == st {
			return true
		}
	}
	return false
}

// addHolder records that the runner holds the prefix.
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

// removeHolder records that the runner no longer holds the prefix.
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

// entry returns the entry of a prefix, or nil.
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

// addHolder puts the holder first. It replaces the runner's earlier holder, the first
// invalid one, or else the oldest one.
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
