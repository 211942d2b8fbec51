package order

import (
	"slices"
	"strings"
	"sync"

	"github.com/thymerack/thymerack/state"
)

// AckTable is an Acks that keeps the statements with the highest fence of each
// host and engine. Statements may come late, twice and out of order.
type AckTable struct {
	mu       sync.Mutex
	acks     map[ackKey]Ack
	releases map[ackKey]uint64
}

type ackKey struct {
	host   state.HostID
	engine string
}

var _ Acks = (*AckTable)(nil)

// NewAckTable returns an empty table.
func NewAckTable() *AckTable {
	return &AckTable{acks: map[ackKey]Ack{}, releases: map[ackKey]uint64{}}
}

// AddAck takes over an acknowledgement. A zero is final for its fence: the host
// gives the engine nothing more under it, so a higher count is an older one.
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

// AddRelease takes over a release.
func (t *AckTable) AddRelease(r Release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := ackKey{r.Host, r.Engine}
	t.releases[k] = max(t.releases[k], r.Fence)
}

// RemoveHost drops what a host has said, once it is gone for good.
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
