package backpressure

import (
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymerack/thymerack/state"
)

const (
	// unlistedTTL is how long what a run asked is kept once the list lacks it: entries of
	// living runners are missing for some seconds around an outage of the store.
	unlistedTTL = time.Minute
	// maxRuns bounds the runs that are kept: twice the largest fleet, for a release that
	// replaces all of it.
	maxRuns = 4096
	// minBroadcastInterval bounds how often a host tells the others of one run's limit, and renewEvery is
	// how often what holds on is told again, to hosts that start or missed it.
	minBroadcastInterval = 250 * time.Millisecond
	renewInterval        = 2 * time.Second
	// ownPrecedence is how long this host's own hearing of a limit outweighs the others' word:
	// about the time in which they come to it.
	ownPrecedence = 300 * time.Millisecond
	// backoffJitter is the part of a rest by which it is taken longer at most, so that hosts that
	// were turned away together don't come back together.
	backoffJitter = 0.1
	// trialTimeout is how long the first request after a rest keeps the runner from others of this
	// host, if it isn't answered before.
	trialTimeout = 250 * time.Millisecond
	// unreadableLogInterval bounds the log lines on what a run writes and nobody can read.
	unreadableLogInterval = 10 * time.Second
)

// Observer counts advices.
type Observer interface {
	ObserveAdvice(service string, k Kind)
}

// Notice is what a run asks of all hosts, told by one that heard it.
type Notice struct {
	Instance state.InstanceID
	Service  string
	// Kind is KindLimit, with the limit, KindLifted or KindLeaving.
	Kind  Kind
	Limit float64
}

// Options configure a Registry. All fields are required.
type Options struct {
	Clock    state.Clock
	Log      *slog.Logger
	Observer Observer
	// Broadcast tells all hosts; this one may hear it too. It must not wait.
	Broadcast func(Notice)
	// OnLeaving is called when it becomes known that a run leaves. It may ask the registry.
	OnLeaving func()
}

// Registry is what this host knows of the runners' advices. It is safe for concurrent use, and
// reading it takes no lock.
type Registry struct {
	o Options

	mu sync.Mutex // held by writers
	// runs has the runs that ever asked something; it is replaced whole.
	runs atomic.Pointer[map[state.InstanceID]*runState]
}

// runState is what one runState of a runner has asked. Its fields are replaced under the registry's lock.
type runState struct {
	service string
	limit   atomic.Pointer[limit]
	// backoffUntil is zero if none was asked for.
	backoffUntil atomic.Pointer[time.Time]
	// needsTrial is set from a rest on until a request sent after it was taken; trialUntil is
	// while one of this host is on its way to find out.
	needsTrial atomic.Bool
	trialUntil atomic.Pointer[time.Time]
	leaving    atomic.Bool

	// listedAt is when the run was known to be listed, broadcastAt when all hosts were told of its
	// limit and unreadableLoggedAt when it last wrote what can't be read.
	listedAt, broadcastAt, unreadableLoggedAt time.Time
}

// limit is what a run takes of all hosts together.
type limit struct {
	rate float64
	// learnedAt is when it was last heard of, and answeredAt when an answer to this host last named
	// it.
	learnedAt, answeredAt time.Time
	// opensAt is when the next request of this host may leave; zero if one may at once.
	opensAt time.Time
}

// New validates the options.
func New(o Options) (*Registry, error) {
	if o.Clock == nil || o.Log == nil || o.Observer == nil || o.Broadcast == nil || o.OnLeaving == nil {
		return nil, errors.New("backpressure: a field of Options is nil; set all of them")
	}
	r := &Registry{o: o}
	r.runs.Store(&map[state.InstanceID]*runState{})
	return r, nil
}

