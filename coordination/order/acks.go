package order

import (
	"slices"
	"strings"
	"sync"

	"github.com/thymerack/thymerack/state"
)

// AckTable implements Acks. For each host and engine it stores the acknowledgement
// and the release with the highest fence. They may arrive late, twice and out of
// order. It is safe for concurrent use.
type AckTable struct {
	mu       sync.Mutex
	acks     map[ackKey]Ack
	releases map[ackKey]uint64
}

// ackKey identifies the acknowledgement and the release of one host for one engine.
type ackKey struct {
	host   state.HostID
	engine string
}

var _ Acks = (*AckTable)(nil)

// NewAckTable returns an empty table.
func NewAckTable() *AckTable {
	return &AckTable{acks: map[ackKey]Ack{}, releases: map[ackKey]uint64{}}
}

// AddAck stores an acknowledgement unless the stored one is newer. Zero requests
// in flight is final for a fence: the host sends the engine no more requests under
// it, so a higher count with the same fence is an older acknowledgement.
func (t *AckTable) AddAck(a Ack) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := ackKey{a.Host, a.Engine}
	known, ok := t.acks[k]
	if ok && (a.Fence < known.Fence || a.Fence == known.Fence && known.InFlight == 0) {
		return
	}
	t.acks[k] = a
}

// AddRelease stores a release unless the stored one has a higher fence.
func (t *AckTable) AddRelease(r Release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := ackKey{r.Host, r.Engine}
	t.releases[k] = max(t.releases[k], r.Fence)
}

// RemoveHost deletes the acknowledgements and releases of a host that has left for
// good.
func (t *AckTable) RemoveHost(host state.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.acks {
		if k.host == host {
			delete(t.acks, k)
		}
	}
	for k := range t.releases {
		if k.host == host {
			delete(t.releases, k)
		}
	}
}

// Complete implements Acks.
func (t *AckTable) Complete(members []state.HostID, engine string, fence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		a, ok := t.acks[ackKey{m, engine}]
		if !ok || a.Fence != fence || a.InFlight != 0 {
			return false
		}
	}
	return true
}

// Acknowledged implements Acks; the result is sorted by host.
func (t *AckTable) Acknowledged(engine string, fence uint64) []Ack {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Ack
	for k, a := range t.acks {
		if k.engine == engine && a.Fence == fence {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b Ack) int { return strings.Compare(a.Host.String(), b.Host.String()) })
	return out
}

// Released implements Acks.
func (t *AckTable) Released(host state.HostID, engine string, fence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.releases[ackKey{host, engine}] >= fence
}
