package routed

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// kindDirectory is the kind, and directoryName the name, of the store's object that lists the
	// strongest hosts. A host that starts reads it in place of the list of all hosts: when all hosts
	// restart at once, that list for each of them would saturate the store's link.
	kindDirectory = "thymerack-directory"
	directoryName = "strongest"
	// directoryPerDomain is the number of hosts of each failure domain in the directory: its relays
	// and as many that would replace them.
	directoryPerDomain = 4
)

// directory is the stored object.
type directory struct {
	Hosts []member `json:"hosts"`
}

// strongestHosts returns the hosts that the directory lists, in the order in which they become
// relays.
func strongestHosts(hosts []state.Peer) []state.Peer {
	perDomain := map[string]int{}
	var out []state.Peer
	for _, h := range state.StrongestFirst(hosts) {
		if perDomain[h.FailureDomain] < directoryPerDomain {
			perDomain[h.FailureDomain]++
			out = append(out, h)
		}
	}
	return out
}

// readDirectory takes the hosts of the directory, with this one, for the list of hosts until a peer or
// the store has the whole list. It reports whether there were any. They don't count as the hosts that
// share the limits.
func (m *members) readDirectory(ctx context.Context) bool {
	objects, _, err := m.store.ListStale(ctx, kindDirectory)
	if err != nil {
		m.log.Warn("directory of the strongest hosts can't be read", "cause", err.Error())
		return false
	}
	hosts := decodeDirectory(objects)
	if len(hosts) == 0 {
		return false
	}
	if !slices.Contains(hosts, m.self()) {
		hosts = append(hosts, m.self())
	}
	m.listed.Store(&hosts)
	m.log.Info("directory of the strongest hosts read", "hosts", len(hosts))
	return true
}

// decodeDirectory returns the hosts of the stored directory; none if it can't be decoded.
func decodeDirectory(objects []store.Object) []state.Peer {
	var out []state.Peer
	for _, o := range objects {
		var d directory
		if o.Name != directoryName || json.Unmarshal(o.Value, &d) != nil {
			continue
		}
		for _, h := range d.Hosts {
			if h.Addr != "" {
				out = append(out, state.Peer(h))
			}
		}
	}
	return out
}

// writeDirectory writes the directory if it isn't up to date. The strongest host does so for all; two
// hosts that both take themselves for the strongest conflict, and the next round reads what is there.
func (m *members) writeDirectory(ctx context.Context) {
	hosts := strongestHosts(m.All())
	if m.Hosts() == 0 || len(hosts) == 0 || hosts[0] != m.self() || slices.Equal(hosts, m.directory) {
		return
	}
	present, err := m.store.Get(ctx, kindDirectory, directoryName)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		m.log.Warn("directory of the strongest hosts can't be read", "cause", err.Error())
		return
	}
	if !slices.Equal(decodeDirectory([]store.Object{present}), hosts) {
		if err := m.putDirectory(ctx, hosts, present.Version); err != nil {
			m.log.Warn("directory of the strongest hosts not written", "cause", err.Error())
			return
		}
		m.log.Info("directory of the strongest hosts written", "hosts", len(hosts))
	}
	m.directory = hosts
}

// putDirectory replaces a version of the directory.
func (m *members) putDirectory(ctx context.Context, hosts []state.Peer, version uint64) error {
	var d directory
	for _, h := range hosts {
		d.Hosts = append(d.Hosts, member(h))
	}
	value, err := json.Marshal(d)
	if err != nil {
		return err
	}
	_, err = m.store.Put(ctx, kindDirectory, directoryName, version, value)
	return err
}
