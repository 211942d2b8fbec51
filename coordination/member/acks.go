package member

import (
	"slices"
	"strings"

	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// acks returns this host's statements about drains, those it sponsors included;
// m.mu is held.
func (m *Manager) acks(drains []snapshot.DrainStatus) []Ack {
	out := make([]Ack, 0, len(drains))
	for _, d := range drains {
		a := Ack{Engine: d.Engine, Fence: d.Fence, InFlight: d.InFlight}
		a.InFlight += m.sponsoredInFlight(d.Engine, d.Fence)
		out = append(out, a)
	}
	return out
}

// sponsoredInFlight sums what the sponsored hosts have in flight at a drained
// engine; a host that hasn't acknowledged counts as one request.
func (m *Manager) sponsoredInFlight(engine string, fence uint64) int64 {
	if m.fault == faultAckAlone {
		return 0
	}
	var sum int64
	for id := range m.sponsored {
		e := m.entries.of(id)
		if e != nil && e.beat.Left {
			continue
		}
		ack, ok := Ack{}, false
		if e != nil {
			ack, ok = e.ack(engine, fence)
		}
		if !ok {
			sum++
			continue
		}
		sum += ack.InFlight
	}
	return sum
}

// sponsoredIDs returns the sponsored hosts in a fixed order; m.mu is held.
func (m *Manager) sponsoredIDs() []state.HostID {
	out := make([]state.HostID, 0, len(m.sponsored))
	for id := range m.sponsored {
		out = append(out, id)
	}
	slices.SortFunc(out, compareIDs)
	return out
}

func compareIDs(a, b state.HostID) int {
	if c := strings.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return strings.Compare(a.Incarnation, b.Incarnation)
}

// Complete returns the hosts that have not acknowledged zero for the engine at
// the fence. members must have been listed after the order became draining; the
// runs that they replaced are waited for as well. An empty result stays true for
// that fence: a host that acknowledged has counted its requests out, and takes no
// work for the engine until it sees a higher fence. Hosts that are gone are
// among the missing; see GoneFor and GoneBound.
//
// A member whose object a later listing lacks has left after its last request,
// or has been gone for GoneBound, and needn't be asked for.
func (m *Manager) Complete(members []state.Member, engine string, fence uint64) (missing []state.HostID) {
	m.renew()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		for _, id := range append([]state.HostID{member.ID}, member.Previous...) {
			if !m.acknowledged(id, engine, fence) {
				missing = append(missing, id)
			}
		}
	}
	return missing
}

// acknowledged reports whether exactly that run of a host has said zero, or has
// said that it left for good; m.mu is held.
func (m *Manager) acknowledged(id state.HostID, engine string, fence uint64) bool {
	e := m.entries.of(id)
	if e == nil {
		return false
	}
	if e.beat.Left {
		return true
	}
	a, ok := e.ack(engine, fence)
	return ok && a.InFlight == 0
}
