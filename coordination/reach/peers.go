package reach

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// peerMinBackoff is how long a host isn't asked that can't be reached or is overloaded. Each
	// failure in a row doubles the time, up to peerMaxBackoff.
	peerMinBackoff = 250 * time.Millisecond
	peerMaxBackoff = 8 * time.Second
	// partitionMinBackoff is how long a host isn't asked for runners of a service to which it has lost its
	// own links. Each further time in a row doubles the time, up to peerMaxBackoff.
	partitionMinBackoff = time.Second
	// provenFor is how long a host that has connected for this one comes before others while some of them
	// are known to be partitioned as well.
	provenFor = 3 * time.Second
	// preferredLoad is the load up to which hosts of the own failure domain are preferred, whose
	// traffic stays within it.
	preferredLoad = 0.5
	// loadValidity is how long the load that a host has told is taken as its present one.
	loadValidity = 2 * time.Second
	// choices is how many hosts are compared by load: with two, none gets far more than the others.
	choices = 2
	// maxDraws bounds the random draws for them, so that a choice doesn't look through a large fleet.
	maxDraws = 32
)

// Reply is what another host replies to a request to connect to a runner.
type Reply struct {
	// Evidence is what it found; "" if it connected or found nothing.
	Evidence Evidence
	// Partitioned says that it has lost most of its own links.
	Partitioned bool
	// Refused says that it makes no attempt for others now: it is overloaded, leaves, or doesn't know
	// the runner.
	Refused bool
	// Load is the share of its capacity for such connections that is in use.
	Load float64
}

// PeersOptions configures Peers. All fields are required.
type PeersOptions struct {
	Self state.Peer
	// Hosts lists all hosts. The list must not be modified.
	Hosts func() []state.Peer
	Clock state.Clock
}

// Peers chooses the hosts that connect to runners for this one. It is safe for concurrent use.
type Peers struct {
	o PeersOptions

	mu    sync.Mutex
	known map[string]*peerStatus
}

// peerStatus is what is known of another host.
type peerStatus struct {
	load     float64
	loadAt   time.Time
	until    time.Time
	failures int
	// services is what is known of the host's links, by service.
	services map[string]*peerLinks
}

// peerLinks is what is known of another host's links to the runners of a service.
type peerLinks struct {
	// provenAt is when the host last connected to one for this host.
	provenAt time.Time
	// until is how long the host isn't asked since it has lost them, and failures how often in a row it was
	// found so.
	until    time.Time
	failures int
}

// NewPeers returns an error if an option is missing.
func NewPeers(o PeersOptions) (*Peers, error) {
	if o.Self.Addr == "" || o.Hosts == nil || o.Clock == nil {
		return nil, errors.New("reach: a field of PeersOptions is missing; set all of them")
	}
	return &Peers{o: o, known: map[string]*peerStatus{}}, nil
}

// Others reports whether there is another host.
func (p *Peers) Others() bool {
	return slices.ContainsFunc(p.o.Hosts(), func(h state.Peer) bool { return h.Addr != p.o.Self.Addr })
}

// Choose returns a host to ask for a connection to a runner of the service. Hosts of the own failure domain come
// first while they have capacity, except after one of them has been tried: then most of the domain may be
// partitioned. While hosts are known to be partitioned as well, those that have connected for this one a moment
// ago come before all others. ok is false if there is none.
func (p *Peers) Choose(service string, tried []state.Peer) (host state.Peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	eligible := func(h state.Peer) bool {
		return h.Addr != p.o.Self.Addr && !slices.Contains(tried, h) && p.available(h.Addr, service)
	}
	preferNear := !slices.ContainsFunc(tried, p.isNear)
	var best *state.Peer
	if p.othersPartitioned(service) {
		best = p.best(preferNear, func(h state.Peer) bool { return p.proven(h.Addr, service) && eligible(h) })
	}
	if best == nil || p.load(best.Addr) >= preferredLoad {
		if any := p.best(preferNear, eligible); any != nil {
			best = any
		}
	}
	if best == nil {
		return state.Peer{}, false
	}
	return *best, true
}

// othersPartitioned reports whether a host isn't asked since it has lost its links to the service; p.mu is held.
func (p *Peers) othersPartitioned(service string) bool {
	now := p.o.Clock.Now()
	for _, k := range p.known {
		if links := k.services[service]; links != nil && now.Before(links.until) {
			return true
		}
	}
	return false
}

