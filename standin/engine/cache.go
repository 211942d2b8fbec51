package engine

import (
	"container/list"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of prompt tokens in one block of the prefix cache.
const BlockTokens = 64

// Prefixes returns the hash of each prefix of text that is a whole number of
// blocks. The hash of a block is xxhash64 of the previous prefix's hash (eight
// bytes, little-endian; zero for the first) followed by the block's words, each
// with a space after it.
func Prefixes(text string) []uint64 {
	words := strings.Fields(text)
	hashes := make([]uint64, 0, len(words)/BlockTokens)
	var previous [8]byte
	digest := xxhash.New()
	for len(words) >= BlockTokens {
		digest.Reset()
		_, _ = digest.Write(previous[:])
		for _, w := range words[:BlockTokens] {
			_, _ = digest.WriteString(w)
			_, _ = digest.WriteString(" ")
		}
		sum := digest.Sum64()
		hashes = append(hashes, sum)
		binary.LittleEndian.PutUint64(previous[:], sum)
		words = words[BlockTokens:]
	}
	return hashes
}

// cacheChange tells that a prefix entered or left the cache.
type cacheChange struct {
	prefix  uint64
	tokens  int
	evicted bool
}

// block is one cached block, named by the prefix that it ends.
type block struct {
	prefix uint64
	tokens int
}

// cache keeps blocks of prompt prefixes and evicts the least recently used.
type cache struct {
	capacity int // in blocks
	recent   *list.List
	byPrefix map[uint64]*list.Element
	notify   func(cacheChange)
}

func newCache(tokens int, notify func(cacheChange)) *cache {
	return &cache{
		capacity: tokens / BlockTokens,
		recent:   list.New(),
		byPrefix: map[uint64]*list.Element{},
		notify:   notify,
	}
}

// cachedTokens returns how many leading tokens are cached, and marks them used.
func (c *cache) cachedTokens(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && c.byPrefix[prefixes[n]] != nil {
		n++
	}
	c.touch(prefixes[:n])
	return n * BlockTokens
}

// touch marks blocks used, the last of the prefix first, so that eviction takes
// the end of a prefix before its beginning.
func (c *cache) touch(prefixes []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if e := c.byPrefix[prefixes[i]]; e != nil {
			c.recent.MoveToFront(e)
		}
	}
}

// add caches the blocks of a prompt.
func (c *cache) add(prefixes []uint64) {
	for i, p := range prefixes {
		if c.byPrefix[p] != nil {
			continue
		}
		b := block{prefix: p, tokens: (i + 1) * BlockTokens}
		c.byPrefix[p] = c.recent.PushFront(b)
		c.notify(cacheChange{prefix: p, tokens: b.tokens})
	}
	c.touch(prefixes)
	for c.recent.Len() > c.capacity {
		c.evict(c.recent.Back())
	}
}

// clear evicts everything.
func (c *cache) clear() {
	for c.recent.Len() > 0 {
		c.evict(c.recent.Back())
	}
}

func (c *cache) evict(e *list.Element) {
	b := c.recent.Remove(e).(block)
	delete(c.byPrefix, b.prefix)
	c.notify(cacheChange{prefix: b.prefix, tokens: b.tokens, evicted: true})
}
