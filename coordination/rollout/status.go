package rollout

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// HostReport is what one host's digest says of its configuration.
type HostReport struct {
	Host    state.HostID
	Version uint64
	// Age is how old the statement is.
	Age time.Duration
	// Answers is false for a host that hasn't been heard lately.
	Answers bool
}

// Status is the state of the rollout as one host sees it.
type Status struct {
	// Highest is the highest version in force at any host.
	Highest uint64
	// Behind are the answering hosts with a lower version.
	Behind []state.HostID
	// Silent are the hosts that don't answer, whose version isn't known for sure.
	Silent      []state.HostID
	Hosts       []HostReport
	LastRefused *RefusedVersion
}

// Status sums up the hosts' reports, for thymectl config status.
func (m *Manager) Status(hosts []HostReport) Status {
	s := Status{Hosts: hosts, LastRefused: m.LastRefused(), Highest: m.Version()}
	for _, h := range hosts {
		s.Highest = max(s.Highest, h.Version)
	}
	for _, h := range hosts {
		switch {
		case !h.Answers:
			s.Silent = append(s.Silent, h.Host)
		case h.Version < s.Highest:
			s.Behind = append(s.Behind, h.Host)
		}
	}
	return s
}