// best returns the best of a few random hosts that are eligible, or nil if none is; p.mu is held.
func (p *Peers) best(preferNear bool, eligible func(state.Peer) bool) *state.Peer {
	isNear := func(h state.Peer) bool { return preferNear && p.isNear(h) }
	near, far := draw(p.o.Hosts(), eligible, isNear)
	bestNear, bestFar := p.leastLoaded(near), p.leastLoaded(far)
	if bestFar == nil || bestNear != nil && (p.load(bestNear.Addr) < preferredLoad || p.load(bestNear.Addr) <= p.load(bestFar.Addr)) {
		return bestNear
	}
	return bestFar
}

// draw returns eligible hosts, up to choices that are near and as many others. Each is drawn by itself: the
// neighbors in the list of hosts that aren't eligible must not get the connections of these as well. If a few
// draws find none, all hosts are looked through.
func draw(hosts []state.Peer, eligible, isNear func(state.Peer) bool) (near, far []state.Peer) {
	add := func(h state.Peer) {
		group := &far
		if isNear(h) {
			group = &near
		}
		if len(*group) < choices && !slices.Contains(*group, h) && eligible(h) {
			*group = append(*group, h)
		}
	}
	for n := 0; n < maxDraws && len(hosts) > 0 && len(near)+len(far) < 2*choices; n++ {
		add(hosts[rand.IntN(len(hosts))])
	}
	if len(near)+len(far) == 0 {
		for _, n := range rand.Perm(len(hosts)) {
			add(hosts[n])
		}
	}
	return near, far
}

// isNear reports whether a host is in the own failure domain.
func (p *Peers) isNear(h state.Peer) bool { return h.FailureDomain == p.o.Self.FailureDomain }

// proven reports whether a host has connected for this one to a runner of the service a moment ago; p.mu is
// held.
func (p *Peers) proven(addr, service string) bool {
	k := p.known[addr]
	if k == nil || k.services[service] == nil {
		return false
	}
	at := k.services[service].provenAt
	return !at.IsZero() && p.o.Clock.Now().Sub(at) < provenFor
}

// leastLoaded returns the least loaded of the hosts, or nil; p.mu is held.
func (p *Peers) leastLoaded(hosts []state.Peer) *state.Peer {
	if len(hosts) == 0 {
		return nil
	}
	best := slices.MinFunc(hosts, func(a, b state.Peer) int { return cmp.Compare(p.load(a.Addr), p.load(b.Addr)) })
	return &best
}

// available reports whether a host may be asked for runners of the service; p.mu is held.
func (p *Peers) available(addr, service string) bool {
	k := p.known[addr]
	if k == nil {
		return true
	}
	now := p.o.Clock.Now()
	links := k.services[service]
	return !now.Before(k.until) && (links == nil || !now.Before(links.until))
}

// load returns the load of a host; 0 if it isn't known. p.mu is held.
func (p *Peers) load(addr string) float64 {
	k := p.known[addr]
	if k == nil || p.o.Clock.Now().Sub(k.loadAt) > loadValidity {
		return 0
	}
	return k.load
}

// Replied records the reply of a host about a runner of the service.
func (p *Peers) Replied(addr, service string, r Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, now := p.status(addr), p.o.Clock.Now()
	k.load, k.loadAt = r.Load, now
	if r.Refused {
		k.backOff(now)
		return
	}
	k.failures = 0
	links := k.services[service]
	if links == nil {
		links = &peerLinks{}
		k.services[service] = links
	}
	switch {
	case r.Evidence == "":
		*links = peerLinks{provenAt: now}
	case r.Partitioned:
		links.provenAt = time.Time{}
		links.until = now.Add(min(partitionMinBackoff<<min(links.failures, 8), peerMaxBackoff))
		links.failures++
	}
}

// Failed records that a host couldn't be reached.
func (p *Peers) Failed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status(addr).backOff(p.o.Clock.Now())
}

func (k *peerStatus) backOff(now time.Time) {
	k.until = now.Add(min(peerMinBackoff<<min(k.failures, 8), peerMaxBackoff))
	k.failures++
}

// status returns what is known of a host, and forgets hosts that are no longer listed; p.mu is held.
func (p *Peers) status(addr string) *peerStatus {
	if k := p.known[addr]; k != nil {
		return k
	}
	hosts := p.o.Hosts()
	for known := range p.known {
		if !slices.ContainsFunc(hosts, func(h state.Peer) bool { return h.Addr == known }) {
			delete(p.known, known)
		}
	}
	k := &peerStatus{services: map[string]*peerLinks{}}
	p.known[addr] = k
	return k
}