// Record takes what an answer of a run asks. sentAt is when its request left this host. An
// answer to a call of the system's own that names no limit doesn't lift one: only requests are
// what a limit counts.
func (r *Registry) Record(i *state.Instance, sentAt time.Time, a Advice, ofRequest bool) {
	if !a.nonEmpty() && r.lookup(i.ID) == nil {
		return
	}
	leaving := false
	for _, n := range r.record(i, sentAt, a, ofRequest) {
		r.o.Broadcast(n)
		leaving = leaving || n.Kind == KindLeaving
	}
	if leaving {
		r.o.OnLeaving()
	}
}

// record takes an advice and returns what all hosts are to be told.
func (r *Registry) record(i *state.Instance, sentAt time.Time, a Advice, ofRequest bool) (notices []Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	run := r.lookupOrCreate(i.ID, i.Service, now)
	before := run.limit.Load()
	switch {
	case a.Limited:
		r.setLimit(i.ID, run, limit{rate: a.Limit, learnedAt: now, answeredAt: now})
		if run.shouldBroadcast(now, before == nil || before.rate != a.Limit) {
			notices = append(notices, Notice{i.ID, i.Service, KindLimit, a.Limit})
		}
	case ofRequest && len(a.Unreadable) == 0 && before != nil && sentAt.After(before.learnedAt):
		// Answers overtake each other: only one that was asked for after the limit was last
		// heard of is known to be newer.
		r.clearLimit(i.ID, run)
		notices = append(notices, Notice{i.ID, i.Service, KindLifted, 0})
	}
	if a.Leaving && r.setLeaving(i.ID, run, "an answer") {
		notices = append(notices, Notice{i.ID, i.Service, KindLeaving, 0})
	}
	switch until := run.backoffUntil.Load(); {
	case a.Backoff > 0:
		r.setBackoff(i, run, now, a.Backoff)
	case ofRequest && until != nil && sentAt.After(*until):
		run.needsTrial.Store(false)
	}
	r.reportUnreadable(i, run, now, a.Unreadable)
	return notices
}

// shouldBroadcast reports whether all hosts should be told of the limit now.
func (s *runState) shouldBroadcast(now time.Time, changed bool) bool {
	wait := renewInterval
	if changed {
		wait = minBroadcastInterval
	}
	if !s.broadcastAt.IsZero() && now.Sub(s.broadcastAt) < wait {
		return false
	}
	s.broadcastAt = now
	return true
}

// HandleNotice takes what another host heard. What this one has just heard itself goes before it.
func (r *Registry) HandleNotice(n Notice) {
	if r.applyNotice(n) {
		r.o.OnLeaving()
	}
}

// applyNotice takes a notice and reports whether it is news that the run leaves.
func (r *Registry) applyNotice(n Notice) (newlyLeaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	run := r.lookupOrCreate(n.Instance, n.Service, now)
	before := run.limit.Load()
	own := before != nil && now.Sub(before.answeredAt) < ownPrecedence
	switch n.Kind {
	case KindLimit:
		run.broadcastAt = now
		if !own {
			r.setLimit(n.Instance, run, limit{rate: n.Limit, learnedAt: now})
		}
	case KindLifted:
		if before != nil && !own {
			r.clearLimit(n.Instance, run)
		}
	case KindLeaving:
		return r.setLeaving(n.Instance, run, "another host")
	}
	return false
}

// lookup is what is known of a lookup, or nil.
func (r *Registry) lookup(id state.InstanceID) *runState { return (*r.runs.Load())[id] }

// lookupOrCreate is what is known of a run, made if nothing is; r.mu is held.
func (r *Registry) lookupOrCreate(id state.InstanceID, service string, now time.Time) *runState {
	if run := r.lookup(id); run != nil {
		return run
	}
	runs := maps.Clone(*r.runs.Load())
	if len(runs) >= maxRuns {
		delete(runs, leastRecentlyListed(runs))
	}
	runs[id] = &runState{service: service, listedAt: now}
	r.runs.Store(&runs)
	return runs[id]
}

