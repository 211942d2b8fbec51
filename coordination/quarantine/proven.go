package quarantine

import (
	"encoding/binary"
	"sync/atomic"
)

// provenSlots is how many answered requests a host remembers, in 128 KiB: at a hundred
// requests a second those of the last two minutes and more.
const provenSlots = 1 << 14

// proven remembers requests that were answered. A request that shares its slot with a newer
// one is forgotten.
type proven struct {
	slots [provenSlots]atomic.Uint64
}

func (p *proven) slot(d Digest) (*atomic.Uint64, uint64) {
	id := binary.LittleEndian.Uint64(d[:])
	return &p.slots[id%provenSlots], id
}

func (p *proven) add(d Digest) {
	slot, id := p.slot(d)
	if slot.Load() != id {
		slot.Store(id)
	}
}

func (p *proven) has(d Digest) bool {
	slot, id := p.slot(d)
	return slot.Load() == id
}
