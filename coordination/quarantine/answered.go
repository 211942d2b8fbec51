package quarantine

import (
	"encoding/binary"
	"sync/atomic"
)

// answeredSlots is the number of answered requests that a host remembers, in 128 KiB. At a hundred
// requests per second these are the requests of more than two minutes.
const answeredSlots = 1 << 14

// answeredSet remembers recently answered requests. Of two requests that share a slot, only the
// newer one is remembered.
type answeredSet struct {
	slots [answeredSlots]atomic.Uint64
}

// slot returns the slot of a request, and the value that identifies the request in it.
func (s *answeredSet) slot(d Digest) (*atomic.Uint64, uint64) {
	id := binary.LittleEndian.Uint64(d[:])
	return &s.slots[id%answeredSlots], id
}

func (s *answeredSet) add(d Digest) {
	slot, id := s.slot(d)
	if slot.Load() != id {
		slot.Store(id)
	}
}

func (s *answeredSet) has(d Digest) bool {
	slot, id := s.slot(d)
	return slot.Load() == id
}
