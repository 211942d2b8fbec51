package backlog

import "container/list"

// mostParts bounds the parts that are remembered of an engine, whatever its memory: some
// 800 prompts of the least size that is read apart fill the memories of today's sheets.
const mostParts = 8192

// kept is the parts that an engine is believed to keep: the least recently used yield
// when its memory is full, as at the engine itself.
type kept struct {
	// capacity is the engine's memory in tokens; 0 if it isn't known.
	capacity int
	tokens   int
	order    *list.List // of *part, the most recently used first
	byID     map[uint64]*list.Element
}

type part struct {
	id     uint64
	tokens int
	// pending is set while the first prompt with the part is being read: a prompt that
	// comes after it finds the part, another engine can't fetch it yet.
	pending bool
}

func newKept() *kept { return &kept{order: list.New(), byID: map[uint64]*list.Element{}} }

// prefix returns how many tokens of the parts, from the first on, the engine keeps or
// will have read, and how many of them it has read already.
func (k *kept) prefix(parts []Part) (tokens, ready int) {
	whole := true
	for _, p := range parts {
		at := k.byID[p.ID]
		if at == nil {
			break
		}
		tokens += p.Tokens
		whole = whole && !at.Value.(*part).pending
		if whole {
			ready = tokens
		}
	}
	return tokens, ready
}

// use notes that a prompt with the parts is read, and returns the parts that weren't
// there.
func (k *kept) use(w Work, memory int) []uint64 {
	k.capacity = memory
	var added []uint64
	for _, p := range w.Shared {
		if at := k.byID[p.ID]; at != nil {
			k.order.MoveToFront(at)
			continue
		}
		k.add(&part{id: p.ID, tokens: p.Tokens, pending: true})
		added = append(added, p.ID)
	}
	// A prompt's own part takes memory as well, but nobody asks for it again.
	k.order.PushFront(&part{tokens: w.Own})
	k.tokens += w.Own
	k.yield()
	return added
}

func (k *kept) add(p *part) {
	k.byID[p.id] = k.order.PushFront(p)
	k.tokens += p.tokens
}

// yield drops parts while there are more than the memory holds or than are remembered.
func (k *kept) yield() {
	for k.order.Len() > mostParts || (k.capacity > 0 && k.tokens > k.capacity && k.order.Len() > 0) {
		k.remove(k.order.Back())
	}
}

func (k *kept) remove(at *list.Element) {
	p := at.Value.(*part)
	k.order.Remove(at)
	k.tokens -= p.tokens
	if k.byID[p.id] == at {
		delete(k.byID, p.id)
	}
}

// settle notes that parts have been read, or that their reading was broken off.
func (k *kept) settle(ids []uint64, read bool) {
	for _, id := range ids {
		at := k.byID[id]
		switch {
		case at == nil:
		case read:
			at.Value.(*part).pending = false
		default:
			k.remove(at)
		}
	}
}
