package state

import (
	"cmp"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind string

// The kinds of route.
const (
	// RouteSafe requests are idempotent.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe requests run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStream requests are answered by a stream of numbered events.
	RouteStream RouteKind = "stream"
)

// Valid reports whether k is a known kind.
func (k RouteKind) Valid() bool {
	return k == RouteSafe || k == RouteUnsafe || k == RouteStream
}

// Backend is a service that serves a share of a route.
type Backend struct {
	Service string
	Weight  int
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix   string
	Kind     RouteKind
	Backends []Backend
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is worth most.
	Objective time.Duration
	// EventGap is the longest pause between two events that is still in time.
	EventGap time.Duration
	// CallerSilence is how long a caller of a stream waits for the first event or the
	// next one before it leaves; 0 if it isn't known.
	CallerSilence time.Duration
	// Priority orders kinds of request; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the runners that one request may be sent to.
	MaxAttempts int
	// Resumable streams may go on at another runner after the last whole event.
	Resumable bool
	// Public routes take requests without a key, also where the others need one.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || (r.Kind == RouteStream && r.Resumable)
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	// Slots is the number of requests in one batch.
	Slots int
	// KVTokens is an engine's memory, in tokens.
	KVTokens int
	// KVTokenBytes is the memory of one token, and LinkBits the speed of an engine's
	// link, in bits a second: what it costs to move a prompt. 0 if they aren't known.
	KVTokenBytes int
	LinkBits     float64
	// HandleTTL is how long a prefilled KV cache waits to be taken.
	HandleTTL time.Duration
	// SwitchTime is how long a change of role takes an idle engine away.
	SwitchTime time.Duration
	// Backups says that engines copy a run's memory to another as it grows, if asked to.
	Backups bool
}

// ServiceSpec describes a service of the routing configuration.
type ServiceSpec struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections of all hosts to one runner.
	MaxConns int
	// Engine is nil for plain services.
	Engine *EngineSpec
	// Scale is nil where the number of runners can't be ordered.
	Scale *ScaleSpec
}

// ScaleSpec describes how the number of a service's runners may be ordered.
type ScaleSpec struct {
	// MinPerDomain and MaxPerDomain bound the runners of both kinds in a failure domain.
	MinPerDomain, MaxPerDomain int
	// Boot is the time until a new runner serves.
	Boot time.Duration
	// SpotPrice is the price of a spot runner, as a part of that of another; 0 if there are
	// none.
	SpotPrice float64
	// DomainPrices are what a second of a runner costs, by failure domain.
	DomainPrices map[string]float64
}

// StrongestFirst returns the hosts in the order in which they take on work for others, the
// same at all hosts that know the same ones: by class, and then by a hash of the address.
func StrongestFirst(hosts []Peer) []Peer {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(b.Class, a.Class),
			cmp.Compare(xxhash.Sum64String(a.Addr), xxhash.Sum64String(b.Addr)),
			strings.Compare(a.Addr, b.Addr),
		)
	})
	return out
}

// Peer is another host as its entry in the list of hosts describes it.
type Peer struct {
	// Addr is where the hosts' own protocol reaches it.
	Addr string
	// Class is higher for hosts with more processor time and a faster link.
	Class         int
	FailureDomain string
}

// SameList reports whether a and b are one slice, without looking at its hosts: lists are
// replaced whole and never changed, and this is asked for each request.
func SameList(a, b []Peer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// RoutingConfig is one version of the operators' routes and services.
type RoutingConfig struct {
	Version  uint64
	Routes   []Route
	Services []ServiceSpec
	// Keyed says that requests on routes which aren't public need the key of one of
	// Customers.
	Keyed     bool
	Customers []Customer
	// MaxBodyBytes bounds a caller's request body; 0 means no limit of its own.
	MaxBodyBytes int
	// HeaderTimeout is the longest time that callers take to send a request's header, and IdleTimeout the
	// longest time after which they use a connection again. 0 means no limit of their own.
	HeaderTimeout, IdleTimeout time.Duration
}

// InstanceID names one run of a runner: a runner that restarts may keep its name, and
// then knows nothing of what it held and was told before.
type InstanceID struct {
	Name string
	// Born is when the run started, in Unix milliseconds by the runner's own clock; 0
	// where runners don't say. It tells runs apart and orders nothing, as clocks differ.
	Born int64
}

// SameRun reports whether what says that it was born then may be the run of the id: a time
// that isn't said rules nothing out.
func (id InstanceID) SameRun(born int64) bool {
	return born == 0 || id.Born == 0 || born == id.Born
}

// String implements fmt.Stringer.
func (id InstanceID) String() string {
	if id.Born == 0 {
		return id.Name
	}
	return id.Name + "@" + strconv.FormatInt(id.Born, 10)
}

// LogValue implements slog.LogValuer.
func (id InstanceID) LogValue() slog.Value { return slog.StringValue(id.String()) }

// Instance is one run of a runner. A restart is another instance.
type Instance struct {
	ID            InstanceID
	Service       string
	Addr          string
	FailureDomain string
	Slots         int
	// Draining instances take no new work.
	Draining bool
	// Unconfirmed instances are listed although the store has no entry of them: the entry went
	// missing around an outage, and the instance may register again.
	Unconfirmed bool
	// Spot instances may be taken back, all of a failure domain at once.
	Spot bool
	// Role is empty for runners of plain services.
	Role Role
	// Version is that of the runner's software. What two versions write doesn't fit together, so that a stream
	// goes on only at the version that began it. Versions have no order.
	Version string
}

// InstanceChanges are changes of the list of instances. Set are instances that are new or have
// changed, Removed those that are no longer listed; an instance in both was replaced.
type InstanceChanges struct {
	Set     []Instance
	Removed []InstanceID
}

// Empty reports whether nothing changed.
func (c InstanceChanges) Empty() bool { return len(c.Set) == 0 && len(c.Removed) == 0 }
