package platform

import (
	"slices"
	"strings"

	"github.com/thymerack/thymerack/protocol/platformapi"
	"github.com/thymerack/thymerack/state"
)

// listed is the platform's list as last read.
type listed struct {
	revision uint64
	// rows are sorted by name; a change makes a new slice.
	rows []state.Listed
}

// take takes over an answer and reports whether the list changed.
func (l *listed) take(answer platformapi.HostList) bool {
	if answer.Delta && len(answer.Hosts) == 0 && len(answer.Removed) == 0 {
		l.revision = answer.Revision
		return false
	}
	rows := answer.Hosts
	if answer.Delta {
		rows = merge(l.rows, answer)
	}
	slices.SortFunc(rows, func(a, b state.Listed) int { return strings.Compare(a.Name, b.Name) })
	l.rows = rows
	l.revision = answer.Revision
	return true
}

// merge applies the changes of an answer to a copy of the rows.
func merge(rows []state.Listed, answer platformapi.HostList) []state.Listed {
	replaced := map[string]bool{}
	for _, r := range answer.Hosts {
		replaced[r.Name] = true
	}
	for _, name := range answer.Removed {
		replaced[name] = true
	}
	out := slices.DeleteFunc(slices.Clone(rows), func(r state.Listed) bool { return replaced[r.Name] })
	return append(out, answer.Hosts...)
}
