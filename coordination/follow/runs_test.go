package follow

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/thymerack/thymerack/state"
)

// runModel is what the store has said of the runs of some names at some addresses. Entries hold
// BORN ADDR STATE.
type runModel struct {
	*followedInstances
	t *testing.T
	// born is the current run of each name, and addr its address.
	born map[string]int64
	addr map[string]string
	// left holds the runs that said draining, listed the names that have an entry, and missingSince when
	// a name lost its entry.
	left         map[state.InstanceID]bool
	listed       map[string]bool
	missingSince map[string]time.Time
	next         int64
	// writtenAt orders the writes of entries by address.
	writtenAt map[string]int
	writes    int
	// cut is set while the host is cut off from the store, since cutAt; longestCut is the longest cut.
	cut        bool
	cutAt      time.Time
	longestCut time.Duration
}

// step does one random step.
func (m *runModel) step(kind int, name, addr string) {
	id := state.InstanceID{Name: name, Born: m.born[name]}
	switch kind {
	case 0: // a run starts under the name
		m.next++
		m.born[name], m.addr[name] = m.next, addr
		m.put(name, "ready")
	case 1:
		if m.listed[name] && !m.left[id] {
			m.left[id] = true
			m.put(name, "draining")
		}
	case 2:
		if m.listed[name] {
			m.remove(m.t, name)
			m.listed[name], m.missingSince[name] = false, time.Now()
		}
	case 3: // the run registers again
		if id.Born != 0 && !m.listed[name] && !m.left[id] {
			m.put(name, "ready")
		}
	case 4:
		m.cut = !m.cut
		m.cutOff(m.cut)
		if m.cut {
			m.cutAt = time.Now()
		} else {
			m.longestCut = max(m.longestCut, time.Since(m.cutAt))
		}
	default:
		time.Sleep(time.Duration(kind-4) * 300 * time.Millisecond)
	}
}

func (m *runModel) put(name, value string) {
	m.write(m.t, name, fmt.Sprint(m.born[name], " ", m.addr[name], " ", value))
	m.writes++
	m.listed[name], m.writtenAt[name] = true, m.writes
}

// accepted returns the runs that requests may be sent to.
func (m *runModel) accepted() map[state.InstanceID]bool {
	out := map[state.InstanceID]bool{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range m.followedInstances.listed {
		if !i.Draining {
			out[i.ID] = true
		}
	}
	return out
}

// check returns what is wrong with the list of a host that has caught up with the store, or "".
func (m *runModel) check() string {
	accepted := m.accepted()
	for id := range accepted {
		switch {
		case m.left[id]:
			return fmt.Sprintf("%s is accepted, which said that it leaves", id)
		case id.Born != m.born[id.Name]:
			return fmt.Sprintf("%s is accepted, an earlier run of that name", id)
		case !m.listed[id.Name] && !m.mayBeHeld(id.Name):
			return fmt.Sprintf("%s is accepted %v after its removal", id, time.Since(m.missingSince[id.Name]))
		}
	}
	for name, listed := range m.listed {
		id := state.InstanceID{Name: name, Born: m.born[name]}
		if listed && !m.left[id] && m.isLatestAt(name) && !accepted[id] {
			return fmt.Sprintf("%s isn't accepted, which is listed", id)
		}
	}
	return ""
}

// isLatestAt reports whether the entry of a name is the last written one at its address. Entries that the
// host may hold count.
func (m *runModel) isLatestAt(name string) bool {
	for other := range m.listed {
		if other != name && m.addr[other] == m.addr[name] && m.writtenAt[other] > m.writtenAt[name] && (m.listed[other] || m.mayBeHeld(other)) {
			return false
		}
	}
	return true
}

// mayBeHeld reports whether a host may still hold a name that lost its entry: the cut from the store and the
// hold after it are both over by then.
func (m *runModel) mayBeHeld(name string) bool {
	return time.Since(m.missingSince[name]) <= m.longestCut+2*testHold
}

// Guards against a departure that is taken for that of another run: a run that starts under the name or at the
// address of one that leaves, a run that is removed and registers again, in all orders, with the host cut off
// from the store in between.
func TestHoldsDeparturesBelongToTheirRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			kind       int
			name, addr string
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{rapid.IntRange(0, 8).Draw(t, "kind"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "addr")}
		}), 10, 60).Draw(rt, "steps")
		var problem string
		synctest.Test(t, func(t *testing.T) {
			m := &runModel{
				followedInstances: newFollowedInstances(t), t: t, born: map[string]int64{}, addr: map[string]string{},
				left: map[state.InstanceID]bool{}, listed: map[string]bool{}, missingSince: map[string]time.Time{}, writtenAt: map[string]int{},
			}
			m.Instances.o.Decode = decodeRun
			stop := run(t, m.Mirror)
			defer stop()
			go m.Instances.Run(t.Context())
			time.Sleep(time.Second)
			for _, s := range steps {
				m.step(s.kind, s.name, s.addr)
				synctest.Wait()
				if m.cut || m.Mirror.UnavailableWithin(0) {
					continue
				}
				if problem = m.check(); problem != "" {
					return
				}
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// decodeRun decodes an entry of a runModel.
func decodeRun(name string, value []byte) (state.Instance, error) {
	var born int64
	var addr, word string
	_, err := fmt.Fscan(strings.NewReader(string(value)), &born, &addr, &word)
	return state.Instance{ID: state.InstanceID{Name: name, Born: born}, Addr: addr, Draining: word == "draining"}, err
}