// leastRecentlyListed is the run that was listed last the longest time ago.
func leastRecentlyListed(runs map[state.InstanceID]*runState) state.InstanceID {
	var out state.InstanceID
	var at time.Time
	for id, run := range runs {
		if at.IsZero() || run.listedAt.Before(at) {
			out, at = id, run.listedAt
		}
	}
	return out
}

// setLimit notes a limit.
func (r *Registry) setLimit(id state.InstanceID, run *runState, next limit) {
	before := run.limit.Load()
	same := before != nil && before.rate == next.rate
	if same {
		next.opensAt = before.opensAt
	}
	if before != nil && next.answeredAt.IsZero() {
		next.answeredAt = before.answeredAt
	}
	run.limit.Store(&next)
	if same {
		return
	}
	attrs := []any{"instance", id, "service", run.service, "per_second", next.rate, "own_answer", next.answeredAt.Equal(next.learnedAt)}
	if before != nil {
		attrs = append(attrs, "before", before.rate)
	}
	r.o.Log.Info("runner names a limit", attrs...)
	r.o.Observer.ObserveAdvice(run.service, KindLimit)
}

// clearLimit ends a limit that isn't named any more.
func (r *Registry) clearLimit(id state.InstanceID, run *runState) {
	before := run.limit.Swap(nil)
	r.o.Log.Info("runner names no limit any more", "instance", id, "service", run.service, "before", before.rate, "heard_last", r.o.Clock.Now().Sub(before.learnedAt))
	r.o.Observer.ObserveAdvice(run.service, KindLifted)
}

// setLeaving notes that a run setLeaving, and reports whether that is news. It has no way back: a
// runner that stays starts again.
func (r *Registry) setLeaving(id state.InstanceID, run *runState, source string) bool {
	if run.leaving.Swap(true) {
		return false
	}
	r.o.Log.Info("runner says that it leaves", "instance", id, "service", run.service, "heard_of", source)
	r.o.Observer.ObserveAdvice(run.service, KindLeaving)
	return true
}

// setBackoff notes a rest. A later, shorter one doesn't shorten what was asked before.
func (r *Registry) setBackoff(i *state.Instance, run *runState, now time.Time, backoff time.Duration) {
	until := now.Add(backoff + time.Duration(rand.Float64()*backoffJitter*float64(backoff)))
	before := run.backoffUntil.Load()
	if before != nil && !until.After(*before) {
		return
	}
	run.backoffUntil.Store(&until)
	run.trialUntil.Store(nil)
	run.needsTrial.Store(true)
	r.o.Observer.ObserveAdvice(i.Service, KindBackoff)
	if before == nil || now.After(*before) {
		r.o.Log.Info("runner asks for rest", "instance", i.ID, "service", i.Service, "for", backoff)
	}
}

func (r *Registry) reportUnreadable(i *state.Instance, run *runState, now time.Time, fields []Field) {
	for _, f := range fields {
		r.o.Observer.ObserveAdvice(i.Service, KindUnreadable)
		if run.unreadableLoggedAt.IsZero() || now.Sub(run.unreadableLoggedAt) >= unreadableLogInterval {
			run.unreadableLoggedAt = now
			r.o.Log.Warn("advice of a runner not readable; what was known of it holds, see its version", "instance", i.ID, "service", i.Service, "field", f.Name, "value", f.Value)
		}
	}
}

// UpdateListed takes the runs of the present list, and forgets those that it has lacked for long.
func (r *Registry) UpdateListed(list []state.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(*r.runs.Load()) == 0 {
		return
	}
	now := r.o.Clock.Now()
	for i := range list {
		if run := r.lookup(list[i].ID); run != nil {
			run.listedAt = now
		}
	}
	runs := maps.Clone(*r.runs.Load())
	maps.DeleteFunc(runs, func(_ state.InstanceID, run *runState) bool { return now.Sub(run.listedAt) > unlistedTTL })
	r.runs.Store(&runs)
}
