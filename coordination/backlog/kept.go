package backlog

import "container/list"

// maxParts bounds the parts that are remembered of an engine, whatever its memory: some
// 800 prompts of the least size that is read apart fill the memories of today's sheets.
const maxParts = 8192

// prefixCache is the parts that an engine is believed to keep: the least recently used yield
// when its memory is full, as at the engine itself.
type prefixCache struct {
	// capacityTokens is the engine's memory in tokens; 0 if it isn't known.
	capacityTokens int
	tokens         int
	recency        *list.List // of *part, the most recently used first
	byID           map[uint64]*list.Element
}

type part struct {
	id     uint64
	tokens int
	// pending is set while the first prompt with the part is being read: a prompt that
	// comes after it finds the part, another engine can't fetch it yet.
	pending bool
}

func newPrefixCache() *prefixCache {
	return &prefixCache{recency: list.New(), byID: map[uint64]*list.Element{}}
}

// prefix returns how many tokens of the parts, from the first on, the engine keeps or
// will have read, and how many of them it has read already.
func (c *prefixCache) prefix(parts []Part) (tokens, fetchable int) {
	contiguous := true
	for _, p := range parts {
		at := c.byID[p.ID]
		if at == nil {
			break
		}
		tokens += p.Tokens
		contiguous = contiguous && !at.Value.(*part).pending
		if contiguous {
			fetchable = tokens
		}
	}
	return tokens, fetchable
}

// insert notes that a prompt with the parts is read, and returns the parts that weren't
// there.
func (c *prefixCache) insert(w Prompt, memoryTokens int) []uint64 {
	c.capacityTokens = memoryTokens
	var added []uint64
	for _, p := range w.Parts {
		if at := c.byID[p.ID]; at != nil {
			c.recency.MoveToFront(at)
			continue
		}
		c.add(&part{id: p.ID, tokens: p.Tokens, pending: true})
		added = append(added, p.ID)
	}
	// A prompt's own part takes memory as well, but nobody asks for it again.
	c.recency.PushFront(&part{tokens: w.OwnTokens})
	c.tokens += w.OwnTokens
	c.evict()
	return added
}

func (c *prefixCache) add(p *part) {
	c.byID[p.id] = c.recency.PushFront(p)
	c.tokens += p.tokens
}

// evict drops parts while there are more than the memory holds or than are remembered.
func (c *prefixCache) evict() {
	for c.recency.Len() > maxParts || (c.capacityTokens > 0 && c.tokens > c.capacityTokens && c.recency.Len() > 0) {
		c.remove(c.recency.Back())
	}
}

func (c *prefixCache) remove(at *list.Element) {
	p := at.Value.(*part)
	c.recency.Remove(at)
	c.tokens -= p.tokens
	if c.byID[p.id] == at {
		delete(c.byID, p.id)
	}
}

// complete notes that parts have been read, or that their reading was broken off.
func (c *prefixCache) complete(ids []uint64, completed bool) {
	for _, id := range ids {
		at := c.byID[id]
		switch {
		case at == nil:
		case completed:
			at.Value.(*part).pending = false
		default:
			c.remove(at)
		}
	}
}
