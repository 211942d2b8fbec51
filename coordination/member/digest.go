package member

//lint:file-ignore U1000 the msgpack library reads the _msgpack markers by reflection

import (
	"github.com/cespare/xxhash/v2"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// Digest is one message of an exchange between two hosts.
type Digest struct {
	From state.HostID `msgpack:"f"`
	// Known are the sequence numbers that the sender holds; only in a question.
	Known []Known `msgpack:"k,omitempty"`
	// Deltas are entries that the receiver lacks.
	Deltas []Delta `msgpack:"d,omitempty"`
	// Want are entries that the sender of an answer lacks, with what it holds.
	Want []Known `msgpack:"w,omitempty"`
	// Sponsors confirms, in an answer, that its sender sponsors the asking host.
	Sponsors bool `msgpack:"s,omitempty"`
}

// Known is the sequence number held of one host's entry.
type Known struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      uint64
	Seq      uint64
}

// Delta is the part of an entry that changed after Since.
type Delta struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      uint64
	Seq      uint64
	// Since is the sequence number that the sections left out are valid from.
	Since uint64
	// AgeMillis is how long ago the sender learnt of Seq.
	AgeMillis uint32
	// A nil section is unchanged.
	Static    *Static
	Beat      *Beat
	Drained   *[]Ack
	Leaving   *[]Leaving
	Work      *[]UpstreamWork
	Sponsored *[]state.HostID
}

// Static is what doesn't change during a run.
type Static struct {
	_msgpack      struct{} `msgpack:",as_array"`
	ID            state.HostID
	FailureDomain string
	PeerAddr      string
	CallerAddr    string
}

// Beat is what a host says about itself every second.
type Beat struct {
	_msgpack struct{} `msgpack:",as_array"`
	// ConfigVersion is the configuration in force; 0 for none.
	ConfigVersion uint64
	// OrderRevision is the platform's revision up to which all orders are known.
	OrderRevision uint64
	// Standing tells by what right the host takes work.
	Standing Standing
	// Sponsorship is the number of the last sponsorship that the host took up.
	Sponsorship uint64
	// Left is true once the host has no work and will take none.
	Left bool
}

// Ack is a host's statement about one engine that takes no new work, for itself
// and those it sponsors. A sponsored host that hasn't acknowledged counts as one.
type Ack struct {
	_msgpack struct{} `msgpack:",as_array"`
	Engine   string
	Fence    uint64
	InFlight int64
}

// Leaving names one run of an upstream that the platform lists as leaving.
type Leaving struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Name        string
	Incarnation string
}

// UpstreamWork is a host's work in flight at one upstream.
type UpstreamWork struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Name          string
	Requests      int64
	PrefillTokens int64
	DecodeTokens  int64
}

func (w UpstreamWork) work() snapshot.Work {
	return snapshot.Work{Requests: w.Requests, PrefillTokens: w.PrefillTokens, DecodeTokens: w.DecodeTokens}
}

// VersionedOrder is an order with the platform's version of its object.
type VersionedOrder struct {
	Version uint64      `msgpack:"v"`
	Order   state.Order `msgpack:"o"`
}

// OrdersRequest asks for the orders that changed after a revision.
type OrdersRequest struct {
	After uint64 `msgpack:"a"`
}

// OrdersReply holds all orders that changed after the asked revision, up to
// Revision.
type OrdersReply struct {
	Revision uint64           `msgpack:"r"`
	Orders   []VersionedOrder `msgpack:"o"`
}

// SponsorRequest asks a member to answer for a host that can't register.
type SponsorRequest struct {
	Member state.Member `msgpack:"m"`
	// Number grows with every request of a run.
	Number uint64 `msgpack:"n"`
}

// SponsorView is what a sponsored host starts from.
type SponsorView struct {
	Sponsor state.Member   `msgpack:"s"`
	Orders  OrdersReply    `msgpack:"o"`
	Listed  []state.Listed `msgpack:"l"`
	Members []state.Member `msgpack:"m"`
	Leaving []Leaving      `msgpack:"v"`
	// ConfigVersion is the sponsor's configuration in force, for the rollout to fetch.
	ConfigVersion uint64 `msgpack:"c"`
}

// keyOf is the short name of a host in a digest. Two hosts whose keys collide
// would hide one of them, which delays changes and breaks nothing.
func keyOf(id state.HostID) uint64 { return xxhash.Sum64String(id.String()) }
