package reach

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// peerDelay is how long an attempt over a link that is believed to work may take before another
	// host is asked as well: ten round trips between failure domains and a handshake.
	peerDelay = 40 * time.Millisecond
	// suspectedPeerDelay is the same for a link over which a connection has just failed: two round trips.
	suspectedPeerDelay = 10 * time.Millisecond
	// checkInterval is the time between two checks of a lost link while another host reaches the runner. It
	// is varied by a quarter, so that hosts don't all return at once.
	checkInterval = time.Second
	// unreachablePollInterval is the time between polls of lost links while some runners are unreachable, for which
	// requests may be refused.
	unreachablePollInterval = 250 * time.Millisecond
	// minRetryInterval is how long a runner without a path isn't tried again. Each failure in a row
	// doubles the time, up to maxRetryInterval. A process that pauses for a moment is tried soon.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = time.Second
	// minPartitionLinks is the least number of lost links by which a host is partitioned: a few
	// runners may crash at the same time. That many that fail within partitionWindow count as well,
	// while it isn't known yet how many there are.
	minPartitionLinks = 3
	partitionWindow   = 300 * time.Millisecond
)

// Observer is told of evidence and states. Its methods must not block, and must not call the
// Tracker.
type Observer interface {
	// LinkFailed counts evidence against a link to a runner of the service.
	LinkFailed(service string, e Evidence)
	// LinkChanged tells that the state of a link changed.
	LinkChanged(id state.InstanceID, s State)
	// GroupAdded tells that the first link to a runner of the group is used.
	GroupAdded(g Group)
}

// Options configures a Tracker. All fields are required.
type Options struct {
	Clock    state.Clock
	Log      *slog.Logger
	Observer Observer
}

// Tracker keeps the states of this host's links to runners. It is safe for concurrent use.
type Tracker struct {
	o Options

	mu     sync.Mutex
	links  map[state.InstanceID]*link
	groups map[Group]*groupStatus
	// heardDirectAt is when a runner last responded over this host's own link.
	heardDirectAt time.Time
}

// link is the state of the link to one run of a runner.
type link struct {
	instance *state.Instance
	group    Group
	// lostAt is when the first attempt to connect failed since the last that succeeded; zero if none
	// has.
	lostAt   time.Time
	evidence Evidence
	// heardAt is when the runner last responded.
	heardAt time.Time
	// peer is the last host that connected to the runner for this one; "" if none has since noPath.
	peer string
	// noPath is the failure of all paths; nil unless that was the last outcome.
	noPath *NoPathError
	// failures counts the failures of all paths in a row.
	failures int
	// nextAttempt is when the link is checked again while a peer reaches the runner, and when any path is
	// tried again while none works.
	nextAttempt time.Time
	// suspected is set when an established connection failed, at brokenAt; the next attempt asks another
	// host sooner.
	suspected bool
	brokenAt  time.Time
	// checking is set while the link is being checked, overdueAt is when it last was for an overdue response, and
	// polledAt when it last was without a request.
	checking            bool
	overdueAt, polledAt time.Time
}

func (l *link) state() State {
	switch {
	case l.lostAt.IsZero():
		return Direct
	case l.peer != "":
		return Indirect
	default:
		return Unreachable
	}
}

// New returns an error if an option is missing.
func New(o Options) (*Tracker, error) {
	if o.Clock == nil || o.Log == nil || o.Observer == nil {
		return nil, errors.New("reach: a field of Options is missing; set all of them")
	}
	return &Tracker{o: o, links: map[state.InstanceID]*link{}, groups: map[Group]*groupStatus{}}, nil
}

// Plan says how to make a connection to a runner.
type Plan struct {
	// Direct says whether to connect over this host's own link.
	Direct bool
	// PeerDelay is when to ask another host, unless the direct attempt has failed before.
	PeerDelay time.Duration
	// NoPath is set if no attempt is to be made now.
	NoPath *NoPathError
}

// Plan returns how to make the next connection to a runner.
func (t *Tracker) Plan(i *state.Instance) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, now := t.link(i), t.o.Clock.Now()
	due := !now.Before(l.nextAttempt)
	switch l.state() {
	case Direct:
		if l.suspected {
			return Plan{Direct: true, PeerDelay: suspectedPeerDelay}
		}
		return Plan{Direct: true, PeerDelay: peerDelay}
	case Indirect:
		return Plan{}
	default:
		if !due && l.noPath != nil {
			known := *l.noPath
			known.Known = true
			return Plan{NoPath: &known}
		}
		l.nextAttempt = now.Add(retryInterval(l.failures)) // other attempts wait for this one
		return Plan{Direct: true}
	}
}

