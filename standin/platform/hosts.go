package platform

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/thymerack/thymerack/protocol/platformapi"
	"github.com/thymerack/thymerack/state"
)

// stateRemoved takes a row out of the list.
const stateRemoved state.ListedState = "removed"

// HostChange changes one row of the host list: either Row is added or replaced,
// or the row called Name gets State ("live", "leaving" or "removed").
type HostChange struct {
	Name  string            `json:"name,omitempty"`
	State state.ListedState `json:"state,omitempty"`
	Row   *state.Listed     `json:"row,omitempty"`
}

// Hosts is the list of machines. A change is shown once the lag has passed; a
// frozen list holds changes back until it is thawed.
type Hosts struct {
	lag time.Duration

	mu       sync.Mutex
	revision uint64
	rows     map[string]state.Listed
	// changes are the names changed by each revision, from firstChange on.
	changes     []string
	firstChange uint64
	frozen      bool
	held        []HostChange
	changed     chan struct{}
}

// NewHosts returns a list that shows rows at once and later changes after lag.
func NewHosts(rows []state.Listed, lag time.Duration) *Hosts {
	h := &Hosts{lag: lag, revision: 1, firstChange: 2, rows: map[string]state.Listed{}, changed: make(chan struct{})}
	for _, r := range rows {
		h.rows[r.Name] = r
	}
	return h
}

// Change takes effect after the lag.
func (h *Hosts) Change(c HostChange) {
	time.AfterFunc(h.lag, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.frozen {
			h.held = append(h.held, c)
			return
		}
		h.apply(c)
	})
}

// Freeze stops the list from showing changes; thawing shows those held back.
func (h *Hosts) Freeze(frozen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozen = frozen
	if frozen {
		return
	}
	for _, c := range h.held {
		h.apply(c)
	}
	h.held = nil
}

// apply shows a change; h.mu is held.
func (h *Hosts) apply(c HostChange) {
	name := c.Name
	if c.Row != nil {
		name = c.Row.Name
		h.rows[c.Row.Name] = *c.Row
	} else if row, ok := h.rows[c.Name]; ok && c.State != stateRemoved {
		row.State = c.State
		h.rows[c.Name] = row
	} else {
		delete(h.rows, c.Name)
	}
	h.revision++
	h.changes = append(h.changes, name)
	if len(h.changes) > maxHostChanges {
		h.changes = h.changes[1:]
		h.firstChange++
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// maxHostChanges bounds the changes that are kept; whoever is further behind
// gets the whole list.
const maxHostChanges = 1000

// List waits until the list is newer than revision or ctx ends, and returns what
// changed, or the whole list when that isn't known; sorted by name.
func (h *Hosts) List(ctx context.Context, after uint64) platformapi.HostList {
	for {
		list, changed := h.since(after)
		if list.Revision != after {
			return list
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return list
		}
	}
}

func (h *Hosts) since(after uint64) (platformapi.HostList, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := platformapi.HostList{Revision: h.revision, Hosts: []state.Listed{}}
	if after+1 >= h.firstChange && after <= h.revision {
		list.Delta = true
		h.addChanges(&list, h.changes[after+1-h.firstChange:])
	} else {
		for _, r := range h.rows {
			list.Hosts = append(list.Hosts, r)
		}
	}
	slices.SortFunc(list.Hosts, func(a, b state.Listed) int { return strings.Compare(a.Name, b.Name) })
	return list, h.changed
}

// addChanges adds the present rows of the changed names; h.mu is held.
func (h *Hosts) addChanges(list *platformapi.HostList, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		if seen[name] {
			continue
		}
		seen[name] = true
		if row, ok := h.rows[name]; ok {
			list.Hosts = append(list.Hosts, row)
		} else {
			list.Removed = append(list.Removed, name)
		}
	}
}
