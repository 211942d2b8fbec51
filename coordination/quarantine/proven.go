package quarantine

import (
	"encoding/binary"
	"sync/atomic"
)

// answeredSlots is how many answered requests a host remembers, in 128 KiB: at a hundred
// requests a second those of the last two minutes and more.
const answeredSlots = 1 << 14

// answeredSet remembers requests that were answered. A request that shares its slot with a newer
// one is forgotten.
type answeredSet struct {
	slots [answeredSlots]atomic.Uint64
}

func (p *answeredSet) slot(d Digest) (*atomic.Uint64, uint64) {
	id := binary.LittleEndian.Uint64(d[:])
	return &p.slots[id%answeredSlots], id
}

func (p *answeredSet) add(d Digest) {
	slot, id := p.slot(d)
	if slot.Load() != id {
		slot.Store(id)
	}
}

func (p *answeredSet) has(d Digest) bool {
	slot, id := p.slot(d)
	return slot.Load() == id
}