// vary returns d, varied by a quarter.
func vary(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// retryInterval is the time until the next attempt after so many failures in a row.
func retryInterval(failures int) time.Duration {
	return min(minRetryInterval<<min(max(failures-1, 0), 8), maxRetryInterval)
}

// Connected records that this host has connected to the runner over its own link.
func (t *Tracker) Connected(i *state.Instance) {
	t.update(i, func(l *link) {
		*l = link{instance: l.instance, group: l.group, heardAt: l.heardAt, checking: l.checking, overdueAt: l.overdueAt}
	})
}

// ConnectFailed records that an attempt of this host to connect to the runner failed.
func (t *Tracker) ConnectFailed(i *state.Instance, e Evidence) {
	t.o.Observer.LinkFailed(i.Service, e)
	t.update(i, func(l *link) {
		now := t.o.Clock.Now()
		l.evidence = e
		if l.lostAt.IsZero() {
			l.lostAt = now
		}
		if !now.Before(l.nextAttempt) {
			l.nextAttempt = now.Add(vary(checkInterval))
		}
	})
}

// PeerConnected records that another host has connected to the runner for this one.
func (t *Tracker) PeerConnected(i *state.Instance, peer string) {
	t.update(i, func(l *link) { l.peer, l.noPath, l.failures = peer, nil, 0 })
}

// NoPath records that all paths to the runner failed, and returns the error with the time of the next
// attempt.
func (t *Tracker) NoPath(i *state.Instance, err NoPathError) *NoPathError {
	t.update(i, func(l *link) {
		now := t.o.Clock.Now()
		if l.lostAt.IsZero() {
			l.lostAt, l.evidence = now, err.Direct
		}
		l.peer, l.suspected = "", false
		l.failures++
		l.nextAttempt = now.Add(retryInterval(l.failures))
		err.Instance, err.RetryAt = i.ID, l.nextAttempt
		if err.Direct == "" {
			err.Direct = l.evidence
		}
		l.noPath = &err
	})
	return &err
}

// Broken records that an established connection to the runner was reset or timed out. Runners close
// connections for reasons of their own, so that the state of the link stays as it is.
func (t *Tracker) Broken(i *state.Instance) {
	t.o.Observer.LinkFailed(i.Service, EvidenceBroken)
	t.update(i, func(l *link) { l.suspected, l.brokenAt = true, t.o.Clock.Now() })
}

// Heard records a response of the runner; direct says that it arrived over this host's own link.
func (t *Tracker) Heard(i *state.Instance, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, now := t.link(i), t.o.Clock.Now()
	l.heardAt, l.suspected = now, false
	if direct {
		t.heardDirectAt = now
	}
}

// HeardSince reports whether the runner responded after the time.
func (t *Tracker) HeardSince(id state.InstanceID, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	return l != nil && l.heardAt.After(since)
}

// State returns the state of the link to a runner.
func (t *Tracker) State(id state.InstanceID) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[id]; l != nil {
		return l.state()
	}
	return Direct
}

// Lost returns the evidence against the link to a runner, if it is lost and this host doesn't try it now.
// Other hosts are told so without an attempt.
func (t *Tracker) Lost(id state.InstanceID) (Evidence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l == nil || l.state() == Direct || !t.o.Clock.Now().Before(l.nextAttempt) {
		return "", false
	}
	return l.evidence, true
}

// Silent reports whether the link to a runner is lost without an answer. Connections that were established
// over it are dead then; where new connections are refused, they may live on.
func (t *Tracker) Silent(id state.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	return l != nil && l.state() != Direct && l.evidence == EvidenceNoAnswer
}

// NextAttempt returns when the next attempt to connect to a runner is made after all paths have failed; zero if
// it may be made now.
func (t *Tracker) NextAttempt(id state.InstanceID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l == nil || l.noPath == nil || l.state() != Unreachable || !t.o.Clock.Now().Before(l.nextAttempt) {
		return time.Time{}
	}
	return l.nextAttempt
}

// Retain drops the links to runners for which keep is false.
func (t *Tracker) Retain(keep func(id state.InstanceID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.links {
		if !keep(id) {
			t.groups[l.group].counts[l.state()]--
			delete(t.links, id)
			t.logGroup(l.group)
		}
	}
}

// link returns the link to a runner, and creates it if there is none; t.mu is held.
func (t *Tracker) link(i *state.Instance) *link {
	l := t.links[i.ID]
	if l != nil {
		return l
	}
	l = &link{instance: i, group: Group{i.Service, i.FailureDomain}}
	t.links[i.ID] = l
	if t.groups[l.group] == nil {
		t.groups[l.group] = &groupStatus{counts: Counts{}}
		t.o.Observer.GroupAdded(l.group)
	}
	t.groups[l.group].counts[Direct]++
	return l
}

// update changes a link by change, and logs a change of its state.
func (t *Tracker) update(i *state.Instance, change func(l *link)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(i)
	before, since := l.state(), l.lostAt
	change(l)
	after := l.state()
	if before == after {
		return
	}
	counts := t.groups[l.group].counts
	counts[before]--
	counts[after]++
	t.o.Observer.LinkChanged(i.ID, after)
	now := t.o.Clock.Now()
	if after == Direct {
		t.o.Log.Info("link to a runner restored", "instance", i.ID, "service", i.Service, "lost_for", now.Sub(since))
	} else {
		t.o.Log.Warn("link to a runner lost", "instance", i.ID, "service", i.Service, "state", string(after), "evidence", string(l.evidence), "peer", l.peer, "lost_for", now.Sub(l.lostAt), "heard_ago", heardAgo(l.heardAt, now))
	}
	t.logGroup(l.group)
}
