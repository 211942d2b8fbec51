package fleetload

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// noticeTTL is how long domains and local prefixes are used after the last notice: three notices
	// may be lost.
	noticeTTL = 6 * time.Second
	// speedTTL is how long speeds are used: as long as an owner remembers that of an idle engine. While
	// engines are uneven, a holder publishes every 2 s, so without notices for that long there is none,
	// or one that finds nothing uneven and doesn't know that this host does.
	speedTTL = time.Minute
)

// ListenerOptions configures a Listener. All fields but OnNotice are required.
type ListenerOptions struct {
	Clock state.Clock
	Log   *slog.Logger
	// OnNotice is called with the state after each accepted notice, one call at a time. It must not
	// block.
	OnNotice func(*Received)
}

// Received is what a host knows from notices. It is shared and must not be modified.
type Received struct {
	Term, Number uint64
	// Domains and LocalPrefixes are nil without a recent notice. LocalPrefixes is a set of services.
	Domains       []DomainLoad
	LocalPrefixes map[string]bool
	// Speeds holds the speeds of the engines that differ from the usual one, by engine. They are kept for
	// speedTTL when notices cease.
	Speeds map[state.InstanceID]float64
}

// snapshot is the state after a notice: fresh until noticeTTL after it, then stale until speedTTL after it,
// and expired from then on.
type snapshot struct {
	at                    time.Time
	fresh, stale, expired *Received
}

// Listener receives the notices of the holder of the lease. It is safe for concurrent use.
type Listener struct {
	o       ListenerOptions
	mu      sync.Mutex // serializes Receive, and guards uneven and local
	uneven  transition
	local   transition
	current atomic.Pointer[snapshot]
}

// NewListener validates the options and returns a Listener that has received nothing.
func NewListener(o ListenerOptions) (*Listener, error) {
	if o.Clock == nil || o.Log == nil {
		return nil, errors.New("fleetload: a field of ListenerOptions is missing; set Clock and Log")
	}
	l := &Listener{o: o}
	l.current.Store(&snapshot{fresh: &Received{}, stale: &Received{}, expired: &Received{}})
	return l, nil
}

// Current returns what is known now. It takes no lock and allocates nothing.
func (l *Listener) Current() *Received {
	s := l.current.Load()
	switch age := l.o.Clock.Now().Sub(s.at); {
	case age > speedTTL:
		return s.expired
	case age > noticeTTL:
		return s.stale
	default:
		return s.fresh
	}
}

// Age returns the time since the last accepted notice, and false if there was none.
func (l *Listener) Age() (time.Duration, bool) {
	at := l.current.Load().at
	return l.o.Clock.Now().Sub(at), !at.IsZero()
}

// Receive accepts a notice, unless one with a higher term, or with the same term and the same or a
// higher number, was accepted before. It reports whether it did.
func (l *Listener) Receive(n Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.current.Load().fresh
	if n.Term < last.Term || (n.Term == last.Term && n.Number <= last.Number) {
		return false
	}
	r := &Received{Term: n.Term, Number: n.Number, Domains: n.Domains, LocalPrefixes: map[string]bool{}, Speeds: make(map[state.InstanceID]float64, len(n.Speeds))}
	for _, service := range n.LocalPrefixes {
		r.LocalPrefixes[service] = true
	}
	for _, s := range n.Speeds {
		r.Speeds[s.Engine] = s.Speed
	}
	l.logChange(last, r)
	l.current.Store(&snapshot{
		at: l.o.Clock.Now(), fresh: r, stale: &Received{Term: r.Term, Number: r.Number, Speeds: r.Speeds}, expired: &Received{Term: r.Term, Number: r.Number},
	})
	if l.o.OnNotice != nil {
		l.o.OnNotice(r)
	}
	return true
}

// logChange logs a notice of a new term, or one that changes whether something is uneven.
func (l *Listener) logChange(last, r *Received) {
	now := l.o.Clock.Now()
	uneven, local := l.uneven.due(len(r.Speeds) > 0, now), l.local.due(len(r.LocalPrefixes) > 0, now)
	if r.Term != last.Term || uneven || local {
		l.o.Log.Info("load notice accepted", "term", r.Term, "number", r.Number, "rows", len(r.Domains), "uneven", len(r.Speeds), "local_prefixes", len(r.LocalPrefixes))
	}
}
