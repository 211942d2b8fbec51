package backlog

import "container/list"

// maxParts bounds the parts that are tracked per engine, whatever its memory, so that they don't
// exhaust the owner's memory. About 800 prompts of the smallest size that has a separate prefill
// fill the memory of the known engines.
const maxParts = 8192

// prefixCache holds the prompt parts that an engine is assumed to have cached. Like the engine,
// it evicts the least recently used ones when the memory is full.
type prefixCache struct {
	// capacityTokens is the engine's memory in tokens; 0 if it isn't known.
	capacityTokens int
	tokens         int
	recency        *list.List // of *part, the most recently used first
	byID           map[uint64]*list.Element
}

// part is a cached prompt part with its size in tokens.
type part struct {
	id     uint64
	tokens int
	// pending is set while the first prompt with the part is being computed: later prompts at
	// this engine find the part in the cache, but other engines can't fetch it yet.
	pending bool
}

func newPrefixCache() *prefixCache {
	return &prefixCache{recency: list.New(), byID: map[uint64]*list.Element{}}
}

// prefix returns how many tokens of the parts, from the first on, are cached or pending, and how
// many of them other engines can fetch.
func (c *prefixCache) prefix(parts []Part) (tokens, fetchable int) {
	contiguous := true
	for _, p := range parts {
		element := c.byID[p.ID]
		if element == nil {
			break
		}
		tokens += p.Tokens
		contiguous = contiguous && !element.Value.(*part).pending
		if contiguous {
			fetchable = tokens
		}
	}
	return tokens, fetchable
}

// insert adds the parts of a prompt that will be computed, and returns the IDs of the parts that
// weren't cached.
func (c *prefixCache) insert(prompt Prompt, memoryTokens int) []uint64 {
	c.capacityTokens = memoryTokens
	var added []uint64
	for _, p := range prompt.Parts {
		if element := c.byID[p.ID]; element != nil {
			c.recency.MoveToFront(element)
			continue
		}
		c.add(&part{id: p.ID, tokens: p.Tokens, pending: true})
		added = append(added, p.ID)
	}
	// The prompt's own tokens take memory as well, but no other prompt shares them.
	c.recency.PushFront(&part{tokens: prompt.OwnTokens})
	c.tokens += prompt.OwnTokens
	c.evict()
	return added
}

func (c *prefixCache) add(p *part) {
	c.byID[p.id] = c.recency.PushFront(p)
	c.tokens += p.tokens
}

// evict removes the least recently used parts while they exceed the memory or maxParts.
func (c *prefixCache) evict() {
	for c.recency.Len() > maxParts || (c.capacityTokens > 0 && c.tokens > c.capacityTokens && c.recency.Len() > 0) {
		c.remove(c.recency.Back())
	}
}

func (c *prefixCache) remove(element *list.Element) {
	p := element.Value.(*part)
	c.recency.Remove(element)
	c.tokens -= p.tokens
	if c.byID[p.id] == element {
		delete(c.byID, p.id)
	}
}

// complete marks pending parts as computed, or removes them if their prefill was aborted.
func (c *prefixCache) complete(ids []uint64, completed bool) {
	for _, id := range ids {
		element := c.byID[id]
		switch {
		case element == nil:
		case completed:
			element.Value.(*part).pending = false
		default:
			c.remove(element)
		}
	}
}
