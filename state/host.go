package state

import "time"

// HostID names one run of the daemon on one host. Two runs at the same address
// differ in their incarnation, so a replaced host is never taken for the old one.
type HostID struct {
	// Name is the host's name from its settings.
	Name string `json:"name" msgpack:"n"`
	// Incarnation is a UUIDv7 made when the process starts.
	Incarnation string `json:"incarnation" msgpack:"i"`
}

// String returns name/incarnation.
func (h HostID) String() string { return h.Name + "/" + h.Incarnation }

// Zero reports whether h names no host.
func (h HostID) Zero() bool { return h == HostID{} }

// Member is the object that a host writes at the platform before it serves.
type Member struct {
	ID HostID `json:"id"`
	// FailureDomain is the failure domain that the host runs in.
	FailureDomain string `json:"failure_domain"`
	// PeerAddr is the ip:port of the host's peer listener.
	PeerAddr string `json:"peer_addr"`
	// CallerAddr is the ip:port of the host's callers' listener.
	CallerAddr string `json:"caller_addr"`
	// RegisteredAt is the host's own clock at registration; for display only.
	RegisteredAt time.Time `json:"registered_at"`
	// Previous are earlier runs under the same name that may still have work in
	// flight. Whoever waits for all members waits for them as well.
	Previous []HostID `json:"previous,omitempty"`
}

// ListedState is what the platform's list says of a machine.
type ListedState string

// The states of a listed machine.
const (
	ListedLive    ListedState = "live"
	ListedLeaving ListedState = "leaving"
)

// ListedKind tells what runs on a listed machine.
type ListedKind string

// The kinds of listed machines.
const (
	ListedHost    ListedKind = "host"
	ListedEngine  ListedKind = "engine"
	ListedService ListedKind = "service"
)

// Listed is one row of the platform's lagging list of live and leaving machines.
type Listed struct {
	Name  string      `json:"name" msgpack:"n"`
	Kind  ListedKind  `json:"kind" msgpack:"k"`
	State ListedState `json:"state" msgpack:"s"`
	// Incarnation tells runs of the same name apart; empty when unknown.
	Incarnation   string `json:"incarnation,omitempty" msgpack:"i"`
	Addr          string `json:"addr" msgpack:"a"`
	FailureDomain string `json:"failure_domain" msgpack:"p"`
	// Service is the service that an upstream belongs to; empty for hosts.
	Service string `json:"service,omitempty" msgpack:"v"`
	// ChecksFence tells whether an engine refuses orders with an old fence.
	ChecksFence bool `json:"checks_fence,omitempty" msgpack:"f"`
}
