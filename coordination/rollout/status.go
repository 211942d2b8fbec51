package rollout

import (
	"time"

	"github.com/thymerack/thymerack/state"
)

// HostReport is the configuration version that one host reports in its digest.
type HostReport struct {
	Host    state.HostID
	Version uint64
	// Age is the time since the host made the report.
	Age time.Duration
	// Answers is false if no recent message of the host has arrived.
	Answers bool
}

// Status is the progress of the rollout over all hosts, as known to one of them.
type Status struct {
	// Highest is the highest version in force at any host.
	Highest uint64
	// Behind lists the hosts that answer and have a lower version than Highest.
	Behind []state.HostID
	// Silent lists the hosts that don't answer; their reported version may be out of
	// date.
	Silent []state.HostID
	// Hosts holds the reports of all hosts.
	Hosts []HostReport
	// LastRefused is the version that this host refused last; see
	// Manager.LastRefused.
	LastRefused *RefusedVersion
}

// Status summarizes the hosts' reports for thymectl config status.
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
